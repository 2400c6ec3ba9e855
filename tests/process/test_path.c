/* Tests the path of a call: invalid calls, streams, and that logs contain no secrets. */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define MARKER "MARKED-7f3a"

static struct cluster *cluster;

static void
set_up (void)
{
  cluster = cluster_new ("path");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_service (cluster, "service-1", "dc1");
  cluster_add_vm (cluster, "vm-1", "dc1", "[callers]\nmax_body_bytes=20000\n");
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

struct invalid_call
{
  const char *key;
  const char *profile;
  const char *path;
  const char *header;
  const char *body;
  long status;
};

static const char valid_body[] = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\"}";

START_TEST (test_invalid_calls_are_rejected_as_not_run)
{
  static const char chat[] = "/v1/chat/completions";
  static const char text[] = "/v1/completions";
  static const struct invalid_call calls[] = {
    { NULL, "urgent", text, NULL, valid_body, 401 },
    { "wrong", "urgent", text, NULL, valid_body, 401 },
    { CLUSTER_TEAM_KEY, "nothing", text, NULL, valid_body, 400 },
    { CLUSTER_TEAM_KEY, NULL, text, NULL, valid_body, 400 },
    { CLUSTER_TEAM_KEY, "urgent", text, NULL, "{\"model\":", 400 },
    { CLUSTER_TEAM_KEY, "urgent", text, NULL, "{\"model\":1,\"prompt\":\"p\"}", 400 },
    { CLUSTER_TEAM_KEY, "urgent", text, NULL, "{\"model\":\"a\",\"model\":\"b\"}", 400 },
    { CLUSTER_TEAM_KEY, "urgent", text, NULL, "{\"model\":\"none\",\"prompt\":\"p\"}",
      503 },
    { CLUSTER_TEAM_KEY, "urgent", chat, NULL, valid_body, 400 },
    { CLUSTER_TEAM_KEY, "urgent", text, "Kingcuppoint-Deadline-Ms: -4", valid_body, 400 },
    { CLUSTER_TEAM_KEY, "urgent", text, "Kingcuppoint-Deadline-Ms: 99999999999",
      valid_body, 400 },
    { CLUSTER_TEAM_KEY, "urgent", text, "Kingcuppoint-Profile: review", valid_body, 400 },
    { CLUSTER_TEAM_KEY, "urgent", "/v1/nothing", NULL, valid_body, 404 },
    { CLUSTER_TEAM_KEY, "booking", "/services/" CLUSTER_SERVICE "/book", NULL, "{}",
      400 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      struct client_answer answer = client_run (&(struct client_call){
          .port = cluster_vm (cluster, 0)->port,
          .path = calls[i].path,
          .key = calls[i].key,
          .profile = calls[i].profile,
          .header = calls[i].header,
          .body = calls[i].body,
      });

      ck_assert_msg (answer.status == calls[i].status, "call %zu: %ld %s", i,
                     answer.status, answer.body->str);
      ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
      client_answer_clear (&answer);
    }
}
END_TEST

START_TEST (test_too_large_or_too_deep_bodies_are_rejected)
{
  g_autofree char *large = g_strnfill (30000, 'x');
  g_autofree char *deep = g_strnfill (5000, '[');
  const char *bodies[] = { large, deep };
  const long statuses[] = { 413, 400 };

  for (int i = 0; i < 2; i++)
    {
      struct client_answer answer = client_run (&(struct client_call){
          .port = cluster_vm (cluster, 0)->port,
          .path = "/v1/completions",
          .key = CLUSTER_TEAM_KEY,
          .profile = "urgent",
          .body = bodies[i],
      });

      ck_assert_int_eq (answer.status, statuses[i]);
      client_answer_clear (&answer);
    }
}
END_TEST

START_TEST (test_stream_is_complete_and_in_order)
{
  struct client_answer answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "urgent",
      .body = "{\"model\":\"" CLUSTER_MODEL
              "\",\"prompt\":\"p\",\"max_tokens\":3,\"stream\":true}",
  });
  bool done;
  g_autofree char *text = client_stream_text (&answer, &done);
  g_autofree char *expected = client_expected_text ("p", 3);

  ck_assert (done);
  ck_assert_str_eq (text, expected);
  client_answer_clear (&answer);
}
END_TEST

/* Sends valid and malformed bodies that contain MARKER, and MARKER as a wrong key. */
static void
send_marked (void)
{
  static const char *const bodies[] = {
    "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"" MARKER "\",\"max_tokens\":2}",
    "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":" MARKER "}",
    "{\"model\":\"" CLUSTER_MODEL "\",\"" MARKER "\":1,\"" MARKER "\":2}",
    "{\"model\":\"" MARKER "\",\"prompt\":7}",
  };

  for (size_t i = 0; i <= G_N_ELEMENTS (bodies); i++)
    {
      bool wrong_key = i == G_N_ELEMENTS (bodies);
      struct client_answer answer = client_run (&(struct client_call){
          .port = cluster_vm (cluster, 0)->port,
          .path = "/v1/completions",
          .key = wrong_key ? MARKER : CLUSTER_TEAM_KEY,
          .profile = "urgent",
          .body = bodies[wrong_key ? 0 : i],
      });

      ck_assert_int_eq (answer.curl, 0);
      client_answer_clear (&answer);
    }
}

START_TEST (test_prompts_and_secrets_reach_no_log_timeline_or_metric)
{
  static const char *const secrets[] = { MARKER, CLUSTER_TEAM_KEY, CLUSTER_TOKEN };
  struct process *vm = cluster_vm (cluster, 0);
  struct client_answer metrics;
  g_autofree char *log = NULL;
  char *events;
  json_t *timeline;

  send_marked ();
  ck_assert (g_file_get_contents (vm->log_path, &log, NULL, NULL));
  timeline = cluster_admin_get (vm->admin_port, "/admin/v1/timeline");
  events = json_dumps (timeline, 0);
  metrics = client_run (&(struct client_call){ .port = vm->port, .path = "/metrics" });
  for (size_t i = 0; i < G_N_ELEMENTS (secrets); i++)
    {
      ck_assert_msg (strstr (log, secrets[i]) == NULL, "log: %s",
                     strstr (log, secrets[i]));
      ck_assert_ptr_null (strstr (events, secrets[i]));
      ck_assert_ptr_null (strstr (metrics.body->str, secrets[i]));
    }
  client_answer_clear (&metrics);
  free (events);
  json_decref (timeline);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("path");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_invalid_calls_are_rejected_as_not_run);
  tcase_add_test (tests, test_too_large_or_too_deep_bodies_are_rejected);
  tcase_add_test (tests, test_stream_is_complete_and_in_order);
  tcase_add_test (tests, test_prompts_and_secrets_reach_no_log_timeline_or_metric);
  return run_started_suite ();
}
