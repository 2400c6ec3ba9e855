/* Tests that an answer which does not show that a server survives a request leaves the
   request a suspect: a request that crashes servers is kept from further ones though some
   of its copies are answered with an error before they run. */
#include <check.h>

#include "tests/harness/crash_rule.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define SERVERS    3
#define CRASH_TEXT "deadly"
#define DOWN_MS    1200 /* until a crashed server is back */
#define GAP_MS     900
#define COPIES     20
#define NTH        3 /* of these copies, one is answered */
#define NOT_FOUND  404
#define FAILED     500

static unsigned sent; /* requests so far; each has an id of its own */

static void
set_up (void)
{
  sent = 0;
  vm_group_set_up (SERVERS);
}

static struct raw_answer
send_to (const struct route_vm *vm, const char *path, const char *body)
{
  g_autofree char *id = g_strdup_printf ("r%u", ++sent);

  return route_vm_send_to (vm, "POST", path, id, "", body);
}

static void
send_copy (const struct route_vm *vm)
{
  struct raw_answer answer = send_to (vm, "/again/x", CRASH_TEXT);

  raw_answer_clear (&answer);
}

static void
expect_few_retries (void)
{
  unsigned crashes = fake_platform_crash_count (route_vm.platform);
  unsigned late = crash_rule_count_late (route_vm.platform, CRASH_RULE_CRASHES_REQUEST);

  g_print ("%u servers crashed, %u retries too late\n", crashes, late);
  ck_assert_uint_gt (crashes, 0);
  ck_assert_msg (late <= CRASH_RULE_LATE_MAX, "%u servers crashed, %u retries too late",
                 crashes, late);
  ck_assert (vm_group_serves (send_to, &route_vm, "/again/innocent", "harmless"));
}

/* Sends copies to the VMs by turns. */
static void
send_copies (void)
{
  fake_platform_crash_on (route_vm.platform, CRASH_TEXT, DOWN_MS);
  for (unsigned i = 0; i < COPIES; i++)
    {
      send_copy (vm_group_at (i));
      g_usleep (GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
}

/* Sends copies, of which every third that reaches a server is answered with the status.
 */
static void
expect_few_retries_answered (unsigned status)
{
  fake_platform_answer_every (route_vm.platform, NTH, status);
  send_copies ();
  expect_few_retries ();
}

START_TEST (test_request_not_found_at_times_is_sent_on_and_on)
{
  expect_few_retries_answered (NOT_FOUND);
}
END_TEST

START_TEST (test_request_failed_at_times_is_sent_on_and_on)
{
  expect_few_retries_answered (FAILED);
}
END_TEST

START_TEST (test_request_whose_crash_follows_an_error_is_sent_on_and_on)
{
  fake_platform_crash_with_error (route_vm.platform, FAKE_CRASH_ERROR);
  send_copies ();
  expect_few_retries ();
}
END_TEST

START_TEST (test_request_whose_crash_follows_an_error_without_id_is_sent_on_and_on)
{
  fake_platform_crash_with_error (route_vm.platform, FAKE_CRASH_ERROR_WITHOUT_ID);
  send_copies ();
  expect_few_retries ();
}
END_TEST

START_TEST (test_request_whose_crash_follows_an_unsigned_answer_is_sent_on_and_on)
{
  fake_platform_crash_with_error (route_vm.platform, FAKE_CRASH_UNSIGNED);
  send_copies ();
  expect_few_retries ();
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("crash answers");

  tcase_add_checked_fixture (cases, set_up, vm_group_tear_down);
  tcase_set_timeout (cases, 120);
  tcase_add_test (cases, test_request_not_found_at_times_is_sent_on_and_on);
  tcase_add_test (cases, test_request_failed_at_times_is_sent_on_and_on);
  tcase_add_test (cases, test_request_whose_crash_follows_an_error_is_sent_on_and_on);
  tcase_add_test (cases,
                  test_request_whose_crash_follows_an_error_without_id_is_sent_on_and_on);
  tcase_add_test (cases,
                  test_request_whose_crash_follows_an_unsigned_answer_is_sent_on_and_on);
  return run_started_suite ();
}
