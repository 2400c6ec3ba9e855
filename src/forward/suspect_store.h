/* Keeps what is known of suspects in the platform's store, so that VMs that all restart
   at once go on counting: a VM writes the suspects of each crash that it found, in one
   record, and those that it has cleared. Each VM reads the records once after its start.
   Facts are merged as those of other VMs are, so that their order does not matter, and
   one that was cleared does not come back. Used on the event loop's thread only. */
#ifndef KCP_FORWARD_SUSPECT_STORE_H
#define KCP_FORWARD_SUSPECT_STORE_H

#include "forward/gateway.h"

struct kcp_suspect_store;

struct kcp_suspect_store *
kcp_suspect_store_start (struct kcp_gateway *gateway, const struct kcp_store *store);
void kcp_suspect_store_stop (struct kcp_suspect_store *suspects);
void kcp_suspect_store_add_crash (struct kcp_suspect_store *suspects,
                                  struct kcp_suspect suspect);
void kcp_suspect_store_add_cleared (struct kcp_suspect_store *suspects,
                                    struct kcp_suspect suspect);

#endif
