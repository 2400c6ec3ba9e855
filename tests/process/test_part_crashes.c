/* Tests that requests that share a part of their prompts, on which every server crashes,
   are kept from further servers, though no two of them are alike, and that other requests
   with their other parts are served. */
#include <check.h>
#include <pthread.h>

#include "tests/harness/crash_rule.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define SERVERS       6
#define DEADLY        "deadly"
#define DOWN_MS       1200 /* until a crashed server is back */
#define GAP_MS        300
#define LONG_GAP_MS   1500
#define REQUESTS      32
#define FEW_REQUESTS  14
#define LAST_REQUESTS 4
#define SOUND_MIN     4 /* sound requests of each kind that a test sends late */
#define HERDS         5

/* The prompts of a test, without their last parts. The sound ones share parts with the
   others. */
struct prompts
{
  const char *deadly;
  const char *sound[2];
};

static const struct prompts second_part
    = { "team:20,deadly:10,tail:6", { "team:20,other:10", "team:20,tail:6" } };
static const struct prompts first_part
    = { "deadly:20,middle:10,tail:6", { "other:20,middle:10,tail:6", "middle:10" } };

static unsigned sent; /* requests so far; each has an id, a body and a last part */

static void
set_up (void)
{
  sent = 0;
  vm_group_set_up (SERVERS);
}

/* Sends a request that is like no other but for its parts. */
static struct raw_answer
send_to (const struct route_vm *vm, const char *path, const char *parts)
{
  unsigned number = __atomic_add_fetch (&sent, 1, __ATOMIC_RELAXED);
  g_autofree char *id = g_strdup_printf ("r%u", number);
  g_autofree char *body = g_strdup_printf ("body %u", number);
  g_autofree char *target = g_strdup_printf ("%s/%u", path, number);
  g_autofree char *head = g_strdup_printf (
      "Model: m\r\nToken-Usage: 40,5\r\nPrompt-Prefix: %s,last%u:4\r\n", parts, number);

  return route_vm_send_to (vm, "POST", target, id, head, body);
}

static bool
is_served (const struct route_vm *vm, const char *path, const char *parts)
{
  return vm_group_serves (send_to, vm, path, parts);
}

/* Returns true if sound requests have to be served now: later than twice the rule's
   window after the crashes that count, or after the last if there are fewer. */
static bool
must_serve (void)
{
  unsigned crashes = fake_platform_crash_count (route_vm.platform);

  return crashes > 0
         && g_get_monotonic_time ()
                > fake_platform_crash_us (route_vm.platform,
                                          MIN (crashes, CRASH_RULE_CRASHES_PART) - 1)
                      + 2 * CRASH_RULE_WINDOW_MS * G_TIME_SPAN_MILLISECOND;
}

static void expect_few_late (const char *path, unsigned unserved, unsigned late_sound);

/* Sends requests with a part on which servers crash to all VMs by turns, each followed by
   one of each kind of sound request, and expects what the users' rules say. */
static void
expect_few_sent (const struct prompts *prompts, const char *path, unsigned count,
                 unsigned gap_ms)
{
  unsigned late_sound = 0;
  unsigned unserved = 0;

  for (unsigned i = 0; i < count; i++)
    {
      (void)vm_group_status (send_to, vm_group_at (i), path, prompts->deadly);
      for (unsigned kind = 0; kind < G_N_ELEMENTS (prompts->sound); kind++)
        {
          bool after = must_serve ();
          bool served
              = is_served (vm_group_at (i + kind + 1), path, prompts->sound[kind]);

          late_sound += after;
          unserved += after && !served;
        }
      g_usleep (gap_ms * G_TIME_SPAN_MILLISECOND);
    }
  expect_few_late (path, unserved, late_sound);
}

/* Expects few late requests with the deadly part, and that no late sound one was not
   served. */
static void
expect_few_late (const char *path, unsigned unserved, unsigned late_sound)
{
  unsigned late = crash_rule_count_late (route_vm.platform, CRASH_RULE_CRASHES_PART);

  g_print ("%s: %u servers crashed, %u requests sent too late, %u of %u sound ones not "
           "served\n",
           path, fake_platform_crash_count (route_vm.platform), late, unserved,
           late_sound);
  ck_assert_msg (late <= CRASH_RULE_LATE_MAX && unserved == 0,
                 "%s: %u servers crashed, %u requests sent too late, %u of %u sound "
                 "ones not served",
                 path, fake_platform_crash_count (route_vm.platform), late, unserved,
                 late_sound);
  ck_assert_uint_ge (late_sound, SOUND_MIN);
}

