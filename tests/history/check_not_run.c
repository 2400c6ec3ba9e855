#include "tests/history/history.h"

/* Checks that no call that was answered with not_run was executed, before or after the
   answer. */
char *
history_check_not_run (const struct history *history)
{
  g_autoptr (GHashTable) executed = g_hash_table_new (g_int_hash, g_int_equal);

  for (guint i = 0; i < history->events->len; i++)
    {
      struct history_event *event
          = &g_array_index (history->events, struct history_event, i);

      if (event->kind == HISTORY_EXECUTE)
        g_hash_table_add (executed, &event->call);
    }
  for (guint i = 0; i < history->events->len; i++)
    {
      const struct history_event *event
          = &g_array_index (history->events, struct history_event, i);

      if (event->kind == HISTORY_RETURN && event->result == HISTORY_NOT_RUN
          && g_hash_table_contains (executed, &event->call))
        return g_strdup_printf (
            "call %d of key %s was answered with not_run and executed", event->call,
            event->key);
    }
  return NULL;
}
