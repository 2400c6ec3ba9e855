/* Tests the callers' API: deadlines, slow callers, idle streams, malformed and stalled
   requests, and TLS. */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/harness/cluster.h"
#include "tests/harness/process_memory.h"
#include "tests/harness/raw.h"
#include "tests/harness/run_suite.h"

#define SLOW_CALLERS       8
#define SLOW_TOKENS        100000 /* about 9 MB as events */
#define SLOW_RECEIVE_BYTES 4096
#define SLOW_WATCH_MS      2000
/* 370 VMs send 2.9 million tokens/s, and each stream gets one token per 43 ms. */
#define STREAMS_PER_VM        337
#define STREAMS_MEMORY_MAX_KB (64 << 10) /* for STREAMS_PER_VM streams */
#define ANSWER_SLACK_MS       300
#define IDLE_TIMEOUT_MS       1000
#define HEAD_TIMEOUT_MS       3000
#define SERVED_LINES          100 /* as many as common HTTP servers accept at least */
#define CERTIFICATE           "tests/tls/certificate.pem"

static const char vm_settings[] = "idle_timeout_ms=3000\n"
                                  "[callers]\nheartbeat_ms=100\nidle_timeout_s=1\n"
                                  "stream_buffer_bytes=16384\n";
static const char tls_settings[]
    = "[callers]\ntls_certificate=" CERTIFICATE "\ntls_key=tests/tls/key.pem\n";

static struct cluster *cluster;
static struct process *engine;

static void
set_up (void)
{
  cluster = cluster_new ("callers");
  engine = cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-1", "dc1", vm_settings);
  cluster_add_vm (cluster, "vm-tls", "dc1", tls_settings);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  for (guint i = 0; i < cluster->vms->len; i++)
    {
      process_signal (cluster_vm (cluster, i), SIGTERM);
      ck_assert_int_eq (process_wait (cluster_vm (cluster, i)), 0);
    }
  cluster_free (cluster);
}

static struct client_answer
run_completion (const char *profile, const char *header, int tokens)
{
  g_autofree char *body
      = g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\","
                         "\"max_tokens\":%d,\"stream\":true}",
                         tokens);

  return client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = profile,
      .header = header,
      .body = body,
  });
}

static int64_t
engine_counter (const char *key)
{
  json_t *load = cluster_admin_get (engine->port, "/load");
  int64_t count = json_integer_value (json_object_get (load, key));

  json_decref (load);
  return count;
}

/* Sends a completion with a head of so many bytes and lines on a connection of its own.
   Returns the status of its answer, 0 if the connection was closed without one. */
