#include "profile/publish_outcomes.h"

#define OUTCOMES_MAX 1024

/* Initializes an empty table. */
void
kcp_publish_outcomes_init (struct kcp_publish_outcomes *outcomes)
{
  outcomes->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&outcomes->order);
}

/* Frees the memory that the table owns. */
void
kcp_publish_outcomes_clear (struct kcp_publish_outcomes *outcomes)
{
  g_queue_clear (&outcomes->order);
  g_hash_table_unref (outcomes->by_id);
}

/* Adds or replaces an outcome. If the table is full, the oldest outcome is removed. */
void
kcp_publish_outcomes_add (struct kcp_publish_outcomes *outcomes, const char *id,
                          const struct kcp_publish_outcome *outcome)
{
  struct kcp_publish_outcome *existing = g_hash_table_lookup (outcomes->by_id, id);
  char *key;

  if (existing != NULL)
    {
      *existing = *outcome;
      return;
    }
  if (outcomes->order.length == OUTCOMES_MAX)
    g_hash_table_remove (outcomes->by_id, g_queue_pop_head (&outcomes->order));
  key = g_strdup (id);
  g_hash_table_insert (outcomes->by_id, key, g_memdup2 (outcome, sizeof *outcome));
  g_queue_push_tail (&outcomes->order, key);
}

/* Stores the outcome of a publication. Returns false if it is not known. */
bool
kcp_publish_outcomes_find (const struct kcp_publish_outcomes *outcomes, const char *id,
                           struct kcp_publish_outcome *outcome)
{
  const struct kcp_publish_outcome *existing = g_hash_table_lookup (outcomes->by_id, id);

  if (existing == NULL)
    return false;
  *outcome = *existing;
  return true;
}
