/* Servers that close or reset their connection within the head of an answer: the caller
   must not get what was read so far as a whole answer. */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define EVENT_1       "id: 1\ndata: piece 1\n\n"
#define STREAM_HEADER "Content-Type: text/event-stream\r\n"
#define LAST_CHUNK    "0\r\n\r\n"
#define INTERIM       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
#define LOG_LAG_MS    100

/* An answer that is cut. The first %s of its head is the request's id. */
struct cut_answer
{
  const char *path;
  const char *head;
  bool reset;
};

static const struct cut_answer answers[] = {
  { "/once/x",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\n",
    false },
  { "/once/x",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: "
    "chunked\r\n"
    "\r\n",
    false },
  { "/once/x",
    INTERIM "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n"
            "Content-Length: 4\r\n\r\n",
    false },
  { "/again/x",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\n",
    false },
  { "/stream/x",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n" STREAM_HEADER
    "Transfer-Encoding: chunked\r\n\r\n",
    false },
  { "/once/x",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\n",
    true },
};

/* What the server sends of its answer. */
struct cut
{
  const struct cut_answer *answer;
  size_t bytes;
};

static struct cut cut;

static void
send_cut_head (struct scripted_request *request, void *user)
{
  g_autofree char *head = g_strdup_printf (cut.answer->head, request->id);

  (void)user;
  (void)scripted_request_write_bytes (request, head, MIN (cut.bytes, strlen (head)));
  if (cut.answer->reset)
    scripted_request_reset (request);
}

/* Returns true if an HTTP client takes the answer, on a connection that the VM closes
   after it, for a complete success. */
static bool
looks_complete (const struct raw_answer *answer)
{
  const char *text = answer->text->str;

  return route_vm_status (answer) == 200 && answer->closed
         && (strstr (text, "chunked") == NULL || g_str_has_suffix (text, LAST_CHUNK));
}

static size_t
head_len (const struct cut_answer *answer)
{
  g_autofree char *head = g_strdup_printf (answer->head, "r1");

  return strlen (head);
}

/* Guards against a head that never ended being taken for an answer: the caller got a 200
   with an empty body, framed as whole. */
START_TEST (test_head_that_never_ends_is_no_answer)
{
  const struct cut_answer *cut_answer = &answers[_i];

  cut.answer = cut_answer;
  (void)scripted_vm_start_server ("i-1", send_cut_head, NULL);
  for (cut.bytes = 0; cut.bytes < head_len (cut_answer); cut.bytes++)
    {
      struct raw_answer answer = route_vm_send ("POST", cut_answer->path, "", "in");

      ck_assert_msg (!looks_complete (&answer), "cut after %zu bytes: %s", cut.bytes,
                     answer.text->str);
      ck_assert_int_eq (route_vm_status (&answer), 502);
      raw_answer_clear (&answer);
    }
}
END_TEST

/* What a server says in a head that never ends. */
static const char *const said[] = {
  "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n",
  "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nRetry-After: 5\r\n",
  "HTTP/1.1 429 Too Many Requests\r\nRequest-Id: %s\r\n",
  "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n",
  INTERIM "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n",
};

static void
say_and_close (struct scripted_request *request, void *user)
{
  const char *const *text = user;
  g_autofree char *head = g_strdup_printf (*text, request->id);

  (void)scripted_request_write (request, head);
}

/* Guards against a promise being read from a head that never ended: a booking that may
   have run was answered as not run. */
START_TEST (test_head_that_never_ends_promises_nothing)
{
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", say_and_close, &said[_i]);
  answer = route_vm_send ("POST", "/once/x", "", "in");
  ck_assert_int_eq (route_vm_status (&answer), 502);
  raw_answer_clear (&answer);
}
END_TEST

static void
break_off_or_cut (struct scripted_request *request, void *user)
{
  if (request->after_event != NULL)
    {
      send_cut_head (request, user);
      return;
    }
  if (!scripted_request_write_head (request, "200 OK", STREAM_HEADER)
      || !scripted_request_write (request, EVENT_1))
    return;
  g_usleep (20 * G_TIME_SPAN_MILLISECOND);
  scripted_request_reset (request);
}

/* Guards against a stream that breaks off being ended as complete by an answer without a
   whole head, or by one without an event that ends with its connection. */
START_TEST (test_stream_is_not_completed_by_a_cut_answer)
{
  static const struct cut_answer resumed = {
    .head
    = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n" STREAM_HEADER "\r\n",
  };

  cut.answer = &resumed;
  (void)scripted_vm_start_server ("i-1", break_off_or_cut, NULL);
  (void)scripted_vm_start_server ("i-2", break_off_or_cut, NULL);
  for (cut.bytes = 0; cut.bytes <= head_len (&resumed); cut.bytes++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/stream/x", "", "in");

      ck_assert_msg (!looks_complete (&answer), "cut after %zu bytes: %s", cut.bytes,
                     answer.text->str);
      raw_answer_clear (&answer);
    }
}
END_TEST

/* Guards against the log showing a cut head as a whole answer: end "whole", status 200.
 */
START_TEST (test_log_tells_that_a_head_was_cut)
{
  g_autofree char *path = g_build_filename (route_vm.folder, "out.log", NULL);
  g_autofree char *log = NULL;
  struct raw_answer answer;

  cut = (struct cut){ .answer = &answers[0], .bytes = strlen ("HTTP/1.1 200 OK\r\nReq") };
  (void)scripted_vm_start_server ("i-1", send_cut_head, NULL);
  answer = route_vm_send ("POST", "/once/x", "", "in");
  raw_answer_clear (&answer);
  g_usleep (LOG_LAG_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert (g_file_get_contents (path, &log, NULL, NULL));
  ck_assert_ptr_nonnull (strstr (log, "\"event\":\"attempt_failed\""));
  ck_assert_ptr_nonnull (strstr (log, "the connection ended within the head"));
  ck_assert_ptr_null (strstr (log, "\"end\":\"whole\""));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("cut heads");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_head_that_never_ends_is_no_answer, 0,
                       G_N_ELEMENTS (answers));
  tcase_add_loop_test (cases, test_head_that_never_ends_promises_nothing, 0,
                       G_N_ELEMENTS (said));
  tcase_add_test (cases, test_stream_is_not_completed_by_a_cut_answer);
  tcase_add_test (cases, test_log_tells_that_a_head_was_cut);
  return run_started_suite ();
}
