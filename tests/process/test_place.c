/* Tests that requests run only in the data centers that their profile allows, even if
   they are relayed, retried or cannot be placed. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/id.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define CALLS 30

/* Each profile is restricted to dc1 or to dc2. All but the first are restricted by one of
   their three sets alone. */
static const char *const profiles[][2] = {
  { "strict", "{\"prompt_in\":[\"dc1\"],\"cache_in\":[\"dc1\"],\"compute_in\":[\"dc1\"],"
              "\"repeatable\":true}" },
  { "by-prompt", "{\"prompt_in\":[\"dc1\"],\"cache_in\":[\"dc1\",\"dc2\"],\"compute_in\":"
                 "[\"dc1\",\"dc2\"],\"repeatable\":true,\"transit\":true}" },
  { "by-compute", "{\"prompt_in\":[\"dc1\",\"dc2\"],\"cache_in\":[\"dc1\",\"dc2\"],"
                  "\"compute_in\":[\"dc1\"],\"repeatable\":true}" },
  { "by-cache", "{\"prompt_in\":[\"dc1\",\"dc2\"],\"cache_in\":[\"dc2\"],\"compute_in\":"
                "[\"dc1\",\"dc2\"],\"repeatable\":true}" },
};

static struct cluster *cluster;

static void
publish (void)
{
  int port = cluster_vm (cluster, 0)->admin_port;
  char hash[KCP_HASH_HEX_LEN + 1];
  g_autofree char *team = NULL;

  kcp_id_hash (kcp_str_from_c (CLUSTER_TEAM_KEY), hash);
  team = g_strdup_printf (
      "{\"key_hashes\":[\"%s\"],\"profiles\":[\"strict\",\"by-prompt\","
      "\"by-compute\",\"by-cache\"]}",
      hash);
  for (size_t i = 0; i < G_N_ELEMENTS (profiles); i++)
    {
      g_autofree char *path = g_strconcat ("/admin/v1/profiles/", profiles[i][0], NULL);

      ck_assert_int_eq (cluster_admin_put (port, path, profiles[i][1], NULL), 200);
    }
  ck_assert_int_eq (cluster_admin_put (port, "/admin/v1/teams/" CLUSTER_TEAM, team, NULL),
                    200);
}

static void
set_up (void)
{
  cluster = cluster_new ("place");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_engine (cluster, "engine-2", "dc2", NULL);
  cluster_add_engine (cluster, "engine-3", "dc2", NULL);
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-2", "dc2", NULL);
  cluster_publish_list (cluster, 0);
  publish ();
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static struct client_answer
call (guint vm, const char *profile, int number)
{
  g_autofree char *body
      = g_strdup_printf ("{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"question "
                         "%d\",\"max_tokens\":2}",
                         number);

  return client_run (&(struct client_call){
      .port = cluster_vm (cluster, vm)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = profile,
      .body = body,
  });
}

static void
expect_data_center (guint vm, const char *profile, const char *expected)
{
  for (int i = 0; i < CALLS; i++)
    {
      struct client_answer answer = call (vm, profile, i);
      g_autofree char *data_center = client_header (&answer, "Kingcuppoint-Data-Center");

      ck_assert_msg (answer.status == 200, "%ld %s", answer.status, answer.body->str);
      ck_assert_str_eq (data_center, expected);
      client_answer_clear (&answer);
    }
}

static void
expect_refusal (guint vm, const char *profile)
{
  struct client_answer answer = call (vm, profile, 0);

  ck_assert_int_eq (answer.status, 503);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
  client_answer_clear (&answer);
}

START_TEST (test_requests_run_only_in_data_centers_that_all_sets_allow)
{
  expect_data_center (0, "strict", "dc1");
  expect_data_center (1, "by-prompt", "dc1");
  expect_data_center (1, "by-compute", "dc1");
  expect_data_center (0, "by-cache", "dc2");
}
END_TEST

START_TEST (test_vm_in_another_data_center_relays_only_with_transit)
{
  expect_refusal (1, "strict");
}
END_TEST

START_TEST (test_request_is_refused_if_no_allowed_engine_is_left)
{
  process_kill (g_ptr_array_index (cluster->engines, 0));
  for (int i = 0; i < CALLS; i++)
    {
      struct client_answer answer = call (i % 2, "by-compute", i);

      ck_assert_int_ne (answer.status, 200);
      ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
      client_answer_clear (&answer);
    }
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("place");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_requests_run_only_in_data_centers_that_all_sets_allow);
  tcase_add_test (tests, test_vm_in_another_data_center_relays_only_with_transit);
  tcase_add_test (tests, test_request_is_refused_if_no_allowed_engine_is_left);
  return run_started_suite ();
}
