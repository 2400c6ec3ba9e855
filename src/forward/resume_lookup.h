/* Finds out at which software version a stream may go on that a caller resumes. VMs other
   than the one that began the stream, and VMs that have just started, read the store for
   it; callers that come together share the calls. Used on the event loop's thread only.
 */
#ifndef KCP_FORWARD_RESUME_LOOKUP_H
#define KCP_FORWARD_RESUME_LOOKUP_H

#include "forward/gateway.h"
#include "forward/stream_records.h"
#include "policy/resume_version.h"

struct kcp_resume_lookups;

/* How a lookup ended. */
struct kcp_resume_found
{
  enum kcp_resume_decision decision; /* not KCP_RESUME_LOOK_AGAIN */
  struct kcp_stream_origin origin;   /* where it goes on, if this VM knows that */
  bool store_answered; /* the store was read for it; false: what this VM knew decided */
  unsigned versions;   /* in service, as far as this VM knows */
};

/* Called once. */
typedef void kcp_resume_lookup_done (void *user, const struct kcp_resume_found *found);

/* Embedded in its owner, which zeroes it before the first use. */
struct kcp_resume_lookup
{
  struct kcp_resume_lookups *lookups; /* NULL: not in progress */
  const char *id; /* of the attempt that began the stream; NULL: the caller names none */
  const struct kcp_route *route; /* of the caller's request, borrowed */
  bool in_round;                 /* the store is being read for it */
  bool looked;                   /* the store was read for it, and did not have it */
  bool resting; /* again_timer is set: it is not looked for again before */
  struct kcp_loop_timer give_up_timer;
  struct kcp_loop_timer again_timer;
  kcp_resume_lookup_done *done;
  void *user;
};

struct kcp_resume_lookups *kcp_resume_lookups_new (struct kcp_gateway *gateway);
void kcp_resume_lookups_free (struct kcp_resume_lookups *lookups);
void kcp_resume_lookup_start (struct kcp_resume_lookups *lookups,
                              struct kcp_resume_lookup *lookup, const char *id,
                              const struct kcp_route *route, kcp_resume_lookup_done *done,
                              void *user);
void kcp_resume_lookup_cancel (struct kcp_resume_lookup *lookup);

#endif
