/* Where the levels of a prompt's shared prefix are kept, as far as this VM knows from
   servers' events, other VMs and its own sendings, and how they are moved. */
#ifndef KCP_FORWARD_CACHED_PARTS_H
#define KCP_FORWARD_CACHED_PARTS_H

#include "forward/choose.h"

char *kcp_cached_space (const struct kcp_choice *choice, int64_t version);
uint64_t kcp_part_key (const char *cache_space, const char *part);
int64_t kcp_cached_unread (struct kcp_gateway *gateway, const struct kcp_choice *choice,
                           const struct kcp_server *server, int64_t *repeated);
guint kcp_cached_anywhere (struct kcp_gateway *gateway, const struct kcp_choice *choice);
void kcp_cached_plan (struct kcp_gateway *gateway, struct kcp_choice *choice);

#endif
