/* Tests that streams stay complete and in order while engines and connections fail. */
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define TOKENS          12
#define LONG_TOKENS     600
#define HISTORY_CALLERS 8
#define HISTORY_CALLS   15
#define WAIT_LIMIT_MS   5000
#define WAIT_POLL_MS    5
#define ENGINES         2

static const char vm_settings[] = "idle_timeout_ms=200\nconnect_timeout_ms=200\n"
                                  "[callers]\nheartbeat_ms=100\nidle_timeout_s=2\n"
                                  "stream_buffer_bytes=16384\n";

static struct cluster *cluster;
static unsigned seed;

static void
set_up (void)
{
  static char *const options[] = { "--token-ms", "1", NULL };

  cluster = cluster_new ("streams");
  for (int i = 1; i <= ENGINES; i++)
    {
      g_autofree char *name = g_strdup_printf ("engine-%d", i);

      cluster_add_engine (cluster, name, "dc1", options);
    }
  cluster_add_vm (cluster, "vm-1", "dc1", vm_settings);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  process_signal (cluster_vm (cluster, 0), SIGTERM);
  ck_assert_int_eq (process_wait (cluster_vm (cluster, 0)), 0);
  cluster_free (cluster);
}

static struct client_answer
run_completion (const char *prompt, int tokens, bool chat, bool stream,
                const char *header)
{
  g_autofree char *body
      = chat
            ? g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL "\",\"messages\":[{\"role\":"
                               "\"user\",\"content\":\"%s\"}],\"max_tokens\":%d,"
                               "\"stream\":%s}",
                               prompt, tokens, stream ? "true" : "false")
            : g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"%s\","
                               "\"max_tokens\":%d,\"stream\":%s}",
                               prompt, tokens, stream ? "true" : "false");

  return client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = chat ? "/v1/chat/completions" : "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "urgent",
      .header = header,
      .body = body,
  });
}

static void
set_all_faults (const char *faults)
{
  for (guint i = 0; i < cluster->engines->len; i++)
    cluster_inject_faults (g_ptr_array_index (cluster->engines, i), faults);
}

/* Returns the engine to which a request with this prompt is sent. */
static struct process *
find_engine (const char *prompt)
{
  struct client_answer answer = run_completion (prompt, 1, false, false, NULL);
  g_autofree char *name = client_header (&answer, "Kingcuppoint-Backend");
  struct process *found = NULL;

  for (guint i = 0; i < cluster->engines->len; i++)
    {
      struct process *engine = g_ptr_array_index (cluster->engines, i);

      if (g_strcmp0 (engine->name, name) == 0)
        found = engine;
    }
  ck_assert_ptr_nonnull (found);
  client_answer_clear (&answer);
  return found;
}

static int64_t
engine_load (const struct process *engine, const char *key)
{
  json_t *load = cluster_admin_get (engine->port, "/load");
  int64_t value = json_integer_value (json_object_get (load, key));

  json_decref (load);
  return value;
}

static int64_t
sum_engine_loads (const char *key)
{
  int64_t sum = 0;

  for (guint i = 0; i < cluster->engines->len; i++)
    sum += engine_load (g_ptr_array_index (cluster->engines, i), key);
  return sum;
}

/* Fails the test unless the answer belongs to the prompt, is complete and in order. */
static void
assert_complete (const struct client_answer *answer, const char *prompt, int tokens,
                 bool stream)
{
  g_autofree char *expected = client_expected_text (prompt, tokens);
  g_autofree char *usage = g_strdup_printf ("\"completion_tokens\":%d", tokens);
  g_autofree char *text = NULL;
  bool done = false;

  ck_assert_int_eq (answer->curl, 0);
  ck_assert_msg (answer->status == 200, "%ld %s", answer->status, answer->body->str);
  ck_assert_msg (strstr (answer->body->str, usage) != NULL, "usage: %s",
                 answer->body->str);
  if (!stream)
    {
      ck_assert_msg (strstr (answer->body->str, expected) != NULL, "%s",
                     answer->body->str);
      return;
    }
  text = client_stream_text (answer, &done);
  ck_assert_msg (text != NULL, "out of order: %s", answer->body->str);
  ck_assert_str_eq (text, expected);
  ck_assert (done);
}

