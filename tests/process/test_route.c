/* Tests one VM with routed traffic as a process, against a simulated platform. */
#include <check.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "tests/harness/raw.h"
#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define STORE_OUTAGE_MS  150
#define REFRESH_LIMIT_MS 3000

START_TEST (test_request_is_forwarded_without_reserved_headers)
{
  struct raw_answer answer = route_vm_send (
      "POST", "/once/a%20b?q=1",
      "Tenant: forged\r\nCache-Salt: forged\r\nHold: 1\r\nX-Own: kept\r\n"
      "Kv-Fetch: 1.2.3.4:5\r\n",
      "the body");
  struct fake_server *server = fake_platform_server (
      route_vm.platform, fake_platform_server (route_vm.platform, 0)->runs == 1 ? 0 : 1);
  g_autofree char *team = fake_server_header (server, "Tenant");
  g_autofree char *key = fake_server_header (server, "Authorization");
  g_autofree char *space = fake_server_header (server, "Cache-Salt");
  g_autofree char *hold = fake_server_header (server, "Hold");
  g_autofree char *fetch = fake_server_header (server, "Kv-Fetch");
  g_autofree char *own = fake_server_header (server, "X-Own");
  g_autofree char *id = fake_server_header (server, "Request-Id");
  g_autofree char *expected = fake_server_header (server, "Expect-Instance");
  g_autofree char *deadline = fake_server_header (server, "Request-Deadline");

  ck_assert_int_eq (route_vm_status (&answer), 200);
  ck_assert_uint_eq (route_vm_run_count (), 1);
  ck_assert_ptr_nonnull (strstr (answer.text->str, "Server-Seal: i-"));
  ck_assert_ptr_nonnull (strstr (answer.text->str, "X-Extra: kept"));
  ck_assert_ptr_nonnull (strstr (answer.text->str, "ran /once/"));
  ck_assert_str_eq (team, "team1");
  ck_assert_ptr_null (key);
  ck_assert_ptr_null (space);
  ck_assert_ptr_null (hold);
  ck_assert_ptr_null (fetch);
  ck_assert_str_eq (own, "kept");
  ck_assert_str_eq (id, "r1");
  ck_assert_str_eq (expected, server->id);
  ck_assert_int_le (atoi (deadline), 2500);
  ck_assert_int_gt (atoi (deadline), 1500);
  ck_assert_str_eq (server->body->str, "the body");
  raw_answer_clear (&answer);
}
END_TEST

START_TEST (test_unknown_keys_and_routes_are_rejected)
{
  struct raw_answer answer = raw_exchange (
      route_vm.port,
      "GET /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nConnection: close\r\n"
      "Authorization: Bearer other\r\n\r\n",
      ROUTE_VM_TIMEOUT_MS);

  ck_assert_int_eq (route_vm_status (&answer), 401);
  raw_answer_clear (&answer);
  answer = route_vm_send ("GET", "/nowhere/x", "", "");
  ck_assert_int_eq (route_vm_status (&answer), 404);
  raw_answer_clear (&answer);
  ck_assert_uint_eq (route_vm_run_count (), 0);
}
END_TEST

