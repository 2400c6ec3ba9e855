/* Index of the prompt blocks that the backend servers are thought to have cached. It maps
   block identities to servers and has a fixed size. Its entries are hints: they are
   corrected by the cached tokens that servers report.

   Not thread-safe: the caller holds a lock. */
#ifndef KCP_POLICY_CACHE_INDEX_H
#define KCP_POLICY_CACHE_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_CACHE_INDEX_SERVERS_MAX 65535

struct kcp_cache_index;

/* Number of a server in the index. It does not change until the index is freed. */
typedef uint16_t kcp_cache_index_slot;

struct kcp_cache_index *kcp_cache_index_new (size_t entries);
void kcp_cache_index_free (struct kcp_cache_index *index);
bool kcp_cache_index_find_slot (struct kcp_cache_index *index, uint64_t server,
                                uint64_t incarnation, kcp_cache_index_slot *slot);
void kcp_cache_index_reset (struct kcp_cache_index *index, kcp_cache_index_slot slot);
void kcp_cache_index_add (struct kcp_cache_index *index, kcp_cache_index_slot slot,
                          uint64_t block);
void kcp_cache_index_remove (struct kcp_cache_index *index, kcp_cache_index_slot slot,
                             uint64_t block);
void kcp_cache_index_add_chain (struct kcp_cache_index *index, kcp_cache_index_slot slot,
                                const uint64_t *chain, size_t len);
void
kcp_cache_index_count_leading (const struct kcp_cache_index *index, const uint64_t *chain,
                               size_t len, const kcp_cache_index_slot *slots,
                               size_t count, int64_t *leading);
size_t kcp_cache_index_bytes (const struct kcp_cache_index *index);

#endif
