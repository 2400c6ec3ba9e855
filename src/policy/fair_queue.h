/* Queue of the waiting requests of one pool and class, which shares the starts fairly
   between teams. Internal to admission. */
#ifndef KCP_POLICY_FAIR_QUEUE_H
#define KCP_POLICY_FAIR_QUEUE_H

#include "policy/admission.h"

#define KCP_FAIR_QUEUE_WINDOWS 64 /* windows for which reservations are kept */

/* The waiting requests of one team, earliest deadline first. */
struct kcp_flow
{
  uint64_t team;
  double start; /* virtual start time of its next request */
  int share;
  int64_t work;
  GSequence *items;              /* struct kcp_admission_item */
  GSequenceIter *order_position; /* in the order of the queue; NULL: no request waits */
};

struct kcp_fair_queue
{
  uint64_t pool;
  enum kcp_class class;
  GHashTable *flows; /* team -> struct kcp_flow, for teams that have waiting requests or
                        have used more than their share */
  GSequence *order;  /* struct kcp_flow that have requests, by start */
  double virtual_time;
  int64_t work; /* of the waiting requests */
  size_t count; /* number of waiting requests */

  /* Work started per second, averaged over the times at which requests waited. */
  double rate;
  int64_t busy_since_ns; /* -1: no request waits */
  int64_t busy_ns;
  int64_t started_work;

  /* Work of refused requests that are expected again, by window. */
  int64_t reserved[KCP_FAIR_QUEUE_WINDOWS];
  int64_t first_window; /* window of reserved[0] */
};

struct kcp_fair_queue *kcp_fair_queue_new (uint64_t pool, enum kcp_class class);
void kcp_fair_queue_free (struct kcp_fair_queue *queue);
void kcp_fair_queue_push (struct kcp_fair_queue *queue, struct kcp_admission_item *item,
                          int64_t now_ns);
void kcp_fair_queue_remove (struct kcp_fair_queue *queue, struct kcp_admission_item *item,
                            int64_t now_ns);
void kcp_fair_queue_start (struct kcp_fair_queue *queue, struct kcp_admission_item *item,
                           int64_t now_ns);
struct kcp_admission_item *
kcp_fair_queue_find (struct kcp_fair_queue *queue, kcp_admission_fits *fits, void *user);
struct kcp_admission_item *
kcp_fair_queue_expired (struct kcp_fair_queue *queue, int64_t now_ns);
double kcp_fair_queue_work_ahead (const struct kcp_fair_queue *queue,
                                  const struct kcp_admission_item *item);
int64_t
kcp_fair_queue_reserved_work (const struct kcp_fair_queue *queue, int64_t windows);
void kcp_fair_queue_reserve (struct kcp_fair_queue *queue, int64_t window, int64_t work);
void kcp_fair_queue_release (struct kcp_fair_queue *queue, int64_t window, int64_t work);
void kcp_fair_queue_advance (struct kcp_fair_queue *queue, int64_t window);

#endif
