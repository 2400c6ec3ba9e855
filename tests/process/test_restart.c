/* Tests the start of VMs with the configuration in the log. Guards against VMs that do
   not serve within the limit after a common restart, and against requests that are not
   rejected as not run while a VM has no configuration because the log is unavailable or
   trimmed. */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define VMS              3
#define SERVE_TIMEOUT_MS 5000 /* limit for a configuration to be in force on all VMs */
#define POLL_MS          2
#define RECORDS          400 /* in the log before the restart */

static struct cluster *cluster;

static void
set_up (void)
{
  cluster = cluster_new ("restart");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_publish_list (cluster, 0);
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static struct client_answer
send_completion (const struct process *vm)
{
  return client_run (&(struct client_call){
      .port = vm->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "urgent",
      .body = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\",\"max_tokens\":1}",
  });
}

/* Waits for the first successful answer and returns the milliseconds since start_ns.
   Checks that each answer before it reports that the request was not run and has a
   Retry-After header. */
static int64_t
first_answer_ms (const struct process *vm, int64_t start_ns)
{
  for (;;)
    {
      struct client_answer answer = send_completion (vm);
      int64_t ms
          = (kcp_clock_monotonic_ns (&kcp_clock_system) - start_ns) / KCP_NS_PER_MS;
      g_autofree char *retry = client_header (&answer, "Retry-After");
      bool served = answer.status == 200;

      ck_assert_msg (
          served || strstr (answer.body->str, "\"execution\":\"not_run\"") != NULL,
          "%ld %s", answer.status, answer.body->str);
      ck_assert_msg (served || (answer.status == 503 && retry != NULL), "%ld %s",
                     answer.status, answer.body->str);
      client_answer_clear (&answer);
      if (served)
        return ms;
      ck_assert_int_le (ms, SERVE_TIMEOUT_MS);
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
}

static void
add_vms (void)
{
  for (int i = 0; i < VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm-%d", i + 1);

      cluster_add_vm (cluster, name, "dc1", "[platform]\ncheckpoint_records=100\n");
    }
}

static void
kill_vms (void)
{
  g_ptr_array_set_size (cluster->vms, 0);
}

START_TEST (test_vms_restarted_together_serve_within_limit)
{
  g_autofree char *document = g_strdup ("{\"prompt_in\":[\"dc1\"],\"cache_in\":[\"dc1\"],"
                                        "\"compute_in\":[\"dc1\"]}");
  int64_t start_ns;

  add_vms ();
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  for (int i = 0; i < RECORDS; i++)
    ck_assert_int_eq (cluster_admin_put (cluster_vm (cluster, 0)->admin_port,
                                         "/admin/v1/profiles/often", document, NULL),
                      200);
  kill_vms ();
  start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  add_vms ();
  for (guint i = 0; i < VMS; i++)
    {
      int64_t ms = first_answer_ms (cluster_vm (cluster, i), start_ns);

      ck_assert_int_le (ms, SERVE_TIMEOUT_MS);
      (void)printf ("%s: first successful answer %" G_GINT64_FORMAT
                    " ms after the first of %d VMs was started\n",
                    cluster_vm (cluster, i)->name, ms, VMS);
    }
}
END_TEST

static long
admin_status (guint vm, const char *path)
{
  struct client_answer answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, vm)->admin_port, .path = path, .key = CLUSTER_TOKEN });
  long status = answer.status;

  client_answer_clear (&answer);
  return status;
}

