/* Replicates between VMs which requests are suspected of crashing backend servers. */
#ifndef KCP_CMD_SHARE_SUSPECTS_H
#define KCP_CMD_SHARE_SUSPECTS_H

#include "peer/peer.h"
#include "request/suspects.h"

void kcp_share_suspects (struct kcp_suspects *suspects, struct kcp_peer *peer);

#endif
