/* Tells the other VMs of the data center how fast servers begin answers: a VM alone sends
   a server too few requests to learn that. */
#ifndef KCP_FORWARD_MESH_SPEEDS_H
#define KCP_FORWARD_MESH_SPEEDS_H

#include "forward/gateway.h"

void kcp_mesh_speeds_record (struct kcp_gateway *gateway, struct kcp_server *server,
                             int64_t prefill_tokens, int64_t first_byte_us);

#endif
