#include "forward/prefix_memory.h"

struct node
{
  uint64_t part;
  struct kcp_prefix_belief entry;
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
  struct kcp_prefix_memory *index = g_new0 (struct kcp_prefix_memory, 1);

  index->capacity = capacity;
  index->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&index->order);
  return index;
}

/* Frees the index; NULL is allowed. */
void
kcp_prefix_memory_free (struct kcp_prefix_memory *index)
{
  if (index == NULL)
    return;
  g_hash_table_unref (index->entries);
  g_queue_clear_full (&index->order, g_free);
  g_free (index);
}

/* Returns the entry of a part and marks it as recently used, or returns NULL. */
struct kcp_prefix_belief *
kcp_prefix_memory_find (struct kcp_prefix_memory *index, uint64_t part)
{
  GList *link = g_hash_table_lookup (index->entries, &part);
  struct node *node;

  if (link == NULL)
    return NULL;
  node = link->data;
  g_queue_unlink (&index->order, link);
  g_queue_push_head_link (&index->order, link);
  return &node->entry;
}

/* Returns the entry of a part. Adds an empty one if there is none, and evicts the least
   recently used entry if the index is full. */
struct kcp_prefix_belief *
kcp_prefix_memory_make (struct kcp_prefix_memory *index, uint64_t part)
{
  struct kcp_prefix_belief *known = kcp_prefix_memory_find (index, part);
  struct node *node;

  if (known != NULL)
    return known;
  if (index->order.length >= index->capacity)
    {
      node = g_queue_pop_tail (&index->order);
      g_hash_table_remove (index->entries, &node->part);
      g_free (node);
    }
  node = g_new0 (struct node, 1);
  node->part = part;
  g_queue_push_head (&index->order, node);
  g_hash_table_insert (index->entries, &node->part, index->order.head);
  return &node->entry;
}

/* Records that the part was sent to the server at now_ns. Replaces the holder that was
   used least recently if all are taken. */
void
kcp_prefix_belief_add (struct kcp_prefix_belief *entry, uint64_t server, int64_t now_ns)
{
  struct kcp_prefix_holder *oldest = &entry->holders[0];

  for (size_t i = 0; i < KCP_PREFIX_HOLDERS_MAX; i++)
    {
      struct kcp_prefix_holder *holder = &entry->holders[i];

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
kcp_prefix_belief_has (const struct kcp_prefix_belief *entry, uint64_t server,
                       int64_t since_ns)
{
  for (size_t i = 0; i < KCP_PREFIX_HOLDERS_MAX; i++)
    if (entry->holders[i].server == server)
      return entry->holders[i].used_ns >= since_ns;
  return false;
}
