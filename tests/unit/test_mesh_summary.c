/* Tests how VMs of different data centers learn of each other's load in a fleet of many
   VMs: through summaries and forwarded updates, and how much of it counts as it ages. */
#include <check.h>

#include "policy/peer_load.h"
#include "tests/harness/mesh_vm.h"
#include "tests/harness/run_suite.h"

#define LISTED_VMS 30 /* enough for summaries to be used */
#define PART       77
#define TOKENS     13000
#define NEAR_VMS   39
#define ROLLOUTS   3
#define ROLLOUT_MS 4000
/* In one rollout. */
#define ANNOUNCEMENTS 100

static struct mesh_vm vm;
static struct mesh_vm_peer near;
static struct mesh_vm_peer remote;
static struct kcp_server *server;

static void
set_up (void)
{
  mesh_vm_init (&vm);
  mesh_vm_peer_init (&near, MESH_VM_DC);
  mesh_vm_peer_init (&remote, "there");
  server = mesh_vm_add_server (&vm, "i-1", "there");
  for (unsigned i = 0; i < LISTED_VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("127.0.0.2:%u", i + 1);

      mesh_vm_list (&vm, name, "elsewhere");
    }
  mesh_vm_start (&vm);
  mesh_vm_gossip (&vm, &near, server, 3);
  mesh_vm_gossip (&vm, &remote, NULL, 0);
}

static void
tear_down (void)
{
  mesh_vm_peer_clear (&near);
  mesh_vm_peer_clear (&remote);
  mesh_vm_clear (&vm);
}

/* Sends the summary of the remote data center, with in_flight requests at the server. */
static void
send_summary (uint64_t sequence, uint32_t in_flight, bool forwarded)
{
  struct kcp_mesh_summary summary;
  struct kcp_mesh_row *row;
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_summary_init (&summary);
  g_strlcpy (summary.state.vm, remote.vm, sizeof summary.state.vm);
  g_strlcpy (summary.state.data_center, remote.data_center,
             sizeof summary.state.data_center);
  summary.state.start_ms = 1;
  summary.state.sequence = sequence;
  summary.forwarded = forwarded;
  row = kcp_mesh_message_add_row (&summary.state);
  row->server = kcp_server_key (server);
  row->in_flight = in_flight;
  mesh_vm_send (&vm, &remote, bytes,
                kcp_mesh_summary_encode (&summary, bytes, sizeof bytes));
  kcp_mesh_summary_clear (&summary);
}

static unsigned
peers_in_flight (void)
{
  kcp_mesh_refresh_peer_load (vm.mesh);
  return server->peers_in_flight;
}

/* Runs the VM until it has sent a summary, while the other VM of its data center goes on
   sending its state, and decodes what the remote VM gets. The second VM of the order
   sends a summary once a second. */
static void
receive_summary (struct kcp_mesh_summary *summary)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  for (unsigned i = 0; i < 6; i++)
    {
      mesh_vm_gossip (&vm, &near, server, 3);
      mesh_vm_run (&vm, 200);
    }
  len = mesh_vm_receive (&remote, KCP_MESH_SUMMARY, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  kcp_mesh_summary_init (summary);
  ck_assert (kcp_mesh_summary_decode (summary, bytes, len));
  ck_assert_uint_eq (summary->state.rows->len, 1);
}

START_TEST (test_a_summary_adds_up_the_load_of_a_data_center)
{
  struct kcp_mesh_summary summary;

  server->in_flight = 2;
  receive_summary (&summary);
  ck_assert_str_eq (summary.state.data_center, MESH_VM_DC);
  ck_assert (!summary.forwarded);
  ck_assert_uint_eq (g_array_index (summary.state.rows, struct kcp_mesh_row, 0).in_flight,
                     2 + 3);
  kcp_mesh_summary_clear (&summary);
  server->in_flight = 0;
}
END_TEST

/* A server has loaded its weights when a summary arrives that was made before. */
START_TEST (test_a_summary_does_not_say_that_servers_load_weights)
{
  struct kcp_mesh_summary summary;

  server->own_loading_until_ns = kcp_loop_now (vm.gateway.loop) + 5 * KCP_NS_PER_S;
  receive_summary (&summary);
  ck_assert_uint_eq (
      g_array_index (summary.state.rows, struct kcp_mesh_row, 0).loading_ms, 0);
  kcp_mesh_summary_clear (&summary);
}
END_TEST

