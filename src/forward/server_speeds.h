/* Computes how fast each server is compared with the others of its service. */
#ifndef KCP_FORWARD_SERVER_SPEEDS_H
#define KCP_FORWARD_SERVER_SPEEDS_H

#include "forward/gateway.h"

void kcp_server_speeds_refresh (struct kcp_gateway *gateway);

#endif
