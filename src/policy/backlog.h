/* Decides whether a long prompt is refused because the servers have too many prompt
   tokens to prefill before it. The result depends on the arguments alone.

   Load pattern: a third of the servers is down while new weights empty the caches of all
   servers, so more long prompts arrive than the remaining servers can prefill. Each
   prompt that is admitted nevertheless is prefilled in vain, because its caller
   disconnects before the answer, and for that time it delays all other requests of its
   server. Streams that callers resume have less time left; servers prefill them before
   other prompts (queue_priority.h). */
#ifndef KCP_POLICY_BACKLOG_H
#define KCP_POLICY_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

struct kcp_backlog
{
  int64_t wait_us;      /* time until the best server can start the prefill */
  int64_t prefill_us;   /* duration of the prefill there */
  int64_t remaining_ms; /* time until the caller's deadline */
  bool resumed;         /* a stream of which the caller has a part */
};

bool kcp_backlog_refuses (const struct kcp_backlog *backlog);

#endif
