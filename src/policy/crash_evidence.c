#include "policy/crash_evidence.h"

/* Answers that a server had sent before it crashed may be read up to this long after the
   connection of another request was closed. */
#define LATE_ANSWER_NS (100 * KCP_NS_PER_MS)

/* Returns true if the end of a server explains the end of an attempt: the attempt ended
   recently, and the server has sent nothing since. */
bool
kcp_crash_evidence_counts (const struct kcp_crash_facts *facts)
{
  if (facts->now_ns - facts->attempt_ended_ns > KCP_CRASH_EVIDENCE_MAX_AGE_NS)
    return false;
  return facts->last_answer_ns <= facts->attempt_ended_ns + LATE_ANSWER_NS;
}
