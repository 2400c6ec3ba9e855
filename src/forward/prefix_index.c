#include "forward/prefix_index.h"

struct node
{
  uint64_t part;
  struct kcp_prefix_entry entry;
};

struct kcp_prefix_index
{
  size_t capacity;
  GHashTable *entries; /* part -> GList link of order */
  GQueue order;        /* struct node, most recently used first */
};

/* Creates an index of at most capacity parts. When it is full, the least recently used
   part is evicted. */
struct kcp_prefix_index *
kcp_prefix_index_new (size_t capacity)
{
  struct kcp_prefix_index *index = g_new0 (struct kcp_prefix_index, 1);

  index->capacity = capacity;
  index->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&index->order);
  return index;
}

/* Frees the index; NULL is allowed. */
void
kcp_prefix_index_free (struct kcp_prefix_index *index)
{
  if (index == NULL)
    return;
  g_hash_table_unref (index->entries);
  g_queue_clear_full (&index->order, g_free);
  g_free (index);
}

/* Returns the entry of a part and marks it as recently used, or returns NULL. */
struct kcp_prefix_entry *
kcp_prefix_index_find (struct kcp_prefix_index *index, uint64_t part)
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
struct kcp_prefix_entry *
kcp_prefix_index_ensure (struct kcp_prefix_index *index, uint64_t part)
{
  struct kcp_prefix_entry *known = kcp_prefix_index_find (index, part);
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
kcp_prefix_entry_add_holder (struct kcp_prefix_entry *entry, uint64_t server,
                             int64_t now_ns)
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
kcp_prefix_entry_has_holder (const struct kcp_prefix_entry *entry, uint64_t server,
                             int64_t since_ns)
{
  for (size_t i = 0; i < KCP_PREFIX_HOLDERS_MAX; i++)
    if (entry->holders[i].server == server)
      return entry->holders[i].used_ns >= since_ns;
  return false;
}
