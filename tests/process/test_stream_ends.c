/* Streams whose connection ends early, or without a length and chunks: what the caller
   gets. */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define SETTLE_MS 400 /* until a server that has ended is found to have crashed */

#define EVENT_1       "id: 1\ndata: piece 1\n\n"
#define EVENT_2       "id: 2\ndata: piece 2\n\n"
#define EVENT_1_CRLF  "id: 1\r\ndata: piece 1\r\n\r\n"
#define EVENT_2_CRLF  "id: 2\r\ndata: piece 2\r\n\r\n"
#define HALF_EVENT    "id: 2\ndata: pie"
#define CHUNKED       "Transfer-Encoding: chunked\r\n"
#define STREAM_HEADER "Content-Type: text/event-stream\r\n"
#define LAST_CHUNK    "0\r\n\r\n"

/* An answer of the server to a stream request. */
struct script
{
  const char *header_lines;
  const char *body;
  bool reset; /* of the connection, after the body */
};

/* The last one is closed before its first event. */
static const struct script closed_within_event[] = {
  { "", EVENT_1 HALF_EVENT, false },
  { "", HALF_EVENT, false },
  { "", EVENT_1 "id: 2\ndata: piece 2\n", false },
  { "", EVENT_1_CRLF "id: 2\r\ndata: piece 2\r\n", false },
  { "", EVENT_1 "i", false },
  { "Content-Length: 36\r\n", EVENT_1 HALF_EVENT, false },
  { CHUNKED, "24\r\n" EVENT_1 HALF_EVENT "\r\n" LAST_CHUNK, false },
  { CHUNKED, "24\r\n" EVENT_1 HALF_EVENT "\r\n", false },
  { "Content-Length: 1000\r\n", EVENT_1 HALF_EVENT, false },
  { "", EVENT_1_CRLF "id: 2\r\ndata: piece 2\r\n\r", false },
  { "", "", false },
};

static const struct script reset_streams[] = {
  { "", EVENT_1 HALF_EVENT, true },
  { "", EVENT_1, true },
  { "", "", true },
  { CHUNKED, "15\r\n" EVENT_1 "\r\n", true },
};

/* Bodies of whole streams without a length and chunks. */
static const char *const whole_streams[] = {
  EVENT_1 EVENT_2,
  EVENT_1_CRLF EVENT_2_CRLF,
  EVENT_1 ": comment\n\n",
};

static void
play (struct scripted_request *request, const struct script *script)
{
  g_autofree char *header_lines = g_strconcat (STREAM_HEADER, script->header_lines, NULL);

  if (!scripted_request_write_head (request, "200 OK", header_lines)
      || !scripted_request_write (request, script->body))
    return;
  if (!script->reset)
    return;
  /* The caller's side has read the body before the reset discards it. */
  g_usleep (50 * G_TIME_SPAN_MILLISECOND);
  scripted_request_reset (request);
}

static void
play_script (struct scripted_request *request, void *user)
{
  play (request, user);
}

/* Streams the events after the caller's last one, without a length and chunks. */
static void
stream_rest (struct scripted_request *request, void *user)
{
  (void)user;
  if (!scripted_request_write_head (request, "200 OK", STREAM_HEADER))
    return;
  if (request->after_event == NULL || strcmp (request->after_event, "0") == 0)
    (void)scripted_request_write (request, EVENT_1);
  (void)scripted_request_write (request, EVENT_2);
}

/* Returns true if an HTTP client takes the answer, on a connection that the VM closes
   after it, for a complete success. */
static bool
looks_complete (const struct raw_answer *answer)
{
  return route_vm_status (answer) == 200 && answer->closed
         && g_str_has_suffix (answer->text->str, "\r\n" LAST_CHUNK);
}

START_TEST (test_stream_closed_within_an_event_does_not_look_complete)
{
  struct scripted_server *first;
  struct raw_answer answer;

  first = scripted_vm_start_server ("i-1", play_script, &closed_within_event[_i]);
  answer = route_vm_send ("POST", "/stream/x", "", "in");
  ck_assert (!looks_complete (&answer));
  ck_assert_ptr_null (strstr (answer.text->str, "id: 2"));
  ck_assert_uint_eq (scripted_server_request_count (first), 1);
  raw_answer_clear (&answer);
}
END_TEST

START_TEST (test_reset_stream_does_not_look_complete)
{
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", play_script, &reset_streams[_i]);
  answer = route_vm_send ("POST", "/stream/x", "", "in");
  ck_assert (!looks_complete (&answer));
  raw_answer_clear (&answer);
}
END_TEST