/* Faults that an engine injects into an answer, and the kind of call that receives it. */
struct stream_fault
{
  const char *faults;
  bool chat;
  bool stream;
};

static const struct stream_fault stream_faults[] = {
  { "{\"times\":1,\"break_after\":5}", false, true },
  { "{\"times\":1,\"break_after\":0}", false, true },
  { "{\"times\":1,\"break_after\":13}", false, true },
  { "{\"times\":1,\"break_after\":5,\"forget\":1}", false, true },
  { "{\"times\":1,\"break_after\":5,\"forget\":1}", true, true },
  { "{\"times\":1,\"break_after\":5,\"forget\":1}", false, false },
  { "{\"times\":1,\"freeze_after\":5}", true, true },
  { "{\"times\":1,\"freeze_after\":0}", true, false },
  { "{\"times\":1,\"duplicate_at\":4}", false, true },
  { "{\"times\":1,\"duplicate_at\":12}", true, true },
  { "{\"times\":1,\"skip_at\":4}", false, true },
  { "{\"times\":1,\"cross\":1}", false, true },
  { "{\"times\":1,\"delay_ms\":450}", false, true },
  { "{\"times\":1,\"refuse\":1}", false, true },
};

START_TEST (test_stream_is_complete_after_a_fault)
{
  const struct stream_fault *fault = &stream_faults[_i];
  g_autofree char *prompt = g_strdup_printf ("fault %d", _i);
  struct client_answer answer;

  cluster_inject_faults (find_engine (prompt), fault->faults);
  answer = run_completion (prompt, TOKENS, fault->chat, fault->stream, NULL);
  assert_complete (&answer, prompt, TOKENS, fault->stream);
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_stream_continues_at_another_engine_after_an_exit)
{
  struct client_answer answer;

  cluster_inject_faults (find_engine ("dying"), "{\"times\":1,\"exit_after\":6}");
  answer = run_completion ("dying", TOKENS, _i == 0, true, NULL);
  assert_complete (&answer, "dying", TOKENS, true);
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_disconnected_caller_cancels_work_at_the_engine)
{
  g_autofree char *body = g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL
                                           "\",\"prompt\":\"left\",\"max_tokens\":100000,"
                                           "\"stream\":true}");
  struct client_answer answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = body,
      .abort_after_bytes = 1000,
  });
  int64_t waited_ms = 0;

  client_answer_clear (&answer);
  while (sum_engine_loads ("cancelled") == 0 && waited_ms < WAIT_LIMIT_MS)
    {
      g_usleep (WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
      waited_ms += WAIT_POLL_MS;
    }
  (void)fprintf (stderr, "caller disconnected: cancelled after %" G_GINT64_FORMAT " ms\n",
                 waited_ms);
  ck_assert_int_eq (sum_engine_loads ("cancelled"), 1);
  ck_assert_int_eq (sum_engine_loads ("running"), 0);
}
END_TEST

struct long_call
{
  pthread_t thread;
  const char *prompt;
  struct client_answer answer;
};

static void *
run_long_call (void *user)
{
  struct long_call *call = user;

  call->answer = run_completion (call->prompt, LONG_TOKENS, false, true, NULL);
  return NULL;
}

