/* Transport for messages between VMs: ONC RPC over UDP with a single procedure that sends
   no replies. No function blocks on another VM. */
#ifndef KCP_PEER_RPC_LINK_H
#define KCP_PEER_RPC_LINK_H

#include "base/error.h"
#include "peer/fact.h"
#include "peer/gen/wire.h"

/* Called for each datagram that holds a valid call of the message procedure. */
typedef void kcp_rpc_receive_handler (void *user, const struct kcp_wire_sealed *sealed);
/* Called for each datagram that is not a call of this program or cannot be decoded. */
typedef void kcp_rpc_reject_handler (void *user);

struct kcp_rpc_events
{
  kcp_rpc_receive_handler *receive;
  kcp_rpc_reject_handler *reject;
  void *user;
};

struct kcp_rpc_link;

struct kcp_rpc_link *
kcp_rpc_link_open (const char *address, uint16_t port,
                   const struct kcp_rpc_events *events, struct kcp_error *error);
void kcp_rpc_link_close (struct kcp_rpc_link *link);
uint16_t kcp_rpc_link_port (const struct kcp_rpc_link *link);
int kcp_rpc_link_fd (const struct kcp_rpc_link *link);
void kcp_rpc_link_serve (struct kcp_rpc_link *link);
bool kcp_rpc_link_send (struct kcp_rpc_link *link, const struct kcp_vm_endpoint *to,
                        struct kcp_wire_sealed *sealed);

#endif