/* An HTTP/1.0 caller knows the end of a stream only by the end of its connection. */
START_TEST (test_interrupted_stream_does_not_look_complete_to_an_http_1_0_caller)
{
  const char *request = "POST /stream/x HTTP/1.0\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\n"
                        "Content-Length: 2\r\n\r\nin";
  struct script script = _i == 0 ? (struct script){ .header_lines = "", .body = EVENT_1 }
                                 : closed_within_event[0];
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", play_script, &script);
  answer = raw_exchange (route_vm.port, request, ROUTE_VM_TIMEOUT_MS);
  ck_assert_int_eq (route_vm_status (&answer), 200);
  ck_assert (answer.closed);
  ck_assert_int_eq (answer.reset, _i == 1);
  raw_answer_clear (&answer);
}
END_TEST

static unsigned
count_of (const char *text, const char *part)
{
  unsigned count = 0;

  for (text = strstr (text, part); text != NULL; text = strstr (text + 1, part))
    count++;
  return count;
}

/* A resumable stream that a server breaks off within an event, or before it, continues at
   another server: the caller gets each event once and no half one. */
START_TEST (test_stream_closed_within_an_event_resumes_elsewhere)
{
  struct scripted_server *first;
  struct raw_answer answer;

  first = scripted_vm_start_server ("i-1", play_script, &closed_within_event[_i]);
  (void)scripted_vm_start_server ("i-2", stream_rest, NULL);
  for (unsigned i = 0; i < 12 && scripted_server_request_count (first) == 0; i++)
    {
      answer = route_vm_send ("POST", "/stream/x", "", "in");
      ck_assert (looks_complete (&answer));
      ck_assert_uint_eq (count_of (answer.text->str, "id: 1"), 1);
      ck_assert_uint_eq (count_of (answer.text->str, "piece 1"), 1);
      ck_assert_uint_eq (count_of (answer.text->str, "id: 2"), 1);
      ck_assert_uint_eq (count_of (answer.text->str, "piece 2\n\n"), 1);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (scripted_server_request_count (first), 1);
}
END_TEST

/* What the server answers that is asked to go on with a stream. */
struct error_answer
{
  const char *status;
  const char *header_lines;
  const char *body;
};

#define ERROR_TEXT "it is overloaded"

static const struct error_answer error_answers[] = {
  { "500 Internal Server Error", "Content-Type: text/plain\r\n", ERROR_TEXT },
  { "500 Internal Server Error", STREAM_HEADER, "id: 2\ndata: " ERROR_TEXT "\n\n" },
  { "502 Bad Gateway", "Content-Length: 16\r\n", ERROR_TEXT },
  { "503 Service Unavailable", "Retry-After: 1\r\nNot-Executed: 1\r\n", ERROR_TEXT },
  { "503 Service Unavailable", CHUNKED, "10\r\n" ERROR_TEXT "\r\n" LAST_CHUNK },
  { "404 Not Found", "Content-Type: application/json\r\n", ERROR_TEXT "\n\n" },
  { "429 Too Many Requests", "", ERROR_TEXT "\n\n" },
  { "200 OK", "Content-Type: application/json\r\n", "{\"" ERROR_TEXT "\"}\n\n" },
  { "200 OK", "Content-Type: text/html\r\nContent-Length: 18\r\n", ERROR_TEXT "\n\n" },
  { "200 OK", STREAM_HEADER,
    "HTTP/1.1 500 Internal Server Error\r\nServer: x\r\n\r\n" ERROR_TEXT },
  { "204 No Content", "", "" },
  { "500 Internal Server Error", "", "" },
};

static void
play_error (struct scripted_request *request, void *user)
{
  const struct error_answer *error = user;

  if (scripted_request_write_head (request, error->status, error->header_lines))
    (void)scripted_request_write (request, error->body);
}

/* A stream has begun and breaks off; the next server answers with an error. The caller
   gets the events that it has, nothing of the error, and an end that is not complete. */
START_TEST (test_error_of_the_next_server_does_not_reach_a_stream_that_has_begun)
{
  static const struct script broken_off = { "", EVENT_1, true };
  struct scripted_server *first;
  struct raw_answer answer;

  first = scripted_vm_start_server ("i-1", play_script, &broken_off);
  answer = route_vm_send ("POST", "/stream/x", "", "in");
  raw_answer_clear (&answer);
  (void)scripted_vm_start_server ("i-2", play_error, &error_answers[_i]);
  g_usleep (1100 * G_TIME_SPAN_MILLISECOND); /* the first one is no longer suspected */
  for (unsigned i = 0; i < 8; i++)
    {
      answer = route_vm_send ("POST", "/stream/x", "", "in");
      if (strstr (answer.text->str, "id: 1") != NULL)
        {
          ck_assert_ptr_null (strstr (answer.text->str, ERROR_TEXT));
          ck_assert_uint_eq (count_of (answer.text->str, "HTTP/1.1 "), 1);
          ck_assert (!looks_complete (&answer));
        }
      raw_answer_clear (&answer);
    }
  ck_assert_uint_gt (scripted_server_request_count (first), 1);
}
END_TEST

/* The server that broke off is suspected: it is the last choice for the next requests. */
START_TEST (test_server_that_closes_within_an_event_is_suspected)
{
  struct scripted_server *first;
  struct scripted_server *second;
  struct raw_answer answer;

  first = scripted_vm_start_server ("i-1", play_script, &closed_within_event[0]);
  answer = route_vm_send ("POST", "/stream/x", "", "in");
  raw_answer_clear (&answer);
  second = scripted_vm_start_server ("i-2", stream_rest, NULL);
  for (unsigned i = 0; i < 3; i++)
    {
      answer = route_vm_send ("POST", "/stream/x", "", "in");
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (scripted_server_request_count (first), 1);
  ck_assert_uint_eq (scripted_server_request_count (second), 3);
}
END_TEST

static void
break_off_and_end (struct scripted_request *request, void *user)
{
  scripted_server_close_port (request->server);
  play (request, user);
}

/* A server that ends while it streams is found to have crashed, and the request is noted
   as one that was in flight there. */
START_TEST (test_server_that_ends_within_an_event_counts_as_crashed)
{
  g_autofree char *path = g_build_filename (route_vm.folder, "out.log", NULL);
  g_autofree char *log = NULL;
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", break_off_and_end, &closed_within_event[0]);
  answer = route_vm_send ("POST", "/stream/x", "", "in");
  raw_answer_clear (&answer);
  g_usleep (SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert (g_file_get_contents (path, &log, NULL, NULL));
  ck_assert_ptr_nonnull (strstr (log, "\"event\":\"server_crashed\""));
  ck_assert_ptr_nonnull (strstr (log, "\"state\":\"suspect\""));
}
END_TEST

/* The caller may have all events already. */
START_TEST (test_stream_resumed_after_its_last_event_is_empty)
{
  struct script script = { .header_lines = "", .body = "" };
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", play_script, &script);
  answer = route_vm_send ("POST", "/stream/x", "Last-Event-Id: 2\r\n", "in");
  ck_assert (looks_complete (&answer));
  raw_answer_clear (&answer);
}
END_TEST

START_TEST (test_whole_stream_without_length_is_delivered)
{
  struct scripted_server *first;
  struct script script = { .header_lines = "", .body = whole_streams[_i] };
  struct raw_answer answer;

  first = scripted_vm_start_server ("i-1", play_script, &script);
  /* Connections that have ended are not used again. */
  for (unsigned i = 0; i < 3; i++)
    {
      answer = route_vm_send ("POST", "/stream/x", "", "in");
      ck_assert (looks_complete (&answer));
      ck_assert_ptr_nonnull (strstr (answer.text->str, "id: 1"));
      ck_assert_int_lt (answer.elapsed_ms, 1000);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (scripted_server_request_count (first), 3);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("stream_ends");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_stream_closed_within_an_event_does_not_look_complete,
                       0, G_N_ELEMENTS (closed_within_event));
  tcase_add_loop_test (cases, test_reset_stream_does_not_look_complete, 0,
                       G_N_ELEMENTS (reset_streams));
  tcase_add_loop_test (
      cases, test_interrupted_stream_does_not_look_complete_to_an_http_1_0_caller, 0, 2);
  tcase_add_loop_test (cases, test_stream_closed_within_an_event_resumes_elsewhere, 0,
                       G_N_ELEMENTS (closed_within_event));
  tcase_add_loop_test (
      cases, test_error_of_the_next_server_does_not_reach_a_stream_that_has_begun, 0,
      G_N_ELEMENTS (error_answers));
  tcase_add_test (cases, test_server_that_closes_within_an_event_is_suspected);
  tcase_add_test (cases, test_server_that_ends_within_an_event_counts_as_crashed);
  tcase_add_test (cases, test_stream_resumed_after_its_last_event_is_empty);
  tcase_add_loop_test (cases, test_whole_stream_without_length_is_delivered, 0,
                       G_N_ELEMENTS (whole_streams));
  return run_started_suite ();
}
