#include "policy/cache_index.h"

#include <glib.h>
#include <string.h>

#define BUCKET_ENTRIES 32 /* entries for all blocks that share a bucket */

/* One block cached by one server. An entry is valid only while its generation equals
   that of the server. */
struct entry
{
  uint64_t block;
  uint32_t stamp; /* set when the entry is added; the lowest is replaced first */
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
  uint64_t previous_incarnation;
  uint16_t generation;
};

struct kcp_cache_index
{
  struct bucket *buckets;
  uint64_t mask;
  uint32_t stamp;
  GArray *servers;     /* struct server, by slot */
  GHashTable *by_hash; /* hash of the server's id -> slot plus 1 */
};

static kcp_cache_index_slot
find_or_add (struct kcp_cache_index *index, uint64_t server, uint64_t incarnation);
static struct bucket *bucket_of (const struct kcp_cache_index *index, uint64_t block);
static bool is_current (const struct kcp_cache_index *index, const struct entry *entry);
static void drop_entries (struct kcp_cache_index *index, kcp_cache_index_slot slot);
static size_t
extend_leading (const struct kcp_cache_index *index, uint64_t block, int64_t at,
                const kcp_cache_index_slot *slots, size_t count, int64_t *leading);

/* Creates an empty index for at least the given number of entries; each combination of
   block and server takes one entry. The size is rounded up to a power of two and never
   grows. */
struct kcp_cache_index *
kcp_cache_index_new (size_t entries)
{
  struct kcp_cache_index *index = g_new0 (struct kcp_cache_index, 1);
  size_t buckets = 1;

  while (buckets * BUCKET_ENTRIES < entries)
    buckets *= 2;
  index->buckets = g_new0 (struct bucket, buckets);
  index->mask = buckets - 1;
  index->servers = g_array_new (FALSE, TRUE, sizeof (struct server));
  index->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return index;
}

/* Frees the index; NULL is allowed. */
void
kcp_cache_index_free (struct kcp_cache_index *index)
{
  if (index == NULL)
    return;
  g_hash_table_unref (index->by_hash);
  g_array_unref (index->servers);
  g_free (index->buckets);
  g_free (index);
}

/* Finds the slot of a server, given the hashes of its id and of its incarnation. A new
   incarnation removes all entries of the one before. Returns false if the incarnation is
   the one that was replaced: its late events are ignored. Beyond
   KCP_CACHE_INDEX_SERVERS_MAX servers, the last slot is shared and holds the entries of
   the server that used it last. */
bool
kcp_cache_index_find_slot (struct kcp_cache_index *index, uint64_t server,
                           uint64_t incarnation, kcp_cache_index_slot *slot)
{
  struct server *record;

  *slot = find_or_add (index, server, incarnation);
  record = &g_array_index (index->servers, struct server, *slot);
  if (record->incarnation == incarnation && record->server == server)
    return true;
  if (record->previous_incarnation == incarnation && record->server == server)
    return false;
  record->previous_incarnation = record->incarnation;
  record->incarnation = incarnation;
  record->server = server;
  kcp_cache_index_reset (index, *slot);
  return true;
}

/* Removes all entries of a server. */
void
kcp_cache_index_reset (struct kcp_cache_index *index, kcp_cache_index_slot slot)
{
  struct server *server = &g_array_index (index->servers, struct server, slot);

  server->generation++;
  if (server->generation != 0)
    return;
  /* The generation has wrapped around, so entries of old generations could become valid
     again. */
  drop_entries (index, slot);
  server->generation = 1;
}

/* Adds an entry for a block cached by a server. In a full bucket, the oldest entry is
   replaced. */
void
kcp_cache_index_add (struct kcp_cache_index *index, kcp_cache_index_slot slot,
                     uint64_t block)
{
  struct bucket *bucket = bucket_of (index, block);
  struct entry *target = NULL;
  bool target_free = false;

  for (size_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      struct entry *entry = &bucket->entries[i];
      bool current = is_current (index, entry);

      if (current && entry->block == block && entry->slot == slot)
        {
          target = entry;
          break;
        }
      if (!current && !target_free)
        {
          target = entry;
          target_free = true;
        }
      else if (!target_free && (target == NULL || entry->stamp < target->stamp))
        target = entry;
    }
  *target = (struct entry){
    .block = block,
    .stamp = ++index->stamp,
    .slot = slot,
    .generation = g_array_index (index->servers, struct server, slot).generation,
  };
}

