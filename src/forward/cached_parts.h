/* Determines where the levels of a prompt's shared prefix are cached, from the servers'
   cache events, from other VMs and from the requests that this VM has sent, and plans
   their transfer between servers. */
#ifndef KCP_FORWARD_CACHED_PARTS_H
#define KCP_FORWARD_CACHED_PARTS_H

#include "forward/choose.h"

int64_t
kcp_cached_prefill_tokens (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                           const struct kcp_server *server, int64_t *repeated);
guint
kcp_cached_levels_max (struct kcp_gateway *gateway, const struct kcp_choice *choice);
void kcp_cached_plan_transfers (struct kcp_gateway *gateway, struct kcp_choice *choice);

#endif
