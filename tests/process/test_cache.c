/* No request relies on what a dead engine, another team or older weights had cached. */
#include <check.h>
#include <stdlib.h>

#include "base/id.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define OTHER_KEY    "ulaanbaatar-test-key"
#define PROMPT_BYTES 12000
#define PROMPT_CACHE 3000 /* tokens in whole blocks of such a prompt */

static struct cluster *cluster;
static char *body;

static void
add_other_team (void)
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
  add_other_team ();
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  cluster_free (cluster);
  g_free (body);
}

/* Returns the cached tokens that the answer to the prompt reports. */
static int64_t
call (const char *key)
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
  ck_assert_int_eq (call (CLUSTER_TEAM_KEY), 0);
  ck_assert_int_eq (call (CLUSTER_TEAM_KEY), PROMPT_CACHE);
  ck_assert_int_eq (call (OTHER_KEY), 0);
  ck_assert_int_eq (call (OTHER_KEY), PROMPT_CACHE);
}
END_TEST

START_TEST (test_an_engine_that_comes_back_empty_is_not_believed)
{
  g_autofree char *port = g_strdup_printf ("%d", engine ()->port);
  char *const options[] = { "--port", port, NULL };

  ck_assert_int_eq (call (CLUSTER_TEAM_KEY), 0);
  ck_assert_int_eq (call (CLUSTER_TEAM_KEY), PROMPT_CACHE);
  process_kill (engine ());
  g_ptr_array_set_size (cluster->engines, 0);
  cluster_add_engine (cluster, "engine-1", "dc1", options);
  ck_assert_int_eq (call (CLUSTER_TEAM_KEY), 0);
  ck_assert_int_eq (call (CLUSTER_TEAM_KEY), PROMPT_CACHE);
}
END_TEST

START_TEST (test_requests_go_on_while_weights_roll_and_use_no_older_cache)
{
  struct client_answer answer;
  bool rolled = false;
  int64_t cached;

  ck_assert_int_eq (call (CLUSTER_TEAM_KEY), 0);
  answer = client_run (&(struct client_call){
      .port = engine ()->port,
      .path = "/orders",
      .body = "{\"fencing\":1,\"weights\":\"w2\"}",
  });
  ck_assert_int_eq (answer.status, 200);
  client_answer_clear (&answer);
  for (int i = 0; i < 20; i++)
    {
      cached = call (CLUSTER_TEAM_KEY);
      if (!rolled)
        ck_assert_int_eq (cached, 0);
      else
        ck_assert_int_eq (cached, PROMPT_CACHE);
      rolled = true;
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cache");
  TCase *tests = tcase_create ("cache");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_two_teams_never_share_a_cached_prefix);
  tcase_add_test (tests, test_an_engine_that_comes_back_empty_is_not_believed);
  tcase_add_test (tests, test_requests_go_on_while_weights_roll_and_use_no_older_cache);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