/* Removes the entry for a block that a server has evicted. */
void
kcp_cache_index_remove (struct kcp_cache_index *index, kcp_cache_index_slot slot,
                        uint64_t block)
{
  struct bucket *bucket = bucket_of (index, block);

  for (size_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      struct entry *entry = &bucket->entries[i];

      if (entry->block == block && entry->slot == slot)
        entry->generation = 0;
    }
}

/* Adds entries for all blocks of a chain, because the server has computed the prompt or
   is about to. */
void
kcp_cache_index_add_chain (struct kcp_cache_index *index, kcp_cache_index_slot slot,
                           const uint64_t *chain, size_t len)
{
  for (size_t i = 0; i < len; i++)
    kcp_cache_index_add (index, slot, chain[i]);
}

/* Stores in leading, for each of the count servers, the number of leading blocks of the
   chain that the server has cached without a gap according to the index. */
void
kcp_cache_index_count_leading (const struct kcp_cache_index *index, const uint64_t *chain,
                               size_t len, const kcp_cache_index_slot *slots,
                               size_t count, int64_t *leading)
{
  memset (leading, 0, count * sizeof *leading);
  for (size_t i = 0; i < len; i++)
    if (extend_leading (index, chain[i], (int64_t)i, slots, count, leading) == 0)
      return;
}

/* Returns the memory used by the index in bytes. */
size_t
kcp_cache_index_bytes (const struct kcp_cache_index *index)
{
  return sizeof *index + (index->mask + 1) * sizeof (struct bucket)
         + index->servers->len * sizeof (struct server);
}

/* Returns the slot of the server, or of a new one. If the index is full, returns the
   shared last slot. */
static kcp_cache_index_slot
find_or_add (struct kcp_cache_index *index, uint64_t server, uint64_t incarnation)
{
  struct server fresh = { .server = server, .incarnation = incarnation, .generation = 1 };
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (index->by_hash, &server));
  kcp_cache_index_slot slot;

  if (found > 0)
    return (kcp_cache_index_slot)(found - 1);
  slot = (kcp_cache_index_slot)MIN (index->servers->len, KCP_CACHE_INDEX_SERVERS_MAX - 1);
  if (slot < index->servers->len)
    return slot;
  g_array_append_val (index->servers, fresh);
  g_hash_table_insert (index->by_hash, g_memdup2 (&server, sizeof server),
                       GUINT_TO_POINTER (slot + 1u));
  return slot;
}

/* Block identities are hashes, so their low bits select the bucket directly. */
static struct bucket *
bucket_of (const struct kcp_cache_index *index, uint64_t block)
{
  return &index->buckets[block & index->mask];
}

static bool
is_current (const struct kcp_cache_index *index, const struct entry *entry)
{
  return entry->generation != 0
         && entry->generation
                == g_array_index (index->servers, struct server, entry->slot).generation;
}

static void
drop_entries (struct kcp_cache_index *index, kcp_cache_index_slot slot)
{
  for (uint64_t i = 0; i <= index->mask; i++)
    for (size_t at = 0; at < BUCKET_ENTRIES; at++)
      if (index->buckets[i].entries[at].slot == slot)
        index->buckets[i].entries[at].generation = 0;
}

/* Increments leading for each server that has cached the block with number at and all
   blocks before it. Returns the number of these servers. */
static size_t
extend_leading (const struct kcp_cache_index *index, uint64_t block, int64_t at,
                const kcp_cache_index_slot *slots, size_t count, int64_t *leading)
{
  const struct bucket *bucket = bucket_of (index, block);
  size_t extended = 0;

  for (size_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      const struct entry *entry = &bucket->entries[i];

      if (entry->block != block || !is_current (index, entry))
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
