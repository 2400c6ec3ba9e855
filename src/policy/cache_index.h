/* What this VM believes to be cached where: an index from block identity to servers, of
   fixed size. Beliefs are hints; what a server reports as cached corrects them. Not
   thread-safe: the caller holds a lock. */
#ifndef KCP_POLICY_CACHE_INDEX_H
#define KCP_POLICY_CACHE_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_CACHE_INDEX_SERVERS_MAX 65535

struct kcp_cache_index;

/* A server's number in the index. It stays the same for as long as the index lives. */
typedef uint16_t kcp_cache_index_slot;

struct kcp_cache_index *kcp_cache_index_new (size_t entries);
void kcp_cache_index_free (struct kcp_cache_index *beliefs);
bool kcp_cache_index_find_slot (struct kcp_cache_index *beliefs, uint64_t server,
                                uint64_t incarnation, kcp_cache_index_slot *slot);
void kcp_cache_index_reset (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot);
void kcp_cache_index_add (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot,
                          uint64_t block);
void kcp_cache_index_remove (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot,
                             uint64_t block);
void
kcp_cache_index_add_chain (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot,
                           const uint64_t *chain, size_t len);
void kcp_cache_index_count_leading (const struct kcp_cache_index *beliefs,
                                    const uint64_t *chain, size_t len,
                                    const kcp_cache_index_slot *slots, size_t count,
                                    int64_t *leading);
size_t kcp_cache_index_bytes (const struct kcp_cache_index *beliefs);

#endif
