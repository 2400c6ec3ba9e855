/* Tests what a VM learns of the others, and which of them it tells: silent VMs, VMs that
   are only listed, and the reader of a server's cache events after a common start. */
#include <check.h>

#include "tests/harness/mesh_vm.h"
#include "tests/harness/run_suite.h"

#define REMOTE_VMS  30
#define SLOW_GAP_MS 3500

static struct mesh_vm vm;

static void
set_up (void)
{
  mesh_vm_init (&vm);
}

static void
tear_down (void)
{
  mesh_vm_clear (&vm);
}

/* A VM of a large fleet is heard of each few seconds. */
START_TEST (test_a_vm_that_is_heard_of_seldom_stays_alive)
{
  struct mesh_vm_peer peer;

  mesh_vm_start (&vm);
  mesh_vm_peer_init (&peer, "there");
  for (unsigned i = 0; i < 3; i++)
    {
      mesh_vm_gossip (&vm, &peer, NULL, 0);
      mesh_vm_run (&vm, SLOW_GAP_MS);
    }
  ck_assert_uint_eq (kcp_mesh_count (vm.mesh), 2);
  mesh_vm_peer_clear (&peer);
}
END_TEST

/* A fleet that starts at once: all other VMs are listed, and none was heard of. */
START_TEST (test_messages_to_listed_vms_are_bounded)
{
  struct mesh_vm_peer peers[REMOTE_VMS];
  unsigned received = 0;

  for (unsigned i = 0; i < REMOTE_VMS; i++)
    {
      mesh_vm_peer_init (&peers[i], "there");
      mesh_vm_list (&vm, peers[i].vm, "there");
    }
  mesh_vm_start (&vm);
  mesh_vm_run (&vm, 1000);
  for (unsigned i = 0; i < REMOTE_VMS; i++)
    {
      received += mesh_vm_count_received (&peers[i], KCP_MESH_GOSSIP);
      mesh_vm_peer_clear (&peers[i]);
    }
  ck_assert_uint_gt (received, 0);
  ck_assert_uint_le (received, 4 * 10); /* four VMs each 100 ms */
}
END_TEST

START_TEST (test_a_listed_vm_learns_of_a_starting_one_at_once)
{
  struct mesh_vm_peer near;

  mesh_vm_peer_init (&near, MESH_VM_DC);
  mesh_vm_list (&vm, near.vm, MESH_VM_DC);
  mesh_vm_start (&vm);
  mesh_vm_run (&vm, 200);
  ck_assert_uint_gt (mesh_vm_count_received (&near, KCP_MESH_GOSSIP), 0);
  mesh_vm_peer_clear (&near);
}
END_TEST

/* All VMs start at once: each reads the events of some servers near it, not of all. */
START_TEST (test_events_of_remote_servers_are_left_to_the_listed_vms_there)
{
  struct kcp_server *server = mesh_vm_add_server (&vm, "i-1", "there");

  mesh_vm_list (&vm, "127.0.0.1:9", "there");
  mesh_vm_start (&vm);
  ck_assert (!kcp_mesh_reads_cache_events (vm.mesh, server));
  mesh_vm_run (&vm, 5000);
  ck_assert (!kcp_mesh_reads_cache_events (vm.mesh, server));
}
END_TEST

START_TEST (test_events_of_near_servers_are_shared_with_the_listed_vms)
{
  unsigned read = 0;

  for (unsigned i = 0; i < 9; i++)
    {
      g_autofree char *name = g_strdup_printf ("127.0.0.1:%u", i + 1);

      mesh_vm_list (&vm, name, MESH_VM_DC);
    }
  mesh_vm_start (&vm);
  for (unsigned i = 0; i < 50; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);

      read += kcp_mesh_reads_cache_events (vm.mesh,
                                           mesh_vm_add_server (&vm, id, MESH_VM_DC));
    }
  ck_assert_uint_lt (read, 25);
}
END_TEST

START_TEST (test_a_vm_waits_for_the_list_before_it_reads_events)
{
  struct kcp_server *server = mesh_vm_add_server (&vm, "i-1", MESH_VM_DC);

  vm.list_fails = true;
  mesh_vm_start (&vm);
  ck_assert (!kcp_mesh_reads_cache_events (vm.mesh, server));
  mesh_vm_run (&vm, 3500);
  ck_assert (kcp_mesh_reads_cache_events (vm.mesh, server));
}
END_TEST

/* The only VM left in the fleet reads the events of all servers. */
START_TEST (test_events_of_a_data_center_without_vms_are_read)
{
  struct kcp_server *server = mesh_vm_add_server (&vm, "i-1", "there");

  mesh_vm_list (&vm, "127.0.0.1:9", "there");
  mesh_vm_start (&vm);
  mesh_vm_run (&vm, 11000);
  ck_assert (kcp_mesh_reads_cache_events (vm.mesh, server));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("mesh peers");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_a_vm_that_is_heard_of_seldom_stays_alive);
  tcase_add_test (cases, test_messages_to_listed_vms_are_bounded);
  tcase_add_test (cases, test_a_listed_vm_learns_of_a_starting_one_at_once);
  tcase_add_test (cases, test_events_of_remote_servers_are_left_to_the_listed_vms_there);
  tcase_add_test (cases, test_events_of_near_servers_are_shared_with_the_listed_vms);
  tcase_add_test (cases, test_a_vm_waits_for_the_list_before_it_reads_events);
  tcase_add_test (cases, test_events_of_a_data_center_without_vms_are_read);
  return run_started_suite ();
}
