/* Tests the HTTP clients of the serve command against a server that executes a request on
   a kept connection, loses the connection without an answer, and refuses whatever comes
   after that: libcurl sends such a request again by itself. */
#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/fetch.h"
#include "logstore/http_call.h"
#include "tests/harness/run_suite.h"

#define TIMEOUT_MS  2000
#define BLOCK_BYTES 4096
#define HEAD_END    "\r\n\r\n"
#define ANSWER      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
#define REFUSAL     "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

/* Answers the first request, loses the second one, and refuses all others. */
struct loser
{
  int listener;
  int port;
  GThread *thread;
  bool ends;         /* it refuses connections from the loss on */
  unsigned requests; /* that have arrived */
};

static struct loser loser;

/* Receives a request with its body. Returns false if the connection has ended. */
static bool
receive (int fd)
{
  g_autoptr (GString) text = g_string_new (NULL);
  char block[BLOCK_BYTES];
  const char *end;
  const char *length;

  for (;;)
    {
      ssize_t count = read (fd, block, sizeof block);

      if (count <= 0)
        return false;
      g_string_append_len (text, block, count);
      end = strstr (text->str, HEAD_END);
      if (end == NULL)
        continue;
      length = strstr (text->str, "Content-Length: ");
      if (length == NULL
          || strlen (end + strlen (HEAD_END))
                 >= strtoul (length + strlen ("Content-Length: "), NULL, 10))
        return true;
    }
}

static void
serve_connection (int fd)
{
  while (receive (fd))
    {
      unsigned number = __atomic_fetch_add (&loser.requests, 1, __ATOMIC_SEQ_CST);
      const char *text = number == 0 ? ANSWER : REFUSAL;

      if (number == 1 && loser.ends)
        (void)shutdown (loser.listener, SHUT_RDWR);
      if (number == 1)
        return;
      (void)send (fd, text, strlen (text), MSG_NOSIGNAL);
    }
}

static void *
serve (void *user)
{
  int fd;

  (void)user;
  while ((fd = accept4 (loser.listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      serve_connection (fd);
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

  loser = (struct loser){ 0 };
  loser.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (loser.listener, (struct sockaddr *)&address, sizeof address),
                    0);
  ck_assert_int_eq (listen (loser.listener, 16), 0);
  ck_assert_int_eq (getsockname (loser.listener, (struct sockaddr *)&address, &len), 0);
  loser.port = ntohs (address.sin_port);
  loser.thread = g_thread_new ("serve", serve, NULL);
}

static unsigned
request_count (void)
{
  return __atomic_load_n (&loser.requests, __ATOMIC_SEQ_CST);
}

/* The end of a call of the pool. */
struct end
{
  GAsyncQueue *ended;
  enum kcp_fetch_result result;
  long status;
};

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
fetch_once (struct kcp_fetch_pool *pool, bool may_repeat)
{
  static const struct kcp_fetch_events events = { .data = on_data, .done = on_done };
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d/", loser.port);
  struct end end = { .ended = g_async_queue_new () };

  kcp_fetch_unref (kcp_fetch_start (pool, &(struct kcp_fetch_spec){
                                              .method = "POST",
                                              .url = url,
                                              .body = KCP_STR ("in"),
                                              .connect_timeout_ms = TIMEOUT_MS,
                                              .total_timeout_ms = TIMEOUT_MS,
                                              .reuse = true,
                                              .may_repeat = may_repeat,
                                              .events = &events,
                                              .user = &end,
                                          }));
  (void)g_async_queue_pop (end.ended);
  g_async_queue_unref (end.ended);
  return end;
}

/* Guards against a call that has run being reported as refused, and against a second run
   that the retry policy does not know. */
START_TEST (test_lost_call_is_sent_again_and_reported_as_refused)
{
  struct kcp_fetch_pool *pool = kcp_fetch_pool_new (&kcp_clock_system, 1);
  struct end end = fetch_once (pool, false);

  ck_assert_int_eq (end.status, 200);
  end = fetch_once (pool, false);
  ck_assert_int_eq (end.result, KCP_FETCH_INTERRUPTED);
  ck_assert_int_eq (end.status, 0);
  ck_assert_uint_eq (request_count (), 2);
  kcp_fetch_pool_free (pool);
}
END_TEST

START_TEST (test_call_that_may_be_repeated_survives_a_lost_connection)
{
  struct kcp_fetch_pool *pool = kcp_fetch_pool_new (&kcp_clock_system, 1);
  struct end end = fetch_once (pool, true);

  ck_assert_int_eq (end.status, 200);
  end = fetch_once (pool, true);
  ck_assert_int_eq (end.result, KCP_FETCH_COMPLETE);
  ck_assert_int_eq (end.status, 503);
  ck_assert_uint_eq (request_count (), 3);
  kcp_fetch_pool_free (pool);
}
END_TEST

static bool
call_once (const char *method, struct kcp_http_answer *received, struct kcp_error *error)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d/", loser.port);
  json_t *body = method != NULL ? json_object () : NULL;
  bool answered = kcp_http_call_run (
      &(struct kcp_http_call){
          .method = method, .url = url, .body = body, .timeout_ms = TIMEOUT_MS },
      received, error);

  json_decref (body);
  return answered;
}

/* Guards against an append that was made being reported as not made, and against a second
   one: by the answer to what libcurl has sent again, or by the server being gone then. */
START_TEST (test_lost_append_is_made_again_or_reported_as_not_made)
{
  struct kcp_http_answer received = { 0 };
  struct kcp_error error = { 0 };

  loser.ends = _i == 1;
  ck_assert (call_once ("POST", &received, &error));
  ck_assert_int_eq (received.status, 200);
  kcp_http_answer_clear (&received);
  ck_assert (!call_once ("POST", &received, &error));
  ck_assert_int_eq (error.execution, KCP_EXECUTION_UNKNOWN);
  ck_assert_uint_eq (request_count (), 2);
}
END_TEST

START_TEST (test_read_survives_a_lost_connection)
{
  struct kcp_http_answer received = { 0 };
  struct kcp_error error = { 0 };

  ck_assert (call_once (NULL, &received, &error));
  kcp_http_answer_clear (&received);
  ck_assert (call_once (NULL, &received, &error));
  ck_assert_int_eq (received.status, 503);
  kcp_http_answer_clear (&received);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("lost connections");

  tcase_add_checked_fixture (cases, set_up, NULL);
  tcase_add_test (cases, test_lost_call_is_sent_again_and_reported_as_refused);
  tcase_add_test (cases, test_call_that_may_be_repeated_survives_a_lost_connection);
  tcase_add_loop_test (cases, test_lost_append_is_made_again_or_reported_as_not_made, 0,
                       2);
  tcase_add_test (cases, test_read_survives_a_lost_connection);
  return run_started_suite ();
}
