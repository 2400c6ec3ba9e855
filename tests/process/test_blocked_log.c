/* Tests one VM with routed traffic whose log accepts writes and does not complete them.
 */
#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <unistd.h>

#include "tests/harness/raw.h"
#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define REQUESTS  200 /* their lines exceed the buffer of a terminal, 64 KB */
#define ANSWER_MS 500 /* by when an answer is due, as in test_route */

static int terminal;      /* the side at which the log is read */
static int terminal_open; /* the other side, kept open so that the lines stay */

/* Has the VM log to a terminal that nobody reads. It polls as writable as long as it has
   room for one byte, and a write that does not fit then blocks, like a write to a file
   whose storage is slow. */
static void
set_up (void)
{
  terminal = posix_openpt (O_RDWR | O_NOCTTY | O_CLOEXEC);
  ck_assert_int_ge (terminal, 0);
  ck_assert_int_eq (grantpt (terminal), 0);
  ck_assert_int_eq (unlockpt (terminal), 0);
  route_vm.log_path = ptsname (terminal);
  terminal_open = open (route_vm.log_path, O_RDWR | O_NOCTTY | O_CLOEXEC);
  ck_assert_int_ge (terminal_open, 0);
  route_vm_set_up ();
}

static void
tear_down (void)
{
  route_vm_tear_down ();
  (void)close (terminal_open);
  (void)close (terminal);
}

START_TEST (test_requests_are_answered_while_a_write_to_the_log_blocks)
{
  for (int i = 0; i < REQUESTS; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "b");

      ck_assert_msg (route_vm_status (&answer) == 200, "request %d: %s", i,
                     answer.text->str);
      ck_assert_int_lt (answer.elapsed_ms, ANSWER_MS);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (route_vm_run_count (), REQUESTS);
}
END_TEST

START_TEST (test_request_refused_by_all_servers_gets_retry_after_while_the_log_blocks)
{
  route_vm_set_modes (FAKE_REFUSE, FAKE_REFUSE);
  for (int i = 0; i < REQUESTS; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "b");

      ck_assert_msg (route_vm_status (&answer) == 503, "request %d: %s", i,
                     answer.text->str);
      ck_assert_int_lt (answer.elapsed_ms, ANSWER_MS);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (route_vm_run_count (), 0);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("blocked_log");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_requests_are_answered_while_a_write_to_the_log_blocks);
  tcase_add_test (
      cases, test_request_refused_by_all_servers_gets_retry_after_while_the_log_blocks);
  return run_started_suite ();
}
