/* Whether a long prompt is refused because the servers have too much to read before it.
   Pure: facts in, decision out.

   Load pattern: a third of the servers dark while new weights empty the caches of all, so
   that more long prompts come than the others can read. Each that is taken all the same
   is read in vain, as its caller leaves before its answer, and holds up all others of its
   server for so long. */
#ifndef KCP_POLICY_BACKLOG_H
#define KCP_POLICY_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

struct kcp_backlog
{
  int64_t wait_us;      /* until the best server can begin to read the prompt */
  int64_t prefill_us;   /* that reading takes there */
  int64_t remaining_ms; /* of the caller's time */
};

bool kcp_backlog_refuses (const struct kcp_backlog *backlog);

#endif
