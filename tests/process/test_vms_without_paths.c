/* VMs that lose their path to the servers, while callers, the store and the other VMs
   reach them, and the other VMs reach the servers. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/harness/cut_vm.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define SERVERS        3u
#define FIRST_MS       3500 /* from the cut on, until tries count */
#define TRIES          30u
#define BACK_MS        2500 /* from the end of the cut on, until requests are sent directly */
#define BROKEN_STREAMS 3u /* fewer than the retry budget allows */
#define AT_ONCE_MS     100
#define EVENT_GAP_MS   300
#define KILL_AFTER_MS  200 /* within the answer's 500 ms */

static struct cut_vm cut;
static unsigned sent;

static void
set_up (void)
{
  route_vm_set_up_servers (SERVERS);
  cut_vm_start (&cut, "z");
  g_usleep (VM_GROUP_MEET_MS * G_TIME_SPAN_MILLISECOND);
}

static void
tear_down (void)
{
  cut_vm_stop (&cut);
  route_vm_tear_down ();
}

/* Returns the requests that the servers ran. */
static unsigned
count_runs (void)
{
  unsigned runs = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    runs += fake_platform_server (route_vm.platform, i)->runs;
  return runs;
}

/* Sends one request after the other to a VM, of all kinds in turn. Returns how many were
   answered with success, each after one run. */
static unsigned
count_served (const struct route_vm *vm)
{
  static const char *const paths[] = { "/once/x", "/again/x", "/stream/x" };
  unsigned served = 0;

  for (unsigned i = 0; i < TRIES; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%u", sent++);
      struct raw_answer answer
          = route_vm_send_to (vm, "POST", paths[i % G_N_ELEMENTS (paths)], id, "", "in");

      if (route_vm_status (&answer) == 200)
        {
          served++;
          ck_assert_uint_eq (fake_platform_run_count (route_vm.platform, id), 1);
        }
      raw_answer_clear (&answer);
    }
  return served;
}

START_TEST (test_callers_of_a_vm_without_paths_are_served)
{
  unsigned served;
  unsigned served_elsewhere;

  cut_vm_cut (&cut, (enum cut_kind)_i, SERVERS);
  g_usleep (FIRST_MS * G_TIME_SPAN_MILLISECOND);
  served = count_served (&cut.vm);
  served_elsewhere = count_served (&route_vm);
  ck_assert_uint_eq (served_elsewhere, TRIES);
  ck_assert_uint_ge (served * 3, served_elsewhere * 2);
}
END_TEST

/* Sends one request to the VM that is cut off. */
static struct raw_answer
send_to_cut (const char *path)
{
  g_autofree char *id = g_strdup_printf ("r%u", sent++);

  return route_vm_send_to (&cut.vm, "POST", path, id, "X-Kept: 1\r\n", "body");
}

/* Cuts the VM off from all servers and waits until it knows. */
static void
cut_and_wait (void)
{
  cut_vm_cut (&cut, CUT_REFUSED, SERVERS);
  g_usleep (FIRST_MS * G_TIME_SPAN_MILLISECOND);
}

/* Returns a counter of a VM. */
static unsigned
read_counter (const struct route_vm *vm, const char *name)
{
  struct raw_answer answer = raw_exchange (
      vm->metrics_port, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      ROUTE_VM_TIMEOUT_MS);
  g_autofree char *line = g_strdup_printf ("\nkingcuppoint_%s_total ", name);
  const char *at = strstr (answer.text->str, line);
  unsigned value;

  ck_assert_msg (at != NULL, "no counter %s in: %s", name, answer.text->str);
  value = (unsigned)strtoul (at + strlen (line), NULL, 10);
  raw_answer_clear (&answer);
  return value;
}

