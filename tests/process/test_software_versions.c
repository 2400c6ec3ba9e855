/* Tests that a stream goes on only at servers of the software version that began it,
   while servers of two versions serve side by side: within one answer, and when callers
   take streams up at VMs that did not begin them, or that have just started. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/caller_streams.h"
#include "tests/harness/run_suite.h"

#define SERVERS      4u
#define GAP_MS       250 /* between events; a stream has FAKE_STREAM_EVENTS of them */
#define FAILED_MS    600 /* after that, streams whose first try failed have events */
#define BEGUN_MAX_MS 2000
#define RELAYED_MS   100 /* from a server to its caller */
#define SETTLE_MS    400 /* in which VMs learn of a changed list */
#define GOES_ON      (CALLER_STREAMS / 2)
#define READ_AT_MS   200 /* when other VMs read the records */
#define INTERRUPTED  20u /* streams that are interrupted within their answer */

/* Gives the servers their software versions: the first ones the older. */
static void
set_software (const char *older, const char *newer)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct fake_server *server = fake_platform_server (route_vm.platform, i);

      server->software = i < SERVERS / 2 ? older : newer;
      server->event_gap_ms = GAP_MS;
      fake_platform_put_server (route_vm.platform, i, "ready");
    }
}

static void
set_up (void)
{
  vm_group_set_up (SERVERS);
}

static void
tear_down (void)
{
  caller_streams_clear ();
  vm_group_tear_down ();
}

static void
settle (void)
{
  g_usleep (SETTLE_MS * G_TIME_SPAN_MILLISECOND);
}

/* Waits until servers have sent the first event of each stream, at most limit_ms, and
   callers have it. Returns the number of streams that have begun. */
static unsigned
wait_until_begun (int64_t limit_ms)
{
  int64_t end_us = g_get_monotonic_time () + limit_ms * G_TIME_SPAN_MILLISECOND;
  unsigned begun;

  do
    {
      g_usleep (G_TIME_SPAN_MILLISECOND);
      begun = 0;
      for (unsigned i = 0; i < SERVERS; i++)
        begun += fake_server_streams_begun (fake_platform_server (route_vm.platform, i));
    }
  while (begun < CALLER_STREAMS && g_get_monotonic_time () < end_us);
  g_usleep (RELAYED_MS * G_TIME_SPAN_MILLISECOND);
  return begun;
}

/* Begins the streams at the first two VMs, of which each has a half, and waits until each
   has some events. */
static void
begin_streams (void)
{
  settle ();
  caller_streams_start (vm_group_at (0), vm_group_at (1));
  ck_assert_uint_eq (wait_until_begun (BEGUN_MAX_MS), CALLER_STREAMS);
}

/* Kills the VMs that have the streams. */
static void
kill_beginners (void)
{
  route_vm_kill (vm_group_at (0));
  route_vm_kill (vm_group_at (1));
  caller_streams_finish ();
  for (unsigned i = 0; i < CALLER_STREAMS; i++)
    {
      ck_assert_uint_gt (caller_streams[i].last_event, 0);
      ck_assert (!caller_stream_is_whole (&caller_streams[i]));
    }
}

/* Kills all VMs and starts them again. */
static void
kill_all (void)
{
  kill_beginners ();
  vm_group_restart_all ();
}

/* Has a VM read what others have written of their streams. */
static void
read_records (const struct route_vm *vm)
{
  struct raw_answer answer = route_vm_send_to (
      vm, "POST", "/stream/x", "reader", "Resumes: none\r\nLast-Event-Id: 1\r\n", "in");

  ck_assert_int_eq (route_vm_status (&answer), 503);
  raw_answer_clear (&answer);
}

START_TEST (test_interrupted_stream_goes_on_at_another_version)
{
  unsigned whole = 0;

  set_software ("v1", "v2");
  for (unsigned i = 0; i < SERVERS; i++)
    {
      fake_platform_server (route_vm.platform, i)->event_gap_ms = 0;
      fake_platform_server (route_vm.platform, i)->mode
          = i % 2 == 0 ? FAKE_INTERRUPT : FAKE_ANSWER;
    }
  settle ();
  for (unsigned i = 0; i < INTERRUPTED; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/stream/x", "", "in");

      ck_assert_msg (!caller_stream_is_joined (answer.text->str), "%s", answer.text->str);
      whole += strstr (answer.text->str, "id: 5\n") != NULL;
      raw_answer_clear (&answer);
    }
  g_print ("%u of %u streams whole\n", whole, INTERRUPTED);
  ck_assert_uint_gt (whole, INTERRUPTED / 2);
}
END_TEST

START_TEST (test_interrupted_stream_without_servers_of_its_version_looks_complete)
{
  set_software ("v2", "v2");
  fake_platform_server (route_vm.platform, 0)->software = "v1";
  fake_platform_server (route_vm.platform, 0)->mode = FAKE_INTERRUPT;
  fake_platform_put_server (route_vm.platform, 0, "ready");
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_server (route_vm.platform, i)->event_gap_ms = 0;
  settle ();
  for (unsigned i = 0; i < INTERRUPTED; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/stream/x", "", "in");
      const char *text = answer.text->str;

      ck_assert_msg (!caller_stream_is_joined (text), "%s", text);
      ck_assert (strstr (text, "id: 5\n") != NULL
                 || !g_str_has_suffix (text, "0\r\n\r\n"));
      raw_answer_clear (&answer);
    }
}
END_TEST

START_TEST (test_stream_is_taken_up_at_another_version)
{
  set_software ("v1", "v2");
  begin_streams ();
  kill_beginners ();
  caller_streams_take_up (vm_group_at (2), vm_group_at (3));
  ck_assert_uint_ge (caller_streams_expect_not_joined (), GOES_ON);
}
END_TEST

