/* Keeps blocked requests and parts of prompts in the platform's store, so that VMs that
   all restart at once still know them: the VM that finds that one is to be blocked adds
   it there, and each VM reads them once after its start. Used on the event loop's thread
   only. */
#ifndef KCP_FORWARD_BLOCKED_STORE_H
#define KCP_FORWARD_BLOCKED_STORE_H

#include "forward/gateway.h"

struct kcp_blocked_store;

struct kcp_blocked_store *
kcp_blocked_store_start (struct kcp_gateway *gateway, const struct kcp_store *store);
void kcp_blocked_store_stop (struct kcp_blocked_store *blocked);
void kcp_blocked_store_add (struct kcp_blocked_store *blocked, struct kcp_suspect suspect,
                            int64_t remaining_ms);

#endif
