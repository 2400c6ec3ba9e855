/* Rolls out the weights that operators requested: acquires the order lease, sends load
   orders to the servers and follows each order until the server has the new weights. */
#ifndef KCP_FORWARD_ROLLOUT_H
#define KCP_FORWARD_ROLLOUT_H

#include "forward/gateway.h"

struct kcp_rollout;

struct kcp_rollout *
kcp_rollout_start (struct kcp_gateway *gateway, const struct kcp_store *store);
void kcp_rollout_stop (struct kcp_rollout *rollout);
void kcp_rollout_schedule_check (struct kcp_rollout *rollout);

#endif
