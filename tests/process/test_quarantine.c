/* Tests that a request that crashes every engine that runs it crashes at most two
   engines, whichever VMs receive it, and that requests that run beside it are
   answered. */
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define ENGINES         6
#define VMS             3
#define NORMAL_REQUESTS 24
#define REPEATS         9
#define ENGINES_CRASHED 2
#define STOPPED_MS      60   /* less than the VMs need to suspect each other */
#define ANSWER_MAX_MS   1000 /* although another VM stays stopped */

static const char crashing_body[]
    = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"deadly\",\"max_tokens\":3}";

static struct cluster *cluster;

struct caller
{
  guint number;
  long status;
};

struct crashing_call
{
  long status;
  int64_t took_ms;
};

/* Waits until each VM lists all VMs as alive. */
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
run_normal_request (void *user)
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
count_crashed_engines (void)
{
  int crashed = 0;

  for (guint i = 0; i < cluster->engines->len; i++)
    {
      const struct process *engine = g_ptr_array_index (cluster->engines, i);
      struct client_answer answer
          = client_run (&(struct client_call){ .port = engine->port, .path = "/load" });

      crashed += answer.curl != 0;
      client_answer_clear (&answer);
    }
  return crashed;
}

START_TEST (test_crashing_request_crashes_at_most_two_engines)
{
  struct caller normal_callers[NORMAL_REQUESTS];
  pthread_t threads[NORMAL_REQUESTS];

  for (guint i = 0; i < NORMAL_REQUESTS; i++)
    {
      normal_callers[i] = (struct caller){ .number = i };
      pthread_create (&threads[i], NULL, run_normal_request, &normal_callers[i]);
    }
  for (guint i = 0; i < REPEATS; i++)
    {
      struct client_answer answer = call (i % VMS, crashing_body);

      ck_assert_int_ne (answer.status, 200);
      client_answer_clear (&answer);
    }
  for (guint i = 0; i < NORMAL_REQUESTS; i++)
    {
      pthread_join (threads[i], NULL);
      ck_assert_msg (normal_callers[i].status == 200, "normal request %u got status %ld",
                     i, normal_callers[i].status);
    }
  ck_assert_int_le (count_crashed_engines (), ENGINES_CRASHED);
}
END_TEST

/* Expects that the second VM refuses the crashing request without running it. */
static void
expect_second_vm_refuses (void)
{
  struct client_answer answer = call (1, crashing_body);

  ck_assert_int_eq (answer.status, 422);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
  client_answer_clear (&answer);
  ck_assert_int_eq (count_crashed_engines (), ENGINES_CRASHED);
}

START_TEST (test_request_quarantined_by_one_vm_is_refused_by_the_others)
{
  struct client_answer answer = call (0, crashing_body);

  ck_assert_int_eq (answer.status, 422);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "quarantined"));
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"unknown\""));
  client_answer_clear (&answer);
  expect_second_vm_refuses ();
}
END_TEST

/* Sends the crashing request to the first VM. */
static void *
run_crashing_request (void *user)
{
  struct crashing_call *crashing = user;
  int64_t started_us = g_get_monotonic_time ();
  struct client_answer answer = call (0, crashing_body);

  crashing->status = answer.status;
  crashing->took_ms = (g_get_monotonic_time () - started_us) / G_TIME_SPAN_MILLISECOND;
  client_answer_clear (&answer);
  return NULL;
}

/* A caller repeats the request at another VM as soon as the first one has answered. */
START_TEST (test_answer_comes_before_the_other_vms_know_that_the_request_is_quarantined)
{
  struct crashing_call crashing;
  pthread_t thread;

  process_signal (cluster_vm (cluster, 1), SIGSTOP);
  pthread_create (&thread, NULL, run_crashing_request, &crashing);
  g_usleep (STOPPED_MS * G_TIME_SPAN_MILLISECOND);
  process_signal (cluster_vm (cluster, 1), SIGCONT);
  pthread_join (thread, NULL);
  ck_assert_int_eq (crashing.status, 422);
  ck_assert_int_ge (crashing.took_ms, STOPPED_MS - 1);
  expect_second_vm_refuses ();
}
END_TEST

START_TEST (test_stopped_vm_does_not_hold_up_the_answer_of_a_quarantined_request)
{
  struct crashing_call crashing;

  process_signal (cluster_vm (cluster, 1), SIGSTOP);
  run_crashing_request (&crashing);
  process_signal (cluster_vm (cluster, 1), SIGCONT);
  ck_assert_int_eq (crashing.status, 422);
  ck_assert_int_lt (crashing.took_ms, ANSWER_MAX_MS);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("quarantine");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_request_quarantined_by_one_vm_is_refused_by_the_others);
  tcase_add_test (tests, test_crashing_request_crashes_at_most_two_engines);
  tcase_add_test (
      tests, test_answer_comes_before_the_other_vms_know_that_the_request_is_quarantined);
  tcase_add_test (tests,
                  test_stopped_vm_does_not_hold_up_the_answer_of_a_quarantined_request);
  return run_started_suite ();
}
