/* Tests that a request that crashes every server that runs it is kept from further
   servers, whichever VMs get its copies, and that other requests are served. */
#include <check.h>
#include <pthread.h>
#include <signal.h>

#include "tests/harness/crash_rule.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define SERVERS          6
#define CRASH_TEXT       "deadly"
#define DOWN_MS          1200 /* until a crashed server is back */
#define COPY_GAP_MS      300
#define LONG_COPY_GAP_MS 1500
#define FEW_COPIES       10
#define COPIES           30
#define STREAM_HEAD      "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n"

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
  const char *head = g_str_has_prefix (path, "/stream/") ? STREAM_HEAD : "";

  return route_vm_send_to (vm, "POST", path, id, head, body);
}

static bool
is_served (const struct route_vm *vm, const char *path, const char *body)
{
  return vm_group_serves (send_to, vm, path, body);
}

/* Sends copies of a request that crashes servers to all VMs by turns, gap_ms apart, each
   followed by another request. Returns the number of those that were not served though
   they were sent after the window. Each crash before it may take some along, which may
   have run and so are not repeated. */
static unsigned
send_copies (const char *path, unsigned count, unsigned gap_ms)
{
  unsigned unserved = 0;

  for (unsigned i = 0; i < count; i++)
    {
      bool after_window = g_get_monotonic_time () > crash_rule_window_end_us (
                              route_vm.platform, CRASH_RULE_CRASHES_REQUEST);

      (void)vm_group_status (send_to, vm_group_at (i), path, CRASH_TEXT);
      if (!is_served (vm_group_at (i + 1), "/once/innocent", "harmless"))
        unserved += after_window;
      g_usleep (gap_ms * G_TIME_SPAN_MILLISECOND);
    }
  return unserved;
}

static void
expect_few_retries (const char *path, unsigned copies, unsigned gap_ms)
{
  unsigned unserved;
  unsigned crashes;
  unsigned late;

  fake_platform_crash_on (route_vm.platform, CRASH_TEXT, DOWN_MS);
  unserved = send_copies (path, copies, gap_ms);
  crashes = fake_platform_crash_count (route_vm.platform);
  late = crash_rule_count_late (route_vm.platform, CRASH_RULE_CRASHES_REQUEST);
  ck_assert_uint_gt (crashes, 0);
  ck_assert_msg (late <= CRASH_RULE_LATE_MAX && unserved == 0,
                 "%s: %u servers crashed, %u retries too late, %u others not served",
                 path, crashes, late, unserved);
}

START_TEST (test_request_that_crashes_servers_is_sent_on_and_on)
{
  expect_few_retries ("/once/x", COPIES, COPY_GAP_MS);
}
END_TEST

START_TEST (test_idempotent_request_that_crashes_servers_is_sent_on_and_on)
{
  expect_few_retries ("/again/x", COPIES, COPY_GAP_MS);
}
END_TEST

START_TEST (test_stream_that_crashes_servers_is_sent_on_and_on)
{
  expect_few_retries ("/stream/x", COPIES, COPY_GAP_MS);
}
END_TEST

START_TEST (test_request_that_crashes_servers_now_and_then_is_sent_on_and_on)
{
  expect_few_retries ("/again/x", FEW_COPIES, LONG_COPY_GAP_MS);
}
END_TEST

/* Sends copies to all VMs until the request has crashed three servers, and waits until
   these are back. */
