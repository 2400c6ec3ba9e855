/* Tests that a VM ends its streams before it stops, or at its drain limit with an error,
   and that a backend server that the list marks as leaving gets no new requests. */
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define STREAMS 20
#define TOKENS  30
/* A server gets no new request later than this after the list marks it as leaving. */
#define LEAVING_LIMIT_MS  3000
#define LIST_LAG_MS       500
#define SLOW_READ_US      60000
#define CALLS_AFTER_LIMIT 40

static const char stream_body[]
    = "{\"model\":\"" CLUSTER_MODEL
      "\",\"prompt\":\"p\",\"max_tokens\":30,\"stream\":true}";

static struct cluster *cluster;

static void
set_up (void)
{
  static char *const options[] = { "--token-ms", "30", NULL };

  cluster = cluster_new ("drain");
  cluster_add_engine (cluster, "engine-1", "dc1", options);
  cluster_add_engine (cluster, "engine-2", "dc1", options);
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static struct client_answer
call_once (const char *body)
{
  return client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = body,
  });
}

static void *
run_stream (void *user)
{
  struct client_answer *answer = user;

  *answer = call_once (stream_body);
  return NULL;
}

/* Runs a caller that reads its answer long after the engine has written it. */
static void *
run_slow_stream (void *user)
{
  struct client_answer *answer = user;

  *answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = "{\"model\":\"" CLUSTER_MODEL
              "\",\"prompt\":\"p\",\"max_tokens\":30,\"stream\":true}",
      .read_delay_us = SLOW_READ_US,
  });
  return NULL;
}

static long
ready_status (void)
{
  struct client_answer answer = client_run (
      &(struct client_call){ .port = cluster_vm (cluster, 0)->port, .path = "/readyz" });
  long status = answer.curl == 0 ? answer.status : 0;

  client_answer_clear (&answer);
  return status;
}

static void
wait_for_running (json_int_t expected)
{
  for (json_int_t running = 0; running < expected;)
    {
      json_t *list = cluster_admin_get (cluster_vm (cluster, 0)->admin_port,
                                        "/admin/v1/backend-servers");
      json_t *server;
      size_t i;

      running = 0;
      json_array_foreach (list, i, server) running
          += json_integer_value (json_object_get (server, "in_flight"));
      json_decref (list);
    }
}

static void *
stop_after_first_token (void *user)
{
  struct process *vm = user;

  for (json_int_t first_tokens = 0; first_tokens < 1;)
    {
      json_t *events = cluster_admin_get (vm->admin_port, "/admin/v1/timeline");
      json_t *event;
      size_t i;

      json_array_foreach (events, i, event) first_tokens
          += strcmp (json_string_value (json_object_get (event, "event")), "first_token")
             == 0;
      json_decref (events);
    }
  process_signal (vm, SIGTERM);
  return NULL;
}

START_TEST (test_graceful_shutdown_interrupts_no_stream)
{
  struct client_answer answers[STREAMS];
  pthread_t threads[STREAMS];
  struct client_answer late;
  struct client_answer slow_answer;
  pthread_t slow;

  for (int i = 0; i < STREAMS; i++)
    pthread_create (&threads[i], NULL, run_stream, &answers[i]);
  wait_for_running (STREAMS);
  process_signal (cluster_vm (cluster, 0), SIGTERM);
  while (ready_status () == 200)
    continue;
  pthread_create (&slow, NULL, run_slow_stream, &slow_answer);
  /* The load balancer may send new calls until it notices that the VM is not ready. */
  late = call_once (stream_body);
  for (int i = 0; i < STREAMS; i++)
    pthread_join (threads[i], NULL);
  pthread_join (slow, NULL);
  ck_assert_int_eq (slow_answer.curl, 0);
  ck_assert_ptr_nonnull (strstr (slow_answer.body->str, "[DONE]"));
  client_answer_clear (&slow_answer);
  ck_assert_int_eq (process_wait (cluster_vm (cluster, 0)), 0);
  for (int i = 0; i <= STREAMS; i++)
    {
      struct client_answer *answer = i < STREAMS ? &answers[i] : &late;
      bool done;
      g_autofree char *text = client_stream_text (answer, &done);
      g_auto (GStrv) tokens = g_strsplit (text != NULL ? text : "", " ", -1);

      ck_assert_msg (answer->curl == 0 && answer->status == 200 && done, "stream %d: %s",
                     i, answer->body->str);
      ck_assert_uint_eq (g_strv_length (tokens), TOKENS + 1);
      client_answer_clear (answer);
    }
}
END_TEST

START_TEST (test_streams_in_flight_at_the_drain_limit_end_in_an_error)
{
  struct process *vm
      = cluster_add_vm (cluster, "vm-2", "dc1", "[vm]\ndrain_limit_ms=0\n");
  struct client_call call = {
    .port = vm->port,
    .path = "/v1/completions",
    .key = CLUSTER_TEAM_KEY,
    .profile = "review",
    .body = stream_body,
  };
  struct client_answer answer;
  pthread_t stopper;

  cluster_wait_ready (cluster);
  pthread_create (&stopper, NULL, stop_after_first_token, vm);
  answer = client_run (&call);
  pthread_join (stopper, NULL);
  ck_assert_int_eq (process_wait (vm), 0);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "event: error"));
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"unknown\""));
  ck_assert_ptr_null (strstr (answer.body->str, "[DONE]"));
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_leaving_server_gets_no_new_requests)
{
  int64_t end_ns;

  cluster_set_member (cluster, "engine", "engine-1",
                      ((struct process *)g_ptr_array_index (cluster->engines, 0))->port,
                      "dc1", "leaving");
  cluster_publish_list (cluster, LIST_LAG_MS);
  end_ns = kcp_clock_monotonic_ns (&kcp_clock_system)
           + (LIST_LAG_MS + LEAVING_LIMIT_MS) * KCP_NS_PER_MS;
  while (kcp_clock_monotonic_ns (&kcp_clock_system) < end_ns)
    g_usleep (10 * G_TIME_SPAN_MILLISECOND);
  cluster_inject_faults (cluster->list, "{\"out\":true}");
  for (int i = 0; i < CALLS_AFTER_LIMIT; i++)
    {
      g_autofree char *body = g_strdup_printf (
          "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p%d\",\"max_tokens\":1}", i);
      struct client_answer answer = call_once (body);
      g_autofree char *backend = client_header (&answer, "Kingcuppoint-Backend");

      ck_assert_int_eq (answer.status, 200);
      ck_assert_str_eq (backend, "engine-2");
      client_answer_clear (&answer);
    }
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("drain");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_graceful_shutdown_interrupts_no_stream);
  tcase_add_test (tests, test_streams_in_flight_at_the_drain_limit_end_in_an_error);
  tcase_add_test (tests, test_leaving_server_gets_no_new_requests);
  return run_started_suite ();
}
