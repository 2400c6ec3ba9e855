/* Callers that speak HTTP/1.0: an answer to them ends with their connection. */
#include <check.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define EVENT_1        "id: 1\ndata: piece 1\n\n"
#define STREAM_HEADERS "Content-Type: text/event-stream\r\n"
#define CHUNKED        "Transfer-Encoding: chunked\r\n"
#define EVENT_PADDING                                                                    \
  (32u << 10)                       /* bytes of an event for a caller that does not read \
                                     */
#define LONG_EVENT       (4u << 10) /* bytes */
#define LONG_EVENTS_MIN  396u
#define READ_BLOCK_BYTES (64u << 10)
#define LATE_MS          800
#define READ_MS          300 /* in which event 1 arrives */
#define WAIT_STEP_MS     10
#define REQUEST                                                                          \
  "%s /stream/x HTTP/1.0\r\nHost: h\r\nRequest-Id: r1\r\n"                               \
  "Authorization: Bearer key1\r\nRequest-Deadline: 20000\r\nContent-Length: 2\r\n\r\nin"

/* Streams event 1 and no more, without ending the answer. */
static void
stall_after_event (struct scripted_request *request, void *user)
{
  (void)user;
  if (!scripted_request_write_head (request, "200 OK", STREAM_HEADERS)
      || !scripted_request_write (request, EVENT_1))
    return;
  while (!scripted_server_is_stopping (request->server))
    g_usleep (WAIT_STEP_MS * G_TIME_SPAN_MILLISECOND);
}

/* Streams long events for as long as the VM reads them. */
static void
stream_without_end (struct scripted_request *request, void *user)
{
  g_autofree char *padding = g_strnfill (EVENT_PADDING, 'x');

  (void)user;
  if (!scripted_request_write_head (request, "200 OK", STREAM_HEADERS))
    return;
  for (unsigned i = 1; !scripted_server_is_stopping (request->server); i++)
    {
      g_autofree char *event = g_strdup_printf ("id: %u\ndata: %s\n\n", i, padding);

      if (!scripted_request_write (request, event))
        return;
    }
}

static int
send_request (int receive_buffer)
{
  g_autofree char *request = g_strdup_printf (REQUEST, "POST");

  return raw_connect_and_send (route_vm.port, request, receive_buffer);
}

/* Reads until the connection ends. Returns true if it ended with a reset. */
static bool
ends_with_reset (int fd)
{
  struct timeval timeout = { .tv_sec = ROUTE_VM_TIMEOUT_MS / 1000 };
  char block[4096];
  ssize_t count;

  (void)setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  do
    count = read (fd, block, sizeof block);
  while (count > 0);
  (void)close (fd);
  return count < 0 && errno == ECONNRESET;
}

START_TEST (test_stream_of_a_killed_vm_does_not_look_complete)
{
  int fd;

  (void)scripted_vm_start_server ("i-1", stall_after_event, NULL);
  fd = send_request (0);
  g_usleep (READ_MS * G_TIME_SPAN_MILLISECOND);
  route_vm_kill (&route_vm);
  ck_assert (ends_with_reset (fd));
}
END_TEST

START_TEST (test_stream_of_a_caller_that_closed_its_sending_side_does_not_look_complete)
{
  int fd;

  (void)scripted_vm_start_server ("i-1", stall_after_event, NULL);
  fd = send_request (0);
  g_usleep (READ_MS * G_TIME_SPAN_MILLISECOND);
  (void)shutdown (fd, SHUT_WR);
  ck_assert (ends_with_reset (fd));
}
END_TEST

/* The caller does not read until the VM has stopped, or its request is over. */
START_TEST (test_stream_that_is_not_read_does_not_look_complete)
{
  int fd;

  (void)scripted_vm_start_server ("i-1", stream_without_end, NULL);
  fd = send_request (1);
  g_usleep (READ_MS * G_TIME_SPAN_MILLISECOND);
  if (_i == 0)
    {
      (void)kill (route_vm.pid, SIGTERM);
      (void)waitpid (route_vm.pid, NULL, 0);
      route_vm.pid = 0;
    }
  else
    g_usleep ((ROUTE_VM_TIMEOUT_MS / 2) * G_TIME_SPAN_MILLISECOND);
  ck_assert (ends_with_reset (fd));
}
END_TEST

