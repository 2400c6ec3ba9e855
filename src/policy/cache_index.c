#include "policy/cache_index.h"

#include <glib.h>
#include <string.h>

#define BUCKET_ENTRIES 32 /* holders of all blocks that share a bucket */

/* One block held by one server. An entry counts only while its generation is the
   server's. */
struct entry
{
  uint64_t block;
  uint32_t stamp; /* of its last addition; the least is replaced first */
  uint16_t slot;
  uint16_t generation; /* 0: free */
};

struct bucket
{
  struct entry entries[BUCKET_ENTRIES];
};

struct server
{
  uint64_t server;
  uint64_t incarnation;
  uint64_t dead; /* the incarnation before */
  uint16_t generation;
};

struct kcp_cache_index
{
  struct bucket *buckets;
  uint64_t mask;
  uint32_t stamp;
  GArray *servers;     /* struct server, by slot */
  GHashTable *by_hash; /* hash of the server's id, its slot plus 1 */
};

static kcp_cache_index_slot
find_or_add (struct kcp_cache_index *beliefs, uint64_t server, uint64_t incarnation);
static struct bucket *bucket_of (const struct kcp_cache_index *beliefs, uint64_t block);
static bool is_current (const struct kcp_cache_index *beliefs, const struct entry *entry);
static void drop_entries (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot);
static size_t extend (const struct kcp_cache_index *beliefs, uint64_t block, int64_t at,
                      const kcp_cache_index_slot *slots, size_t count, int64_t *leading);

/* Makes an empty index with room for at least so many entries, one for each block and
   server. The size is rounded up to a power of two and never grows. */
struct kcp_cache_index *
kcp_cache_index_new (size_t entries)
{
  struct kcp_cache_index *beliefs = g_new0 (struct kcp_cache_index, 1);
  size_t buckets = 1;

  while (buckets * BUCKET_ENTRIES < entries)
    buckets *= 2;
  beliefs->buckets = g_new0 (struct bucket, buckets);
  beliefs->mask = buckets - 1;
  beliefs->servers = g_array_new (FALSE, TRUE, sizeof (struct server));
  beliefs->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return beliefs;
}

/* Frees the index; NULL is allowed. */
void
kcp_cache_index_free (struct kcp_cache_index *beliefs)
{
  if (beliefs == NULL)
    return;
  g_hash_table_unref (beliefs->by_hash);
  g_array_unref (beliefs->servers);
  g_free (beliefs->buckets);
  g_free (beliefs);
}

/* Finds the slot of a server, given the hashes of its id and of its incarnation. All that
   was believed of an earlier incarnation is forgotten. False if this one is known to be
   dead: what is said of it late changes nothing. Past KCP_CACHE_INDEX_SERVERS_MAX servers
   the last slot is shared, and holds what was said of whichever server used it last. */
bool
kcp_cache_index_find_slot (struct kcp_cache_index *beliefs, uint64_t server,
                           uint64_t incarnation, kcp_cache_index_slot *slot)
{
  struct server *known;

  *slot = find_or_add (beliefs, server, incarnation);
  known = &g_array_index (beliefs->servers, struct server, *slot);
  if (known->incarnation == incarnation && known->server == server)
    return true;
  if (known->dead == incarnation && known->server == server)
    return false;
  known->dead = known->incarnation;
  known->incarnation = incarnation;
  known->server = server;
  kcp_cache_index_reset (beliefs, *slot);
  return true;
}

/* Forgets all that is believed of a server. */
void
kcp_cache_index_reset (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot)
{
  struct server *server = &g_array_index (beliefs->servers, struct server, slot);

  server->generation++;
  if (server->generation != 0)
    return;
  drop_entries (beliefs, slot);
  server->generation = 1;
}

/* Records that a server holds a block. In a full bucket the oldest entry is replaced. */
void
kcp_cache_index_add (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot,
                     uint64_t block)
{
  struct bucket *bucket = bucket_of (beliefs, block);
  struct entry *chosen = NULL;
  bool chosen_free = false;

  for (size_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      struct entry *entry = &bucket->entries[i];
      bool current = is_current (beliefs, entry);

      if (current && entry->block == block && entry->slot == slot)
        {
          chosen = entry;
          break;
        }
      if (!current && !chosen_free)
        {
          chosen = entry;
          chosen_free = true;
        }
      else if (!chosen_free && (chosen == NULL || entry->stamp < chosen->stamp))
        chosen = entry;
    }
  *chosen = (struct entry){
    .block = block,
    .stamp = ++beliefs->stamp,
    .slot = slot,
    .generation = g_array_index (beliefs->servers, struct server, slot).generation,
  };
}