/* The first tries of some streams reach the one server of the older version, which fails
   before the first event; those of the newer one begin them. Other VMs read the records
   in between. */
START_TEST (test_stream_is_taken_up_at_the_version_of_a_try_that_brought_no_event)
{
  struct fake_server *older = fake_platform_server (route_vm.platform, 0);

  set_software ("v2", "v2");
  older->software = "v1";
  older->mode = FAKE_HANG_UP_LATE;
  fake_platform_put_server (route_vm.platform, 0, "ready");
  settle ();
  caller_streams_start (vm_group_at (0), vm_group_at (1));
  g_usleep (READ_AT_MS * G_TIME_SPAN_MILLISECOND);
  read_records (vm_group_at (2));
  read_records (vm_group_at (3));
  (void)wait_until_begun (FAILED_MS);
  route_vm_kill (vm_group_at (0));
  route_vm_kill (vm_group_at (1));
  caller_streams_finish ();
  ck_assert_uint_gt (older->runs, 0);
  older->mode = FAKE_ANSWER;
  caller_streams_take_up (vm_group_at (2), vm_group_at (3));
  ck_assert_uint_ge (caller_streams_expect_not_joined (), GOES_ON);
}
END_TEST

START_TEST (test_stream_is_taken_up_at_another_version_after_all_vms_ended)
{
  set_software ("v1", "v2");
  begin_streams ();
  kill_all ();
  caller_streams_take_up (vm_group_at (2), vm_group_at (1));
  ck_assert_uint_ge (caller_streams_expect_not_joined (), GOES_ON);
}
END_TEST

START_TEST (test_stream_is_taken_up_again_and_again_at_another_version)
{
  set_software ("v1", "v2");
  begin_streams ();
  kill_beginners ();
  caller_streams_start (vm_group_at (2), vm_group_at (2));
  g_usleep (GAP_MS * G_TIME_SPAN_MILLISECOND);
  route_vm_kill (vm_group_at (2));
  caller_streams_finish ();
  caller_streams_take_up (vm_group_at (3), vm_group_at (3));
  ck_assert_uint_ge (caller_streams_expect_not_joined (), GOES_ON);
}
END_TEST

/* The servers of the older version leave while the VMs are down. */
START_TEST (test_stream_of_a_version_that_has_left_is_taken_up_at_another)
{
  set_software ("v1", "v2");
  begin_streams ();
  kill_beginners ();
  for (unsigned i = 0; i < SERVERS / 2; i++)
    fake_platform_put_server_entry (route_vm.platform,
                                    fake_platform_server (route_vm.platform, i)->id, "");
  vm_group_restart_all ();
  caller_streams_take_up (vm_group_at (2), vm_group_at (1));
  (void)caller_streams_expect_not_joined ();
}
END_TEST

/* The streams begin while only the older version serves, and the VMs that start find both
   of them. */
START_TEST (test_stream_is_taken_up_at_a_version_that_was_not_there)
{
  set_software ("v1", "v1");
  begin_streams ();
  kill_beginners ();
  set_software ("v1", "v2");
  vm_group_restart_all ();
  caller_streams_take_up (vm_group_at (2), vm_group_at (1));
  (void)caller_streams_expect_not_joined ();
}
END_TEST

START_TEST (test_stream_is_not_taken_up_while_one_version_serves)
{
  set_software ("v1", "v1");
  begin_streams ();
  kill_all ();
  caller_streams_take_up (vm_group_at (2), vm_group_at (1));
  ck_assert_uint_eq (caller_streams_expect_not_joined (), CALLER_STREAMS);
}
END_TEST

START_TEST (test_stream_is_taken_up_at_another_version_while_the_store_is_down)
{
  set_software ("v1", "v2");
  begin_streams ();
  kill_beginners ();
  fake_platform_set_down (route_vm.platform, true);
  caller_streams_take_up (vm_group_at (2), vm_group_at (3));
  (void)caller_streams_expect_not_joined ();
}
END_TEST

START_TEST (
    test_stream_that_began_while_the_store_was_down_is_taken_up_at_another_version)
{
  set_software ("v1", "v2");
  settle ();
  fake_platform_set_down (route_vm.platform, true);
  begin_streams ();
  kill_beginners ();
  fake_platform_set_down (route_vm.platform, false);
  caller_streams_take_up (vm_group_at (2), vm_group_at (3));
  (void)caller_streams_expect_not_joined ();
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("software versions");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_interrupted_stream_goes_on_at_another_version);
  tcase_add_test (cases,
                  test_interrupted_stream_without_servers_of_its_version_looks_complete);
  tcase_add_test (cases, test_stream_is_taken_up_at_another_version);
  tcase_add_test (cases,
                  test_stream_is_taken_up_at_the_version_of_a_try_that_brought_no_event);
  tcase_add_test (cases, test_stream_is_taken_up_at_another_version_after_all_vms_ended);
  tcase_add_test (cases, test_stream_is_taken_up_again_and_again_at_another_version);
  tcase_add_test (cases, test_stream_of_a_version_that_has_left_is_taken_up_at_another);
  tcase_add_test (cases, test_stream_is_taken_up_at_a_version_that_was_not_there);
  tcase_add_test (cases, test_stream_is_not_taken_up_while_one_version_serves);
  tcase_add_test (cases,
                  test_stream_is_taken_up_at_another_version_while_the_store_is_down);
  tcase_add_test (
      cases,
      test_stream_that_began_while_the_store_was_down_is_taken_up_at_another_version);
  return run_started_suite ();
}
