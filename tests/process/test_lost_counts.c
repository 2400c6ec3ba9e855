/* Tests that what crashes servers is counted on when all VMs are killed at once, again
   and again, and that what was found sound is not counted against it. */
#include <check.h>
#include <pthread.h>

#include "tests/harness/crash_rule.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define SERVERS     6
#define CRASH_TEXT  "deadly"
#define DOWN_MS     1200 /* until a crashed server is back */
#define KILL_MS     250  /* from a crash until all VMs are killed */
#define FLIGHT_MS   250  /* until requests are in flight at all servers */
#define STORED_MS   1000 /* from a crash until it is in the store */
#define POLL_MS     5
#define SUSPECTS    "keyed.kingcuppoint.suspects"
#define COPIES      8
#define PARTS       10
#define KILLS       6
#define GAP_MS      1500
#define CLEARED_MS  1500 /* until it is stored that a suspect was cleared */
#define ROUNDS      4
#define STREAM_HEAD "Model: m\r\nToken-Usage: 40,5\r\nPrompt-Prefix: %s,last%u:4\r\n"

static unsigned sent; /* requests so far; each has an id of its own */

static void
set_up (void)
{
  sent = 0;
  vm_group_set_up (SERVERS);
}

/* Sends a request, one of which is like the other if they have the same body. */
static struct raw_answer
send_copy (const struct route_vm *vm, const char *path, const char *body)
{
  g_autofree char *id = g_strdup_printf ("r%u", ++sent);

  return route_vm_send_to (vm, "POST", path, id, "", body);
}

/* Sends a request that is like no other but for its parts. */
static struct raw_answer
send_parts (const struct route_vm *vm, const char *path, const char *parts)
{
  unsigned number = ++sent;
  g_autofree char *id = g_strdup_printf ("r%u", number);
  g_autofree char *body = g_strdup_printf ("body %u", number);
  g_autofree char *target = g_strdup_printf ("%s/%u", path, number);
  g_autofree char *head = g_strdup_printf (STREAM_HEAD, parts, number);

  return route_vm_send_to (vm, "POST", target, id, head, body);
}

/* When all VMs are killed after a crash. */
enum kill_time
{
  KILL_AFTER_A_WHILE, /* KILL_MS */
  KILL_WHEN_STORED,
  KILL_TIMES
};

/* What a test sends: what crashes servers, and what is sound and shares a part with it.
 */
struct load
{
  vm_group_sender *send;
  const char *path;
  const char *deadly;
  const char *sound;
  unsigned count;   /* of deadly requests */
  unsigned crashes; /* after which the rule counts */
  enum kill_time kill_time;
};

static void
expect_sound_served (const struct load *load)
{
  for (unsigned i = 0; i < VM_GROUP_SIZE; i++)
    ck_assert (vm_group_serves (load->send, vm_group_at (i), load->path, load->sound));
}