START_TEST (test_requests_are_sent_directly_once_the_path_is_back)
{
  unsigned taken_over;

  cut_and_wait ();
  ck_assert_uint_gt (count_served (&cut.vm), 0);
  cut_vm_heal (&cut);
  g_usleep (BACK_MS * G_TIME_SPAN_MILLISECOND);
  taken_over = read_counter (&route_vm, "taken_over");
  ck_assert_uint_eq (count_served (&cut.vm), TRIES);
  ck_assert_uint_eq (read_counter (&route_vm, "taken_over"), taken_over);
}
END_TEST

/* Guards against requests that go around, or wait, where no VM reaches a server. */
START_TEST (test_requests_are_refused_at_once_where_no_vm_reaches_a_server)
{
  struct cut_vm other;

  cut_vm_start (&other, "z");
  route_vm_kill (&route_vm);
  cut_vm_cut (&other, CUT_SILENT, SERVERS);
  cut_vm_cut (&cut, CUT_SILENT, SERVERS);
  g_usleep (FIRST_MS * G_TIME_SPAN_MILLISECOND);
  for (unsigned i = 0; i < TRIES; i++)
    {
      struct raw_answer answer = send_to_cut ("/once/x");

      ck_assert_int_eq (route_vm_status (&answer), 503);
      ck_assert_ptr_nonnull (strstr (answer.text->str, "\r\nRetry-After: "));
      /* The first ones find out. */
      if (i > 3)
        ck_assert_int_le (answer.elapsed_ms, AT_ONCE_MS);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (count_runs (), 0);
  cut_vm_stop (&other);
}
END_TEST

START_TEST (test_passed_on_request_reaches_its_server_unchanged)
{
  struct raw_answer answer;

  cut_and_wait ();
  answer = send_to_cut ("/once/x");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  ck_assert_ptr_nonnull (strstr (answer.text->str, "\r\nServer-Seal: "));
  ck_assert_ptr_null (strcasestr (answer.text->str, "kingcuppoint-hop"));
  raw_answer_clear (&answer);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct fake_server *server = fake_platform_server (route_vm.platform, i);
      g_autofree char *team = fake_server_header (server, "tenant");
      g_autofree char *key = fake_server_header (server, "authorization");
      g_autofree char *kept = fake_server_header (server, "x-kept");
      g_autofree char *hop = fake_server_header (server, "kingcuppoint-hop-team");
      g_autofree char *deadline = fake_server_header (server, "request-deadline");

      if (server->runs == 0)
        continue;
      ck_assert_str_eq (server->body->str, "body");
      ck_assert_str_eq (team, "team1");
      ck_assert_ptr_null (key);
      ck_assert_str_eq (kept, "1");
      ck_assert_ptr_null (hop);
      ck_assert_int_le (atoi (deadline), 2500);
      ck_assert_int_gt (atoi (deadline), 1500);
    }
  ck_assert_uint_eq (count_runs (), 1);
}
END_TEST

/* Guards against callers that claim to be a VM: at its port for VMs, and by the headers
   that VMs use. */
START_TEST (test_caller_cannot_pass_requests_on)
{
  const char *request = "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Kingcuppoint-Hop-Team: team1\r\nKingcuppoint-Hop-Service: s\r\n"
                        "Connection: close\r\nContent-Length: 2\r\n\r\nin";
  struct raw_answer answer = raw_exchange (route_vm.port, request, ROUTE_VM_TIMEOUT_MS);

  ck_assert_int_eq (route_vm_status (&answer), 401);
  raw_answer_clear (&answer);
  answer = raw_exchange_from ("127.0.0.9", route_vm.peers_port, request,
                              ROUTE_VM_TIMEOUT_MS);
  ck_assert_int_eq (route_vm_status (&answer), 403);
  raw_answer_clear (&answer);
  ck_assert_uint_eq (count_runs (), 0);
}
END_TEST

static void
set_event_gap (unsigned gap_ms)
{
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_server (route_vm.platform, i)->event_gap_ms = gap_ms;
}

/* Sends a stream request to the VM that is cut off and waits for its first event. Returns
   the socket. */
