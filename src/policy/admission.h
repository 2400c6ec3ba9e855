/* Queue of requests that wait for a slot at a backend server. Requests are ordered by
   class, slots are shared fairly between the teams of a class, and the requests of a
   team are ordered by deadline. A request whose deadline cannot be met is refused at
   once, with the time after which it should be sent again.

   The caller passes the times in. Not thread-safe: the caller holds a lock. */
#ifndef KCP_POLICY_ADMISSION_H
#define KCP_POLICY_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "profile/profile.h"

/* A waiting request. The caller owns it, and keeps it until it starts, is removed or
   expires. */
struct kcp_admission_item
{
  uint64_t pool; /* requests of one pool can run on the same servers */
  enum kcp_class class;
  uint64_t team;
  int share; /* weight of the team, at least 1 */
  int importance;
  int64_t work;            /* cost of the request, such as the prompt tokens to compute */
  int64_t deadline_ns;     /* monotonic time by which the complete answer is due */
  int64_t run_ns;          /* expected time from start to end of the answer */
  uint64_t fingerprint;    /* identical each time the caller sends the request */
  GSequenceIter *position; /* in the queue; NULL: not in the queue */
};

/* The current time on both clocks. */
struct kcp_admission_now
{
  int64_t monotonic_ns;
  int64_t realtime_ms; /* the clocks of the VMs agree to a fraction of a second */
};

struct kcp_admission_verdict
{
  bool queued;
  int64_t wait_ns;       /* expected time in the queue */
  int64_t retry_after_s; /* set if refused, at least 1 */
};

struct kcp_admission;

/* Returns true if the item can start on a server that has a free slot now. */
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
