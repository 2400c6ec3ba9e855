#include "forward/known_entries.h"

#include <glib.h>

#define REMOVED_MAX 4096u /* servers that are remembered after their removal */

struct kcp_known_entries
{
  GHashTable *by_id; /* id -> struct kcp_known_entry */
  GQueue removed;    /* char *, ids of removed entries, oldest first; may be back */
};

/* Creates an empty table. */
struct kcp_known_entries *
kcp_known_entries_new (void)
{
  struct kcp_known_entries *entries = g_new0 (struct kcp_known_entries, 1);

  entries->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&entries->removed);
  return entries;
}

/* Frees the table. */
void
kcp_known_entries_free (struct kcp_known_entries *entries)
{
  g_hash_table_unref (entries->by_id);
  g_queue_clear_full (&entries->removed, g_free);
  g_free (entries);
}

/* Returns what is known of the entries with this id, or NULL. */
struct kcp_known_entry *
kcp_known_entries_find (const struct kcp_known_entries *entries, const char *id)
{
  return g_hash_table_lookup (entries->by_id, id);
}

/* Records an entry that is not older than the known one, read at the Unix time now_ms. */
void
kcp_known_entries_put (struct kcp_known_entries *entries, const char *id,
                       const struct kcp_entry_order *entry, int64_t now_ms)
{
  struct kcp_known_entry *known = kcp_known_entries_find (entries, id);

  if (known == NULL)
    {
      known = g_new0 (struct kcp_known_entry, 1);
      known->order.sequence = KCP_ENTRY_UNNUMBERED;
      g_hash_table_insert (entries->by_id, g_strdup (id), known);
    }
  kcp_entry_order_update (known, entry, now_ms);
}

/* Records the removal of a known entry. The oldest removed one is forgotten if there are
   too many. */
void
kcp_known_entries_remove (struct kcp_known_entries *entries, const char *id,
                          int64_t offset)
{
  struct kcp_known_entry *known = kcp_known_entries_find (entries, id);
  g_autofree char *oldest = NULL;

  if (known == NULL)
    return;
  known->order.offset = offset;
  if (known->removed)
    return;
  known->removed = true;
  g_queue_push_tail (&entries->removed, g_strdup (id));
  if (entries->removed.length <= REMOVED_MAX)
    return;
  oldest = g_queue_pop_head (&entries->removed);
  known = kcp_known_entries_find (entries, oldest);
  if (known != NULL && known->removed)
    g_hash_table_remove (entries->by_id, oldest);
}

/* Forgets the offsets of all records, which mean other records in the store's new era. */
void
kcp_known_entries_forget_offsets (struct kcp_known_entries *entries)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entries->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct kcp_known_entry *)value)->order.offset = KCP_ENTRY_NO_OFFSET;
}
