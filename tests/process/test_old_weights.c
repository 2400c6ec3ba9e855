/* Tests for how long a routing VM uses servers that have old weights. The servers accept
   orders and do not carry them out, so all of them keep the old weights. */
#include <check.h>
#include <signal.h>

#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define SERVERS        2
#define REPLACE_MS     6000 /* how long replaced weights may be used */
#define AWAY_MS        4000 /* how long the VM does not learn of new weights */
#define BEFORE_MS      150  /* from the start of that until the weights are named */
#define WATCH_MS       2500
#define SEND_EVERY_MS  50
#define EARLY_MS       1000
#define STREAM_HEAD    "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n"
#define DESIRED_RECORD "{\"model\":\"m\",\"version\":2}"

static gint64 named_us; /* when the new weights were named */

static void
set_up (void)
{
  route_vm.replace_ms = REPLACE_MS;
  route_vm_set_up_servers (SERVERS);
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_server (route_vm.platform, i)->ignores_orders = true;
}

static void
name_new_weights (void)
{
  fake_platform_put_record (route_vm.platform, "version/m", DESIRED_RECORD);
  named_us = g_get_monotonic_time ();
}

static void
sleep_until (gint64 ms_after_naming)
{
  gint64 left_us
      = named_us + ms_after_naming * G_TIME_SPAN_MILLISECOND - g_get_monotonic_time ();

  if (left_us > 0)
    g_usleep ((gulong)left_us);
}

/* Sends a request to a VM and returns the status of the answer. */
static int
send_to (const struct route_vm *vm)
{
  struct raw_answer answer
      = route_vm_send_to (vm, "POST", "/stream/x", "r1", STREAM_HEAD, "b");
  int status = route_vm_status (&answer);

  raw_answer_clear (&answer);
  return status;
}

/* Fails the test if the VM sends requests to servers with old weights after the time for
   which these may be used. */
static void
check_refuses_old_weights (const struct route_vm *vm)
{
  unsigned runs;

  sleep_until (REPLACE_MS);
  runs = route_vm_run_count ();
  for (int sent_ms = 0; sent_ms < WATCH_MS; sent_ms += SEND_EVERY_MS)
    {
      ck_assert_int_eq (send_to (vm), 503);
      g_usleep (SEND_EVERY_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_uint_eq (route_vm_run_count (), runs);
}

START_TEST (test_vm_frozen_while_weights_are_named_uses_old_ones_too_long)
{
  ck_assert_int_eq (kill (route_vm.pid, SIGSTOP), 0);
  g_usleep (BEFORE_MS * G_TIME_SPAN_MILLISECOND);
  name_new_weights ();
  sleep_until (AWAY_MS);
  ck_assert_int_eq (kill (route_vm.pid, SIGCONT), 0);
  check_refuses_old_weights (&route_vm);
}
END_TEST

START_TEST (test_vm_without_store_while_weights_are_named_uses_old_ones_too_long)
{
  fake_platform_set_unresponsive (route_vm.platform, true);
  g_usleep (BEFORE_MS * G_TIME_SPAN_MILLISECOND);
  name_new_weights ();
  sleep_until (AWAY_MS);
  fake_platform_set_unresponsive (route_vm.platform, false);
  check_refuses_old_weights (&route_vm);
}
END_TEST

/* Guards against a bound that refuses callers although old weights may still be used. */
START_TEST (test_old_weights_are_refused_while_they_may_be_used)
{
  name_new_weights ();
  sleep_until (EARLY_MS);
  ck_assert_int_eq (send_to (&route_vm), 200);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("old_weights");

  tcase_add_checked_fixture (cases, set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_vm_frozen_while_weights_are_named_uses_old_ones_too_long);
  tcase_add_test (cases,
                  test_vm_without_store_while_weights_are_named_uses_old_ones_too_long);
  tcase_add_test (cases, test_old_weights_are_refused_while_they_may_be_used);
  return run_started_suite ();
}
