#include "policy/weights_belief.h"

#include "base/clock.h"

/* Other VMs may name a version for so long after the server has lost it. */
#define TOLD_LATE_NS (8 * KCP_NS_PER_S)

/* Applies evidence that comes from the server itself. */
enum kcp_weights_change
kcp_weights_belief_apply (struct kcp_weights_belief *belief,
                          const struct kcp_weights_evidence *evidence)
{
  if (evidence->version == belief->version)
    {
      if (evidence->until_ns > belief->seen_ns)
        belief->seen_ns = evidence->until_ns;
      return KCP_WEIGHTS_SAME;
    }
  if (evidence->version > belief->version)
    {
      if (evidence->version <= belief->fell_from && evidence->from_ns <= belief->fell_ns)
        return KCP_WEIGHTS_SAME;
      belief->version = evidence->version;
      belief->seen_ns = evidence->until_ns;
      return KCP_WEIGHTS_ROSE;
    }
  if (evidence->from_ns <= belief->seen_ns)
    return KCP_WEIGHTS_SAME;
  belief->fell_from = belief->version;
  belief->fell_ns = evidence->until_ns;
  belief->version = evidence->version;
  belief->seen_ns = evidence->until_ns;
  return KCP_WEIGHTS_FELL;
}

/* Returns true if a version that another VM tells at now_ns is believed: a higher one,
   unless the server has fallen from it so lately that the other VM may not know. */
bool
kcp_weights_belief_accepts_told (const struct kcp_weights_belief *belief, int64_t version,
                                 int64_t now_ns)
{
  if (version <= belief->version)
    return false;
  return version > belief->fell_from || now_ns - belief->fell_ns > TOLD_LATE_NS;
}
