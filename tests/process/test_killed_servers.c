/* Answers that have no length and end with their connection, of servers that are killed:
   the kernel closes the connections of a killed process in order. */
#include <check.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/process_server.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define SETTLE_MS     400 /* until the VM knows a server or a configuration */
#define SOON_MS       1000
#define TOGETHER      16
#define SERVERS_MAX   2
#define REQUESTS_MAX  12
#define EVENT_1       "id: 1\ndata: piece 1\n\n"
#define EVENT_2       "id: 2\ndata: piece 2\n\n"
#define STREAM_HEADER "Content-Type: text/event-stream\r\n"
#define LAST_CHUNK    "0\r\n\r\n"
#define HALF_BODY     "the first ha"
#define WHOLE_BODY    "the first half and the rest"
#define TEXT_HEADER   "Content-Type: text/plain\r\n"

/* The routes of the fixture, and one whose streams may not be resumed. */
static const char config[]
    = "{\"version\":4,\"routes\":["
      "{\"name\":\"once\",\"host\":\"h\",\"path-prefix\":\"/once/\","
      "\"route-type\":\"non_idempotent\",\"timeout-ms\":6000,\"max-attempts\":1,"
      "\"service\":\"s\"},"
      "{\"name\":\"again\",\"host\":\"h\",\"path-prefix\":\"/again/\","
      "\"route-type\":\"idempotent\",\"timeout-ms\":6000,\"max-attempts\":2,"
      "\"service\":\"s\"},"
      "{\"name\":\"flow\",\"host\":\"h\",\"path-prefix\":\"/flow/\","
      "\"route-type\":\"streaming\",\"timeout-ms\":6000,\"max-attempts\":1,"
      "\"service\":\"s\"},"
      "{\"name\":\"stream\",\"host\":\"h\",\"path-prefix\":\"/stream/\","
      "\"route-type\":\"streaming\",\"resumable\":true,\"timeout-ms\":6000,"
      "\"max-attempts\":2,\"sticky\":true,\"service\":\"s\"}],"
      "\"services\":[{\"name\":\"s\",\"max-conns\":100}],"
      "\"limits\":{\"max-body-bytes\":100000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"team1\",\"api-keys\":[\"key1\"],\"isolated\":false}]}";

static struct process_server servers[SERVERS_MAX];
static unsigned server_count;

/* Ways in which a server's process ends or is followed by another one. */
static const enum process_server_end deaths[] = {
  PROCESS_SERVER_IS_KILLED,
  PROCESS_SERVER_RESTARTS,
  PROCESS_SERVER_IS_REPLACED,
};

static void
set_up (void)
{
  server_count = 0;
  scripted_vm_set_up ();
  fake_platform_put_record (route_vm.platform, "config", config);
}

static void
tear_down (void)
{
  for (unsigned i = 0; i < server_count; i++)
    process_server_stop (&servers[i]);
  scripted_vm_tear_down ();
}

