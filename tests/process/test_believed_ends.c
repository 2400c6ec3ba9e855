/* Answers that end with their connection: what counts as a sign that their server's
   process has outlived them, and what does not. */
#include <check.h>
#include <string.h>
#include <unistd.h>

#include "tests/harness/process_server.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define SETTLE_MS     400 /* until the VM knows a server */
#define HOLD_MS       300 /* of a request, so that the next one needs a connection too */
#define RESTART_MS    2000
#define EVENT_1       "id: 1\ndata: piece 1\n\n"
#define EVENT_2       "id: 2\ndata: piece 2\n\n"
#define STREAM_HEADER "Content-Type: text/event-stream\r\n"
#define TEXT_HEADER   "Content-Type: text/plain\r\n"
#define WHOLE_BODY    "the first half and the rest"
#define HALF_BODY     "the first ha"
#define LAST_CHUNK    "0\r\n\r\n"
/* More than 64 bits can hold. */
#define HUGE_LENGTH "Content-Length: 99999999999999999999999\r\n"

static struct process_server server;
static bool has_server;

static void
set_up (void)
{
  has_server = false;
  scripted_vm_set_up ();
}

static void
tear_down (void)
{
  if (has_server)
    process_server_stop (&server);
  scripted_vm_tear_down ();
}

static void
start_server (const struct process_server_script *script)
{
  size_t log_before = route_vm_log_size ();

  server = process_server_start (route_vm.platform, "i-1", script);
  has_server = true;
  g_usleep (SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  route_vm_wait_server_added ("i-1", log_before);
}

/* Starts a server whose process has another start than its entry, and checks that whole
   answers arrive, the first one only if must_be_first. */
static void
check_whole_answers (int64_t start_ms, bool must_be_first)
{
  struct process_server_script script = {
    .header_lines = TEXT_HEADER,
    .body = WHOLE_BODY,
    .end = PROCESS_SERVER_CLOSES,
    .reported_start_ms = start_ms,
  };

  start_server (&script);
  for (unsigned i = 0; i < 3; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "in");

      ck_assert_uint_eq (process_server_take_request_count (&server), 1);
      ck_assert_msg (route_vm_status (&answer) == 200 || (i == 0 && !must_be_first),
                     "answer %u is %d", i, route_vm_status (&answer));
      raw_answer_clear (&answer);
    }
}

/* A server that started again with its id at its address serves before its new entry is
   in the list, as when the store is slow. It has run the request and lives on. */
START_TEST (test_whole_answer_of_a_restarted_server_is_lost_before_its_new_entry)
{
  check_whole_answers (RESTART_MS, true);
}
END_TEST

/* If it has started just now, which process wrote the first answer cannot be told; of
   those after it, it can. */
START_TEST (test_whole_answers_of_a_server_that_has_just_restarted_are_lost)
{
  check_whole_answers (g_get_real_time () / G_TIME_SPAN_MILLISECOND, false);
}
END_TEST

/* libcurl reads an answer whose length is too great to be read until its connection
   ends. */
START_TEST (test_half_a_body_with_an_unreadable_length_of_a_killed_server_is_a_success)
{
  struct process_server_script script = {
    .header_lines = TEXT_HEADER HUGE_LENGTH,
    .body = HALF_BODY,
    .end = PROCESS_SERVER_IS_KILLED,
  };
  struct raw_answer answer;

  start_server (&script);
  answer = route_vm_send ("POST", "/once/x", "", "in");
  ck_assert_uint_eq (process_server_take_request_count (&server), 1);
  ck_assert_msg (answer.text->len == 0 || route_vm_status (&answer) == 502, "%s",
                 answer.text->str);
  raw_answer_clear (&answer);
}
END_TEST

/* The first requests leave their connections open; the third streams an event, and its
   process ends: nothing listens at its port. */
static void
answer_and_die (struct scripted_request *request, void *user)
{
  (void)user;
  if (request->number < 2)
    {
      g_usleep (HOLD_MS * G_TIME_SPAN_MILLISECOND);
      request->keep_open
          = scripted_request_write_head (request, "200 OK", "Content-Length: 2\r\n")
            && scripted_request_write (request, "ok");
      return;
    }
  scripted_server_close_port (request->server);
  if (scripted_request_write_head (request, "200 OK", STREAM_HEADER))
    (void)scripted_request_write (request, EVENT_1);
}

/* What a kept connection brings that the process wrote before its end and the network
   delivers late: an answer too many, of an earlier request. */
static void
deliver_late_answer (struct scripted_request *request, void *user)
{
  (void)user;
  (void)scripted_request_write (request,
                                "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\n"
                                "Server-Seal: i-1\r\nContent-Length: 2\r\n\r\nok");
}

static void *
send_once (void *user)
{
  struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "in");

  (void)user;
  raw_answer_clear (&answer);
  return NULL;
}

static void *
send_for_status (void *user)
{
  struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "in");
  int status = route_vm_status (&answer);

  (void)user;
  raw_answer_clear (&answer);
  return GINT_TO_POINTER (status);
}