static int
send_head (int bytes, int lines)
{
  static const char body[] = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\","
                             "\"max_tokens\":1}";
  g_autoptr (GString) text = g_string_new (NULL);
  struct raw_answer answer;
  int status;

  g_string_append_printf (text,
                          "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                          "Authorization: Bearer " CLUSTER_TEAM_KEY "\r\n"
                          "Kingcuppoint-Profile: review\r\nConnection: close\r\n"
                          "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                          strlen (body));
  for (int left = lines - 6; left > 0; left--)
    g_string_append_printf (text, "A%04d: %0*d\r\n", left,
                            MAX ((bytes - 2 - (int)text->len) / left - 9, 1), 7);
  g_string_append_printf (text, "\r\n%s", body);
  answer = raw_exchange (cluster_vm (cluster, 0)->port, text->str, HEAD_TIMEOUT_MS);
  status = answer.text->len > 12 ? atoi (answer.text->str + strlen ("HTTP/1.1 ")) : 0;
  raw_answer_clear (&answer);
  return status;
}

/* Guards against heads within the limit that leave no memory for the answer: the call ran
   and its connection was closed without an answer. */
START_TEST (test_call_with_a_long_head_is_answered_or_not_run)
{
  static const int sizes[] = { 2000, 4000, 8000, 8192 };
  static const int lines[] = { 20, 60, 90, 100, 110, 115, 120, 130, 150, 180, 250, 400 };

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (guint j = 0; j < G_N_ELEMENTS (lines); j++)
      {
        int status = send_head (sizes[i], lines[j]);

        ck_assert_msg (status == 200 || status == 431, "%d bytes, %d lines: status %d",
                       sizes[i], lines[j], status);
        ck_assert (status == 200 || lines[j] > SERVED_LINES);
      }
}
END_TEST

START_TEST (test_expired_deadline_is_answered_at_once_and_cancels_the_run)
{
  struct client_answer answer;

  cluster_inject_faults (engine, "{\"times\":1,\"delay_ms\":2000}");
  answer = run_completion ("review", "Kingcuppoint-Deadline-Ms: 200", 4);
  (void)fprintf (stderr, "deadline 200 ms: answered after %" G_GINT64_FORMAT " us\n",
                 answer.total_us);
  ck_assert_int_eq (answer.status, 504);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"unknown\""));
  ck_assert_int_ge (answer.total_us, 200 * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_le (answer.total_us, (200 + ANSWER_SLACK_MS) * G_TIME_SPAN_MILLISECOND);
  for (int i = 0; i < 500 && engine_counter ("cancelled") == 0; i++)
    g_usleep (2 * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_eq (engine_counter ("cancelled"), 1);
  ck_assert_int_eq (engine_counter ("running"), 0);
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_deadline_during_a_stream_ends_it_with_an_error)
{
  struct client_answer answer;

  cluster_inject_faults (engine, "{\"times\":1,\"freeze_after\":3}");
  answer = run_completion ("review", "Kingcuppoint-Deadline-Ms: 300", 8);
  ck_assert_int_eq (answer.status, 200);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "event: error"));
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"ran\""));
  ck_assert_ptr_null (strstr (answer.body->str, "[DONE]"));
  ck_assert_int_le (answer.total_us, (300 + ANSWER_SLACK_MS) * G_TIME_SPAN_MILLISECOND);
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_idle_stream_carries_heartbeats)
{
  struct client_answer answer;
  int heartbeats = 0;

  cluster_inject_faults (engine, "{\"times\":1,\"freeze_after\":3}");
  answer = run_completion ("review", "Kingcuppoint-Deadline-Ms: 1050", 8);
  for (const char *at = answer.body->str; (at = strstr (at, ": \n\n")) != NULL; at++)
    heartbeats++;
  (void)fprintf (stderr, "heartbeats in about 1 s at 100 ms: %d\n", heartbeats);
  ck_assert_int_ge (heartbeats, 5);
  ck_assert_int_le (heartbeats, 11);
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_non_repeatable_completion_runs_once)
{
  struct client_answer answer;

  cluster_inject_faults (engine, "{\"times\":1,\"break_after\":3,\"forget\":1}");
  answer = run_completion ("booking", NULL, 8);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "event: error"));
  ck_assert_ptr_null (strstr (answer.body->str, "[DONE]"));
  ck_assert_int_eq (engine_counter ("started"), 1);
  client_answer_clear (&answer);
  cluster_inject_faults (engine, "{\"times\":1,\"break_after\":3}");
  answer = run_completion ("booking", NULL, 8);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "[DONE]"));
  ck_assert_int_eq (engine_counter ("started"), 2);
  ck_assert_int_eq (engine_counter ("resumed"), 1);
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_request_refused_by_every_engine_is_not_run)
{
  struct client_answer answer;

  cluster_inject_faults (engine, "{\"times\":100,\"refuse\":1}");
  answer = run_completion ("review", NULL, 4);
  ck_assert_int_eq (answer.status, 503);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
  ck_assert_ptr_nonnull (strstr (answer.headers->str, "Retry-After: "));
  ck_assert_int_eq (engine_counter ("started"), 0);
  client_answer_clear (&answer);
}
END_TEST

/* Returns the resident anonymous memory of the first VM in kB, which excludes the pages
   of its program file. */
static int64_t
memory_kb (void)
{
  long kb = process_memory_kb (cluster_vm (cluster, 0)->pid, PROCESS_MEMORY_ANONYMOUS);

  ck_assert_int_ge (kb, 0);
  return kb;
}

