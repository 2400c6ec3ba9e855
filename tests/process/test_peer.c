/* Tests the gossip between VMs as processes: configuration without the log, detection of
   stopped VMs, an unavailable VM list, and datagrams that are not messages. */
#include <check.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define VMS                 6
#define DATA_CENTERS        3
#define POLL_MS             5
#define IN_FORCE_MS         5000 /* documented bound for a new configuration */
#define GARBAGE_DATAGRAMS   200
#define DEFAULT_SEED        1
#define MEMBERSHIP_MS       10000 /* limit for a state change to reach all VMs */
#define FAST_PROBE_SETTINGS "[peers]\nprobe_interval_ms=100\n"
#define CLOSED_PORT         1 /* no process listens on it */
#define PROFILE_BODY                                                                     \
  "{\"prompt_in\":[\"dc1\"],\"cache_in\":[\"dc1\"],\"compute_in\":[\"dc1\"],"            \
  "\"class\":\"urgent\",\"repeatable\":true}"

static struct cluster *cluster;
static guint32 seed = DEFAULT_SEED;

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
}

/* Starts the VMs. Those of data center dc3 cannot reach the log. */
static void
start_vms (void)
{
  for (int i = 0; i < VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm%d", i + 1);
      g_autofree char *data_center = g_strdup_printf ("dc%d", i % DATA_CENTERS + 1);
      bool without_log = i % DATA_CENTERS == DATA_CENTERS - 1;

      cluster->vm_log_port = without_log ? CLOSED_PORT : cluster->log->port;
      (void)cluster_add_vm (cluster, name, data_center, FAST_PROBE_SETTINGS);
    }
  cluster->vm_log_port = cluster->log->port;
  cluster_publish_list (cluster, 0);
}