/* Waits until the store has more records of suspects than before. */
static void
wait_stored (unsigned before)
{
  int64_t end_us = g_get_monotonic_time () + STORED_MS * G_TIME_SPAN_MILLISECOND;

  while (fake_platform_end_offset (route_vm.platform, SUSPECTS) == before)
    {
      ck_assert_msg (g_get_monotonic_time () < end_us, "the crash is not stored");
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
}

/* Sends sound requests to all VMs and a deadly one to one of them by turns, and kills all
   VMs after each of the first crashes. Expects what the users' rules say. */
static void
expect_few_late (const struct load *load)
{
  unsigned late;

  for (unsigned i = 0; i < load->count; i++)
    {
      unsigned crashes = fake_platform_crash_count (route_vm.platform);
      unsigned stored;

      expect_sound_served (load);
      stored = fake_platform_end_offset (route_vm.platform, SUSPECTS);
      (void)vm_group_status (load->send, vm_group_at (i), load->path, load->deadly);
      if (i < KILLS)
        {
          if (load->kill_time == KILL_AFTER_A_WHILE)
            g_usleep (KILL_MS * G_TIME_SPAN_MILLISECOND);
          else if (fake_platform_crash_count (route_vm.platform) > crashes)
            wait_stored (stored);
          vm_group_restart_all ();
        }
      else
        g_usleep (GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
  late = crash_rule_count_late (route_vm.platform, load->crashes);
  ck_assert_uint_gt (fake_platform_crash_count (route_vm.platform), 0);
  ck_assert_msg (late <= CRASH_RULE_LATE_MAX, "%u servers crashed, %u retries too late",
                 fake_platform_crash_count (route_vm.platform), late);
  expect_sound_served (load);
}

/* Guards against a request that crashes servers without end, since VMs that are killed
   together begin to count anew. */
START_TEST (test_crashes_with_a_request_are_forgotten_as_all_vms_are_killed)
{
  fake_platform_crash_on (route_vm.platform, CRASH_TEXT, DOWN_MS);
  expect_few_late (&(struct load){ .send = send_copy,
                                   .path = "/once/x",
                                   .deadly = CRASH_TEXT,
                                   .sound = "harmless",
                                   .count = COPIES,
                                   .crashes = CRASH_RULE_CRASHES_REQUEST,
                                   .kill_time = (enum kill_time)_i });
}
END_TEST

/* The same for a part of prompts. */
START_TEST (test_crashes_with_a_part_are_forgotten_as_all_vms_are_killed)
{
  fake_platform_crash_on_part (route_vm.platform, CRASH_TEXT, DOWN_MS,
                               FAKE_CRASH_AT_ONCE);
  expect_few_late (&(struct load){ .send = send_parts,
                                   .path = "/stream",
                                   .deadly = "team:20," CRASH_TEXT ":10",
                                   .sound = "team:20,other:10",
                                   .count = PARTS,
                                   .crashes = CRASH_RULE_CRASHES_PART,
                                   .kill_time = (enum kill_time)_i });
}
END_TEST

static void *
send_popular (void *user)
{
  struct raw_answer answer
      = route_vm_send_to (user, "POST", "/again/popular", "p", "", "popular");

  raw_answer_clear (&answer);
  return NULL;
}

/* Crashes a server with a copy of a sound request in flight. */
static void
crash_with_popular (unsigned round)
{
  pthread_t callers[SERVERS];

  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_server (route_vm.platform, i)->mode = FAKE_SLOW;
  for (unsigned i = 0; i < SERVERS; i++)
    ck_assert_int_eq (pthread_create (&callers[i], NULL, send_popular, vm_group_at (i)),
                      0);
  g_usleep (FLIGHT_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_crash_server (route_vm.platform, round % SERVERS);
  fake_platform_crash_server (route_vm.platform, (round + 1) % SERVERS);
  for (unsigned i = 0; i < SERVERS; i++)
    (void)pthread_join (callers[i], NULL);
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_server (route_vm.platform, i)->mode = FAKE_ANSWER;
  g_usleep (2 * DOWN_MS * G_TIME_SPAN_MILLISECOND);
}

/* Guards against a sound request that is refused, since the store has crashes with it and
   not that it was answered after each of them. */
START_TEST (test_request_that_was_cleared_is_blocked_by_what_the_store_has)
{
  fake_platform_crash_on (route_vm.platform, CRASH_TEXT, DOWN_MS);
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      crash_with_popular (round);
      for (unsigned i = 0; i < VM_GROUP_SIZE; i++)
        ck_assert (
            vm_group_serves (send_copy, vm_group_at (i), "/again/popular", "popular"));
      g_usleep (CLEARED_MS * G_TIME_SPAN_MILLISECOND);
      vm_group_restart_all ();
    }
  for (unsigned i = 0; i < VM_GROUP_SIZE; i++)
    ck_assert (vm_group_serves (send_copy, vm_group_at (i), "/again/popular", "popular"));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("lost counts");

  tcase_add_checked_fixture (cases, set_up, vm_group_tear_down);
  tcase_set_timeout (cases, 120);
  tcase_add_loop_test (cases,
                       test_crashes_with_a_request_are_forgotten_as_all_vms_are_killed, 0,
                       KILL_TIMES);
  tcase_add_loop_test (
      cases, test_crashes_with_a_part_are_forgotten_as_all_vms_are_killed, 0, KILL_TIMES);
  tcase_add_test (cases, test_request_that_was_cleared_is_blocked_by_what_the_store_has);
  return run_started_suite ();
}