START_TEST (test_slow_callers_use_bounded_memory)
{
  g_autofree char *body
      = g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL
                         "\",\"prompt\":\"slow\",\"max_tokens\":%d,\"stream\":true}",
                         SLOW_TOKENS);
  g_autofree char *text = g_strdup_printf (
      "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: "
      "Bearer " CLUSTER_TEAM_KEY
      "\r\nKingcuppoint-Profile: review\r\nContent-Length: %zu\r\n\r\n%s",
      strlen (body), body);
  struct client_answer warm_up = run_completion ("review", NULL, 4);
  int64_t initial_kb = memory_kb ();
  int64_t max_growth_kb = 0;
  int sockets[SLOW_CALLERS];

  client_answer_clear (&warm_up);
  for (int i = 0; i < SLOW_CALLERS; i++)
    sockets[i]
        = raw_connect_and_send (cluster_vm (cluster, 0)->port, text, SLOW_RECEIVE_BYTES);
  for (int waited = 0; waited < SLOW_WATCH_MS; waited += 20)
    {
      g_usleep (20 * G_TIME_SPAN_MILLISECOND);
      max_growth_kb = MAX (max_growth_kb, memory_kb () - initial_kb);
    }
  for (int i = 0; i < SLOW_CALLERS; i++)
    (void)close (sockets[i]);
  (void)fprintf (stderr, "%d slow callers: %" G_GINT64_FORMAT " kB more\n", SLOW_CALLERS,
                 max_growth_kb);
  if (PROCESS_MEMORY_IS_REALISTIC)
    ck_assert_int_le (max_growth_kb,
                      SLOW_CALLERS * STREAMS_MEMORY_MAX_KB / STREAMS_PER_VM);
}
END_TEST

struct raw_call
{
  const char *headers;
  const char *body;
};

START_TEST (test_request_smuggling_is_refused_and_the_connection_closed)
{
  static const struct raw_call calls[] = {
    { "Content-Length: 5\r\nContent-Length: 50\r\n", "{\"a\":" },
    { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" },
    { "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n" },
    { "Content-Length: abc\r\n", "{}" },
    { "Content-Length: -5\r\n", "{}" },
    { "Content-Length: 99999999999999999999999\r\n", "{}" },
    { "Content-Length: 2\r\nHost: b\r\n", "{}" },
    { "Content-Length: 2\r\nAuthorization: Bearer x\r\n", "{}" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: "
          "Bearer " CLUSTER_TEAM_KEY "\r\nKingcuppoint-Profile: review\r\n%s\r\n%s",
          calls[i].headers, calls[i].body);
      struct raw_answer answer
          = raw_exchange (cluster_vm (cluster, 0)->port, text, 2 * IDLE_TIMEOUT_MS);

      ck_assert_msg (g_str_has_prefix (answer.text->str, "HTTP/1.1 4")
                         || answer.text->len == 0,
                     "call %zu: %s", i, answer.text->str);
      ck_assert_msg (answer.closed, "call %zu: still open, %s", i, answer.text->str);
      raw_answer_clear (&answer);
    }
  ck_assert_int_eq (engine_counter ("started"), 0);
}
END_TEST

START_TEST (test_stalled_request_is_closed)
{
  static const char *const stalled[] = {
    "POST /v1/comp",
    "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-",
    "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"a\"",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (stalled); i++)
    {
      struct raw_answer answer
          = raw_exchange (cluster_vm (cluster, 0)->port, stalled[i], 4 * IDLE_TIMEOUT_MS);

      ck_assert_msg (answer.closed, "%zu: still open", i);
      ck_assert_int_ge (answer.elapsed_ms, IDLE_TIMEOUT_MS / 2);
      raw_answer_clear (&answer);
    }
}
END_TEST

START_TEST (test_callers_can_use_tls)
{
  struct client_answer answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 1)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .certificate = CERTIFICATE,
      .body = "{\"model\":\"" CLUSTER_MODEL
              "\",\"prompt\":\"p\",\"max_tokens\":500,\"stream\":true}",
  });
  g_autofree char *expected = client_expected_text ("p", 500);
  bool done = false;
  g_autofree char *text = client_stream_text (&answer, &done);

  ck_assert_int_eq (answer.curl, 0);
  ck_assert (done);
  ck_assert_str_eq (text, expected);
  client_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("callers");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_call_with_a_long_head_is_answered_or_not_run);
  tcase_add_test (tests, test_expired_deadline_is_answered_at_once_and_cancels_the_run);
  tcase_add_test (tests, test_deadline_during_a_stream_ends_it_with_an_error);
  tcase_add_test (tests, test_idle_stream_carries_heartbeats);
  tcase_add_test (tests, test_non_repeatable_completion_runs_once);
  tcase_add_test (tests, test_request_refused_by_every_engine_is_not_run);
  tcase_add_test (tests, test_slow_callers_use_bounded_memory);
  tcase_add_test (tests, test_request_smuggling_is_refused_and_the_connection_closed);
  tcase_add_test (tests, test_stalled_request_is_closed);
  tcase_add_test (tests, test_callers_can_use_tls);
  return run_started_suite ();
}
