/* Planned stops of a routing VM while requests are in progress that outlast the grace
   period: the process exits in order, and no caller's connection ends without a word. */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define GRACE_MS      4000 /* in the VM's settings */
#define EXIT_SLACK_MS 300
#define LATE_MS       500 /* within the drain notice of 700 ms */
#define BETWEEN_MS    100
#define EVENT_GAP_MS  50
#define WAIT_STEP_MS  10
#define BOOKINGS      6u
#define STREAM_HEADER "Content-Type: text/event-stream\r\n"
#define CHUNKED_END   "\r\n0\r\n\r\n"
#define REQUEST                                                                          \
  "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u\r\n"                                   \
  "Authorization: Bearer key1\r\nContent-Length: 2\r\n\r\nin"

/* Never answers, until the test ends. */
static void
work_on (struct scripted_request *request, void *user)
{
  (void)user;
  while (!scripted_server_is_stopping (request->server))
    g_usleep (WAIT_STEP_MS * G_TIME_SPAN_MILLISECOND);
}

/* Streams events until the test ends or the VM closes the connection. */
static void
stream_on (struct scripted_request *request, void *user)
{
  (void)user;
  if (!scripted_request_write_head (request, "200 OK", STREAM_HEADER))
    return;
  for (unsigned i = 1; !scripted_server_is_stopping (request->server); i++)
    {
      g_autofree char *event = g_strdup_printf ("id: %u\ndata: piece %u\n\n", i, i);

      if (!scripted_request_write (request, event))
        return;
      g_usleep (EVENT_GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
}

/* A request of a caller on a thread of its own, and its answer. */
struct caller
{
  GThread *thread;
  const char *path;
  unsigned number;
  struct raw_answer answer;
};

static gpointer
call (gpointer data)
{
  struct caller *caller = data;
  g_autofree char *text = g_strdup_printf (REQUEST, caller->path, caller->number);

  caller->answer = raw_exchange (route_vm.port, text, ROUTE_VM_TIMEOUT_MS);
  return NULL;
}

/* Waits for the VM's exit and fails unless it is in order and within the grace period. */
static void
expect_orderly_exit (int64_t stop_us)
{
  int status = 0;

  ck_assert_int_eq (waitpid (route_vm.pid, &status, 0), route_vm.pid);
  route_vm.pid = 0;
  ck_assert_msg (WIFEXITED (status) && WEXITSTATUS (status) == 0, "status %#x", status);
  ck_assert_int_le ((g_get_monotonic_time () - stop_us) / G_TIME_SPAN_MILLISECOND,
                    GRACE_MS + EXIT_SLACK_MS);
}

/* Guards against requests that come during a planned stop and outlast it being cut
   without an answer: bookings that may have run. */
START_TEST (test_late_bookings_that_outlast_a_planned_stop_are_answered)
{
  struct caller callers[BOOKINGS] = { 0 };
  int64_t stop_us;

  (void)scripted_vm_start_server ("i-1", work_on, NULL);
  stop_us = g_get_monotonic_time ();
  (void)kill (route_vm.pid, SIGTERM);
  g_usleep (LATE_MS * G_TIME_SPAN_MILLISECOND);
  for (unsigned i = 0; i < BOOKINGS; i++)
    {
      callers[i].path = i % 2 == 0 ? "/once/x" : "/long/x";
      callers[i].number = i;
      callers[i].thread = g_thread_new ("caller", call, &callers[i]);
    }
  expect_orderly_exit (stop_us);
  for (unsigned i = 0; i < BOOKINGS; i++)
    {
      (void)g_thread_join (callers[i].thread);
      ck_assert_int_eq (route_vm_status (&callers[i].answer), 504);
      raw_answer_clear (&callers[i].answer);
    }
}
END_TEST

/* Guards against the process ending by SIGABRT at the end of the drain while streams are
   in progress, also after several signals, and against such a stream looking complete. */
START_TEST (test_streams_that_outlast_a_planned_stop_are_broken_off)
{
  struct caller callers[BOOKINGS] = { 0 };
  int64_t stop_us;

  (void)scripted_vm_start_server ("i-1", stream_on, NULL);
  for (unsigned i = 0; i < BOOKINGS; i++)
    {
      callers[i].path = "/long-stream/x";
      callers[i].number = i;
      callers[i].thread = g_thread_new ("caller", call, &callers[i]);
    }
  g_usleep (BETWEEN_MS * G_TIME_SPAN_MILLISECOND);
  stop_us = g_get_monotonic_time ();
  (void)kill (route_vm.pid, SIGTERM);
  (void)kill (route_vm.pid, SIGHUP);
  g_usleep (BETWEEN_MS * G_TIME_SPAN_MILLISECOND);
  (void)kill (route_vm.pid, SIGTERM);
  expect_orderly_exit (stop_us);
  for (unsigned i = 0; i < BOOKINGS; i++)
    {
      (void)g_thread_join (callers[i].thread);
      ck_assert_int_eq (route_vm_status (&callers[i].answer), 200);
      ck_assert_ptr_nonnull (strstr (callers[i].answer.text->str, "id: 1\n"));
      ck_assert (callers[i].answer.closed);
      ck_assert (!g_str_has_suffix (callers[i].answer.text->str, CHUNKED_END));
      raw_answer_clear (&callers[i].answer);
    }
}
END_TEST

/* Guards against callers that do not read their stream, or whose body still arrives,
   keeping the process from ending in order. */
START_TEST (test_stop_ends_in_order_beside_callers_that_stand_still)
{
  g_autofree char *unread = g_strdup_printf (REQUEST, "/long-stream/x", 1u);
  int64_t stop_us;
  int callers[2];

  (void)scripted_vm_start_server ("i-1", stream_on, NULL);
  callers[0] = raw_connect_and_send (route_vm.port, unread, 1);
  callers[1] = raw_connect_and_send (route_vm.port,
                                     "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                     "Request-Id: r2\r\nAuthorization: Bearer key1\r\n"
                                     "Content-Length: 1000\r\n\r\nin",
                                     0);
  g_usleep (BETWEEN_MS * G_TIME_SPAN_MILLISECOND);
  stop_us = g_get_monotonic_time ();
  (void)kill (route_vm.pid, SIGTERM);
  expect_orderly_exit (stop_us);
  (void)close (callers[0]);
  (void)close (callers[1]);
}
END_TEST

/* Adds routes whose requests may last longer than the grace period. */
static void
set_up (void)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, 4, "key1");
  GString *text = g_string_new (config);

  scripted_vm_set_up ();
  ck_assert_uint_eq (
      g_string_replace (
          text, "\"routes\":[",
          "\"routes\":[{\"name\":\"long\",\"host\":\"h\",\"path-prefix\":\"/long/\","
          "\"route-type\":\"idempotent\",\"timeout-ms\":20000,\"max-attempts\":2,"
          "\"service\":\"s\"},"
          "{\"name\":\"long-stream\",\"host\":\"h\",\"path-prefix\":\"/long-stream/\","
          "\"route-type\":\"streaming\",\"resumable\":true,\"timeout-ms\":20000,"
          "\"max-attempts\":2,\"service\":\"s\"},",
          1),
      1);
  fake_platform_put_record (route_vm.platform, "config", text->str);
  g_string_free (text, TRUE);
}

int
main (void)
{
  TCase *cases = start_suite ("route stop");

  tcase_add_checked_fixture (cases, set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_late_bookings_that_outlast_a_planned_stop_are_answered);
  tcase_add_test (cases, test_streams_that_outlast_a_planned_stop_are_broken_off);
  tcase_add_test (cases, test_stop_ends_in_order_beside_callers_that_stand_still);
  return run_started_suite ();
}
