/* Tests the orders of several VMs to six engines. Guards against more engines loading
   weights at the same time than max_loading allows, also if a VM that holds a grant is
   paused or killed and another VM closes the grant. Some engines do not check the fencing
   token, so that the lease alone must prevent late orders to them. */
#include <check.h>
#include <signal.h>
#include <stdlib.h>

#include "base/clock.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define ENGINES     6
#define MAX_LOADING 2
#define TIMEOUT_S   15
#define POLL_MS     20
#define VM_SETTINGS "[backends]\norder_lease_ms=700\n"

static struct cluster *cluster;

static void
set_up (void)
{
  static char *const with_fencing[] = { "--load-ms", "150", "--checks-fencing", NULL };
  static char *const without_fencing[] = { "--load-ms", "150", NULL };

  cluster = cluster_new ("orders");
  for (int i = 0; i < ENGINES; i++)
    {
      g_autofree char *name = g_strdup_printf ("engine-%d", i + 1);
      g_autofree char *data_center = g_strdup_printf ("dc%d", i % 2 + 1);

      cluster_add_engine (cluster, name, data_center,
                          i < ENGINES / 2 ? with_fencing : without_fencing);
    }
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm-%d", i + 1);
      g_autofree char *data_center = g_strdup_printf ("dc%d", i % 2 + 1);

      cluster_add_vm (cluster, name, data_center, VM_SETTINGS);
    }
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static void
set_desired_weights (const char *weights)
{
  for (int i = 0; i < ENGINES; i++)
    {
      g_autofree char *body = g_strdup_printf (
          "{\"engine\":\"engine-%d\",\"weights\":\"%s\"}", i + 1, weights);
      struct client_answer answer = client_run (&(struct client_call){
          .port = cluster_vm (cluster, 3)->admin_port,
          .path = "/admin/v1/orders",
          .key = CLUSTER_TOKEN,
          .body = body,
      });

      ck_assert_int_eq (answer.status, 202);
      client_answer_clear (&answer);
    }
}

static json_t *
engine_get (guint index, const char *path)
{
  const struct process *engine = g_ptr_array_index (cluster->engines, index);
  struct client_answer answer
      = client_run (&(struct client_call){ .port = engine->port, .path = path });
  json_t *document = client_json (&answer);

  client_answer_clear (&answer);
  return document;
}

static void
wait_for_weights (const char *weights)
{
  int64_t deadline
      = kcp_clock_monotonic_ns (&kcp_clock_system) + TIMEOUT_S * KCP_NS_PER_S;
  guint loaded = 0;

  while (loaded < ENGINES)
    {
      loaded = 0;
      for (guint i = 0; i < ENGINES; i++)
        {
          json_t *report = engine_get (i, "/load");

          loaded += g_strcmp0 (json_string_value (json_object_get (report, "weights")),
                               weights)
                    == 0;
          json_decref (report);
        }
      ck_assert_msg (kcp_clock_monotonic_ns (&kcp_clock_system) < deadline,
                     "%u of %d engines loaded", loaded, ENGINES);
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
}

/* Returns the maximum number of loads that were in progress at the same time, over all
   engines. */
static int
max_concurrent_loads (void)
{
  json_t *all = json_array ();
  int max_overlap = 0;
  json_t *load;
  size_t i;

  for (guint e = 0; e < ENGINES; e++)
    {
      json_t *loads = engine_get (e, "/orders");

      json_array_extend (all, loads);
      json_decref (loads);
    }
  json_array_foreach (all, i, load)
  {
    json_int_t start = json_integer_value (json_object_get (load, "start_ns"));
    int overlap = 0;
    json_t *other;
    size_t j;

    json_array_foreach (all, j, other) overlap
        += json_integer_value (json_object_get (other, "start_ns")) <= start
           && json_integer_value (json_object_get (other, "end_ns")) > start;
    max_overlap = MAX (max_overlap, overlap);
  }
  json_decref (all);
  return max_overlap;
}

START_TEST (test_all_engines_load_the_weights_at_most_two_at_once)
{
  set_desired_weights ("w2");
  wait_for_weights ("w2");
  ck_assert_int_le (max_concurrent_loads (), MAX_LOADING);
}
END_TEST

START_TEST (test_orders_complete_within_the_limit_if_a_grant_holder_is_paused_or_dead)
{
  set_desired_weights ("w2");
  process_signal (cluster_vm (cluster, 0), SIGSTOP);
  process_signal (cluster_vm (cluster, 1), SIGKILL);
  (void)process_wait (cluster_vm (cluster, 1));
  wait_for_weights ("w2");
  set_desired_weights ("w3");
  process_signal (cluster_vm (cluster, 0), SIGCONT);
  wait_for_weights ("w3");
  ck_assert_int_le (max_concurrent_loads (), MAX_LOADING);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("orders");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_all_engines_load_the_weights_at_most_two_at_once);
  tcase_add_test (
      tests, test_orders_complete_within_the_limit_if_a_grant_holder_is_paused_or_dead);
  return run_started_suite ();
}
