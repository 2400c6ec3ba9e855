/* Histories of concurrent calls, with one checker for each invariant. */
#ifndef KCP_TESTS_HISTORY_HISTORY_H
#define KCP_TESTS_HISTORY_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum history_kind
{
  HISTORY_INVOKE,
  HISTORY_EXECUTE, /* a backend server ran the call */
  HISTORY_RETURN
};

enum history_result
{
  HISTORY_NOT_RUN,
  HISTORY_UNKNOWN,
  HISTORY_RAN
};

#define HISTORY_TEXT_MAX 48 /* bytes, with the final NUL */

struct history_event
{
  enum history_kind kind;
  int64_t at_ms;
  int call;
  char key[HISTORY_TEXT_MAX];
  enum history_result result;    /* of a return */
  char answer[HISTORY_TEXT_MAX]; /* of an execution, and of a return with HISTORY_RAN */
};

struct history
{
  GArray *events; /* struct history_event */
};

struct history *history_new (void);
void history_free (struct history *history);
void history_invoke (struct history *history, int64_t at_ms, int call, const char *key);
void history_execute (struct history *history, int64_t at_ms, int call, const char *key,
                      const char *answer);
void history_return (struct history *history, int64_t at_ms, int call, const char *key,
                     enum history_result result, const char *answer);

/* Each returns NULL if its invariant holds, or a description of the violation, to be
   freed with g_free(). */
char *history_check_once (const struct history *history, int64_t window_ms);
char *history_check_not_run (const struct history *history);
char *history_check_answers (const struct history *history);

#endif