/* Streams the given number of long events, with a length. */
static void
stream_long (struct scripted_request *request, void *user)
{
  unsigned events = GPOINTER_TO_UINT (user);
  g_autofree char *padding = g_strnfill (LONG_EVENT, 'x');
  g_autoptr (GString) body = g_string_new (NULL);
  g_autofree char *headers = NULL;

  for (unsigned i = 1; i <= events; i++)
    g_string_append_printf (body, "id: %u\ndata: %s\n\n", i, padding);
  headers = g_strdup_printf (STREAM_HEADERS "Content-Length: %zu\r\n", body->len);
  if (scripted_request_write_head (request, "200 OK", headers))
    (void)scripted_request_write (request, body->str);
}

/* Returns true if the VM has the whole answer. */
static bool
is_answered (void)
{
  g_autofree char *path = g_build_filename (route_vm.folder, "out.log", NULL);
  g_autofree char *text = NULL;

  return g_file_get_contents (path, &text, NULL, NULL)
         && strstr (text, "\"outcome\":\"answered\"") != NULL;
}

/* The VM has the whole answer, of about the size of the socket's buffers, before its
   caller, which reads late, closes its sending side. */
START_TEST (test_complete_answer_is_not_reset_as_its_caller_closes_its_sending_side)
{
  unsigned events = LONG_EVENTS_MIN + 3 * (unsigned)_i;
  g_autofree char *last = g_strdup_printf ("id: %u\n", events);
  g_autoptr (GString) received = g_string_new (NULL);
  char block[READ_BLOCK_BYTES];
  ssize_t count;
  bool answered;
  int fd;

  (void)scripted_vm_start_server ("i-1", stream_long, GUINT_TO_POINTER (events));
  fd = send_request (1);
  g_usleep (LATE_MS * G_TIME_SPAN_MILLISECOND);
  answered = is_answered ();
  (void)shutdown (fd, SHUT_WR);
  g_usleep (READ_MS * G_TIME_SPAN_MILLISECOND);
  while ((count = read (fd, block, sizeof block)) > 0)
    g_string_append_len (received, block, count);
  (void)close (fd);
  if (!answered)
    return;
  ck_assert_int_eq (count, 0);
  ck_assert_ptr_nonnull (strstr (received->str, last));
  ck_assert (g_str_has_suffix (received->str, "x\n\n"));
}
END_TEST

/* Streams event 1 whole. */
static void
stream_whole (struct scripted_request *request, void *user)
{
  if (scripted_request_write_head (request, user, STREAM_HEADERS CHUNKED))
    (void)scripted_request_write (request, "15\r\n" EVENT_1 "\r\n0\r\n\r\n");
}

START_TEST (test_complete_answer_ends_in_order)
{
  static const struct
  {
    const char *method;
    const char *status;
    const char *last;
  } cases[] = {
    { "POST", "200 OK", "piece 1\n\n" },
    { "HEAD", "200 OK", "\r\n\r\n" },
    { "POST", "204 No Content", "\r\n\r\n" },
  };
  g_autofree char *request = g_strdup_printf (REQUEST, cases[_i].method);
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", stream_whole, cases[_i].status);
  answer = raw_exchange (route_vm.port, request, ROUTE_VM_TIMEOUT_MS);
  ck_assert (answer.closed && !answer.reset);
  ck_assert_int_eq (route_vm_status (&answer), atoi (cases[_i].status));
  ck_assert (g_str_has_suffix (answer.text->str, cases[_i].last));
  raw_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("http 1.0 callers");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_stream_of_a_killed_vm_does_not_look_complete);
  tcase_add_test (
      cases, test_stream_of_a_caller_that_closed_its_sending_side_does_not_look_complete);
  tcase_add_loop_test (cases, test_stream_that_is_not_read_does_not_look_complete, 0, 2);
  tcase_add_loop_test (cases, test_complete_answer_ends_in_order, 0, 3);
  tcase_add_loop_test (
      cases, test_complete_answer_is_not_reset_as_its_caller_closes_its_sending_side, 0,
      7);
  return run_started_suite ();
}
