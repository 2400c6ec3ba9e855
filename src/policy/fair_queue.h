/* The waiting requests of one pool and class, in fair shares between teams. Internal to
   admission. */
#ifndef KCP_POLICY_LANE_H
#define KCP_POLICY_LANE_H

#include "policy/admission.h"

#define KCP_LANE_WINDOWS 64 /* windows of promised returns that are remembered */

/* The requests of one team, earliest deadline first. */
struct kcp_flow
{
  uint64_t team;
  double start; /* virtual time at which its next request is due */
  int share;
  int64_t work;
  GSequence *items;     /* struct kcp_admission_item */
  GSequenceIter *place; /* in the lane's order; NULL: nothing waits */
};

struct kcp_lane
{
  uint64_t pool;
  enum kcp_class class;
  GHashTable
      *flows; /* team, struct kcp_flow; those with requests or ahead of their share */
  GSequence *order; /* struct kcp_flow with requests, by their start */
  double virtual_time;
  int64_t work;
  size_t count;

  /* Work started a second, over the times at which requests waited. */
  double rate;
  int64_t busy_since_ns; /* -1: nothing waits */
  int64_t busy_ns;
  int64_t started_work;

  /* Work of refused requests that were told to come back in a window. */
  int64_t promised[KCP_LANE_WINDOWS];
  int64_t first_window; /* number of the window that promised[] starts at */
};

struct kcp_lane *kcp_lane_new (uint64_t pool, enum kcp_class class);
void kcp_lane_free (struct kcp_lane *lane);
void
kcp_lane_push (struct kcp_lane *lane, struct kcp_admission_item *item, int64_t now_ns);
void
kcp_lane_remove (struct kcp_lane *lane, struct kcp_admission_item *item, int64_t now_ns);
void
kcp_lane_start (struct kcp_lane *lane, struct kcp_admission_item *item, int64_t now_ns);
struct kcp_admission_item *
kcp_lane_find (struct kcp_lane *lane, kcp_admission_fits *fits, void *user);
struct kcp_admission_item *kcp_lane_expired (struct kcp_lane *lane, int64_t now_ns);
double
kcp_lane_work_ahead (const struct kcp_lane *lane, const struct kcp_admission_item *item);
int64_t kcp_lane_promised_work (const struct kcp_lane *lane, int64_t windows);
void kcp_lane_promise (struct kcp_lane *lane, int64_t window, int64_t work);
void kcp_lane_redeem (struct kcp_lane *lane, int64_t window, int64_t work);
void kcp_lane_advance (struct kcp_lane *lane, int64_t window);

#endif
