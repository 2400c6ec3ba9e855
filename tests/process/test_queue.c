/* Tests that requests wait for a free slot without being lost, that they are sent to the
   engine that reported their prompt as cached, and that engines that do not answer do
   not delay the reports of others. */
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define CALLERS         6
#define PROMPT_BYTES    12000 /* three complete blocks */
#define PREFIXES        6
#define WAIT_LIMIT_MS   5000
#define WAIT_POLL_MS    5
#define STOPPED_ENGINES 3
#define REPORT_LIMIT_MS 1000 /* until a new engine's first report is in use */

static struct cluster *cluster;

struct caller
{
  pthread_t thread;
  const char *header;
  struct client_answer answer;
};

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

static void
publish_and_wait (void)
{
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void *
call (void *user)
{
  struct caller *caller = user;

  caller->answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .header = caller->header,
      .body = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\",\"max_tokens\":8}",
  });
  return NULL;
}

static unsigned
count_events (const char *kind)
{
  json_t *timeline
      = cluster_admin_get (cluster_vm (cluster, 0)->admin_port, "/admin/v1/timeline");
  char *text = json_dumps (timeline, JSON_COMPACT);
  g_autofree char *quoted = g_strdup_printf ("\"%s\"", kind);
  unsigned count = 0;

  for (const char *at = text; (at = strstr (at, quoted)) != NULL; at++)
    count++;
  free (text);
  json_decref (timeline);
  return count;
}

/* Starts an engine and a VM that sends it one request at a time. */
static void
start_single_slot_vm (char *const *engine_options)
{
  cluster = cluster_new ("queue");
  cluster_add_engine (cluster, "engine-1", "dc1", engine_options);
  cluster_add_vm (cluster, "vm-1", "dc1", "concurrency=1\n");
  publish_and_wait ();
}

static void
start_callers (struct caller callers[CALLERS])
{
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&callers[i].thread, NULL, call, &callers[i]);
}