static const struct process_server *
start_server (const char *id, const struct process_server_script *script)
{
  struct process_server *server = &servers[server_count++];

  size_t log_before = route_vm_log_size ();

  *server = process_server_start (route_vm.platform, id, script);
  g_usleep (SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  route_vm_wait_server_added (id, log_before);
  return server;
}

static struct process_server_script
stream_script (const char *body, enum process_server_end end)
{
  return (struct process_server_script){
    .header_lines = STREAM_HEADER,
    .body = body,
    .end = end,
  };
}

static struct process_server_script
text_script (const char *body, enum process_server_end end)
{
  return (struct process_server_script){
    .header_lines = TEXT_HEADER,
    .body = body,
    .end = end,
  };
}

/* Returns true if an HTTP client takes the stream, on a connection that the VM closes
   after it, for a complete success. */
static bool
looks_complete (const struct raw_answer *answer)
{
  return route_vm_status (answer) == 200 && answer->closed
         && g_str_has_suffix (answer->text->str, "\r\n" LAST_CHUNK);
}

static unsigned
count_of (const char *text, const char *part)
{
  unsigned count = 0;

  for (text = strstr (text, part); text != NULL; text = strstr (text + 1, part))
    count++;
  return count;
}

/* The caller has the first event, and an end that is not complete: nothing tells how much
   the server would have written. */
START_TEST (test_stream_of_a_killed_server_does_not_end_as_complete)
{
  struct process_server_script script = stream_script (EVENT_1, deaths[_i]);
  const struct process_server *server = start_server ("i-1", &script);
  struct raw_answer answer = route_vm_send ("POST", "/flow/x", "", "in");

  ck_assert_ptr_nonnull (strstr (answer.text->str, "piece 1"));
  ck_assert (!looks_complete (&answer));
  ck_assert_uint_eq (process_server_take_request_count (server), 1);
  raw_answer_clear (&answer);
}
END_TEST

/* An HTTP/1.0 caller knows the end of a stream only by the end of its connection. */
START_TEST (test_stream_of_a_killed_server_does_not_end_in_order_for_an_http_1_0_caller)
{
  const char *request = "POST /flow/x HTTP/1.0\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\n"
                        "Content-Length: 2\r\n\r\nin";
  struct process_server_script script = stream_script (EVENT_1, deaths[_i]);
  struct raw_answer answer;

  (void)start_server ("i-1", &script);
  answer = raw_exchange (route_vm.port, request, ROUTE_VM_TIMEOUT_MS);
  ck_assert_int_eq (route_vm_status (&answer), 200);
  ck_assert (answer.reset);
  raw_answer_clear (&answer);
}
END_TEST

/* A resumable stream goes on at another server after the last event of the killed one:
   the caller gets each event once. */
START_TEST (test_stream_of_a_killed_server_goes_on_at_its_last_event)
{
  struct process_server_script first = stream_script (EVENT_1, deaths[_i]);
  struct process_server_script second
      = stream_script (EVENT_1 EVENT_2, PROCESS_SERVER_CLOSES);
  unsigned arrived = 0;

  second.resumed_body = EVENT_2;
  (void)start_server ("i-1", &first);
  (void)start_server ("i-2", &second);
  for (unsigned i = 0; i < REQUESTS_MAX && arrived == 0; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/stream/x", "", "in");

      ck_assert (looks_complete (&answer));
      ck_assert_uint_eq (count_of (answer.text->str, "piece 1"), 1);
      ck_assert_uint_eq (count_of (answer.text->str, "piece 2"), 1);
      raw_answer_clear (&answer);
      arrived += process_server_take_request_count (&servers[0]);
    }
  ck_assert_uint_gt (arrived, 0);
}
END_TEST

/* The caller of a request that may run only once gets no success. */
START_TEST (test_half_a_body_of_a_killed_server_is_no_success)
{
  struct process_server_script script = text_script (HALF_BODY, deaths[_i]);
  const struct process_server *server = start_server ("i-1", &script);
  struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "in");

  ck_assert_ptr_null (strstr (answer.text->str, HALF_BODY));
  ck_assert (answer.text->len == 0 || route_vm_status (&answer) == 502);
  ck_assert_uint_eq (process_server_take_request_count (server), 1);
  raw_answer_clear (&answer);
}
END_TEST

START_TEST (test_idempotent_request_of_a_killed_server_is_sent_again)
{
  struct process_server_script first = text_script (HALF_BODY, deaths[_i]);
  struct process_server_script second = text_script (WHOLE_BODY, PROCESS_SERVER_CLOSES);
  unsigned arrived = 0;

  (void)start_server ("i-1", &first);
  (void)start_server ("i-2", &second);
  for (unsigned i = 0; i < REQUESTS_MAX && arrived == 0; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/again/x", "", "in");

      ck_assert_int_eq (route_vm_status (&answer), 200);
      ck_assert_ptr_nonnull (strstr (answer.text->str, WHOLE_BODY));
      raw_answer_clear (&answer);
      arrived += process_server_take_request_count (&servers[0]);
    }
  ck_assert_uint_gt (arrived, 0);
}
END_TEST

static const char *const paths[] = { "/flow/x", "/stream/x", "/once/x", "/again/x" };