START_TEST (test_a_summary_counts_and_is_forwarded_once)
{
  char bytes[KCP_MESH_MESSAGE_MAX];

  ck_assert_uint_eq (peers_in_flight (), 3);
  send_summary (1, 7, false);
  ck_assert_uint_eq (peers_in_flight (), 3 + 7);
  ck_assert_uint_gt (mesh_vm_receive (&near, KCP_MESH_SUMMARY, bytes, sizeof bytes), 0);
  send_summary (2, 4, true);
  ck_assert_uint_eq (peers_in_flight (), 3 + 4);
  ck_assert_uint_eq (mesh_vm_count_received (&near, KCP_MESH_SUMMARY), 0);
}
END_TEST

START_TEST (test_an_older_summary_changes_nothing)
{
  send_summary (5, 7, true);
  send_summary (4, 1, true);
  ck_assert_uint_eq (peers_in_flight (), 3 + 7);
}
END_TEST

/* The senders of a data center are cut off: what they said is soon no longer true. */
START_TEST (test_the_load_of_a_silent_data_center_fades)
{
  send_summary (1, 8, true);
  mesh_vm_run (&vm, 1800);
  mesh_vm_gossip (&vm, &near, NULL, 0);
  ck_assert_uint_gt (peers_in_flight (), 0);
  ck_assert_uint_lt (peers_in_flight (), 8);
  ck_assert_int_ge (kcp_mesh_load_age_ns (vm.mesh), 1800 * KCP_NS_PER_MS);
  mesh_vm_run (&vm, KCP_PEER_LOAD_MAX_AGE_MS);
  mesh_vm_gossip (&vm, &near, NULL, 0);
  ck_assert_uint_eq (peers_in_flight (), 0);
  ck_assert_int_lt (kcp_mesh_load_age_ns (vm.mesh), 1800 * KCP_NS_PER_MS);
}
END_TEST