static void
set_up (void)
{
  cluster = cluster_new ("peer");
  start_vms ();
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

/* Returns true if a document is in force on a VM. */
static bool
has_document (const struct process *vm, const char *key)
{
  json_t *config = cluster_admin_get (vm->admin_port, "/admin/v1/config");
  bool found = json_object_get (json_object_get (config, "documents"), key) != NULL;

  json_decref (config);
  return found;
}

/* Waits until a document is in force on a VM. Returns the milliseconds since start, or -1
   after limit_ms. */
static int64_t
wait_document (const struct process *vm, const char *key, int64_t start, int64_t limit_ms)
{
  while (now_ms () - start < limit_ms)
    {
      if (has_document (vm, key))
        return now_ms () - start;
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  return -1;
}

static bool
sees_state (const struct process *viewer, const char *about, const char *state)
{
  json_t *vms = cluster_admin_get (viewer->admin_port, "/admin/v1/vms");
  bool found = false;
  json_t *vm;
  size_t i;

  json_array_foreach (vms, i, vm)
  {
    const char *id = json_string_value (json_object_get (vm, "vm"));
    const char *seen = json_string_value (json_object_get (vm, "state"));

    found = found || (strcmp (id, about) == 0 && strcmp (seen, state) == 0);
  }
  json_decref (vms);
  return found;
}

/* Waits until every VM except skipped sees a VM in a state. Fails the test after
   MEMBERSHIP_MS. */
static void
wait_until_seen (const char *about, const char *state, const struct process *skipped)
{
  int64_t start = now_ms ();

  for (guint i = 0; i < cluster->vms->len; i++)
    {
      const struct process *viewer = cluster_vm (cluster, i);

      if (viewer == skipped || strcmp (viewer->name, about) == 0)
        continue;
      while (!sees_state (viewer, about, state))
        {
          ck_assert_msg (now_ms () - start < MEMBERSHIP_MS, "%s does not see %s %s",
                         viewer->name, about, state);
          g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
        }
    }
  (void)printf ("%s %s everywhere after %d ms\n", about, state, (int)(now_ms () - start));
}

/* Publishes a profile and returns the milliseconds until it is in force on all VMs. */
static int64_t
publish_everywhere (const char *name)
{
  g_autofree char *path = g_strconcat ("/admin/v1/profiles/", name, NULL);
  g_autofree char *key = g_strconcat ("profiles/", name, NULL);
  int64_t start = now_ms ();
  int64_t slowest = 0;

  ck_assert_int_eq (
      cluster_admin_put (cluster_vm (cluster, 0)->admin_port, path, PROFILE_BODY, NULL),
      200);
  for (guint i = 0; i < cluster->vms->len; i++)
    {
      int64_t took = wait_document (cluster_vm (cluster, i), key, start, IN_FORCE_MS);

      ck_assert_msg (took >= 0, "%s has no new configuration after %d ms",
                     cluster_vm (cluster, i)->name, IN_FORCE_MS);
      slowest = MAX (slowest, took);
    }
  return slowest;
}

START_TEST (test_data_center_without_log_gets_configuration_from_peers)
{
  (void)printf ("first in force everywhere after %d ms\n",
                (int)publish_everywhere ("first"));
  (void)printf ("second in force everywhere after %d ms\n",
                (int)publish_everywhere ("second"));
}
END_TEST

START_TEST (test_restarted_vm_serves_while_log_is_unavailable)
{
  struct process *engine = cluster_add_engine (cluster, "engine1", "dc1", NULL);
  struct process *vm;
  int64_t start;
  long status = 0;

  ck_assert_int_gt (engine->port, 0);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  process_kill (cluster->log);
  process_kill (cluster_vm (cluster, 0));
  start = now_ms ();
  vm = cluster_add_vm (cluster, "vm1", "dc1", FAST_PROBE_SETTINGS);
  cluster_publish_list (cluster, 0);
  while (status != 200 && now_ms () - start < IN_FORCE_MS)
    {
      struct client_answer answer = client_run (&(struct client_call){
          .port = vm->port,
          .path = "/v1/completions",
          .key = CLUSTER_TEAM_KEY,
          .profile = "urgent",
          .body = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\",\"max_tokens\":2}",
      });

      status = answer.status;
      client_answer_clear (&answer);
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_int_eq (status, 200);
  (void)printf ("first successful answer %d ms after the start, without the log\n",
                (int)(now_ms () - start));
}
END_TEST

START_TEST (test_states_of_stopped_killed_and_leaving_vms_are_detected)
{
  struct process *frozen = cluster_vm (cluster, 1);
  struct process *killed = cluster_vm (cluster, 3);
  struct process *leaving = cluster_vm (cluster, 4);

  for (guint i = 0; i < cluster->vms->len; i++)
    wait_until_seen (cluster_vm (cluster, i)->name, "alive", NULL);
  process_signal (frozen, SIGSTOP);
  wait_until_seen (frozen->name, "dead", frozen);
  process_signal (frozen, SIGCONT);
  wait_until_seen (frozen->name, "alive", frozen);
  process_kill (killed);
  wait_until_seen (killed->name, "dead", killed);
  g_ptr_array_remove (cluster->vms, killed);
  process_signal (leaving, SIGTERM);
  wait_until_seen (leaving->name, "leaving", leaving);
  ck_assert_int_eq (process_wait (leaving), 0);
  g_ptr_array_remove (cluster->vms, leaving);
}
END_TEST

/* The platform's VM list becomes unavailable for good; members learned from other VMs
   stay. */
START_TEST (test_members_stay_while_vm_list_is_unavailable)
{
  for (guint i = 0; i < cluster->vms->len; i++)
    wait_until_seen (cluster_vm (cluster, i)->name, "alive", NULL);
  process_kill (cluster->list);
  process_kill (cluster_vm (cluster, 5));
  wait_until_seen ("vm6", "dead", cluster_vm (cluster, 5));
  g_ptr_array_remove_index (cluster->vms, 5);
  for (guint i = 0; i < cluster->vms->len; i++)
    wait_until_seen (cluster_vm (cluster, i)->name, "alive", NULL);
}
END_TEST

/* Sends random datagrams, half of them with the header of a valid RPC call. */
static void
send_garbage (int port)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  const uint32_t header[] = { 1, 0, 2, 0x20004b43, 1, 1, 0, 0, 0, 0 };
  struct sockaddr_in to = {
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)port),
    .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  for (int i = 0; i < GARBAGE_DATAGRAMS; i++)
    {
      uint32_t words[100];
      size_t len = (size_t)g_rand_int_range (random, 1, sizeof words);

      for (size_t j = 0; j < G_N_ELEMENTS (words); j++)
        words[j] = g_rand_int (random);
      for (size_t j = 0; i % 2 == 0 && j < G_N_ELEMENTS (header); j++)
        words[j] = htonl (header[j]);
      ck_assert_int_ge (sendto (fd, words, len, 0, (struct sockaddr *)&to, sizeof to), 0);
    }
  (void)close (fd);
}

START_TEST (test_garbage_datagrams_are_dropped_and_counted)
{
  const struct process *vm = cluster_vm (cluster, 0);
  int64_t start = now_ms ();

  send_garbage (vm->peer_port);
  while (cluster_counter (vm, "rpc_rejected") < GARBAGE_DATAGRAMS)
    {
      ck_assert_msg (now_ms () - start < MEMBERSHIP_MS, "%d rejected",
                     (int)cluster_counter (vm, "rpc_rejected"));
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  for (guint i = 0; i < cluster->vms->len; i++)
    wait_until_seen (cluster_vm (cluster, i)->name, "alive", NULL);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("peer");

  if (argc > 1)
    seed = (guint32)strtoul (argv[1], NULL, 10);
  (void)printf ("seed %u\n", seed);
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_data_center_without_log_gets_configuration_from_peers);
  tcase_add_test (tests, test_restarted_vm_serves_while_log_is_unavailable);
  tcase_add_test (tests, test_states_of_stopped_killed_and_leaving_vms_are_detected);
  tcase_add_test (tests, test_members_stay_while_vm_list_is_unavailable);
  tcase_add_test (tests, test_garbage_datagrams_are_dropped_and_counted);
  return run_started_suite ();
}
