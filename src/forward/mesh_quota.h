/* Connects the quotas of this VM with those of the others: each team's quota is granted
   by the first live VM in the team's rendezvous order, which the others ask by datagrams.
 */
#ifndef KCP_FORWARD_MESH_QUOTA_H
#define KCP_FORWARD_MESH_QUOTA_H

#include "forward/gateway.h"

struct kcp_quotas *kcp_mesh_quotas_new (struct kcp_gateway *gateway);
void kcp_mesh_update_quotas (struct kcp_gateway *gateway);

#endif