START_TEST (test_remote_vms_are_sent_no_rows)
{
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  server->in_flight = 2;
  mesh_vm_run (&vm, 2500);
  server->in_flight = 0;
  len = mesh_vm_receive (&remote, KCP_MESH_GOSSIP, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  kcp_mesh_message_init (&message);
  ck_assert (kcp_mesh_message_decode (&message, bytes, len));
  ck_assert_uint_eq (message.rows->len, 0);
  kcp_mesh_message_clear (&message);
}
END_TEST

/* A long prompt delays all others of its server, so all VMs hear of it at once. */
START_TEST (test_a_long_prompt_is_announced_to_every_data_center)
{
  kcp_mesh_announce_prompt (vm.mesh, server, PART, TOKENS);
  mesh_vm_run (&vm, 20);
  ck_assert_uint_eq (mesh_vm_count_received (&near, KCP_MESH_UPDATE), 1);
  ck_assert_uint_eq (mesh_vm_count_received (&remote, KCP_MESH_REMOTE_UPDATE), 1);
}
END_TEST

static void
send_update (const char *name, enum kcp_mesh_procedure procedure)
{
  struct kcp_mesh_update update;
  struct kcp_mesh_change change = { .server = kcp_server_key (server),
                                    .part = PART,
                                    .prefill_tokens_pending = TOKENS };
  char bytes[KCP_MESH_MESSAGE_MAX];

  kcp_mesh_update_init (&update);
  g_strlcpy (update.vm, name, sizeof update.vm);
  update.start_ms = 1;
  update.sequence = 1;
  g_array_append_val (update.changes, change);
  mesh_vm_send (&vm, &remote, bytes,
                kcp_mesh_update_encode (&update, procedure, bytes, sizeof bytes));
  kcp_mesh_update_clear (&update);
}

static bool
prefill_is_known (void)
{
  return kcp_server_peers_prefill_tokens (server, kcp_loop_now (vm.gateway.loop)) > 0;
}

START_TEST (test_an_update_of_a_remote_vm_is_forwarded_once)
{
  send_update (remote.vm, KCP_MESH_REMOTE_UPDATE);
  ck_assert (prefill_is_known ());
  ck_assert_uint_eq (mesh_vm_count_received (&near, KCP_MESH_UPDATE), 1);
  send_update (remote.vm, KCP_MESH_UPDATE);
  ck_assert_uint_eq (mesh_vm_count_received (&near, KCP_MESH_UPDATE), 0);
}
END_TEST

/* Load pattern: VMs are replaced in turn while servers load new weights. One that has
   just started has not heard of the VM that gives the orders. */
START_TEST (test_a_vm_that_has_just_started_forwards_what_it_gets)
{
  send_update ("127.0.0.3:1", KCP_MESH_REMOTE_UPDATE);
  ck_assert (!prefill_is_known ());
  ck_assert_uint_eq (mesh_vm_count_received (&near, KCP_MESH_UPDATE), 1);
}
END_TEST

START_TEST (test_an_update_of_a_vm_that_is_only_listed_counts)
{
  send_update ("127.0.0.2:1", KCP_MESH_UPDATE);
  ck_assert (prefill_is_known ());
}
END_TEST

/* Load pattern: new weights each 4 s. The VM that gives the orders announces for each of
   50 servers that it begins to load and that it has loaded, to 39 VMs near it. */
START_TEST (test_loads_of_successive_rollouts_reach_the_vms_near)
{
  struct mesh_vm_peer peers[NEAR_VMS];
  unsigned received = 0;

  for (unsigned i = 0; i < NEAR_VMS; i++)
    {
      mesh_vm_peer_init (&peers[i], MESH_VM_DC);
      mesh_vm_gossip (&vm, &peers[i], NULL, 0);
    }
  for (unsigned i = 0; i < ROLLOUTS * ANNOUNCEMENTS; i++)
    {
      kcp_mesh_announce_loading (vm.mesh, server, 1000);
      mesh_vm_run (&vm, ROLLOUT_MS / ANNOUNCEMENTS);
      for (unsigned j = 0; i % 25 == 0 && j < NEAR_VMS; j++)
        mesh_vm_gossip (&vm, &peers[j], NULL, 0);
      received += mesh_vm_count_received (&peers[NEAR_VMS - 1], KCP_MESH_UPDATE);
    }
  ck_assert_uint_eq (received, ROLLOUTS * ANNOUNCEMENTS);
  for (unsigned i = 0; i < NEAR_VMS; i++)
    mesh_vm_peer_clear (&peers[i]);
}
END_TEST

START_TEST (test_old_reports_count_less)
{
  ck_assert_int_eq (kcp_peer_load_weigh (10, 0), 10);
  ck_assert_int_eq (kcp_peer_load_weigh (10, 500), 10);
  ck_assert_int_eq (kcp_peer_load_weigh (10, 1750), 5);
  ck_assert_int_eq (kcp_peer_load_weigh (1, 2900), 1);
  ck_assert_int_eq (kcp_peer_load_weigh (10, KCP_PEER_LOAD_MAX_AGE_MS), 0);
  ck_assert_int_eq (kcp_peer_load_weigh (10, 30000), 0);
  ck_assert_int_eq (kcp_peer_load_weigh (0, 1000), 0);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("mesh summary");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_a_summary_adds_up_the_load_of_a_data_center);
  tcase_add_test (cases, test_a_summary_does_not_say_that_servers_load_weights);
  tcase_add_test (cases, test_a_summary_counts_and_is_forwarded_once);
  tcase_add_test (cases, test_an_older_summary_changes_nothing);
  tcase_add_test (cases, test_the_load_of_a_silent_data_center_fades);
  tcase_add_test (cases, test_remote_vms_are_sent_no_rows);
  tcase_add_test (cases, test_a_long_prompt_is_announced_to_every_data_center);
  tcase_add_test (cases, test_an_update_of_a_remote_vm_is_forwarded_once);
  tcase_add_test (cases, test_a_vm_that_has_just_started_forwards_what_it_gets);
  tcase_add_test (cases, test_an_update_of_a_vm_that_is_only_listed_counts);
  tcase_add_test (cases, test_loads_of_successive_rollouts_reach_the_vms_near);
  tcase_add_test (cases, test_old_reports_count_less);
  return run_started_suite ();
}