static int
begin_stream (void)
{
  g_autofree char *text
      = g_strdup_printf ("POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u\r\n"
                         "Authorization: Bearer key1\r\nContent-Length: 2\r\n\r\nin",
                         sent++);
  int64_t start_us = g_get_monotonic_time ();
  g_autoptr (GString) received = g_string_new (NULL);
  int fd = raw_connect_and_send (cut.vm.port, text, 0);

  while (strstr (received->str, "id: 1\n") == NULL)
    {
      char block[4096];
      ssize_t count = read (fd, block, sizeof block);

      ck_assert_int_gt (count, 0);
      g_string_append_len (received, block, count);
    }
  /* The servers pause before each event. */
  ck_assert_int_lt ((g_get_monotonic_time () - start_us) / G_TIME_SPAN_MILLISECOND,
                    2 * EVENT_GAP_MS);
  ck_assert_ptr_null (strstr (received->str, "id: 2\n"));
  return fd;
}

START_TEST (test_events_of_a_passed_on_stream_arrive_one_by_one_and_end_with_the_caller)
{
  int64_t left_us;
  int fd;

  cut_and_wait ();
  set_event_gap (EVENT_GAP_MS);
  fd = begin_stream ();
  ck_assert_uint_eq (read_counter (&route_vm, "cancelled"), 0);
  (void)close (fd);
  left_us = g_get_monotonic_time ();
  while (read_counter (&route_vm, "cancelled") == 0)
    {
      ck_assert_int_le ((g_get_monotonic_time () - left_us) / G_TIME_SPAN_MILLISECOND,
                        2 * EVENT_GAP_MS);
      g_usleep (G_TIME_SPAN_MILLISECOND);
    }
}
END_TEST

/* The server that the VM reaches breaks the stream off after event 2, the other VM has
   the others go on. */
START_TEST (test_stream_that_breaks_off_goes_on_through_another_vm)
{
  fake_platform_server (route_vm.platform, SERVERS - 1)->mode = FAKE_INTERRUPT;
  cut_vm_cut (&cut, CUT_REFUSED, SERVERS - 1);
  g_usleep (FIRST_MS * G_TIME_SPAN_MILLISECOND);
  for (unsigned i = 0; i < BROKEN_STREAMS; i++)
    {
      struct raw_answer answer = send_to_cut ("/stream/x");

      ck_assert_int_eq (route_vm_status (&answer), 200);
      ck_assert (g_str_has_suffix (answer.text->str, "\r\n0\r\n\r\n"));
      for (unsigned event = 1; event <= FAKE_STREAM_EVENTS; event++)
        {
          g_autofree char *line = g_strdup_printf ("id: %u\n", event);
          const char *at = strstr (answer.text->str, line);

          ck_assert_ptr_nonnull (at);
          ck_assert_ptr_null (strstr (at + 1, line));
        }
      raw_answer_clear (&answer);
    }
  ck_assert_uint_gt (read_counter (&route_vm, "taken_over"), 0);
}
END_TEST

START_TEST (test_runs_over_several_vms_stay_within_the_attempts_allowed)
{
  struct route_vm third;
  unsigned runs = 0;

  route_vm_add (&third, "z");
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_server (route_vm.platform, i)->mode = FAKE_INTERRUPT;
  cut_and_wait ();
  for (unsigned i = 0; i < BROKEN_STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("broken%u", i);
      struct raw_answer answer
          = route_vm_send_to (&cut.vm, "POST", "/stream/x", id, "", "in");

      raw_answer_clear (&answer);
      runs = MAX (runs, fake_platform_run_count (route_vm.platform, id));
    }
  route_vm_remove (&third);
  ck_assert_uint_gt (runs, 0);
  ck_assert_uint_le (runs, 2);
}
END_TEST

/* Sets how all servers handle requests, and gives each a software version of its own. */
static void
set_servers (enum fake_mode mode)
{
  static const char *const software[SERVERS] = { "v1", "v2", "v3" };

  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct fake_server *server = fake_platform_server (route_vm.platform, i);

      server->mode = mode;
      server->software = software[i];
      fake_platform_put_server (route_vm.platform, i, "ready");
    }
}

