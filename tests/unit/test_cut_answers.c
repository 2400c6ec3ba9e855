/* Tests the HTTP clients of the serve command against a server that closes its connection
   within the head of an answer, or never ends the head. */
#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/fetch.h"
#include "logstore/http_call.h"
#include "tests/harness/run_suite.h"

#define TIMEOUT_MS    2000
#define REQUEST_BYTES 4096
#define ENDLESS_BYTES (64u << 20) /* gives up if the client takes this much */
#define ENDLESS_LINE  "X-A: 0123456789012345678901234567890123456789\r\n"
#define HEAD          "HTTP/1.1 200 OK\r\nEtag: \"7\"\r\nContent-Length: 2\r\n\r\n"
#define REFUSAL       "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n"

/* A server that answers each request with the first bytes of a text and closes. */
struct cutter
{
  int listener;
  int port;
  GThread *thread;
  const char *text;
  size_t bytes;
  bool endless; /* repeats ENDLESS_LINE after that */
};

static struct cutter cutter;

static void
answer (int fd)
{
  char request[REQUEST_BYTES];
  size_t sent = cutter.bytes;

  if (read (fd, request, sizeof request) <= 0)
    return;
  if (send (fd, cutter.text, cutter.bytes, MSG_NOSIGNAL) != (ssize_t)cutter.bytes)
    return;
  while (cutter.endless && sent < ENDLESS_BYTES
         && send (fd, ENDLESS_LINE, strlen (ENDLESS_LINE), MSG_NOSIGNAL) > 0)
    sent += strlen (ENDLESS_LINE);
}

static void *
serve (void *user)
{
  int fd;

  (void)user;
  while ((fd = accept4 (cutter.listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      answer (fd);
      (void)close (fd);
    }
  return NULL;
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  cutter = (struct cutter){ .text = HEAD "{}" };
  cutter.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (cutter.listener, (struct sockaddr *)&address, sizeof address),
                    0);
  ck_assert_int_eq (listen (cutter.listener, 16), 0);
  ck_assert_int_eq (getsockname (cutter.listener, (struct sockaddr *)&address, &len), 0);
  cutter.port = ntohs (address.sin_port);
  cutter.thread = g_thread_new ("serve", serve, NULL);
}

static void
tear_down (void)
{
  (void)shutdown (cutter.listener, SHUT_RDWR);
  g_thread_join (cutter.thread);
  (void)close (cutter.listener);
}

/* The end of a call of the pool. */
struct end
{
  GAsyncQueue *ended;
  enum kcp_fetch_result result;
  long status;
};

static void
on_header (void *user, struct kcp_str line)
{
  (void)user;
  (void)line;
}

static enum kcp_fetch_flow
on_data (void *user, long status, struct kcp_str data)
{
  (void)user;
  (void)status;
  (void)data;
  return KCP_FETCH_CONTINUE;
}

static void
on_done (void *user, enum kcp_fetch_result result, long status)
{
  struct end *end = user;

  end->result = result;
  end->status = status;
  g_async_queue_push (end->ended, end);
}

static struct end
fetch_once (void)
{
  static const struct kcp_fetch_events events
      = { .header = on_header, .data = on_data, .done = on_done };
  struct kcp_fetch_pool *pool = kcp_fetch_pool_new (&kcp_clock_system, 1);
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d/", cutter.port);
  struct end end = { .ended = g_async_queue_new () };

  kcp_fetch_unref (kcp_fetch_start (pool, &(struct kcp_fetch_spec){
                                              .method = "POST",
                                              .url = url,
                                              .body = KCP_STR ("in"),
                                              .connect_timeout_ms = TIMEOUT_MS,
                                              .total_timeout_ms = TIMEOUT_MS,
                                              .events = &events,
                                              .user = &end,
                                          }));
  (void)g_async_queue_pop (end.ended);
  kcp_fetch_pool_free (pool);
  g_async_queue_unref (end.ended);
  return end;
}

static bool
call_once (struct kcp_http_answer *received, struct kcp_error *error)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d/", cutter.port);

  return kcp_http_call_run (
      &(struct kcp_http_call){ .url = url, .timeout_ms = TIMEOUT_MS }, received, error);
}

/* Guards against a head that never ended being taken for a server's answer: a status of a
   booking that may have run. */
START_TEST (test_fetch_with_a_cut_head_is_interrupted)
{
  cutter.text = _i == 0 ? HEAD : REFUSAL;
  for (cutter.bytes = 0; cutter.bytes < strlen (cutter.text); cutter.bytes++)
    {
      struct end end = fetch_once ();

      ck_assert_msg (end.result == KCP_FETCH_INTERRUPTED, "cut after %zu bytes: %d",
                     cutter.bytes, end.result);
      ck_assert_int_eq (end.status, 0);
    }
}
END_TEST

START_TEST (test_whole_answer_is_complete)
{
  struct kcp_http_answer received;
  struct end end;

  cutter.bytes = strlen (cutter.text);
  end = fetch_once ();
  ck_assert_int_eq (end.result, KCP_FETCH_COMPLETE);
  ck_assert_int_eq (end.status, 200);
  ck_assert (call_once (&received, NULL));
  ck_assert_int_eq (received.status, 200);
  ck_assert_str_eq (received.etag, "\"7\"");
  kcp_http_answer_clear (&received);
}
END_TEST

/* Guards against a head that never ended being taken for an answer of the log: an append
   that may have been made, with a status of its own. */
START_TEST (test_call_with_a_cut_head_has_an_unknown_outcome)
{
  cutter.text = _i == 0 ? HEAD : REFUSAL;
  for (cutter.bytes = 0; cutter.bytes < strlen (cutter.text); cutter.bytes++)
    {
      struct kcp_http_answer received = { 0 };
      struct kcp_error error = { 0 };

      ck_assert_msg (!call_once (&received, &error), "cut after %zu bytes", cutter.bytes);
      ck_assert_int_eq (error.execution, KCP_EXECUTION_UNKNOWN);
      ck_assert_int_eq (received.status, 0);
      ck_assert_str_eq (received.etag, "");
      kcp_http_answer_clear (&received);
    }
}
END_TEST

/* Guards against a head without end being read until memory is gone. */
START_TEST (test_head_without_end_is_given_up)
{
  struct kcp_http_answer received = { 0 };

  cutter.bytes = strlen ("HTTP/1.1 200 OK\r\n");
  cutter.endless = true;
  if (_i == 0)
    ck_assert_int_eq (fetch_once ().result, KCP_FETCH_INTERRUPTED);
  else
    ck_assert (!call_once (&received, NULL));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("cut_answers");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_fetch_with_a_cut_head_is_interrupted, 0, 2);
  tcase_add_test (cases, test_whole_answer_is_complete);
  tcase_add_loop_test (cases, test_call_with_a_cut_head_has_an_unknown_outcome, 0, 2);
  tcase_add_loop_test (cases, test_head_without_end_is_given_up, 0, 2);
  return run_started_suite ();
}