/* Sends a request to a server that lives on, and returns the answer, which must be
   whole. */
static struct raw_answer
get_whole_answer (const char *path, enum process_server_reports reports)
{
  bool streamed = path[1] == 'f' || path[1] == 's';
  struct process_server_script script
      = streamed ? stream_script (EVENT_1 EVENT_2, PROCESS_SERVER_CLOSES)
                 : text_script (WHOLE_BODY, PROCESS_SERVER_CLOSES);
  struct raw_answer answer;

  script.reports = reports;
  (void)start_server ("i-1", &script);
  answer = route_vm_send ("POST", path, "", "in");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  ck_assert (!answer.reset);
  if (streamed)
    ck_assert (looks_complete (&answer));
  ck_assert_ptr_nonnull (
      strstr (answer.text->str, streamed ? "data: piece 2\n\n" : WHOLE_BODY));
  ck_assert_uint_eq (process_server_take_request_count (&servers[0]), 1);
  return answer;
}

START_TEST (test_whole_answer_of_a_server_that_lives_ends_soon)
{
  struct raw_answer answer = get_whole_answer (paths[_i], PROCESS_SERVER_REPORTS);

  ck_assert_int_lt (answer.elapsed_ms, SOON_MS);
  raw_answer_clear (&answer);
}
END_TEST

/* A server that is late, says that it is busy, or has no room for a connection at first
   lives nevertheless. */
START_TEST (test_whole_answer_of_a_busy_server_arrives)
{
  static const enum process_server_reports reports[] = {
    PROCESS_SERVER_REPORTS_LATE,
    PROCESS_SERVER_REPORTS_BUSY,
    PROCESS_SERVER_RESETS_REPORTS,
  };
  struct raw_answer answer
      = get_whole_answer (paths[(unsigned)_i % G_N_ELEMENTS (paths)],
                          reports[(unsigned)_i / G_N_ELEMENTS (paths)]);

  raw_answer_clear (&answer);
}
END_TEST

static void *
send_once (void *user)
{
  struct raw_answer *answer = user;

  *answer = route_vm_send ("POST", "/once/x", "", "in");
  return NULL;
}

/* Many answers end together at a server that is slow to say that it lives. */
START_TEST (test_whole_answers_that_end_together_arrive_from_a_slow_server)
{
  struct process_server_script script = text_script (WHOLE_BODY, PROCESS_SERVER_CLOSES);
  struct raw_answer answers[TOGETHER];
  GThread *threads[TOGETHER];

  script.reports = PROCESS_SERVER_REPORTS_LATE;
  (void)start_server ("i-1", &script);
  for (unsigned i = 0; i < TOGETHER; i++)
    threads[i] = g_thread_new ("once", send_once, &answers[i]);
  for (unsigned i = 0; i < TOGETHER; i++)
    g_thread_join (threads[i]);
  for (unsigned i = 0; i < TOGETHER; i++)
    {
      ck_assert_int_eq (route_vm_status (&answers[i]), 200);
      ck_assert_ptr_nonnull (strstr (answers[i].text->str, WHOLE_BODY));
      raw_answer_clear (&answers[i]);
    }
}
END_TEST

/* Nothing shows that the server lives: the end comes, and it is not complete. */
START_TEST (test_stream_of_a_silent_server_does_not_end_as_complete)
{
  struct process_server_script script = stream_script (EVENT_1, PROCESS_SERVER_CLOSES);
  struct raw_answer answer;

  script.reports = PROCESS_SERVER_NEVER_REPORTS;
  (void)start_server ("i-1", &script);
  answer = route_vm_send ("POST", "/flow/x", "", "in");
  ck_assert_ptr_nonnull (strstr (answer.text->str, "piece 1"));
  ck_assert (answer.closed);
  ck_assert (!looks_complete (&answer));
  raw_answer_clear (&answer);
}
END_TEST