static void
crash_three_servers (void)
{
  fake_platform_crash_on (route_vm.platform, CRASH_TEXT, DOWN_MS);
  for (unsigned i = 0; fake_platform_crash_count (route_vm.platform) < 3; i++)
    {
      ck_assert_uint_lt (i, COPIES);
      (void)vm_group_status (send_to, vm_group_at (i), "/once/x", CRASH_TEXT);
      g_usleep (COPY_GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
  g_usleep (2 * DOWN_MS * G_TIME_SPAN_MILLISECOND);
}

/* Sends copies to a VM and expects that none of them reaches a server. */
static void
expect_none_sent (const struct route_vm *vm)
{
  int64_t start_us = g_get_monotonic_time ();

  for (int i = 0; i <= CRASH_RULE_LATE_MAX; i++)
    (void)vm_group_status (send_to, vm, "/once/x", CRASH_TEXT);
  ck_assert_uint_eq (fake_platform_sent_after (route_vm.platform, start_us), 0);
  ck_assert (is_served (vm, "/once/innocent", "harmless"));
}

START_TEST (test_refusal_of_a_request_that_crashes_servers)
{
  crash_three_servers ();
  vm_group_expect_refusal (send_to, vm_group_at (3), "/once/x", CRASH_TEXT, COPY_GAP_MS);
}
END_TEST

START_TEST (test_vm_that_starts_does_not_know_which_request_crashes_servers)
{
  crash_three_servers ();
  route_vm_kill (vm_group_at (3));
  route_vm_restart (vm_group_at (3));
  vm_group_meet ();
  expect_none_sent (vm_group_at (3));
}
END_TEST

START_TEST (test_vm_that_was_cut_off_does_not_know_which_request_crashes_servers)
{
  ck_assert_int_eq (kill (vm_group_at (2)->pid, SIGSTOP), 0);
  for (unsigned i = 0; fake_platform_crash_count (route_vm.platform) < 3; i++)
    {
      if (i == 0)
        fake_platform_crash_on (route_vm.platform, CRASH_TEXT, DOWN_MS);
      ck_assert_uint_lt (i, COPIES);
      (void)vm_group_status (send_to, &route_vm, "/once/x", CRASH_TEXT);
      g_usleep (COPY_GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
  g_usleep (2 * DOWN_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_eq (kill (vm_group_at (2)->pid, SIGCONT), 0);
  vm_group_meet ();
  expect_none_sent (vm_group_at (2));
}
END_TEST

START_TEST (test_vms_that_all_restart_forget_which_request_crashes_servers)
{
  crash_three_servers ();
  vm_group_restart_all ();
  expect_none_sent (&route_vm);
  expect_none_sent (vm_group_at (3));
}
END_TEST

static void
set_modes (enum fake_mode mode)
{
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_server (route_vm.platform, i)->mode = mode;
}

static void *
send_popular (void *user)
{
  struct raw_answer answer
      = route_vm_send_to (user, "POST", "/again/popular", "p", "", "popular");

  raw_answer_clear (&answer);
  return NULL;
}

/* Crashes the servers with copies of a popular request in flight at all of them. */
static void
crash_servers_together (void)
{
  pthread_t callers[2 * SERVERS];

  set_modes (FAKE_SLOW);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    ck_assert_int_eq (pthread_create (&callers[i], NULL, send_popular, vm_group_at (i)),
                      0);
  g_usleep (COPY_GAP_MS * G_TIME_SPAN_MILLISECOND);
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_crash_server (route_vm.platform, i);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    (void)pthread_join (callers[i], NULL);
  set_modes (FAKE_ANSWER);
  g_usleep (2 * DOWN_MS * G_TIME_SPAN_MILLISECOND);
}

START_TEST (test_popular_request_is_blocked_when_all_servers_crash_at_once)
{
  fake_platform_crash_on (route_vm.platform, CRASH_TEXT, DOWN_MS);
  for (int round = 0; round < 3; round++)
    {
      crash_servers_together ();
      for (unsigned i = 0; i < VM_GROUP_SIZE; i++)
        ck_assert (is_served (vm_group_at (i), "/again/popular", "popular"));
    }
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("route crashes");

  tcase_add_checked_fixture (cases, set_up, vm_group_tear_down);
  tcase_set_timeout (cases, 120);
  tcase_add_test (cases, test_request_that_crashes_servers_is_sent_on_and_on);
  tcase_add_test (cases, test_idempotent_request_that_crashes_servers_is_sent_on_and_on);
  tcase_add_test (cases, test_stream_that_crashes_servers_is_sent_on_and_on);
  tcase_add_test (cases,
                  test_request_that_crashes_servers_now_and_then_is_sent_on_and_on);
  tcase_add_test (cases, test_refusal_of_a_request_that_crashes_servers);
  tcase_add_test (cases, test_vm_that_starts_does_not_know_which_request_crashes_servers);
  tcase_add_test (cases,
                  test_vm_that_was_cut_off_does_not_know_which_request_crashes_servers);
  tcase_add_test (cases, test_vms_that_all_restart_forget_which_request_crashes_servers);
  tcase_add_test (cases, test_popular_request_is_blocked_when_all_servers_crash_at_once);
  return run_started_suite ();
}