/* Records that a server no longer holds a block. */
void
kcp_cache_index_remove (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot,
                        uint64_t block)
{
  struct bucket *bucket = bucket_of (beliefs, block);

  for (size_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      struct entry *entry = &bucket->entries[i];

      if (entry->block == block && entry->slot == slot)
        entry->generation = 0;
    }
}

/* Records that a server holds all blocks of a chain, since it has computed the prompt or
   is about to. */
void
kcp_cache_index_add_chain (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot,
                           const uint64_t *chain, size_t len)
{
  for (size_t i = 0; i < len; i++)
    kcp_cache_index_add (beliefs, slot, chain[i]);
}

/* Stores for each of count servers how many leading blocks of the chain it is believed to
   hold without a gap. */
void
kcp_cache_index_count_leading (const struct kcp_cache_index *beliefs,
                               const uint64_t *chain, size_t len,
                               const kcp_cache_index_slot *slots, size_t count,
                               int64_t *leading)
{
  memset (leading, 0, count * sizeof *leading);
  for (size_t i = 0; i < len; i++)
    if (extend (beliefs, chain[i], (int64_t)i, slots, count, leading) == 0)
      return;
}

/* Returns the memory that the index takes, in bytes. */
size_t
kcp_cache_index_bytes (const struct kcp_cache_index *beliefs)
{
  return sizeof *beliefs + (beliefs->mask + 1) * sizeof (struct bucket)
         + beliefs->servers->len * sizeof (struct server);
}

static kcp_cache_index_slot
find_or_add (struct kcp_cache_index *beliefs, uint64_t server, uint64_t incarnation)
{
  struct server fresh = { .server = server, .incarnation = incarnation, .generation = 1 };
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (beliefs->by_hash, &server));
  kcp_cache_index_slot slot;

  if (found > 0)
    return (kcp_cache_index_slot)(found - 1);
  slot = (kcp_cache_index_slot)MIN (beliefs->servers->len,
                                    KCP_CACHE_INDEX_SERVERS_MAX - 1);
  if (slot < beliefs->servers->len)
    return slot;
  g_array_append_val (beliefs->servers, fresh);
  g_hash_table_insert (beliefs->by_hash, g_memdup2 (&server, sizeof server),
                       GUINT_TO_POINTER (slot + 1u));
  return slot;
}

/* Block identities are hashes, so that their low bits serve as they are. */
static struct bucket *
bucket_of (const struct kcp_cache_index *beliefs, uint64_t block)
{
  return &beliefs->buckets[block & beliefs->mask];
}

static bool
is_current (const struct kcp_cache_index *beliefs, const struct entry *entry)
{
  return entry->generation != 0
         && entry->generation
                == g_array_index (beliefs->servers, struct server, entry->slot)
                       .generation;
}

static void
drop_entries (struct kcp_cache_index *beliefs, kcp_cache_index_slot slot)
{
  for (uint64_t i = 0; i <= beliefs->mask; i++)
    for (size_t at = 0; at < BUCKET_ENTRIES; at++)
      if (beliefs->buckets[i].entries[at].slot == slot)
        beliefs->buckets[i].entries[at].generation = 0;
}

/* Counts block number at for the servers that hold it and all before it; returns how many
   these are. */
static size_t
extend (const struct kcp_cache_index *beliefs, uint64_t block, int64_t at,
        const kcp_cache_index_slot *slots, size_t count, int64_t *leading)
{
  const struct bucket *bucket = bucket_of (beliefs, block);
  size_t extended = 0;

  for (size_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      const struct entry *entry = &bucket->entries[i];

      if (entry->block != block || !is_current (beliefs, entry))
        continue;
      for (size_t server = 0; server < count; server++)
        if (slots[server] == entry->slot && leading[server] == at)
          {
            leading[server]++;
            extended++;
          }
    }
  return extended;
}