/* The deadline passes while the end of the answer is not yet believed. */
START_TEST (test_deadline_passes_while_an_end_is_checked)
{
  const char *request = "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Authorization: Bearer key1\r\nRequest-Deadline: 500\r\n"
                        "Connection: close\r\nContent-Length: 2\r\n\r\nin";
  struct process_server_script script = text_script (HALF_BODY, PROCESS_SERVER_CLOSES);
  struct raw_answer answer;

  script.reports = PROCESS_SERVER_NEVER_REPORTS;
  (void)start_server ("i-1", &script);
  answer = raw_exchange (route_vm.port, request, ROUTE_VM_TIMEOUT_MS);
  ck_assert_int_eq (route_vm_status (&answer), 504);
  ck_assert_int_lt (answer.elapsed_ms, SOON_MS);
  raw_answer_clear (&answer);
}
END_TEST

/* The caller leaves while the end of its stream is checked. The VM serves on. */
START_TEST (test_caller_leaves_while_an_end_is_checked)
{
  struct process_server_script script = stream_script (EVENT_1, PROCESS_SERVER_CLOSES);
  const char *request = "POST /flow/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Authorization: Bearer key1\r\nRequest-Deadline: 5000\r\n"
                        "Content-Length: 2\r\n\r\nin";
  int fd;

  script.reports = PROCESS_SERVER_NEVER_REPORTS;
  (void)start_server ("i-1", &script);
  fd = raw_connect_and_send (route_vm.port, request, 0);
  g_usleep (200 * G_TIME_SPAN_MILLISECOND);
  (void)close (fd);
  g_usleep (200 * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_eq (route_vm_ready_status (), 200);
  ck_assert_int_eq (waitpid (route_vm.pid, NULL, WNOHANG), 0);
}
END_TEST

/* The VM is stopped while the end of a stream is checked. It ends by itself. */
START_TEST (test_vm_stops_while_an_end_is_checked)
{
  struct process_server_script script = stream_script (EVENT_1, PROCESS_SERVER_CLOSES);
  const char *request = "POST /flow/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Authorization: Bearer key1\r\nRequest-Deadline: 5000\r\n"
                        "Content-Length: 2\r\n\r\nin";
  int status = -1;
  int fd;

  script.reports = PROCESS_SERVER_NEVER_REPORTS;
  (void)start_server ("i-1", &script);
  fd = raw_connect_and_send (route_vm.port, request, 0);
  g_usleep (200 * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_eq (kill (route_vm.pid, SIGTERM), 0);
  ck_assert_int_eq (waitpid (route_vm.pid, &status, 0), route_vm.pid);
  ck_assert (WIFEXITED (status));
  ck_assert_int_eq (WEXITSTATUS (status), 0);
  route_vm.pid = 0;
  (void)close (fd);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("killed_servers");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_stream_of_a_killed_server_does_not_end_as_complete, 0,
                       G_N_ELEMENTS (deaths));
  tcase_add_loop_test (
      cases, test_stream_of_a_killed_server_does_not_end_in_order_for_an_http_1_0_caller,
      0, G_N_ELEMENTS (deaths));
  tcase_add_loop_test (cases, test_stream_of_a_killed_server_goes_on_at_its_last_event, 0,
                       G_N_ELEMENTS (deaths));
  tcase_add_loop_test (cases, test_half_a_body_of_a_killed_server_is_no_success, 0,
                       G_N_ELEMENTS (deaths));
  tcase_add_loop_test (cases, test_idempotent_request_of_a_killed_server_is_sent_again, 0,
                       G_N_ELEMENTS (deaths));
  tcase_add_loop_test (cases, test_whole_answer_of_a_server_that_lives_ends_soon, 0,
                       G_N_ELEMENTS (paths));
  tcase_add_loop_test (cases, test_whole_answer_of_a_busy_server_arrives, 0,
                       3 * G_N_ELEMENTS (paths));
  tcase_add_test (cases, test_whole_answers_that_end_together_arrive_from_a_slow_server);
  tcase_add_test (cases, test_stream_of_a_silent_server_does_not_end_as_complete);
  tcase_add_test (cases, test_deadline_passes_while_an_end_is_checked);
  tcase_add_test (cases, test_caller_leaves_while_an_end_is_checked);
  tcase_add_test (cases, test_vm_stops_while_an_end_is_checked);
  return run_started_suite ();
}