START_TEST (test_stream_continues_after_its_engine_is_killed_or_stopped)
{
  static const int signals[] = { SIGKILL, SIGSTOP };
  struct long_call call = { .prompt = "signalled" };
  struct process *engine = find_engine (call.prompt);

  ck_assert_int_eq (pthread_create (&call.thread, NULL, run_long_call, &call), 0);
  while (engine_load (engine, "running") == 0)
    g_usleep (WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
  process_signal (engine, signals[_i]);
  (void)pthread_join (call.thread, NULL);
  (void)fprintf (stderr, "signal %d: complete after %" G_GINT64_FORMAT " ms\n",
                 signals[_i], call.answer.total_us / G_TIME_SPAN_MILLISECOND);
  process_signal (engine, SIGCONT);
  assert_complete (&call.answer, call.prompt, LONG_TOKENS, true);
  ck_assert_int_ge (cluster_counter (cluster_vm (cluster, 0), "resumed"), 1);
  client_answer_clear (&call.answer);
}
END_TEST

struct caller
{
  pthread_t thread;
  int number;
  int complete;
  int errors; /* answers that ended in an error */
  int wrong;  /* truncated, out of order, or of another call */
};

static void
classify_answer (struct caller *caller, const struct client_answer *answer,
                 const char *prompt, int tokens)
{
  g_autofree char *expected = client_expected_text (prompt, tokens);
  bool done = false;
  g_autofree char *text = client_stream_text (answer, &done);
  bool error
      = strstr (answer->body->str, "event: error") != NULL
        || (answer->status >= 400 && strstr (answer->body->str, "\"execution\"") != NULL);
  bool prefix = text != NULL && g_str_has_prefix (expected, text);

  if (answer->curl == 0 && answer->status == 200 && done && !error
      && g_strcmp0 (text, expected) == 0)
    caller->complete++;
  else if (answer->curl == 0 && error && !done && (answer->status != 200 || prefix))
    caller->errors++;
  else
    {
      caller->wrong++;
      (void)fprintf (stderr, "wrong answer to %s: curl %d, %ld, %s\n", prompt,
                     answer->curl, answer->status, answer->body->str);
    }
}

static void *
run_caller (void *user)
{
  struct caller *caller = user;

  for (int i = 0; i < HISTORY_CALLS; i++)
    {
      g_autofree char *prompt
          = g_strdup_printf ("caller %d call %d seed %u", caller->number, i, seed);
      int tokens = 4 + (caller->number + i) % TOKENS;
      struct client_answer answer
          = run_completion (prompt, tokens, (caller->number + i) % 2 == 0, true, NULL);

      classify_answer (caller, &answer, prompt, tokens);
      client_answer_clear (&answer);
    }
  return NULL;
}

START_TEST (test_concurrent_streams_under_random_faults_are_complete_or_end_in_an_error)
{
  struct caller callers[HISTORY_CALLERS] = { 0 };
  int complete = 0;
  int errors = 0;
  int wrong = 0;
  g_autofree char *faults = g_strdup_printf ("{\"random_percent\":30,\"seed\":%u}", seed);

  set_all_faults (faults);
  for (int i = 0; i < HISTORY_CALLERS; i++)
    {
      callers[i].number = i;
      ck_assert_int_eq (
          pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]), 0);
    }
  for (int i = 0; i < HISTORY_CALLERS; i++)
    {
      (void)pthread_join (callers[i].thread, NULL);
      complete += callers[i].complete;
      errors += callers[i].errors;
      wrong += callers[i].wrong;
    }
  (void)fprintf (stderr,
                 "history: seed %u, %d complete, %d ended in an error, %d wrong, "
                 "%" G_GINT64_FORMAT " resumed, %" G_GINT64_FORMAT " answers dropped\n",
                 seed, complete, errors, wrong,
                 cluster_counter (cluster_vm (cluster, 0), "resumed"),
                 cluster_counter (cluster_vm (cluster, 0), "answers_dropped"));
  ck_assert_int_eq (wrong, 0);
  ck_assert_int_ge (complete, HISTORY_CALLERS * HISTORY_CALLS * 95 / 100);
}
END_TEST

/* Optional argument: the seed of the random faults. */
int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("streams");

  seed = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : 1;
  (void)fprintf (stderr, "seed %u\n", seed);
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, test_stream_is_complete_after_a_fault, 0,
                       G_N_ELEMENTS (stream_faults));
  tcase_add_loop_test (tests, test_stream_continues_at_another_engine_after_an_exit, 0,
                       2);
  tcase_add_loop_test (tests, test_stream_continues_after_its_engine_is_killed_or_stopped,
                       0, 2);
  tcase_add_test (tests, test_disconnected_caller_cancels_work_at_the_engine);
  tcase_add_test (
      tests, test_concurrent_streams_under_random_faults_are_complete_or_end_in_an_error);
  return run_started_suite ();
}
