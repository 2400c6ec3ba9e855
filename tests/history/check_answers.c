#include <string.h>

#include "tests/history/history.h"

static bool was_executed (const struct history *history, guint end_index, const char *key,
                          const char *answer);

/* Checks that every answer that reports an execution matches an earlier execution of the
   same key. */
char *
history_check_answers (const struct history *history)
{
  for (guint i = 0; i < history->events->len; i++)
    {
      const struct history_event *event
          = &g_array_index (history->events, struct history_event, i);

      if (event->kind == HISTORY_RETURN && event->result == HISTORY_RAN
          && !was_executed (history, i, event->key, event->answer))
        return g_strdup_printf ("call %d of key %s got '%s', which no execution returned",
                                event->call, event->key, event->answer);
    }
  return NULL;
}

static bool
was_executed (const struct history *history, guint end_index, const char *key,
              const char *answer)
{
  for (guint i = 0; i < end_index; i++)
    {
      const struct history_event *event
          = &g_array_index (history->events, struct history_event, i);

      if (event->kind == HISTORY_EXECUTE && strcmp (event->key, key) == 0
          && strcmp (event->answer, answer) == 0)
        return true;
    }
  return false;
}