/* Waits until that many requests have had to wait for a slot. */
static void
wait_until_queued (unsigned count)
{
  for (int waited_ms = 0; count_events ("queued") < count; waited_ms += WAIT_POLL_MS)
    {
      ck_assert_int_lt (waited_ms, WAIT_LIMIT_MS);
      g_usleep (WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
}

static void
expect_all_served (struct caller callers[CALLERS])
{
  for (int i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      ck_assert_int_eq (callers[i].answer.status, 200);
      client_answer_clear (&callers[i].answer);
    }
}

/* With a single slot, callers are served one after the other, and none is refused. */
START_TEST (test_requests_wait_for_a_slot_and_all_are_served)
{
  static char *const options[] = { "--token-ms", "10", NULL };
  struct caller callers[CALLERS] = { 0 };

  start_single_slot_vm (options);
  start_callers (callers);
  expect_all_served (callers);
  ck_assert_uint_ge (count_events ("queued"), 1);
  ck_assert_int_eq (cluster_counter (cluster_vm (cluster, 0), "refused"), 0);
  tear_down ();
}
END_TEST

/* A request that cannot be answered in time is refused before its deadline, as not run
   and with a Retry-After header. */
START_TEST (test_request_that_cannot_meet_its_deadline_is_refused_as_not_run)
{
  static char *const options[] = { "--token-ms", "60", NULL };
  struct caller callers[CALLERS] = { 0 };
  struct caller late = { .header = "Kingcuppoint-Deadline-Ms: 300" };
  g_autofree char *retry = NULL;

  start_single_slot_vm (options);
  call (&callers[0]);
  client_answer_clear (&callers[0].answer);
  start_callers (callers);
  wait_until_queued (2);
  call (&late);
  ck_assert_int_eq (late.answer.status, 429);
  ck_assert_int_lt (late.answer.total_us, 300000);
  ck_assert_ptr_nonnull (strstr (late.answer.body->str, "\"execution\":\"not_run\""));
  retry = client_header (&late.answer, "Retry-After");
  ck_assert_ptr_nonnull (retry);
  client_answer_clear (&late.answer);
  expect_all_served (callers);
  tear_down ();
}
END_TEST

static bool
has_leaving_engine (void)
{
  json_t *list = cluster_admin_get (cluster_vm (cluster, 0)->admin_port,
                                    "/admin/v1/backend-servers");
  char *text = json_dumps (list, JSON_COMPACT);
  bool leaving = strstr (text, "\"leaving\"") != NULL;

  free (text);
  json_decref (list);
  return leaving;
}

static int64_t
started_count (guint engine)
{
  struct process *process = g_ptr_array_index (cluster->engines, engine);
  struct client_answer answer
      = client_run (&(struct client_call){ .port = process->port, .path = "/load" });
  json_t *report = client_json (&answer);
  int64_t started = json_integer_value (json_object_get (report, "started"));

  json_decref (report);
  client_answer_clear (&answer);
  return started;
}

/* Requests that wait for an engine that is leaving are sent to another one. */
START_TEST (test_leaving_engine_receives_no_queued_requests)
{
  static char *const options[] = { "--token-ms", "40", NULL };
  struct caller callers[CALLERS] = { 0 };
  int64_t started;

  start_single_slot_vm (options);
  start_callers (callers);
  wait_until_queued (3);
  cluster_set_member (cluster, "engine", "engine-1",
                      ((struct process *)g_ptr_array_index (cluster->engines, 0))->port,
                      "dc1", "leaving");
  cluster_add_engine (cluster, "engine-2", "dc1", options);
  cluster_publish_list (cluster, 0);
  for (int waited_ms = 0; !has_leaving_engine (); waited_ms += WAIT_POLL_MS)
    {
      ck_assert_int_lt (waited_ms, WAIT_LIMIT_MS);
      g_usleep (WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  started = started_count (0);
  expect_all_served (callers);
  ck_assert_int_eq (started_count (0), started);
  ck_assert_int_ge (started_count (1), 1);
  tear_down ();
}
END_TEST

/* A request for a model that no engine serves is refused at once, even while others
   wait. */
START_TEST (test_unknown_model_is_refused_while_others_wait)
{
  static char *const options[] = { "--token-ms", "40", NULL };
  struct caller callers[CALLERS] = { 0 };
  struct client_answer answer;

  start_single_slot_vm (options);
  start_callers (callers);
  wait_until_queued (2);
  answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = "{\"model\":\"none\",\"prompt\":\"p\"}",
  });
  ck_assert_int_eq (answer.status, 503);
  client_answer_clear (&answer);
  expect_all_served (callers);
  tear_down ();
}
END_TEST

static struct client_answer
complete_prefix (guint vm, int prefix)
{
  g_autofree char *text = g_strnfill (PROMPT_BYTES, (char)('a' + prefix));
  g_autofree char *body = g_strdup_printf (
      "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"%s\",\"max_tokens\":2}", text);

  return client_run (&(struct client_call){
      .port = cluster_vm (cluster, vm)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = body,
  });
}

/* A VM that has never seen a prompt sends it to the engine that reported its blocks in
   cache events, even if some of its events were lost. */
START_TEST (test_vm_places_requests_by_cache_events)
{
  cluster = cluster_new ("queue");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-2", "dc1", NULL);
  publish_and_wait ();
  for (int i = 0; i < PREFIXES; i++)
    {
      struct client_answer answer = complete_prefix (1, i);

      ck_assert_int_eq (answer.status, 200);
      client_answer_clear (&answer);
    }
  for (int waited_ms = 0;
       cluster_counter (cluster_vm (cluster, 0), "cache_events") < PREFIXES * 3;
       waited_ms += WAIT_POLL_MS)
    {
      ck_assert_int_lt (waited_ms, WAIT_LIMIT_MS);
      g_usleep (WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  cluster_add_engine (cluster, "engine-2", "dc1", NULL);
  cluster_publish_list (cluster, 0);
  cluster_wait_ready (cluster);
  for (int i = 0; i < PREFIXES; i++)
    {
      struct client_answer answer = complete_prefix (0, i);
      g_autofree char *backend = client_header (&answer, "Kingcuppoint-Backend");

      ck_assert_int_eq (answer.status, 200);
      ck_assert_str_eq (backend, "engine-1");
      client_answer_clear (&answer);
    }
  tear_down ();
}
END_TEST

static bool
has_reported (const char *id)
{
  json_t *list = cluster_admin_get (cluster_vm (cluster, 0)->admin_port,
                                    "/admin/v1/backend-servers");
  bool reported = false;
  json_t *server;
  size_t i;

  json_array_foreach (list, i, server)
  {
    if (g_strcmp0 (json_string_value (json_object_get (server, "id")), id) == 0)
      reported = json_string_length (json_object_get (server, "incarnation")) > 0;
  }
  json_decref (list);
  return reported;
}

/* Engines that do not answer must not delay the reports of the others: a new engine's
   first report is in use within a second, whatever other engines do. */
START_TEST (test_stopped_engines_do_not_delay_other_reports)
{
  int64_t started_us;

  cluster = cluster_new ("queue");
  for (int i = 1; i <= STOPPED_ENGINES; i++)
    {
      g_autofree char *name = g_strdup_printf ("engine-%d", i);

      cluster_add_engine (cluster, name, "dc1", NULL);
    }
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  publish_and_wait ();
  for (guint i = 0; i < STOPPED_ENGINES; i++)
    process_signal (g_ptr_array_index (cluster->engines, i), SIGSTOP);
  cluster_add_engine (cluster, "engine-new", "dc1", NULL);
  cluster_publish_list (cluster, 0);
  started_us = g_get_monotonic_time ();
  while (!has_reported ("engine-new"))
    {
      ck_assert_int_lt (g_get_monotonic_time () - started_us,
                        REPORT_LIMIT_MS * G_TIME_SPAN_MILLISECOND);
      g_usleep (WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  tear_down ();
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("queue");

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_requests_wait_for_a_slot_and_all_are_served);
  tcase_add_test (tests,
                  test_request_that_cannot_meet_its_deadline_is_refused_as_not_run);
  tcase_add_test (tests, test_leaving_engine_receives_no_queued_requests);
  tcase_add_test (tests, test_unknown_model_is_refused_while_others_wait);
  tcase_add_test (tests, test_vm_places_requests_by_cache_events);
  tcase_add_test (tests, test_stopped_engines_do_not_delay_other_reports);
  return run_started_suite ();
}
