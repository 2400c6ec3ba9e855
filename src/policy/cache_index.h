/* What this VM believes to be cached where: an index from block identity to servers, of
   fixed size. Beliefs are hints; what a server reports as cached corrects them. Not
   thread-safe: the caller holds a lock. */
#ifndef KCP_POLICY_BELIEFS_H
#define KCP_POLICY_BELIEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_BELIEFS_SERVERS_MAX 65535

struct kcp_beliefs;

/* A server's number in the index. It stays the same for as long as the index lives. */
typedef uint16_t kcp_belief_slot;

struct kcp_beliefs *kcp_beliefs_new (size_t entries);
void kcp_beliefs_free (struct kcp_beliefs *beliefs);
bool kcp_beliefs_slot (struct kcp_beliefs *beliefs, uint64_t server, uint64_t incarnation,
                       kcp_belief_slot *slot);
void kcp_beliefs_reset (struct kcp_beliefs *beliefs, kcp_belief_slot slot);
void kcp_beliefs_add (struct kcp_beliefs *beliefs, kcp_belief_slot slot, uint64_t block);
void
kcp_beliefs_remove (struct kcp_beliefs *beliefs, kcp_belief_slot slot, uint64_t block);
void kcp_beliefs_learn (struct kcp_beliefs *beliefs, kcp_belief_slot slot,
                        const uint64_t *chain, size_t len);
void
kcp_beliefs_leading (const struct kcp_beliefs *beliefs, const uint64_t *chain, size_t len,
                     const kcp_belief_slot *slots, size_t count, int64_t *leading);
size_t kcp_beliefs_bytes (const struct kcp_beliefs *beliefs);

#endif