START_TEST (test_late_answer_of_an_earlier_request_shows_that_a_dead_server_lives)
{
  struct scripted_server *scripted
      = scripted_vm_start_server ("i-1", answer_and_die, NULL);
  GThread *callers[2];
  struct raw_answer answer;

  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i] = g_thread_new ("caller", send_once, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    g_thread_join (callers[i]);
  scripted_server_answer_router_calls (scripted, deliver_late_answer);
  answer = route_vm_send ("POST", "/stream/x", "", "in");
  ck_assert_uint_eq (scripted_server_request_count (scripted), 3);
  ck_assert_ptr_nonnull (strstr (answer.text->str, "piece 1"));
  ck_assert_msg (!g_str_has_suffix (answer.text->str, "\r\n" LAST_CHUNK), "%s",
                 answer.text->str);
  raw_answer_clear (&answer);
}
END_TEST

static unsigned old_connections;

/* The first requests leave their connections open; the third is answered whole, without a
   length. */
static void
answer_whole (struct scripted_request *request, void *user)
{
  (void)user;
  if (request->connection >= old_connections)
    old_connections = request->connection + 1;
  if (request->number < 2)
    {
      g_usleep (HOLD_MS * G_TIME_SPAN_MILLISECOND);
      request->keep_open
          = scripted_request_write_head (request, "200 OK", "Content-Length: 2\r\n")
            && scripted_request_write (request, "ok");
      return;
    }
  if (scripted_request_write_head (request, "200 OK", TEXT_HEADER))
    (void)scripted_request_write (request, WHOLE_BODY);
}

static const char report[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 71\r\n\r\n"
      "{\"born\":1000,\"models\":[],\"busy\":false,\"seq-no\":0,\"queued\":0,"
      "\"active\":0}";

/* Answers nothing on the connections that are open by then, as if the network had lost
   them without notice, and calls on new ones at once. */
static void
report_on_new_connections (struct scripted_request *request, void *user)
{
  (void)user;
  request->keep_open = true;
  if (request->connection >= old_connections)
    (void)scripted_request_write (request, report);
}

START_TEST (test_whole_answer_is_lost_if_the_report_is_asked_on_a_dead_connection)
{
  struct scripted_server *scripted = scripted_vm_start_server ("i-1", answer_whole, NULL);
  GThread *callers[2];
  struct raw_answer answer;

  old_connections = 0;
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    callers[i] = g_thread_new ("caller", send_once, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    g_thread_join (callers[i]);
  scripted_server_answer_router_calls (scripted, report_on_new_connections);
  answer = route_vm_send ("POST", "/once/x", "", "in");
  ck_assert_uint_eq (scripted_server_request_count (scripted), 3);
  ck_assert_msg (route_vm_status (&answer) == 200, "%s", answer.text->str);
  raw_answer_clear (&answer);
}
END_TEST

static gint died; /* the process has ended, and the VM knows of the second answer's end */

/* Answers the first request whole. Then, while the report is asked for, the process ends
   within the second answer. */
static void
answer_whole_then_die (struct scripted_request *request, void *user)
{
  (void)user;
  if (request->number == 0)
    {
      g_usleep (HOLD_MS * G_TIME_SPAN_MILLISECOND);
      if (scripted_request_write_head (request, "200 OK", TEXT_HEADER))
        (void)scripted_request_write (request, WHOLE_BODY);
      return;
    }
  g_usleep (2 * HOLD_MS * G_TIME_SPAN_MILLISECOND);
  scripted_server_close_port (request->server);
  if (scripted_request_write_head (request, "200 OK", TEXT_HEADER))
    (void)scripted_request_write (request, HALF_BODY);
}

/* Delivers a report, of before the process's end, after it. */
static void
report_late (struct scripted_request *request, void *user)
{
  (void)user;
  while (!g_atomic_int_get (&died) && !scripted_server_is_stopping (request->server))
    g_usleep (G_TIME_SPAN_MILLISECOND);
  (void)scripted_request_write (request, report);
}

START_TEST (test_report_asked_before_an_answers_end_confirms_that_end)
{
  struct scripted_server *scripted
      = scripted_vm_start_server ("i-1", answer_whole_then_die, NULL);
  GThread *first;
  GThread *second;

  g_atomic_int_set (&died, 0);
  scripted_server_answer_router_calls (scripted, report_late);
  first = g_thread_new ("first", send_for_status, NULL);
  g_usleep (HOLD_MS / 3 * G_TIME_SPAN_MILLISECOND);
  second = g_thread_new ("second", send_for_status, NULL);
  g_usleep (3 * HOLD_MS * G_TIME_SPAN_MILLISECOND);
  g_atomic_int_set (&died, 1);
  ck_assert_int_eq (GPOINTER_TO_INT (g_thread_join (first)), 200);
  ck_assert_int_eq (GPOINTER_TO_INT (g_thread_join (second)), 502);
  ck_assert_uint_eq (scripted_server_request_count (scripted), 2);
}
END_TEST

static Suite *
make_suite (void)
{
  Suite *suite = suite_create ("believed_ends");
  TCase *cases = tcase_create ("believed_ends");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases,
                  test_whole_answer_of_a_restarted_server_is_lost_before_its_new_entry);
  tcase_add_test (cases, test_whole_answers_of_a_server_that_has_just_restarted_are_lost);
  tcase_add_test (
      cases, test_half_a_body_with_an_unreadable_length_of_a_killed_server_is_a_success);
  tcase_add_test (cases,
                  test_late_answer_of_an_earlier_request_shows_that_a_dead_server_lives);
  tcase_add_test (cases,
                  test_whole_answer_is_lost_if_the_report_is_asked_on_a_dead_connection);
  tcase_add_test (cases, test_report_asked_before_an_answers_end_confirms_that_end);
  suite_add_tcase (suite, cases);
  return suite;
}

int
main (void)
{
  return run_suite (make_suite ());
}
