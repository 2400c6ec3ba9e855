/* Decides which version of a model's weights a server is believed to have. The result
   depends on the arguments alone.

   Load pattern: orders and their effects are learned from the servers' list, answers,
   reports and other VMs, each with a delay of its own. Versions nearly always rise, so a
   higher one is believed at once, whatever its source. But an order that was carried out
   late, after the server has started again, takes a server back to older weights. What
   shows a lower version is believed if it describes a moment after the last one at which
   the higher version was seen. After such a fall other VMs may still name the higher
   version for a while; a version that the server has loaded again is shown by the server
   itself. */
#ifndef KCP_POLICY_WEIGHTS_BELIEF_H
#define KCP_POLICY_WEIGHTS_BELIEF_H

#include <stdbool.h>
#include <stdint.h>

/* What is believed of a server's version of a model's weights. Times in nanoseconds. */
struct kcp_weights_belief
{
  int64_t version;
  int64_t seen_ns;   /* latest moment at which the server may still have had it */
  int64_t fell_from; /* the version before the last fall; 0: it never fell */
  int64_t fell_ns;   /* when that fall was believed */
};

/* What shows a version: the server had it at some moment from from_ns to until_ns. */
struct kcp_weights_evidence
{
  int64_t version;
  int64_t from_ns;
  int64_t until_ns;
};

enum kcp_weights_change
{
  KCP_WEIGHTS_SAME,
  KCP_WEIGHTS_ROSE,
  KCP_WEIGHTS_FELL
};

enum kcp_weights_change
kcp_weights_belief_apply (struct kcp_weights_belief *belief,
                          const struct kcp_weights_evidence *evidence);
bool kcp_weights_belief_accepts_told (const struct kcp_weights_belief *belief,
                                      int64_t version, int64_t now_ns);

#endif
