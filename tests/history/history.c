#include "tests/history/history.h"

static void
add_event (struct history *history, enum history_kind kind, int64_t at_ms, int call,
           const char *key, enum history_result result, const char *answer);

/* Creates an empty history. */
struct history *
history_new (void)
{
  struct history *history = g_new0 (struct history, 1);

  history->events = g_array_new (FALSE, TRUE, sizeof (struct history_event));
  return history;
}

/* Frees a history. */
void
history_free (struct history *history)
{
  g_array_unref (history->events);
  g_free (history);
}

/* Records that a caller made a call. */
void
history_invoke (struct history *history, int64_t at_ms, int call, const char *key)
{
  add_event (history, HISTORY_INVOKE, at_ms, call, key, HISTORY_UNKNOWN, "");
}

/* Records that a backend server executed a call. */
void
history_execute (struct history *history, int64_t at_ms, int call, const char *key,
                 const char *answer)
{
  add_event (history, HISTORY_EXECUTE, at_ms, call, key, HISTORY_RAN, answer);
}

/* Records the answer that a caller received. answer is empty unless the call ran. */
void
history_return (struct history *history, int64_t at_ms, int call, const char *key,
                enum history_result result, const char *answer)
{
  add_event (history, HISTORY_RETURN, at_ms, call, key, result, answer);
}

static void
add_event (struct history *history, enum history_kind kind, int64_t at_ms, int call,
           const char *key, enum history_result result, const char *answer)
{
  struct history_event event
      = { .kind = kind, .at_ms = at_ms, .call = call, .result = result };

  g_strlcpy (event.key, key, sizeof event.key);
  g_strlcpy (event.answer, answer, sizeof event.answer);
  g_array_append_val (history->events, event);
}
