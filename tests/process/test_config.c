/* Tests the publication of configuration changes by several VMs. Guards against changes
   that are lost or reported with the wrong outcome, and VMs that disagree, when operators
   change a document at the same time, the log loses an answer or is unavailable, records
   are trimmed, or the log is restored to an earlier state. */
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define VMS               3
#define OPERATORS         4
#define ROUNDS            20
#define IN_FORCE_MS       5000 /* the requirement: in force on all VMs within 5 s */
#define POLL_MS           5
#define STATUS_STALE_BASE 412
#define PATH              "/admin/v1/profiles/raced"
#define OTHER             "/admin/v1/profiles/new"
#define SETTINGS          "[platform]\ncheckpoint_records=1000\n"
#define SETTINGS_OFTEN    "[platform]\ncheckpoint_records=4\n"

static struct cluster *cluster;
static unsigned seed = 1;

struct operator
{
  int port;
  int importance;
  const char *header;
  long status;
};

static void
set_up (void)
{
  cluster = cluster_new ("config");
  cluster_publish_list (cluster, 0);
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static void
start_vms (const char *settings)
{
  for (int i = 0; i < VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm-%d", i + 1);

      cluster_add_vm (cluster, name, "dc1", settings);
    }
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static char *
document (int importance)
{
  return g_strdup_printf (
      "{\"prompt_in\":[\"dc1\"],\"cache_in\":[\"dc1\"],\"compute_in\":[\"dc1\"],"
      "\"importance\":%d}",
      importance);
}

static struct client_answer
put (int port, const char *path, int importance, const char *header)
{
  g_autofree char *body = document (importance);

  return client_run (&(struct client_call){ .method = "PUT",
                                            .port = port,
                                            .path = path,
                                            .key = CLUSTER_TOKEN,
                                            .header = header,
                                            .body = body,
                                            .timeout_ms = 20000 });
}

static long
put_status (int port, const char *path, int importance, const char *header)
{
  struct client_answer answer = put (port, path, importance, header);
  long status = answer.status;

  client_answer_clear (&answer);
  return status;
}

/* Returns the importance of the document in force on a VM, or -1 if there is none. */
static int
importance_at (const struct process *vm, const char *path)
{
  json_t *profile = cluster_admin_get (vm->admin_port, path);
  json_t *value = json_object_get (profile, "importance");
  int importance = json_is_integer (value) ? (int)json_integer_value (value) : -1;

  json_decref (profile);
  return importance;
}

/* Waits until the document with this importance is in force on every VM. Returns the
   duration in milliseconds, or -1 if it exceeds IN_FORCE_MS. */
static int64_t
wait_in_force (const char *path, int importance)
{
  int64_t start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
  int64_t waited_ms = 0;

  for (guint i = 0; i < cluster->vms->len;)
    {
      waited_ms = (kcp_clock_monotonic_ns (&kcp_clock_system) - start_ns) / KCP_NS_PER_MS;
      if (importance_at (cluster_vm (cluster, i), path) == importance)
        i++;
      else if (waited_ms > IN_FORCE_MS)
        return -1;
      else
        g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  return waited_ms;
}

static int64_t
log_next_offset (int index)
{
  json_t *config
      = cluster_admin_get (cluster_vm (cluster, index)->admin_port, "/admin/v1/config");
  int64_t next = json_integer_value (json_object_get (config, "next_offset"));

  json_decref (config);
  return next;
}

static void
log_fault (const char *kind, const char *member, int64_t value)
{
  g_autofree char *text
      = g_strdup_printf ("{\"%s\":{\"stream\":\"config\",\"%s\":%" G_GINT64_FORMAT "}}",
                         kind, member, value);

  cluster_inject_faults (cluster->log, text);
}

static void *
run_operator (void *user)
{
  struct operator* operator= user;

  operator->status = put_status (operator->port,
                                 PATH, operator->importance, operator->header);
  return NULL;
}

/* Lets several operators change the same document at the same time and checks that
   exactly one of them succeeds. Returns the importance that this operator wrote. */
static int
race_operators (const char *header)
{
  struct operator operators[OPERATORS];
  pthread_t threads[OPERATORS];
  int winners = 0;
  int winner_importance = -1;

  for (int i = 0; i < OPERATORS; i++)
    {
      operators[i] = (struct operator){
        .port = cluster_vm (cluster, (guint)rand_r (&seed) % VMS)->admin_port,
        .importance = i,
        .header = header,
      };
      pthread_create (&threads[i], NULL, run_operator, &operators[i]);
    }
  for (int i = 0; i < OPERATORS; i++)
    {
      pthread_join (threads[i], NULL);
      ck_assert_msg (operators[i].status == 200
                         || operators[i].status == STATUS_STALE_BASE,
                     "operator %d got %ld", i, operators[i].status);
      if (operators[i].status == 200)
        winner_importance = operators[i].importance;
      winners += operators[i].status == 200;
    }
  ck_assert_int_eq (winners, 1);
  return winner_importance;
}

START_TEST (test_one_of_concurrent_changes_wins_and_all_vms_agree)
{
  int64_t max_duration_ms = 0;

  (void)printf ("seed %u\n", seed);
  start_vms (SETTINGS);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 9, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 9), 0);
  for (int round = 0; round < ROUNDS; round++)
    {
      struct client_answer answer = client_run (
          &(struct client_call){ .port = cluster_vm (cluster, 1)->admin_port,
                                 .path = PATH,
                                 .key = CLUSTER_TOKEN });
      g_autofree char *etag = client_header (&answer, "ETag");
      g_autofree char *header = g_strconcat ("If-Match: ", etag, NULL);
      int64_t start_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
      int64_t duration_ms;

      ck_assert_int_ge (wait_in_force (PATH, race_operators (header)), 0);
      duration_ms
          = (kcp_clock_monotonic_ns (&kcp_clock_system) - start_ns) / KCP_NS_PER_MS;
      ck_assert_int_le (duration_ms, IN_FORCE_MS);
      max_duration_ms = MAX (max_duration_ms, duration_ms);
      client_answer_clear (&answer);
    }
  (void)printf ("%d rounds: in force on %d VMs at most %" G_GINT64_FORMAT
                " ms after the PUT was sent\n",
                ROUNDS, VMS, max_duration_ms);
}
END_TEST

/* With the first fault the answer to an append is lost. With the second one the append
   takes effect only after the VM has stopped waiting for the answer. */
static const char *const lost_answers[]
    = { "{\"lose_answers\":1}", "{\"append_delay_ms\":1500}" };

START_TEST (test_publication_with_lost_log_answer_is_reported_correctly)
{
  struct client_answer answer;

  start_vms (SETTINGS);
  cluster_inject_faults (cluster->log, lost_answers[_i]);
  answer = put (cluster_vm (cluster, 0)->admin_port, PATH, 7, NULL);
  ck_assert_int_ge (wait_in_force (PATH, 7), 0);
  ck_assert_msg (answer.status == 200, "in force, but the answer was %ld %s",
                 answer.status, answer.body->str);
  client_answer_clear (&answer);
}
END_TEST

START_TEST (test_log_outage_rejects_changes_as_not_run)
{
  struct client_answer answer;

  start_vms (SETTINGS);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 1, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 1), 0);
  cluster_inject_faults (cluster->log, "{\"out\":true}");
  answer = put (cluster_vm (cluster, 1)->admin_port, PATH, 2, NULL);
  ck_assert_int_eq (answer.status, 503);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "\"execution\":\"not_run\""));
  client_answer_clear (&answer);
  cluster_inject_faults (cluster->log, "{\"out\":false}");
  ck_assert_int_eq (put_status (cluster_vm (cluster, 2)->admin_port, PATH, 3, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 3), 0);
}
END_TEST

