#include "tests/harness/run_suite.h"

#include <stdlib.h>

static Suite *started; /* by start_suite() */

/* Creates the program's suite and its only test case, which have the same name. Returns
   the test case, to which the program adds its tests. */
TCase *
start_suite (const char *name)
{
  TCase *cases = tcase_create (name);

  started = suite_create (name);
  suite_add_tcase (started, cases);
  return cases;
}

/* Runs the suite that start_suite() created, frees it and returns the program's exit
   code. */
int
run_started_suite (void)
{
  return run_suite (started);
}

/* Likewise for a suite that the program has created, of several test cases. */
int
run_suite (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  int failed;

  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
