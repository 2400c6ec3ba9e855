#include "policy/answer_end.h"

static const char *const decision_names[] = {
  [KCP_ANSWER_END_WHOLE] = "whole",
  [KCP_ANSWER_END_CUT_OFF] = "cut_off",
  [KCP_ANSWER_END_ASK_AGAIN] = "ask_again",
};

static const char *const evidence_names[KCP_ANSWER_END_EVIDENCE_COUNT] = {
  [KCP_ANSWER_END_NOTHING] = "none",
  [KCP_ANSWER_END_REFUSED] = "connection_refused",
  [KCP_ANSWER_END_ADDRESS_TAKEN] = "address_taken",
  [KCP_ANSWER_END_OTHER_INSTANCE] = "other_instance",
  [KCP_ANSWER_END_OTHER_START] = "other_start",
  [KCP_ANSWER_END_SAME_START] = "same_start",
  [KCP_ANSWER_END_STARTED_BEFORE] = "started_before",
  [KCP_ANSWER_END_ANSWERED] = "answered",
};

static bool was_there_before (const struct kcp_answer_end_facts *facts, int64_t start_ms);
static enum kcp_answer_end_evidence
find_evidence (const struct kcp_answer_end_facts *facts);

/* Decides whether the answer is whole. An answer of which nothing is known in time is
   not: a caller must not take a part for the whole. */
struct kcp_end_verdict
kcp_answer_end_decide (const struct kcp_answer_end_facts *facts)
{
  struct kcp_end_verdict end = { .evidence = find_evidence (facts) };

  switch (end.evidence)
    {
    case KCP_ANSWER_END_SAME_START:
    case KCP_ANSWER_END_STARTED_BEFORE:
    case KCP_ANSWER_END_ANSWERED:
      end.decision = KCP_ANSWER_END_WHOLE;
      break;
    case KCP_ANSWER_END_REFUSED:
    case KCP_ANSWER_END_ADDRESS_TAKEN:
    case KCP_ANSWER_END_OTHER_INSTANCE:
    case KCP_ANSWER_END_OTHER_START:
      end.decision = KCP_ANSWER_END_CUT_OFF;
      break;
    case KCP_ANSWER_END_NOTHING:
    case KCP_ANSWER_END_EVIDENCE_COUNT:
      end.decision = facts->waited_ns < KCP_ANSWER_END_MAX_WAIT_NS
                         ? KCP_ANSWER_END_ASK_AGAIN
                         : KCP_ANSWER_END_CUT_OFF;
      break;
    }
  return end;
}

/* Returns what the facts show. Evidence against the process outweighs an answer. */
static enum kcp_answer_end_evidence
find_evidence (const struct kcp_answer_end_facts *facts)
{
  if (facts->refused)
    return KCP_ANSWER_END_REFUSED;
  if (facts->taken_start_ms != 0 && !was_there_before (facts, facts->taken_start_ms))
    return KCP_ANSWER_END_ADDRESS_TAKEN;
  if (facts->other_instance)
    return KCP_ANSWER_END_OTHER_INSTANCE;
  if (!facts->answered)
    return KCP_ANSWER_END_NOTHING;
  if (facts->expected_start_ms == 0 || facts->reported_start_ms == 0)
    return KCP_ANSWER_END_ANSWERED;
  if (facts->reported_start_ms == facts->expected_start_ms)
    return KCP_ANSWER_END_SAME_START;
  return was_there_before (facts, facts->reported_start_ms)
             ? KCP_ANSWER_END_STARTED_BEFORE
             : KCP_ANSWER_END_OTHER_START;
}

/* Returns true if a process that started at start_ms was there when the request was sent,
   so that it wrote the answer: the list may learn of a restart late. */
static bool
was_there_before (const struct kcp_answer_end_facts *facts, int64_t start_ms)
{
  return facts->sent_ms != 0
         && start_ms + KCP_ANSWER_END_CLOCK_MARGIN_MS < facts->sent_ms;
}

/* Returns the name of a decision for the log. */
const char *
kcp_answer_end_decision_name (enum kcp_answer_end_decision decision)
{
  return decision_names[decision];
}

/* Returns the name of the evidence for the log. */
const char *
kcp_answer_end_evidence_name (enum kcp_answer_end_evidence evidence)
{
  return evidence_names[evidence];
}
