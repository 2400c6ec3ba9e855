#include "forward/prefix_memory.h"

struct entry
{
  uint64_t part;
  struct kcp_prefix_belief belief;
};

struct kcp_prefix_memory
{
  size_t capacity;
  GHashTable *entries; /* part -> GList link of order */
  GQueue order;        /* struct entry, most recently used first */
};

/* Returns a new index of at most capacity parts. When it is full, the least recently used
   part is evicted. */
struct kcp_prefix_memory *
kcp_prefix_memory_new (size_t capacity)
{
  struct kcp_prefix_memory *memory = g_new0 (struct kcp_prefix_memory, 1);

  memory->capacity = capacity;
  memory->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&memory->order);
  return memory;
}

/* Frees the index; NULL is allowed. */
void
kcp_prefix_memory_free (struct kcp_prefix_memory *memory)
{
  if (memory == NULL)
    return;
  g_hash_table_unref (memory->entries);
  g_queue_clear_full (&memory->order, g_free);
  g_free (memory);
}

/* Returns the entry of a part and marks it as recently used, or returns NULL. */
struct kcp_prefix_belief *
kcp_prefix_memory_find (struct kcp_prefix_memory *memory, uint64_t part)
{
  GList *link = g_hash_table_lookup (memory->entries, &part);
  struct entry *entry;

  if (link == NULL)
    return NULL;
  entry = link->data;
  g_queue_unlink (&memory->order, link);
  g_queue_push_head_link (&memory->order, link);
  return &entry->belief;
}

/* Returns the entry of a part. Adds an empty one if there is none, and evicts the least
   recently used entry if the index is full. */
struct kcp_prefix_belief *
kcp_prefix_memory_make (struct kcp_prefix_memory *memory, uint64_t part)
{
  struct kcp_prefix_belief *known = kcp_prefix_memory_find (memory, part);
  struct entry *entry;

  if (known != NULL)
    return known;
  if (memory->order.length >= memory->capacity)
    {
      entry = g_queue_pop_tail (&memory->order);
      g_hash_table_remove (memory->entries, &entry->part);
      g_free (entry);
    }
  entry = g_new0 (struct entry, 1);
  entry->part = part;
  g_queue_push_head (&memory->order, entry);
  g_hash_table_insert (memory->entries, &entry->part, memory->order.head);
  return &entry->belief;
}

/* Records that the part was sent to the server at now_ns. Replaces the holder that was
   used least recently if all are taken. */
void
kcp_prefix_belief_add (struct kcp_prefix_belief *belief, uint64_t server, int64_t now_ns)
{
  struct kcp_prefix_holder *oldest = &belief->holders[0];

  for (size_t i = 0; i < KCP_PREFIX_HOLDERS_MAX; i++)
    {
      struct kcp_prefix_holder *holder = &belief->holders[i];

      if (holder->server == server)
        {
          holder->used_ns = now_ns;
          return;
        }
      if (holder->server == 0 || holder->used_ns < oldest->used_ns)
        oldest = holder;
      if (oldest->server == 0)
        break;
    }
  oldest->server = server;
  oldest->used_ns = now_ns;
}

/* Returns true if the part was sent to the server at or after since_ns. */
bool
kcp_prefix_belief_has (const struct kcp_prefix_belief *belief, uint64_t server,
                       int64_t since_ns)
{
  for (size_t i = 0; i < KCP_PREFIX_HOLDERS_MAX; i++)
    if (belief->holders[i].server == server)
      return belief->holders[i].used_ns >= since_ns;
  return false;
}