START_TEST (test_new_vm_gets_configuration_from_trimmed_log)
{
  start_vms (_i == 0 ? SETTINGS : SETTINGS_OFTEN);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 5, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 5), 0);
  log_fault ("trim", "first", log_next_offset (0));
  cluster_add_vm (cluster, "vm-late", "dc1", SETTINGS);
  ck_assert_int_ge (wait_in_force (PATH, 5), 0);
  ck_assert_int_eq (put_status (cluster_vm (cluster, VMS)->admin_port, PATH, 6, NULL),
                    200);
  ck_assert_int_ge (wait_in_force (PATH, 6), 0);
}
END_TEST

START_TEST (test_truncated_log_reverts_nothing_and_accepts_changes)
{
  int64_t kept;

  start_vms (SETTINGS);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 1, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 1), 0);
  kept = log_next_offset (0);
  for (int i = 2; i <= 5; i++)
    ck_assert_int_eq (put_status (cluster_vm (cluster, 1)->admin_port, PATH, i, NULL),
                      200);
  ck_assert_int_ge (wait_in_force (PATH, 5), 0);
  log_fault ("truncate", "next", kept);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, OTHER, 8, NULL),
                    200);
  ck_assert_int_ge (wait_in_force (OTHER, 8), 0);
  ck_assert_int_ge (wait_in_force (PATH, 5), 0);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 2)->admin_port, PATH, 6, NULL), 200);
  cluster_add_vm (cluster, "vm-late", "dc1", SETTINGS);
  ck_assert_int_ge (wait_in_force (PATH, 6), 0);
  ck_assert_int_ge (wait_in_force (OTHER, 8), 0);
}
END_TEST