/* Returns the software version of the events of an answer; 0: it has none. */
static int
software_of (const struct raw_answer *answer)
{
  const char *at = strstr (answer->text->str, " of v");

  return at != NULL ? atoi (at + strlen (" of v")) : 0;
}

/* A VM tries servers in vain and declines a stream, which then begins through a third VM:
   the versions that the declining one tried did not begin it. */
START_TEST (test_stream_that_a_vm_declined_is_not_resumed_at_a_version_that_it_tried)
{
  struct cut_vm declining;
  struct cut_vm passing;
  struct raw_answer begun;
  struct raw_answer resumed;

  cut_vm_start (&declining, "y");
  cut_vm_start (&passing, "y");
  set_servers (FAKE_INTERRUPT);
  cut_vm_cut (&passing, CUT_REFUSED, SERVERS);
  g_usleep (FIRST_MS * G_TIME_SPAN_MILLISECOND);
  cut_vm_cut (&declining, CUT_REFUSED, SERVERS);
  begun = route_vm_send_to (&passing.vm, "POST", "/stream/x", "begun", "", "in");
  ck_assert_int_eq (route_vm_status (&begun), 200);
  ck_assert_int_ne (software_of (&begun), 0);
  set_servers (FAKE_ANSWER);
  cut_vm_heal (&declining);
  g_usleep (BACK_MS * G_TIME_SPAN_MILLISECOND);
  resumed = route_vm_send_to (&declining.vm, "POST", "/stream/x", "resumed",
                              "Resumes: begun\r\nLast-Event-Id: 1\r\n", "in");
  ck_assert_int_eq (route_vm_status (&resumed), 200);
  ck_assert_int_eq (software_of (&resumed), software_of (&begun));
  raw_answer_clear (&begun);
  raw_answer_clear (&resumed);
  cut_vm_stop (&passing);
  cut_vm_stop (&declining);
}
END_TEST

static gpointer
kill_vm_soon (gpointer user)
{
  g_usleep (KILL_AFTER_MS * G_TIME_SPAN_MILLISECOND);
  route_vm_kill (user);
  return NULL;
}

/* Guards against a promise that a booking has not run, or a second run, when the VM ends
   that it was passed on to. */
START_TEST (test_booking_whose_other_vm_ends_is_neither_refused_nor_repeated)
{
  struct raw_answer answer;
  GThread *thread;

  cut_and_wait ();
  route_vm_set_modes (FAKE_SLOW, FAKE_SLOW);
  fake_platform_server (route_vm.platform, 2)->mode = FAKE_SLOW;
  thread = g_thread_new ("kill", kill_vm_soon, &route_vm);
  answer = send_to_cut ("/once/x");
  (void)g_thread_join (thread);
  ck_assert_int_eq (route_vm_status (&answer), 502);
  ck_assert_uint_eq (count_runs (), 1);
  raw_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("vms without paths");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_callers_of_a_vm_without_paths_are_served, 0,
                       CUT_KINDS);
  tcase_add_test (cases, test_requests_are_sent_directly_once_the_path_is_back);
  tcase_add_test (cases, test_requests_are_refused_at_once_where_no_vm_reaches_a_server);
  tcase_add_test (cases, test_passed_on_request_reaches_its_server_unchanged);
  tcase_add_test (cases, test_caller_cannot_pass_requests_on);
  tcase_add_test (
      cases, test_events_of_a_passed_on_stream_arrive_one_by_one_and_end_with_the_caller);
  tcase_add_test (cases, test_stream_that_breaks_off_goes_on_through_another_vm);
  tcase_add_test (cases, test_runs_over_several_vms_stay_within_the_attempts_allowed);
  tcase_add_loop_test (
      cases, test_stream_that_a_vm_declined_is_not_resumed_at_a_version_that_it_tried, 0,
      3);
  tcase_add_test (cases,
                  test_booking_whose_other_vm_ends_is_neither_refused_nor_repeated);
  return run_started_suite ();
}
