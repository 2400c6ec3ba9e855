#include <string.h>

#include "tests/history/history.h"

/* Checks that no key was executed twice within window_ms milliseconds. */
char *
history_check_once (const struct history *history, int64_t window_ms)
{
  g_autoptr (GHashTable) last = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < history->events->len; i++)
    {
      struct history_event *event
          = &g_array_index (history->events, struct history_event, i);
      const struct history_event *previous;

      if (event->kind != HISTORY_EXECUTE)
        continue;
      previous = g_hash_table_lookup (last, event->key);
      if (previous != NULL && event->at_ms - previous->at_ms <= window_ms)
        return g_strdup_printf ("key %s was executed by call %d and again by call %d",
                                event->key, previous->call, event->call);
      g_hash_table_replace (last, event->key, event);
    }
  return NULL;
}
