/* Tests that each checker of histories rejects a violation of its invariant and accepts
   similar histories without one. A checker that accepts everything would hide faults. */
#include <check.h>
#include <stdlib.h>

#include "tests/harness/run_suite.h"
#include "tests/history/history.h"

static struct history *history;

static void
set_up (void)
{
  history = history_new ();
}

static void
tear_down (void)
{
  history_free (history);
}

static bool
rejects (char *violation)
{
  bool found = violation != NULL;

  g_free (violation);
  return found;
}

START_TEST (test_once_rejects_a_second_execution_within_the_window)
{
  history_execute (history, 10, 1, "a", "x");
  history_execute (history, 20, 2, "b", "x");
  ck_assert (!rejects (history_check_once (history, 100)));
  history_execute (history, 111, 3, "a", "x");
  ck_assert (!rejects (history_check_once (history, 100)));
  history_execute (history, 120, 4, "b", "x");
  ck_assert (rejects (history_check_once (history, 100)));
}
END_TEST

START_TEST (test_not_run_rejects_an_execution_before_or_after_the_answer)
{
  history_execute (history, 1, 1, "a", "x");
  history_return (history, 2, 2, "a", HISTORY_NOT_RUN, "");
  history_return (history, 2, 1, "a", HISTORY_UNKNOWN, "");
  ck_assert (!rejects (history_check_not_run (history)));
  history_execute (history, 3, 2, "a", "x");
  ck_assert (rejects (history_check_not_run (history)));
}
END_TEST

START_TEST (test_not_run_rejects_an_answer_after_the_execution)
{
  history_execute (history, 1, 1, "a", "x");
  history_return (history, 2, 1, "a", HISTORY_NOT_RUN, "");
  ck_assert (rejects (history_check_not_run (history)));
}
END_TEST

START_TEST (test_answers_rejects_answer_without_earlier_execution)
{
  history_execute (history, 1, 1, "a", "x");
  history_return (history, 2, 2, "a", HISTORY_RAN, "x");
  ck_assert (!rejects (history_check_answers (history)));
  history_return (history, 2, 3, "b", HISTORY_RAN, "x");
  ck_assert (rejects (history_check_answers (history)));
}
END_TEST

START_TEST (test_answers_rejects_answer_before_execution)
{
  history_return (history, 1, 1, "a", HISTORY_RAN, "x");
  history_execute (history, 2, 1, "a", "x");
  ck_assert (rejects (history_check_answers (history)));
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("history");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_once_rejects_a_second_execution_within_the_window);
  tcase_add_test (tests, test_not_run_rejects_an_execution_before_or_after_the_answer);
  tcase_add_test (tests, test_not_run_rejects_an_answer_after_the_execution);
  tcase_add_test (tests, test_answers_rejects_answer_without_earlier_execution);
  tcase_add_test (tests, test_answers_rejects_answer_before_execution);
  return run_started_suite ();
}