static void
crash_on_part (enum fake_crash_progress progress)
{
  fake_platform_crash_on_part (route_vm.platform, DEADLY, DOWN_MS, progress);
}

START_TEST (test_requests_with_a_deadly_part_are_sent_on_and_on)
{
  crash_on_part (FAKE_CRASH_AT_ONCE);
  expect_few_sent (&second_part, "/once", REQUESTS, GAP_MS);
}
END_TEST

START_TEST (test_streams_that_crash_after_the_head_are_sent_on_and_on)
{
  crash_on_part (FAKE_CRASH_AFTER_HEAD);
  expect_few_sent (&second_part, "/stream", REQUESTS, GAP_MS);
}
END_TEST

START_TEST (test_streams_that_crash_after_an_event_are_sent_on_and_on)
{
  crash_on_part (FAKE_CRASH_AFTER_EVENT);
  expect_few_sent (&second_part, "/stream", REQUESTS, GAP_MS);
}
END_TEST

START_TEST (test_crashed_streams_that_look_complete_are_sent_on_and_on)
{
  crash_on_part (FAKE_CRASH_AFTER_UNFRAMED_EVENT);
  expect_few_sent (&second_part, "/stream", REQUESTS, GAP_MS);
}
END_TEST

START_TEST (test_requests_with_a_deadly_first_part_are_sent_on_and_on)
{
  crash_on_part (FAKE_CRASH_AT_ONCE);
  expect_few_sent (&first_part, "/again", REQUESTS, GAP_MS);
}
END_TEST

START_TEST (test_requests_with_a_deadly_part_now_and_then_are_sent_on_and_on)
{
  crash_on_part (FAKE_CRASH_AT_ONCE);
  expect_few_sent (&second_part, "/again", FEW_REQUESTS, LONG_GAP_MS);
}
END_TEST

static void *
send_deadly (void *user)
{
  (void)vm_group_status (send_to, user, "/again", second_part.deadly);
  return NULL;
}

