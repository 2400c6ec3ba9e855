/* Tells the other VMs of the data center which servers failed requests of this VM, so
   that not each of them has to find out by requests of its own: a VM sends a server few
   requests, and one to a server that does not accept connections takes long to fail. */
#ifndef KCP_FORWARD_MESH_OUTCOMES_H
#define KCP_FORWARD_MESH_OUTCOMES_H

#include "forward/gateway.h"

void kcp_mesh_outcomes_record (struct kcp_gateway *gateway, struct kcp_server *server,
                               enum kcp_server_outcome outcome);

#endif