START_TEST (test_requests_without_configuration_are_rejected_as_not_run)
{
  struct client_answer answer;
  g_autofree char *retry = NULL;
  int64_t start_ns;

  add_vms ();
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  cluster_inject_faults (cluster->log, "{\"out\":true}");
  answer = send_completion (cluster_vm (cluster, 0));
  ck_assert_int_eq (answer.status, 200);
  client_answer_clear (&answer);
  kill_vms ();
  add_vms ();
  answer = send_completion (cluster_vm (cluster, 1));
  retry = client_header (&answer, "Retry-After");
  ck_assert_int_eq (answer.status, 503);
  ck_assert_ptr_nonnull (strstr (answer.body->str, ":no-configuration\""));
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
  ck_assert_ptr_nonnull (retry);
  client_answer_clear (&answer);
  ck_assert_int_eq (cluster_admin_put (cluster_vm (cluster, 1)->admin_port,
                                       "/admin/v1/profiles/x",
                                       "{\"prompt_in\":[\"dc1\"],\"cache_in\":[\"dc1\"],"
                                       "\"compute_in\":[\"dc1\"]}",
                                       NULL),
                    503);
  ck_assert_int_eq (admin_status (1, "/admin/v1/profiles/urgent"), 503);
  ck_assert_int_eq (admin_status (1, "/admin/v1/teams"), 503);
  ck_assert_int_eq (admin_status (1, "/admin/v1/config"), 200);
  cluster_inject_faults (cluster->log, "{\"out\":false}");
  start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  (void)printf ("first successful answer %" G_GINT64_FORMAT " ms after the log outage\n",
                first_answer_ms (cluster_vm (cluster, 1), start_ns));
}
END_TEST

static void
wait_for_gap (void)
{
  bool gap = false;

  for (int waited = 0; !gap; waited += POLL_MS)
    {
      json_t *config
          = cluster_admin_get (cluster_vm (cluster, 0)->admin_port, "/admin/v1/config");

      gap = json_is_true (json_object_get (config, "gap"));
      json_decref (config);
      ck_assert_int_le (waited, SERVE_TIMEOUT_MS);
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
}

static long
start_over (const char *body)
{
  return cluster_admin_put (cluster_vm (cluster, 0)->admin_port, "/admin/v1/config", body,
                            NULL);
}

START_TEST (test_start_over_requires_that_no_vm_holds_a_configuration)
{
  static const char body[] = "{\"documents\":{\"profiles/only\":{\"prompt_in\":[\"dc1\"],"
                             "\"cache_in\":[\"dc1\"],\"compute_in\":[\"dc1\"]}}}";
  json_t *profile;

  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  ck_assert_int_eq (start_over (body), 412);
  kill_vms ();
  cluster_inject_faults (cluster->log, "{\"trim\":{\"stream\":\"config\",\"first\":3}}");
  cluster_add_vm (cluster, "vm-2", "dc1", NULL);
  cluster_add_vm (cluster, "vm-3", "dc1", NULL);
  wait_for_gap ();
  ck_assert_int_eq (start_over ("{\"documents\":{\"profiles/only\":{}}}"), 400);
  ck_assert_int_eq (start_over (body), 200);
  ck_assert_int_eq (start_over (body), 412);
  for (int waited = 0;; waited += POLL_MS)
    {
      profile = cluster_admin_get (cluster_vm (cluster, 1)->admin_port,
                                   "/admin/v1/profiles/only");
      if (json_object_get (profile, "compute_in") != NULL)
        break;
      json_decref (profile);
      ck_assert_int_le (waited, SERVE_TIMEOUT_MS);
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  json_decref (profile);
}
END_TEST

START_TEST (test_new_vm_on_trimmed_log_rejects_requests_as_not_run)
{
  struct client_answer answer;

  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  kill_vms ();
  cluster_inject_faults (cluster->log, "{\"trim\":{\"stream\":\"config\",\"first\":3}}");
  cluster_add_vm (cluster, "vm-2", "dc1", NULL);
  answer = send_completion (cluster_vm (cluster, 0));
  ck_assert_int_eq (answer.status, 503);
  ck_assert_ptr_nonnull (strstr (answer.body->str, ":no-configuration\""));
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
  client_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("restart");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_vms_restarted_together_serve_within_limit);
  tcase_add_test (tests, test_requests_without_configuration_are_rejected_as_not_run);
  tcase_add_test (tests, test_new_vm_on_trimmed_log_rejects_requests_as_not_run);
  tcase_add_test (tests, test_start_over_requires_that_no_vm_holds_a_configuration);
  return run_started_suite ();
}
