/* Computes hash chains over the blocks of a prompt. They identify the blocks in the cache
   index. */
#ifndef KCP_POLICY_PREFIX_H
#define KCP_POLICY_PREFIX_H

#include <glib.h>

#include "base/str.h"

#define KCP_BLOCK_TOKENS    1000 /* tokens per cached block */
#define KCP_BYTES_PER_TOKEN 4    /* estimate for prompt text */

/* What the identity of a cached block depends on in addition to the prompt. */
struct kcp_prefix_seed
{
  struct kcp_str team;
  struct kcp_str model;
  struct kcp_str weights;
  struct kcp_str adapter;
};

GArray *kcp_prefix_hash (struct kcp_str prompt);
GArray *kcp_prefix_chain (const struct kcp_prefix_seed *seed, const GArray *hashes);
int64_t kcp_prefix_tokens (struct kcp_str prompt);

#endif
