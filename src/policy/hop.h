/* Chooses the VM that sends a request to a server for one that reaches none. */
#ifndef KCP_POLICY_HOP_H
#define KCP_POLICY_HOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_HOP_NONE (-1)

/* Another VM. */
struct kcp_hop_candidate
{
  bool usable;
  bool local;         /* in this VM's data center */
  bool suspected;     /* it recently declined a request, or did not answer */
  unsigned in_flight; /* requests that this VM has passed on to it */
};

int kcp_hop_choose (const struct kcp_hop_candidate *candidates, size_t count,
                    bool prefer_remote, uint64_t random_value);

#endif
