#include "policy/resume_version.h"

static const char *const names[] = {
  [KCP_RESUME_AT_RECORDED] = "recorded",  [KCP_RESUME_AT_ONLY] = "only_version",
  [KCP_RESUME_LOOK_AGAIN] = "look_again", [KCP_RESUME_PASS_ON] = "pass_on",
  [KCP_RESUME_REFUSE] = "refuse",
};

/* Decides how a stream that its caller resumes goes on. */
enum kcp_resume_decision
kcp_resume_decide (const struct kcp_resume_facts *facts)
{
  if (facts->contradicted)
    return KCP_RESUME_REFUSE;
  if (facts->recorded)
    return KCP_RESUME_AT_RECORDED;
  if (!facts->store_answered)
    return KCP_RESUME_PASS_ON;
  if (facts->versions == 1)
    return KCP_RESUME_AT_ONLY;
  if (facts->versions > 1 && !facts->looked_before)
    return KCP_RESUME_LOOK_AGAIN;
  return KCP_RESUME_REFUSE;
}

/* Returns the name of a decision for the log. */
const char *
kcp_resume_decision_name (enum kcp_resume_decision decision)
{
  return names[decision];
}
