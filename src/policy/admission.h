/* The queue of requests that wait for a place: by class, in fair shares between teams,
   and by deadline within a team. A request whose deadline cannot be met is refused at
   once with a time to come back. Times are passed in. Not thread-safe: the caller holds a
   lock. */
#ifndef KCP_POLICY_ADMISSION_H
#define KCP_POLICY_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "profile/profile.h"

/* One waiting request, kept by the caller until it is taken, removed or expired. */
struct kcp_admission_item
{
  uint64_t pool; /* requests of one pool can run on the same servers */
  enum kcp_class class;
  uint64_t team;
  int share; /* of the team, 1 or more */
  int importance;
  int64_t work;         /* prompt tokens to be computed, and the like */
  int64_t deadline_ns;  /* monotonic, of the whole answer */
  int64_t run_ns;       /* expected time from the start to the end of the answer */
  uint64_t fingerprint; /* the same whenever the caller sends the request again */
  GSequenceIter *position;
};

/* The times of one decision. */
struct kcp_admission_now
{
  int64_t monotonic_ns;
  int64_t realtime_ms; /* the VMs' clocks agree on it to a fraction of a second */
};

struct kcp_admission_verdict
{
  bool queued;
  int64_t wait_ns;       /* expected in the queue */
  int64_t retry_after_s; /* of a refused request, 1 or more */
};

struct kcp_admission;

/* Tells whether the item can start on a server that has a place now. */
typedef bool kcp_admission_fits (void *user, struct kcp_admission_item *item);

struct kcp_admission *kcp_admission_new (void);
void kcp_admission_free (struct kcp_admission *admission);
struct kcp_admission_verdict
kcp_admission_offer (struct kcp_admission *admission, struct kcp_admission_item *item,
                     const struct kcp_admission_now *now);
bool kcp_admission_would_queue (struct kcp_admission *admission,
                                const struct kcp_admission_item *item,
                                const struct kcp_admission_now *now);
struct kcp_admission_item *
kcp_admission_next (struct kcp_admission *admission, kcp_admission_fits *fits, void *user,
                    int64_t now_ns);
void kcp_admission_remove (struct kcp_admission *admission,
                           struct kcp_admission_item *item, int64_t now_ns);
struct kcp_admission_item *
kcp_admission_expired (struct kcp_admission *admission, int64_t now_ns);
int64_t kcp_admission_retry_after_s (struct kcp_admission *admission,
                                     const struct kcp_admission_item *item,
                                     const struct kcp_admission_now *now);
size_t kcp_admission_waiting (const struct kcp_admission *admission);

#endif
