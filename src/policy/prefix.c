#include "policy/prefix.h"

#include <xxhash.h>

#define BLOCK_BYTES ((size_t)KCP_BLOCK_TOKENS * KCP_BYTES_PER_TOKEN)

static uint64_t hash_seed (const struct kcp_prefix_seed *seed);
static uint64_t mix (uint64_t a, uint64_t b);

/* Returns a 64-bit hash for each complete block of the prompt. A partial last block has
   no hash. */
GArray *
kcp_prefix_hash (struct kcp_str prompt)
{
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (size_t at = 0; at + BLOCK_BYTES <= prompt.len; at += BLOCK_BYTES)
    {
      uint64_t hash = XXH3_64bits (prompt.data + at, BLOCK_BYTES);

      g_array_append_val (hashes, hash);
    }
  return hashes;
}

/* Returns the identity of each block: a hash chain that starts from the seed. Two
   identities are equal only if the prompts up to the end of the block, the team, the
   model, the weights version and the adapter are equal. */
GArray *
kcp_prefix_chain (const struct kcp_prefix_seed *seed, const GArray *hashes)
{
  GArray *chain = g_array_sized_new (FALSE, FALSE, sizeof (uint64_t), hashes->len);
  uint64_t link = hash_seed (seed);

  for (guint i = 0; i < hashes->len; i++)
    {
      link = mix (link, g_array_index (hashes, uint64_t, i));
      g_array_append_val (chain, link);
    }
  return chain;
}

/* Estimates the number of tokens of a prompt. */
int64_t
kcp_prefix_tokens (struct kcp_str prompt)
{
  return (int64_t)(prompt.len + KCP_BYTES_PER_TOKEN - 1) / KCP_BYTES_PER_TOKEN;
}

static uint64_t
hash_seed (const struct kcp_prefix_seed *seed)
{
  const struct kcp_str *parts[]
      = { &seed->team, &seed->model, &seed->weights, &seed->adapter };
  uint64_t hash = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    hash = mix (hash, XXH3_64bits (parts[i]->data, parts[i]->len));
  return hash;
}

static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };

  return XXH3_64bits (pair, sizeof pair);
}
