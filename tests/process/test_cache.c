/* Tests that no request relies on what another team, a dead engine or earlier weights had
   cached. Guards against a prefix that two teams share, and against a VM that still
   expects cached blocks after the engine was restarted or has loaded other weights: the
   first answer after such a change must report no cached tokens. */
#include <check.h>
#include <stdlib.h>

#include "base/id.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define OTHER_KEY     "ulaanbaatar-test-key"
#define PROMPT_BYTES  12000
#define CACHED_TOKENS 3000 /* tokens in the complete blocks of such a prompt */

static struct cluster *cluster;
static char *body;

static void
publish_other_team (void)
{
  char hash[KCP_HASH_HEX_LEN + 1];
  g_autofree char *team = NULL;

  kcp_id_hash (kcp_str_from_c (OTHER_KEY), hash);
  team = g_strdup_printf ("{\"key_hashes\":[\"%s\"],\"profiles\":[\"review\"]}", hash);
  ck_assert_int_eq (cluster_admin_put (cluster_vm (cluster, 0)->admin_port,
                                       "/admin/v1/teams/ulaanbaatar", team, NULL),
                    200);
}

static void
set_up (void)
{
  g_autoptr (GString) prompt = g_string_new (NULL);

  while (prompt->len < PROMPT_BYTES)
    g_string_append_printf (prompt, "clause %zu; ", prompt->len);
  g_string_truncate (prompt, PROMPT_BYTES);
  body = g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL
                          "\",\"prompt\":\"%s\",\"max_tokens\":2}",
                          prompt->str);
  cluster = cluster_new ("cache");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  publish_other_team ();
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  cluster_free (cluster);
  g_free (body);
}

/* Sends the prompt and returns the number of cached tokens that the answer reports. */
static int64_t
request_cached_tokens (const char *key)
{
  struct client_answer answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/v1/completions",
      .key = key,
      .profile = "review",
      .body = body,
  });
  int64_t cached = client_cached_tokens (&answer);

  ck_assert_msg (answer.status == 200, "%ld %s", answer.status, answer.body->str);
  client_answer_clear (&answer);
  return cached;
}

static struct process *
engine (void)
{
  return g_ptr_array_index (cluster->engines, 0);
}

START_TEST (test_two_teams_never_share_a_cached_prefix)
{
  ck_assert_int_eq (request_cached_tokens (CLUSTER_TEAM_KEY), 0);
  ck_assert_int_eq (request_cached_tokens (CLUSTER_TEAM_KEY), CACHED_TOKENS);
  ck_assert_int_eq (request_cached_tokens (OTHER_KEY), 0);
  ck_assert_int_eq (request_cached_tokens (OTHER_KEY), CACHED_TOKENS);
}
END_TEST

START_TEST (test_a_restarted_engine_is_not_expected_to_have_a_warm_cache)
{
  g_autofree char *port = g_strdup_printf ("%d", engine ()->port);
  char *const options[] = { "--port", port, NULL };

  ck_assert_int_eq (request_cached_tokens (CLUSTER_TEAM_KEY), 0);
  ck_assert_int_eq (request_cached_tokens (CLUSTER_TEAM_KEY), CACHED_TOKENS);
  process_kill (engine ());
  g_ptr_array_set_size (cluster->engines, 0);
  cluster_add_engine (cluster, "engine-1", "dc1", options);
  ck_assert_int_eq (request_cached_tokens (CLUSTER_TEAM_KEY), 0);
  ck_assert_int_eq (request_cached_tokens (CLUSTER_TEAM_KEY), CACHED_TOKENS);
}
END_TEST

START_TEST (test_requests_succeed_during_a_weight_change_and_use_no_older_cache)
{
  struct client_answer answer;
  bool recached = false;
  int64_t cached;

  ck_assert_int_eq (request_cached_tokens (CLUSTER_TEAM_KEY), 0);
  answer = client_run (&(struct client_call){
      .port = engine ()->port,
      .path = "/orders",
      .body = "{\"fencing\":1,\"weights\":\"w2\"}",
  });
  ck_assert_int_eq (answer.status, 200);
  client_answer_clear (&answer);
  for (int i = 0; i < 20; i++)
    {
      cached = request_cached_tokens (CLUSTER_TEAM_KEY);
      if (!recached)
        ck_assert_int_eq (cached, 0);
      else
        ck_assert_int_eq (cached, CACHED_TOKENS);
      recached = true;
    }
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("cache");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_two_teams_never_share_a_cached_prefix);
  tcase_add_test (tests, test_a_restarted_engine_is_not_expected_to_have_a_warm_cache);
  tcase_add_test (tests,
                  test_requests_succeed_during_a_weight_change_and_use_no_older_cache);
  return run_started_suite ();
}
