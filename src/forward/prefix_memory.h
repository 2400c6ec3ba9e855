/* Remembers where this VM has lately sent prompts by the parts that they share, to place
   and to fetch by it. Beliefs only: servers drop parts when their memory runs out. */
#ifndef KCP_FORWARD_PREFIX_MEMORY_H
#define KCP_FORWARD_PREFIX_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define KCP_PREFIX_HOLDERS_MAX 6

struct kcp_prefix_holder
{
  uint64_t server; /* hash of its id and start; 0: none */
  int64_t used_ns;
};

struct kcp_prefix_belief
{
  struct kcp_prefix_holder holders[KCP_PREFIX_HOLDERS_MAX];
  int64_t saved_ns; /* when a server was last told to save it to the store; 0: never */
};

struct kcp_prefix_memory;

struct kcp_prefix_memory *kcp_prefix_memory_new (size_t capacity);
void kcp_prefix_memory_free (struct kcp_prefix_memory *memory);
struct kcp_prefix_belief *
kcp_prefix_memory_find (struct kcp_prefix_memory *memory, uint64_t part);
struct kcp_prefix_belief *
kcp_prefix_memory_make (struct kcp_prefix_memory *memory, uint64_t part);
void
kcp_prefix_belief_add (struct kcp_prefix_belief *belief, uint64_t server, int64_t now_ns);
bool kcp_prefix_belief_has (const struct kcp_prefix_belief *belief, uint64_t server,
                            int64_t since_ns);

#endif