START_TEST (test_replaced_last_record_is_detected_by_every_vm)
{
  int64_t kept;

  start_vms (SETTINGS);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 1, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 1), 0);
  kept = log_next_offset (0);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 2, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 2), 0);
  log_fault ("truncate", "next", kept);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 1)->admin_port, OTHER, 8, NULL),
                    200);
  cluster_add_vm (cluster, "vm-late", "dc1", SETTINGS);
  ck_assert_int_ge (wait_in_force (OTHER, 8), 0);
  ck_assert_int_ge (wait_in_force (PATH, 2), 0);
}
END_TEST

START_TEST (test_vm_frozen_during_log_restore_catches_up)
{
  struct process *frozen;
  int64_t kept;

  start_vms (SETTINGS);
  frozen = cluster_vm (cluster, 2);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 1, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 1), 0);
  kept = log_next_offset (0);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 2, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 2), 0);
  process_signal (frozen, SIGSTOP);
  log_fault ("truncate", "next", kept);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 1)->admin_port, OTHER, 8, NULL),
                    200);
  for (int i = 11; i <= 16; i++)
    ck_assert_int_eq (put_status (cluster_vm (cluster, 1)->admin_port, PATH, i, NULL),
                      200);
  process_signal (frozen, SIGCONT);
  ck_assert_int_ge (wait_in_force (PATH, 16), 0);
  ck_assert_int_ge (wait_in_force (OTHER, 8), 0);
  ck_assert_int_eq (put_status (frozen->admin_port, PATH, 17, NULL), 200);
  ck_assert_int_ge (wait_in_force (PATH, 17), 0);
}
END_TEST

START_TEST (test_invalid_document_is_rejected_with_key_and_reason)
{
  struct client_answer answer;

  start_vms (SETTINGS);
  ck_assert_int_eq (put_status (cluster_vm (cluster, 0)->admin_port, PATH, 1, NULL), 200);
  answer = put (cluster_vm (cluster, 0)->admin_port, PATH, 101, NULL);
  ck_assert_int_eq (answer.status, 400);
  ck_assert_ptr_nonnull (strstr (answer.body->str, "profiles/raced: importance: a whole "
                                                   "number from 0 to 100"));
  client_answer_clear (&answer);
  ck_assert_int_ge (wait_in_force (PATH, 1), 0);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("config");

  if (argc > 1)
    seed = (unsigned)atoi (argv[1]);
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_one_of_concurrent_changes_wins_and_all_vms_agree);
  tcase_add_loop_test (tests, test_publication_with_lost_log_answer_is_reported_correctly,
                       0, 2);
  tcase_add_test (tests, test_log_outage_rejects_changes_as_not_run);
  tcase_add_loop_test (tests, test_new_vm_gets_configuration_from_trimmed_log, 0, 2);
  tcase_add_test (tests, test_truncated_log_reverts_nothing_and_accepts_changes);
  tcase_add_test (tests, test_replaced_last_record_is_detected_by_every_vm);
  tcase_add_test (tests, test_vm_frozen_during_log_restore_catches_up);
  tcase_add_test (tests, test_invalid_document_is_rejected_with_key_and_reason);
  return run_started_suite ();
}
