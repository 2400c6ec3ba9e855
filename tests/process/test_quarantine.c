/* A request that crashes each engine that runs it costs at most two engines, through
   whichever VMs it comes, and requests that ran beside it are answered. */
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define ENGINES      6
#define VMS          3
#define INNOCENTS    24
#define REPEATS      9
#define ENGINES_LOST 2

static const char deadly[]
    = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"deadly\",\"max_tokens\":3}";

static struct cluster *cluster;

struct caller
{
  guint number;
  long status;
};

/* Waits until each VM knows all others as alive. */
static void
wait_for_members (void)
{
  for (guint i = 0; i < VMS; i++)
    for (guint alive = 0; alive < VMS;)
      {
        json_t *answer
            = cluster_admin_get (cluster_vm (cluster, i)->admin_port, "/admin/v1/vms");
        char *text = json_dumps (answer, 0);
        g_auto (GStrv) parts = g_strsplit (text, "\"alive\"", -1);

        alive = g_strv_length (parts) - 1;
        free (text);
        json_decref (answer);
      }
}

static void
set_up (void)
{
  static char *const options[] = { "--token-ms", "20", "--crash-on", "deadly", NULL };

  cluster = cluster_new ("quarantine");
  for (int i = 0; i < ENGINES; i++)
    {
      g_autofree char *name = g_strdup_printf ("engine-%d", i + 1);

      cluster_add_engine (cluster, name, "dc1", options);
    }
  for (int i = 0; i < VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm-%d", i + 1);

      cluster_add_vm (cluster, name, "dc1", NULL);
    }
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  wait_for_members ();
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static struct client_answer
call (guint vm, const char *body)
{
  return client_run (&(struct client_call){
      .port = cluster_vm (cluster, vm)->port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = body,
  });
}

static void *
run_innocent (void *user)
{
  struct caller *caller = user;
  g_autofree char *body = g_strdup_printf (
      "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"review %u\",\"max_tokens\":40}",
      caller->number);
  struct client_answer answer = call (caller->number % VMS, body);

  caller->status = answer.status;
  client_answer_clear (&answer);
  return NULL;
}

static int
engines_lost (void)
{
  int lost = 0;

  for (guint i = 0; i < cluster->engines->len; i++)
    {
      const struct process *engine = g_ptr_array_index (cluster->engines, i);
      struct client_answer answer
          = client_run (&(struct client_call){ .port = engine->port, .path = "/load" });

      lost += answer.curl != 0;
      client_answer_clear (&answer);
    }
  return lost;
}

START_TEST (test_a_request_that_crashes_engines_costs_two_however_often_it_comes)
{
  struct caller innocents[INNOCENTS];
  pthread_t threads[INNOCENTS];

  for (guint i = 0; i < INNOCENTS; i++)
    {
      innocents[i] = (struct caller){ .number = i };
      pthread_create (&threads[i], NULL, run_innocent, &innocents[i]);
    }
  for (guint i = 0; i < REPEATS; i++)
    {
      struct client_answer answer = call (i % VMS, deadly);

      ck_assert_int_ne (answer.status, 200);
      client_answer_clear (&answer);
    }
  for (guint i = 0; i < INNOCENTS; i++)
    {
      pthread_join (threads[i], NULL);
      ck_assert_msg (innocents[i].status == 200, "innocent %u got %ld", i,
                     innocents[i].status);
    }
  ck_assert_int_le (engines_lost (), ENGINES_LOST);
}
END_TEST

START_TEST (test_what_one_vm_learned_is_refused_at_the_others)
{
  struct client_answer answer = call (0, deadly);

  ck_assert_int_eq (answer.status, 422);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "quarantined"));
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"unknown\""));
  client_answer_clear (&answer);
  answer = call (1, deadly);
  ck_assert_int_eq (answer.status, 422);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
  client_answer_clear (&answer);
  ck_assert_int_eq (engines_lost (), ENGINES_LOST);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quarantine");
  TCase *tests = tcase_create ("quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_what_one_vm_learned_is_refused_at_the_others);
  tcase_add_test (tests,
                  test_a_request_that_crashes_engines_costs_two_however_often_it_comes);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
