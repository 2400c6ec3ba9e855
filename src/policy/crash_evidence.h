/* Decides whether an attempt that ended without an answer ended because its server
   crashed. The result depends on the arguments alone.

   Load pattern: servers crash alone or many at once, connections are reset, links are
   cut, and callers leave. All of these end attempts, and only a crash counts against the
   requests that were in flight. */
#ifndef KCP_POLICY_CRASH_EVIDENCE_H
#define KCP_POLICY_CRASH_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* An attempt that ended earlier than this before its server was found to have ended is
   not attributed to that. Covers the time until a restarted server is back in the list.
 */
#define KCP_CRASH_EVIDENCE_MAX_AGE_NS (20 * KCP_NS_PER_S)

struct kcp_crash_facts
{
  int64_t attempt_ended_ns;
  int64_t last_answer_ns; /* newest part of an answer from the server; 0: none */
  int64_t now_ns;         /* when the server was found to have ended */
};

bool kcp_crash_evidence_counts (const struct kcp_crash_facts *facts);

#endif