START_TEST (test_bursts_of_requests_with_a_deadly_part_are_sent_on_and_on)
{
  unsigned late_sound = 0;
  unsigned unserved = 0;

  crash_on_part (FAKE_CRASH_AT_ONCE);
  for (unsigned i = 0; i < FEW_REQUESTS; i++)
    {
      pthread_t callers[VM_GROUP_SIZE];
      bool after = must_serve ();

      for (unsigned vm = 0; vm < VM_GROUP_SIZE; vm++)
        ck_assert_int_eq (
            pthread_create (&callers[vm], NULL, send_deadly, vm_group_at (vm)), 0);
      for (unsigned vm = 0; vm < VM_GROUP_SIZE; vm++)
        (void)pthread_join (callers[vm], NULL);
      late_sound += after;
      unserved
          += !is_served (vm_group_at (i), "/once", second_part.sound[i % 2]) && after;
      g_usleep (LONG_GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
  expect_few_late ("bursts", unserved, late_sound);
}
END_TEST

START_TEST (test_requests_with_two_deadly_parts_are_sent_on_and_on)
{
  static const struct prompts both
      = { "team:20,deadly1:10,deadly2:6", { "team:20,other:10", "team:20,tail:6" } };

  crash_on_part (FAKE_CRASH_AFTER_HEAD);
  expect_few_sent (&both, "/stream", FEW_REQUESTS, LONG_GAP_MS);
}
END_TEST

/* Sends requests with the deadly part until all VMs refuse them or REQUESTS are sent, and
   waits until the servers are back. */
static void
crash_servers (void)
{
  unsigned refused = 0;

  crash_on_part (FAKE_CRASH_AT_ONCE);
  for (unsigned i = 0; i < REQUESTS && refused < VM_GROUP_SIZE; i++)
    {
      int status
          = vm_group_status (send_to, vm_group_at (i), "/once", second_part.deadly);

      refused = status == 503 ? refused + 1 : 0;
      (void)is_served (vm_group_at (i + 1), "/once", second_part.sound[0]);
      (void)is_served (vm_group_at (i + 2), "/once", second_part.sound[1]);
      g_usleep (GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
  g_usleep (2 * DOWN_MS * G_TIME_SPAN_MILLISECOND);
}

/* Expects that none of further requests with the deadly part reaches a server through
   the VM, and that sound ones do. */
static void
expect_none_sent (const struct route_vm *vm)
{
  int64_t start_us = g_get_monotonic_time ();

  for (int i = 0; i < LAST_REQUESTS; i++)
    (void)vm_group_status (send_to, vm, "/once", second_part.deadly);
  ck_assert_uint_eq (fake_platform_sent_after (route_vm.platform, start_us), 0);
  ck_assert (is_served (vm, "/once", second_part.sound[0]));
  ck_assert (is_served (vm, "/once", second_part.sound[1]));
}

START_TEST (test_refusal_of_a_request_with_a_deadly_part)
{
  crash_servers ();
  vm_group_expect_refusal (send_to, vm_group_at (3), "/again", second_part.deadly,
                           GAP_MS);
}
END_TEST

START_TEST (test_vm_that_starts_does_not_know_a_deadly_part)
{
  crash_servers ();
  route_vm_kill (vm_group_at (3));
  route_vm_restart (vm_group_at (3));
  vm_group_meet ();
  expect_none_sent (vm_group_at (3));
}
END_TEST

START_TEST (test_vms_that_all_restart_forget_a_deadly_part)
{
  crash_servers ();
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
send_sound (void *user)
{
  (void)vm_group_status (send_to, user, "/again", second_part.sound[0]);
  return NULL;
}

/* Crashes the servers with requests in flight at all of them that share a first part. */
static void
crash_servers_together (void)
{
  pthread_t callers[2 * SERVERS];

  set_modes (FAKE_SLOW);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    ck_assert_int_eq (pthread_create (&callers[i], NULL, send_sound, vm_group_at (i)), 0);
  g_usleep (GAP_MS * G_TIME_SPAN_MILLISECOND);
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_crash_server (route_vm.platform, i);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    (void)pthread_join (callers[i], NULL);
  set_modes (FAKE_ANSWER);
  g_usleep (2 * DOWN_MS * G_TIME_SPAN_MILLISECOND);
}

START_TEST (test_shared_part_is_blocked_when_all_servers_crash_again_and_again)
{
  crash_on_part (FAKE_CRASH_AT_ONCE);
  for (unsigned i = 0; i < VM_GROUP_SIZE; i++)
    ck_assert (is_served (vm_group_at (i), "/again", second_part.sound[0]));
  for (int round = 0; round < HERDS; round++)
    crash_servers_together ();
  for (unsigned i = 0; i < VM_GROUP_SIZE; i++)
    ck_assert (is_served (vm_group_at (i), "/again", second_part.sound[0]));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("part crashes");

  tcase_add_checked_fixture (cases, set_up, vm_group_tear_down);
  tcase_set_timeout (cases, 120);
  tcase_add_test (cases, test_requests_with_a_deadly_part_are_sent_on_and_on);
  tcase_add_test (cases, test_streams_that_crash_after_the_head_are_sent_on_and_on);
  tcase_add_test (cases, test_streams_that_crash_after_an_event_are_sent_on_and_on);
  tcase_add_test (cases, test_crashed_streams_that_look_complete_are_sent_on_and_on);
  tcase_add_test (cases, test_requests_with_a_deadly_first_part_are_sent_on_and_on);
  tcase_add_test (cases,
                  test_requests_with_a_deadly_part_now_and_then_are_sent_on_and_on);
  tcase_add_test (cases, test_bursts_of_requests_with_a_deadly_part_are_sent_on_and_on);
  tcase_add_test (cases, test_requests_with_two_deadly_parts_are_sent_on_and_on);
  tcase_add_test (cases, test_refusal_of_a_request_with_a_deadly_part);
  tcase_add_test (cases, test_vm_that_starts_does_not_know_a_deadly_part);
  tcase_add_test (cases, test_vms_that_all_restart_forget_a_deadly_part);
  tcase_add_test (cases,
                  test_shared_part_is_blocked_when_all_servers_crash_again_and_again);
  return run_started_suite ();
}
