/* Tests calls to plain services while one of two servers is dead or sends wrong answers,
   and a start on a port that is in use. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define CALLS 30

static struct cluster *cluster;

static void
set_up (void)
{
  cluster = cluster_new ("services");
  cluster_add_service (cluster, "service-1", "dc1");
  cluster_add_service (cluster, "service-2", "dc1");
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

static void
make_calls (const char *profile)
{
  for (int i = 0; i < CALLS; i++)
    {
      g_autofree char *key = g_strdup_printf ("%s-%d", profile, i);
      struct client_answer answer = client_run (&(struct client_call){
          .port = cluster_vm (cluster, 0)->port,
          .path = "/services/" CLUSTER_SERVICE "/call",
          .key = CLUSTER_TEAM_KEY,
          .profile = profile,
          .idempotency_key = key,
          .body = "{}",
      });

      ck_assert_msg (answer.status == 200, "%s: %ld %s", key, answer.status,
                     answer.body->str);
      ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":1"));
      client_answer_clear (&answer);
    }
}

START_TEST (test_no_call_fails_while_a_server_is_dead)
{
  process_kill (g_ptr_array_index (cluster->services, 0));
  make_calls ("lookup");
  make_calls ("booking");
}
END_TEST

/* A response that carries the id of another attempt must not reach the caller. A lookup
   is retried; a booking may have run and ends in an error. */
START_TEST (test_answer_of_another_attempt_is_never_forwarded)
{
  static const char *const profiles[] = { "lookup", "booking" };

  for (int round = 0; round < 4; round++)
    {
      const char *profile = profiles[round % 2];
      g_autofree char *key = g_strdup_printf ("crossed-%d", round);
      struct client_answer answer;

      for (guint i = 0; i < cluster->services->len; i++)
        cluster_inject_faults (g_ptr_array_index (cluster->services, i),
                               "{\"cross_answers\":1000}");
      answer = client_run (&(struct client_call){
          .port = cluster_vm (cluster, 0)->port,
          .path = "/services/" CLUSTER_SERVICE "/call",
          .key = CLUSTER_TEAM_KEY,
          .profile = profile,
          .idempotency_key = key,
          .body = "{}",
      });
      ck_assert_msg (answer.status != 200, "%s: %s", key, answer.body->str);
      ck_assert_ptr_null (strstr (answer.body->str, "\"execution\":1"));
      client_answer_clear (&answer);
    }
}
END_TEST

/* One of two servers sends the answers of other calls. Every lookup is retried and
   answered by the second server. A call that must not run twice is not retried. */
START_TEST (test_only_repeatable_calls_are_retried_after_a_wrong_answer)
{
  unsigned failed = 0;

  cluster_inject_faults (g_ptr_array_index (cluster->services, 0),
                         "{\"cross_answers\":1000}");
  make_calls ("lookup");
  for (int i = 0; i < CALLS; i++)
    {
      g_autofree char *key = g_strdup_printf ("once-%d", i);
      struct client_answer answer = client_run (&(struct client_call){
          .port = cluster_vm (cluster, 0)->port,
          .path = "/services/" CLUSTER_SERVICE "/call",
          .key = CLUSTER_TEAM_KEY,
          .profile = "booking",
          .idempotency_key = key,
          .body = "{}",
      });

      if (answer.status != 200)
        {
          ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"unknown\""));
          failed++;
        }
      client_answer_clear (&answer);
    }
  ck_assert_uint_gt (failed, 0);
}
END_TEST

START_TEST (test_second_process_on_the_same_port_does_not_start)
{
  g_autofree char *first = g_strdup_printf ("%s/vm-1.ini", cluster->folder);
  g_autofree char *second = g_strdup_printf ("%s/vm-2.ini", cluster->folder);
  g_autofree char *program = g_strdup_printf ("%s/../../kingcuppoint", cluster->folder);
  g_autofree char *port
      = g_strdup_printf ("[callers]\nport=%d", cluster_vm (cluster, 0)->port);
  char *argv[] = { program, "serve", "--settings", second, NULL };
  g_autofree char *text = NULL;
  g_auto (GStrv) parts = NULL;
  g_autofree char *changed = NULL;
  int status = 0;

  ck_assert (g_file_get_contents (first, &text, NULL, NULL));
  parts = g_strsplit (text, "[callers]\nport=0", 2);
  ck_assert_uint_eq (g_strv_length (parts), 2);
  changed = g_strjoinv (port, parts);
  ck_assert (g_file_set_contents (second, changed, -1, NULL));
  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, NULL,
                           NULL, &status, NULL));
  ck_assert (!g_spawn_check_wait_status (status, NULL));
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("services");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, test_no_call_fails_while_a_server_is_dead);
  tcase_add_test (tests, test_answer_of_another_attempt_is_never_forwarded);
  tcase_add_test (tests, test_only_repeatable_calls_are_retried_after_a_wrong_answer);
  tcase_add_test (tests, test_second_process_on_the_same_port_does_not_start);
  return run_started_suite ();
}
