/* Streams that go on after an event: the caller gets each event once, whoever resumes
   them. */
#include <check.h>
#include <string.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define EVENT_1       "id: 1\ndata: piece 1\n\n"
#define EVENT_2       "id: 2\ndata: piece 2\n\n"
#define EVENT_3       "id: 3\ndata: piece 3\n\n"
#define STREAM_HEADER "Content-Type: text/event-stream\r\n"
#define LAST_CHUNK    "0\r\n\r\n"
#define PAUSE_MS      600 /* between two events of a slow server */
#define SETTLE_MS     400 /* until a VM knows the servers */
#define REQUESTS_MAX  12

static unsigned
count_of (const char *text, const char *part)
{
  unsigned count = 0;

  for (text = strstr (text, part); text != NULL; text = strstr (text + 1, part))
    count++;
  return count;
}

static void
check_complete (const struct raw_answer *answer)
{
  ck_assert_int_eq (route_vm_status (answer), 200);
  ck_assert (g_str_has_suffix (answer->text->str, "\r\n" LAST_CHUNK));
}

static void
break_off_after_event_1 (struct scripted_request *request, void *user)
{
  (void)user;
  if (!scripted_request_write_head (request, "200 OK", STREAM_HEADER)
      || !scripted_request_write (request, EVENT_1))
    return;
  g_usleep (50 * G_TIME_SPAN_MILLISECOND);
  scripted_request_reset (request);
}

/* Writes all events, whatever the caller has. */
static void
begin_again (struct scripted_request *request, void *user)
{
  (void)user;
  if (scripted_request_write_head (request, "200 OK", STREAM_HEADER))
    (void)scripted_request_write (request, EVENT_1 EVENT_2 EVENT_3);
}

/* Writes the events after the caller's last one, with a pause before the last event. */
static void
stream_slowly (struct scripted_request *request, void *user)
{
  unsigned after
      = request->after_event != NULL ? (unsigned)(request->after_event[0] - '0') : 0;

  (void)user;
  if (!scripted_request_write_head (request, "200 OK", STREAM_HEADER))
    return;
  if (after < 1)
    (void)scripted_request_write (request, EVENT_1);
  if (after < 2)
    (void)scripted_request_write (request, EVENT_2);
  g_usleep (PAUSE_MS * G_TIME_SPAN_MILLISECOND);
  (void)scripted_request_write (request, EVENT_3);
}

/* The VM resumes a stream at a server that begins again at the first event. */
START_TEST (test_events_that_a_caller_has_do_not_come_twice_when_the_vm_resumes)
{
  struct scripted_server *first
      = scripted_vm_start_server ("i-1", break_off_after_event_1, NULL);

  (void)scripted_vm_start_server ("i-2", begin_again, NULL);
  for (unsigned i = 0; i < REQUESTS_MAX && scripted_server_request_count (first) == 0;
       i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/stream/x", "", "in");

      check_complete (&answer);
      ck_assert_uint_eq (count_of (answer.text->str, "piece 1"), 1);
      ck_assert_uint_eq (count_of (answer.text->str, "piece 2"), 1);
      ck_assert_uint_eq (count_of (answer.text->str, "piece 3"), 1);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_gt (scripted_server_request_count (first), 0);
}
END_TEST

/* The same, where the caller itself resumes it. */
START_TEST (test_events_that_a_caller_has_do_not_come_twice_when_it_resumes)
{
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", begin_again, NULL);
  answer = route_vm_send ("POST", "/stream/x", "Last-Event-Id: 1\r\n", "in");
  check_complete (&answer);
  ck_assert_uint_eq (count_of (answer.text->str, "piece 1"), 0);
  ck_assert_uint_eq (count_of (answer.text->str, "piece 2"), 1);
  ck_assert_uint_eq (count_of (answer.text->str, "piece 3"), 1);
  raw_answer_clear (&answer);
}
END_TEST

static void *
stream_at_first_vm (void *user)
{
  struct raw_answer *relayed = user;

  *relayed = route_vm_send ("POST", "/stream/x", "", "in");
  return NULL;
}

/* The caller resumes at another VM while the first one still relays. Each VM relays one
   run. */
START_TEST (test_stream_resumed_at_another_vm_is_not_joined_with_the_first)
{
  struct route_vm second = { 0 };
  struct raw_answer relayed = { 0 };
  struct raw_answer resumed;
  GThread *thread;

  (void)scripted_vm_start_server ("i-1", stream_slowly, NULL);
  route_vm_add (&second, NULL);
  g_usleep (SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  thread = g_thread_new ("first", stream_at_first_vm, &relayed);
  g_usleep (PAUSE_MS / 3 * G_TIME_SPAN_MILLISECOND);
  resumed = route_vm_send_to (&second, "POST", "/stream/x", "r2", "Last-Event-Id: 1\r\n",
                              "in");
  g_thread_join (thread);
  check_complete (&resumed);
  check_complete (&relayed);
  ck_assert_uint_eq (count_of (resumed.text->str, "id: 1"), 0);
  ck_assert_uint_eq (count_of (resumed.text->str, "id: 2"), 1);
  ck_assert_uint_eq (count_of (resumed.text->str, "id: 3"), 1);
  for (unsigned i = 1; i <= 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("id: %u", i);

      ck_assert_uint_eq (count_of (relayed.text->str, id), 1);
    }
  raw_answer_clear (&resumed);
  raw_answer_clear (&relayed);
  route_vm_remove (&second);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("resumed_streams");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases,
                  test_events_that_a_caller_has_do_not_come_twice_when_the_vm_resumes);
  tcase_add_test (cases, test_events_that_a_caller_has_do_not_come_twice_when_it_resumes);
  tcase_add_test (cases, test_stream_resumed_at_another_vm_is_not_joined_with_the_first);
  return run_started_suite ();
}