START_TEST (test_request_with_ambiguous_length_is_rejected)
{
  struct raw_answer answer
      = raw_exchange (route_vm.port,
                      "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
                      "Authorization: Bearer key1\r\nContent-Length: 5\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                      ROUTE_VM_TIMEOUT_MS);

  ck_assert_int_eq (route_vm_status (&answer), 400);
  ck_assert (answer.closed);
  raw_answer_clear (&answer);
  ck_assert_uint_eq (route_vm_run_count (), 0);
}
END_TEST

START_TEST (test_refused_request_is_sent_to_another_server)
{
  struct raw_answer answer;

  for (int i = 0; i < 6; i++)
    {
      route_vm_set_modes (i % 2 == 0 ? FAKE_REFUSE : FAKE_ANSWER,
                          i % 2 == 0 ? FAKE_ANSWER : FAKE_REFUSE);
      answer = route_vm_send ("POST", "/once/x", "", "b");
      ck_assert_int_eq (route_vm_status (&answer), 200);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (route_vm_run_count (), 6);
}
END_TEST

START_TEST (test_request_refused_by_all_servers_gets_retry_after)
{
  struct raw_answer answer;

  route_vm_set_modes (FAKE_REFUSE, FAKE_REFUSE);
  answer = route_vm_send ("POST", "/once/x", "", "b");
  ck_assert_int_eq (route_vm_status (&answer), 503);
  ck_assert_ptr_nonnull (strstr (answer.text->str, "Retry-After: 0."));
  ck_assert_int_lt (answer.elapsed_ms, 500);
  raw_answer_clear (&answer);
  ck_assert_uint_eq (route_vm_run_count (), 0);
}
END_TEST

struct failure_case
{
  enum fake_mode mode;
  const char *path;
  int status; /* expected if both servers fail in this mode */
  unsigned runs;
};

START_TEST (test_request_that_may_have_run_is_repeated_only_if_allowed)
{
  static const struct failure_case cases[] = {
    { FAKE_HANG_UP, "/once/x", 502, 1 },   { FAKE_TRUNCATE, "/once/x", 502, 1 },
    { FAKE_WRONG_ID, "/once/x", 502, 1 },  { FAKE_UNSIGNED, "/once/x", 502, 1 },
    { FAKE_FAIL, "/once/x", 500, 1 },      { FAKE_HANG_UP, "/again/x", 502, 2 },
    { FAKE_WRONG_ID, "/again/x", 502, 2 }, { FAKE_FAIL, "/again/x", 500, 2 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned before = route_vm_run_count ();
      struct raw_answer answer;

      route_vm_set_modes (cases[i].mode, cases[i].mode);
      answer = route_vm_send ("POST", cases[i].path, "", "b");
      ck_assert_msg (route_vm_status (&answer) == cases[i].status, "case %zu: %s", i,
                     answer.text->str);
      ck_assert_msg (route_vm_run_count () - before == cases[i].runs, "case %zu: %u runs",
                     i, route_vm_run_count () - before);
      raw_answer_clear (&answer);
    }
}
END_TEST

/* libcurl repeats a request without a body by itself if a kept connection closes before
   the answer, which neither the resend policy nor the retry budget would count. */
START_TEST (test_request_without_body_is_repeated_outside_the_resend_policy)
{
  struct raw_answer answer;

  for (int i = 0; i < 4; i++)
    {
      answer = route_vm_send ("GET", "/again/x", "", "");
      ck_assert_int_eq (route_vm_status (&answer), 200);
      raw_answer_clear (&answer);
    }
  route_vm_set_modes (FAKE_HANG_UP, FAKE_HANG_UP);
  answer = route_vm_send_to (&route_vm, "GET", "/again/x", "r2", "", "");
  ck_assert_int_eq (route_vm_status (&answer), 502);
  ck_assert_uint_le (fake_platform_run_count (route_vm.platform, "r2"), 2);
  raw_answer_clear (&answer);
}
END_TEST

START_TEST (test_interrupted_stream_resumes_without_a_gap)
{
  GString *events = g_string_new (NULL);

  for (int round = 0; round < 4; round++)
    {
      struct raw_answer answer;
      const char *at;

      route_vm_set_modes (round % 2 == 0 ? FAKE_INTERRUPT : FAKE_ANSWER,
                          round % 2 == 0 ? FAKE_ANSWER : FAKE_INTERRUPT);
      answer = route_vm_send ("POST", "/stream/x",
                              "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n",
                              "b");
      ck_assert_int_eq (route_vm_status (&answer), 200);
      at = answer.text->str;
      for (int piece = 1; piece <= 5; piece++)
        {
          g_string_printf (events, "id: %d\ndata: piece %d\n", piece, piece);
          at = strstr (at, events->str);
          ck_assert_msg (at != NULL, "piece %d: %s", piece, answer.text->str);
          ck_assert_ptr_null (strstr (at + 1, events->str));
        }
      ck_assert_ptr_nonnull (strstr (at, "\r\n0\r\n\r\n"));
      /* No partial event precedes the first event from the other server. */
      ck_assert_ptr_null (strstr (answer.text->str, "daid"));
      raw_answer_clear (&answer);
    }
  g_string_free (events, TRUE);
}
END_TEST

START_TEST (test_unfinished_stream_does_not_look_complete)
{
  struct raw_answer answer;

  route_vm_set_modes (FAKE_INTERRUPT, FAKE_INTERRUPT);
  answer
      = route_vm_send ("POST", "/stream/x",
                       "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n", "b");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  ck_assert (answer.closed);
  ck_assert_ptr_null (strstr (answer.text->str, "\r\n0\r\n\r\n"));
  raw_answer_clear (&answer);
}
END_TEST

/* The connection is closed at the moment at which the request arrives, so that the VM may
   notice the close before it reads the request. No request may stay in flight. */
START_TEST (test_requests_of_disconnected_callers_end)
{
  route_vm_set_modes (FAKE_REFUSE, FAKE_REFUSE);
  for (int i = 0; i < 50; i++)
    {
      int fd = raw_connect_and_send (
          route_vm.port,
          "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
          "Authorization: Bearer key1\r\nContent-Length: 1\r\n\r\nb",
          0);

      (void)close (fd);
    }
  g_usleep (600 * G_TIME_SPAN_MILLISECOND);
  {
    struct raw_answer answer
        = raw_exchange (route_vm.metrics_port,
                        "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                        ROUTE_VM_TIMEOUT_MS);

    ck_assert_ptr_nonnull (strstr (answer.text->str, "kingcuppoint_open_requests 0\n"));
    ck_assert_ptr_nonnull (
        strstr (answer.text->str, "kingcuppoint_request_seconds_count"));
    raw_answer_clear (&answer);
  }
}
END_TEST

static gpointer
send_request (gpointer user)
{
  struct raw_answer *answer = user;

  *answer = route_vm_send ("POST", "/once/x", "", "b");
  return NULL;
}

/* The VM is stopped while the end of the head arrives and the caller closes the
   connection. When it continues, it sees the close first and must not run the request. */
START_TEST (test_disconnect_before_request_is_read_cancels_it)
{
  const char *rest = "Content-Length: 1\r\n\r\nb";
  int fd = raw_connect_and_send (route_vm.port,
                                 "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
                                 "Authorization: Bearer key1\r\n",
                                 0);

  g_usleep (100 * G_TIME_SPAN_MILLISECOND);
  (void)kill (route_vm.pid, SIGSTOP);
  ck_assert_int_eq (write (fd, rest, strlen (rest)), (ssize_t)strlen (rest));
  (void)close (fd);
  g_usleep (100 * G_TIME_SPAN_MILLISECOND);
  (void)kill (route_vm.pid, SIGCONT);
  g_usleep (300 * G_TIME_SPAN_MILLISECOND);
  ck_assert_uint_eq (route_vm_run_count (), 0);
}
END_TEST

START_TEST (test_drain_completes_requests_and_exits)
{
  struct raw_answer slow = { 0 };
  struct raw_answer late;
  GThread *thread;
  int status = 0;
  int idle = raw_connect_and_send (route_vm.port, "", 0);
  char byte;

  route_vm_set_modes (FAKE_SLOW, FAKE_SLOW);
  thread = g_thread_new ("slow", send_request, &slow);
  g_usleep (100 * G_TIME_SPAN_MILLISECOND);
  (void)kill (route_vm.pid, SIGTERM);
  g_usleep (100 * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_eq (route_vm_ready_status (), 503);
  late = route_vm_send ("POST", "/once/y", "", "b");
  ck_assert_int_eq (route_vm_status (&late), 200);
  raw_answer_clear (&late);
  (void)g_thread_join (thread);
  ck_assert_int_eq (route_vm_status (&slow), 200);
  raw_answer_clear (&slow);
  ck_assert_int_eq (waitpid (route_vm.pid, &status, 0), route_vm.pid);
  route_vm.pid = 0;
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  ck_assert_int_le (read (idle, &byte, 1), 0);
  (void)close (idle);
}
END_TEST

/* Requests in flight keep the process running, the second one until 300 ms after the late
   request is sent. A request that arrives after the notice period is refused as not run,
   instead of being interrupted at the end of the grace period. */
START_TEST (test_request_after_drain_notice_is_refused)
{
  struct raw_answer slow = { 0 };
  struct raw_answer slower = { 0 };
  struct raw_answer late;
  GThread *thread;
  GThread *later_thread;

  route_vm_set_modes (FAKE_SLOW, FAKE_SLOW);
  (void)kill (route_vm.pid, SIGTERM);
  g_usleep (400 * G_TIME_SPAN_MILLISECOND);
  thread = g_thread_new ("slow", send_request, &slow);
  g_usleep (200 * G_TIME_SPAN_MILLISECOND);
  later_thread = g_thread_new ("slower", send_request, &slower);
  g_usleep (200 * G_TIME_SPAN_MILLISECOND);
  late = route_vm_send ("POST", "/once/y", "", "b");
  ck_assert_int_eq (route_vm_status (&late), 503);
  ck_assert_ptr_nonnull (strstr (late.text->str, "Connection: close"));
  raw_answer_clear (&late);
  (void)g_thread_join (thread);
  (void)g_thread_join (later_thread);
  ck_assert_int_eq (route_vm_status (&slow), 200);
  raw_answer_clear (&slow);
  raw_answer_clear (&slower);
}
END_TEST

START_TEST (test_store_outage_and_older_configuration_are_tolerated)
{
  g_autofree char *older = g_strdup_printf (route_vm_config_format, 2, "key0");
  g_autofree char *newer = g_strdup_printf (route_vm_config_format, 9, "key2");
  struct raw_answer answer;

  fake_platform_set_down (route_vm.platform, true);
  g_usleep (700 * G_TIME_SPAN_MILLISECOND);
  answer = route_vm_send ("POST", "/once/x", "", "b");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  raw_answer_clear (&answer);
  fake_platform_set_down (route_vm.platform, false);
  fake_platform_put_record (route_vm.platform, "config", older);
  g_usleep (1500 * G_TIME_SPAN_MILLISECOND);
  answer = route_vm_send ("POST", "/once/x", "", "b");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  raw_answer_clear (&answer);
  fake_platform_put_record (route_vm.platform, "config", newer);
  g_usleep (1500 * G_TIME_SPAN_MILLISECOND);
  answer = route_vm_send ("POST", "/once/x", "", "b");
  ck_assert_int_eq (route_vm_status (&answer), 401);
  raw_answer_clear (&answer);
}
END_TEST

/* Users expect a VM to be up to date 3 s after an outage of the store has ended. By then
   it must have abandoned and repeated a read that the store never answered. */
START_TEST (test_configuration_arrives_within_3_s_of_store_outage)
{
  g_autofree char *first = g_strdup_printf (route_vm_config_format, 4, "key1");
  g_autofree char *newer = g_strdup_printf (route_vm_config_format, 9, "key2");
  int64_t until_us;
  int status = 0;

  /* After a read has been answered, the VM sends a read that the store holds. */
  fake_platform_put_record (route_vm.platform, "config", first);
  g_usleep (STORE_OUTAGE_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_set_unresponsive (route_vm.platform, true);
  g_usleep (STORE_OUTAGE_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_set_unresponsive (route_vm.platform, false);
  until_us = g_get_monotonic_time () + REFRESH_LIMIT_MS * G_TIME_SPAN_MILLISECOND;
  fake_platform_put_record (route_vm.platform, "config", newer);
  while (status != 401 && g_get_monotonic_time () < until_us)
    {
      struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "b");

      status = route_vm_status (&answer);
      raw_answer_clear (&answer);
      g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_int_eq (status, 401);
}
END_TEST

START_TEST (test_draining_server_gets_no_new_requests)
{
  unsigned before;

  fake_platform_put_server (route_vm.platform, 0, "draining");
  fake_platform_put_server_entry (route_vm.platform, "ghost",
                                  "{\"service\":\"s\",\"address\":7}");
  g_usleep (600 * G_TIME_SPAN_MILLISECOND);
  before = fake_platform_server (route_vm.platform, 0)->runs;
  for (int i = 0; i < 20; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "b");

      ck_assert_int_eq (route_vm_status (&answer), 200);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (fake_platform_server (route_vm.platform, 0)->runs, before);
}
END_TEST

/* Guards against orders that contain the count of taken orders from a server's entry.
   They must contain the count from its report, which may differ. */
START_TEST (test_desired_weights_are_loaded_on_all_servers)
{
  struct fake_server *servers[] = { fake_platform_server (route_vm.platform, 0),
                                    fake_platform_server (route_vm.platform, 1) };

  servers[0]->orders_taken = 4;
  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  for (int waited = 0; waited < ROUTE_VM_TIMEOUT_MS; waited += ROUTE_VM_SETTLE_MS)
    {
      if (servers[0]->version == 2 && servers[1]->version == 2)
        break;
      g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_int_eq (servers[0]->version, 2);
  ck_assert_int_eq (servers[1]->version, 2);
  ck_assert_int_eq (servers[0]->orders_taken, 5);
  ck_assert_uint_eq (servers[0]->order_conflicts + servers[1]->order_conflicts, 0);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("route");

  tcase_add_checked_fixture (cases, route_vm_set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_request_is_forwarded_without_reserved_headers);
  tcase_add_test (cases, test_unknown_keys_and_routes_are_rejected);
  tcase_add_test (cases, test_request_with_ambiguous_length_is_rejected);
  tcase_add_test (cases, test_refused_request_is_sent_to_another_server);
  tcase_add_test (cases, test_request_refused_by_all_servers_gets_retry_after);
  tcase_add_test (cases, test_request_that_may_have_run_is_repeated_only_if_allowed);
  tcase_add_test (cases, test_request_without_body_is_repeated_outside_the_resend_policy);
  tcase_add_test (cases, test_interrupted_stream_resumes_without_a_gap);
  tcase_add_test (cases, test_unfinished_stream_does_not_look_complete);
  tcase_add_test (cases, test_requests_of_disconnected_callers_end);
  tcase_add_test (cases, test_disconnect_before_request_is_read_cancels_it);
  tcase_add_test (cases, test_drain_completes_requests_and_exits);
  tcase_add_test (cases, test_request_after_drain_notice_is_refused);
  tcase_add_test (cases, test_store_outage_and_older_configuration_are_tolerated);
  tcase_add_test (cases, test_configuration_arrives_within_3_s_of_store_outage);
  tcase_add_test (cases, test_draining_server_gets_no_new_requests);
  tcase_add_test (cases, test_desired_weights_are_loaded_on_all_servers);
  return run_started_suite ();
}
