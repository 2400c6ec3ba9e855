/* Tests the membership of VMs and the spread of facts on a simulated network that loses,
   delays and blocks messages. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "tests/harness/peer_net.h"
#include "tests/harness/run_suite.h"

#define FAULT_RUNS        20
#define DEFAULT_SEED      1
#define CONVERGE_LIMIT_NS (60 * KCP_NS_PER_S)
#define GOSSIP_LIMIT_NS   (5 * KCP_NS_PER_S)
#define HEAL_LIMIT_NS     (30 * KCP_NS_PER_S)

static guint32 seed = DEFAULT_SEED;

/* Returns true if every running VM sees every other running VM as alive. */
static bool
all_alive (struct peer_net *net)
{
  for (guint i = 0; i < net->vms->len; i++)
    for (guint j = 0; j < net->vms->len; j++)
      {
        struct peer_vm *viewer = peer_net_vm (net, i);
        struct peer_vm *about = peer_net_vm (net, j);

        if (!viewer->dead && !about->dead
            && peer_net_observed_state (viewer, about) != KCP_VM_ALIVE)
          return false;
      }
  return true;
}

/* Returns true if every VM knows every other one and presumes none dead. VMs may be
   suspect, because a network that loses a fifth of the messages causes false suspicions
   that are refuted all the time. */
static bool
all_known (struct peer_net *net)
{
  for (guint i = 0; i < net->vms->len; i++)
    for (guint j = 0; j < net->vms->len; j++)
      {
        int state = peer_net_observed_state (peer_net_vm (net, i), peer_net_vm (net, j));

        if (state < 0 || state == KCP_VM_DEAD)
          return false;
      }
  return true;
}

/* Returns true if every running VM sees exactly those VMs as dead that do not run. */
static bool
dead_vms_detected (struct peer_net *net)
{
  for (guint i = 0; i < net->vms->len; i++)
    for (guint j = 0; j < net->vms->len; j++)
      {
        struct peer_vm *viewer = peer_net_vm (net, i);
        struct peer_vm *about = peer_net_vm (net, j);

        if (!viewer->dead
            && about->dead != (peer_net_observed_state (viewer, about) == KCP_VM_DEAD))
          return false;
      }
  return true;
}

static bool
alive_and_converged (struct peer_net *net)
{
  return all_alive (net) && peer_net_is_converged (net);
}

static struct peer_net *
new_converged_net (guint vms, guint data_centers)
{
  struct peer_net *net = peer_net_new (seed, vms, data_centers);

  peer_net_seed_all (net);
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, CONVERGE_LIMIT_NS), 0);
  return net;
}

/* Replaces a VM's process by a new one that starts while the VM's clock is behind. */
static void
restart_with_clock_behind (struct peer_net *net, struct peer_vm *vm)
{
  int64_t now_ns = net->now_ns;

  net->now_ns = KCP_NS_PER_MS;
  peer_net_restart (net, vm);
  net->now_ns = now_ns;
  vm->next_tick_ns = now_ns;
  peer_net_seed_all (net);
}

START_TEST (test_vms_discover_each_other_through_one_seed_despite_loss)
{
  struct peer_net *net = peer_net_new (seed, 20, 3);

  net->loss_percent = 20;
  net->duplicate_percent = 20;
  net->delay_max_ns = 100 * KCP_NS_PER_MS;
  for (guint i = 1; i < net->vms->len; i++)
    kcp_membership_add_seed (peer_net_vm (net, i)->membership, peer_net_vm (net, 0)->id,
                             &peer_net_vm (net, 0)->endpoint);
  ck_assert_int_ge (peer_net_run_until (net, all_known, CONVERGE_LIMIT_NS), 0);
  peer_net_run (net, 60 * KCP_NS_PER_S);
  ck_assert (all_known (net));
  net->loss_percent = 0;
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS), 0);
  peer_net_free (net);
}
END_TEST

START_TEST (test_only_the_dead_vm_is_detected_as_dead)
{
  struct peer_net *net = new_converged_net (20, 3);

  net->loss_percent = 5;
  peer_net_vm (net, 7)->dead = true;
  ck_assert_int_ge (peer_net_run_until (net, dead_vms_detected, CONVERGE_LIMIT_NS), 0);
  peer_net_free (net);
}
END_TEST

/* Two VMs that cannot reach each other, but are reached by all others, must not suspect
   each other: the indirect probes succeed. */
START_TEST (test_broken_link_between_two_vms_causes_no_suspicion)
{
  struct peer_net *net = new_converged_net (6, 3);
  uint64_t before[2];

  for (guint i = 0; i < 2; i++)
    before[i] = kcp_membership_incarnation (peer_net_vm (net, i)->membership);
  net->broken_link[1] = 1;
  peer_net_run (net, 60 * KCP_NS_PER_S);
  for (guint i = 0; i < 2; i++)
    ck_assert_uint_eq (kcp_membership_incarnation (peer_net_vm (net, i)->membership),
                       before[i]);
  peer_net_free (net);
}
END_TEST

/* After a long partition, each side presumes the other one dead and holds facts that the
   other one lacks. */
START_TEST (test_healed_partition_converges)
{
  struct peer_net *net = new_converged_net (21, 3);

  for (guint i = 0; i < net->vms->len; i += 3)
    peer_net_vm (net, i)->partition = 1;
  peer_net_run (net, 20 * KCP_NS_PER_S);
  ck_assert_int_eq (peer_net_observed_state (peer_net_vm (net, 1), peer_net_vm (net, 0)),
                    KCP_VM_DEAD);
  for (int i = 0; i < 50; i++)
    {
      g_autofree char *id = g_strdup_printf ("print%d", i);

      ck_assert (
          peer_net_publish (peer_net_vm (net, i % 21), KCP_FACT_QUARANTINE, id, 1, 1));
    }
  peer_net_run (net, 20 * KCP_NS_PER_S);
  ck_assert (!peer_net_is_converged (net));
  for (guint i = 0; i < net->vms->len; i++)
    peer_net_vm (net, i)->partition = 0;
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS), 0);
  ck_assert_uint_eq (
      kcp_facts_count (kcp_membership_facts (peer_net_vm (net, 0)->membership),
                       KCP_FACT_QUARANTINE),
      50);
  peer_net_free (net);
}
END_TEST

START_TEST (test_paused_vm_refutes_that_it_is_dead)
{
  struct peer_net *net = new_converged_net (9, 3);
  struct peer_vm *frozen = peer_net_vm (net, 4);
  uint64_t incarnation = kcp_membership_incarnation (frozen->membership);

  frozen->frozen = true;
  peer_net_run (net, 15 * KCP_NS_PER_S);
  ck_assert_int_eq (peer_net_observed_state (peer_net_vm (net, 0), frozen), KCP_VM_DEAD);
  frozen->frozen = false;
  kcp_membership_tick (frozen->membership, peer_net_time (net));
  ck_assert (!kcp_membership_has_current_view (frozen->membership));
  ck_assert_uint_gt (kcp_membership_incarnation (frozen->membership), incarnation);
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS), 0);
  ck_assert (kcp_membership_has_current_view (frozen->membership));
  peer_net_free (net);
}
END_TEST

/* A VM that did not run for a while may have missed a refutation. When it continues, it
   must not declare a suspect dead whose timeout expired meanwhile. */
START_TEST (test_pause_restarts_suspicion_timeouts)
{
  struct peer_net *net = new_converged_net (3, 1);
  struct peer_vm *frozen = peer_net_vm (net, 0);
  struct peer_vm *other = peer_net_vm (net, 1);
  struct kcp_fact suspect = *kcp_facts_get (kcp_membership_facts (frozen->membership),
                                            KCP_FACT_VM, other->id);
  struct kcp_message message = {
    .kind = KCP_MESSAGE_FACTS,
    .facts = g_array_new (FALSE, FALSE, sizeof suspect),
  };

  suspect.state = KCP_VM_SUSPECT;
  g_array_append_val (message.facts, suspect);
  kcp_membership_receive (frozen->membership, peer_net_time (net), &message);
  kcp_message_clear (&message);
  frozen->frozen = true;
  peer_net_run (net, 10 * KCP_NS_PER_S);
  frozen->frozen = false;
  kcp_membership_tick (frozen->membership, peer_net_time (net));
  ck_assert_int_eq (peer_net_observed_state (frozen, other), KCP_VM_SUSPECT);
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS), 0);
  peer_net_free (net);
}
END_TEST

START_TEST (test_restarted_data_center_is_alive_again)
{
  struct peer_net *net = new_converged_net (18, 3);

  for (guint i = 0; i < net->vms->len; i += 3)
    peer_net_restart (net, peer_net_vm (net, i));
  peer_net_seed_all (net);
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS), 0);
  peer_net_free (net);
}
END_TEST

/* Incarnations begin at the time of day, so the new process begins with a lower one than
   that which was declared dead. */
START_TEST (test_replaced_vm_with_clock_behind_is_alive_again)
{
  struct peer_net *net = new_converged_net (6, 2);
  struct peer_vm *vm = peer_net_vm (net, 2);

  vm->dead = true;
  peer_net_run (net, 20 * KCP_NS_PER_S);
  restart_with_clock_behind (net, vm);
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS), 0);
  peer_net_free (net);
}
END_TEST

START_TEST (test_false_death_is_refuted)
{
  struct peer_net *net = new_converged_net (12, 3);
  struct peer_vm *victim = peer_net_vm (net, 5);
  struct kcp_fact suspect = *kcp_facts_get (
      kcp_membership_facts (peer_net_vm (net, 0)->membership), KCP_FACT_VM, victim->id);
  uint64_t number = suspect.number;

  ck_assert (peer_net_publish (peer_net_vm (net, 0), KCP_FACT_VM, victim->id, number,
                               KCP_VM_DEAD));
  ck_assert_int_ge (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS), 0);
  ck_assert_uint_gt (kcp_membership_incarnation (victim->membership), number);
  peer_net_free (net);
}
END_TEST

START_TEST (test_leaving_vm_is_announced_before_it_stops)
{
  struct peer_net *net = new_converged_net (12, 3);
  struct peer_vm *leaving = peer_net_vm (net, 3);

  kcp_membership_leave (leaving->membership, peer_net_time (net));
  peer_net_run (net, 3 * KCP_NS_PER_S);
  for (guint i = 0; i < net->vms->len; i++)
    ck_assert_int_eq (peer_net_observed_state (peer_net_vm (net, i), leaving),
                      KCP_VM_LEAVING);
  peer_net_free (net);
}
END_TEST

START_TEST (test_local_facts_stay_in_their_data_center)
{
  struct peer_net *net = new_converged_net (12, 3);

  ck_assert (peer_net_publish (peer_net_vm (net, 0), KCP_FACT_BACKEND, "engine-1", 1, 0));
  peer_net_run (net, 30 * KCP_NS_PER_S);
  ck_assert_uint_eq (peer_net_count_holders (net, KCP_FACT_BACKEND, "engine-1"), 4);
  peer_net_free (net);
}
END_TEST

static bool
all_hold_fingerprint (struct peer_net *net)
{
  return peer_net_count_holders (net, KCP_FACT_QUARANTINE, "print") == net->vms->len;
}

START_TEST (test_fact_reaches_every_vm_in_time)
{
  for (guint vms = 7; vms <= 63; vms += 28)
    {
      struct peer_net *net = new_converged_net (vms, 3);

      for (guint i = 0; i < 20; i++)
        {
          for (guint j = 0; j < vms; j++)
            kcp_facts_remove (kcp_membership_facts (peer_net_vm (net, j)->membership),
                              KCP_FACT_QUARANTINE, "print");
          ck_assert (peer_net_publish (peer_net_vm (net, i % vms), KCP_FACT_QUARANTINE,
                                       "print", i + 1, 1));
          ck_assert_msg (peer_net_run_until (net, all_hold_fingerprint, GOSSIP_LIMIT_NS)
                             >= 0,
                         "fact %u did not reach all of %u VMs", i, vms);
        }
      peer_net_free (net);
    }
}
END_TEST

START_TEST (test_newer_configuration_of_another_vm_is_found)
{
  struct peer_net *net = new_converged_net (6, 3);
  struct kcp_fact newest;

  for (guint i = 0; i < 6; i++)
    kcp_membership_set_config (peer_net_vm (net, i)->membership, peer_net_time (net),
                               &(struct kcp_config_summary){ 3 + (i == 4), 9, true }, 0);
  peer_net_run (net, 5 * KCP_NS_PER_S);
  ck_assert (
      kcp_membership_find_newer_config (peer_net_vm (net, 1)->membership, 77, &newest));
  ck_assert_str_eq (newest.id, "vm004");
  ck_assert (
      !kcp_membership_find_newer_config (peer_net_vm (net, 4)->membership, 77, &newest));
  peer_net_free (net);
}
END_TEST

/* A restarted VM that holds an older configuration than before announces that one. Other
   VMs must not retain the configuration fact of the previous process. */
START_TEST (test_restarted_vm_supersedes_its_old_configuration)
{
  struct peer_net *net = new_converged_net (6, 3);
  struct peer_vm *vm = peer_net_vm (net, 2);
  const struct kcp_fact *announced;

  for (guint i = 0; i < 6; i++)
    kcp_membership_set_config (peer_net_vm (net, i)->membership, peer_net_time (net),
                               &(struct kcp_config_summary){ 5, 9, true }, 0);
  peer_net_run (net, 5 * KCP_NS_PER_S);
  restart_with_clock_behind (net, vm);
  kcp_membership_set_config (vm->membership, peer_net_time (net),
                             &(struct kcp_config_summary){ 0, 0, false }, -1);
  peer_net_run (net, 10 * KCP_NS_PER_S);
  announced = kcp_facts_get (kcp_membership_facts (peer_net_vm (net, 0)->membership),
                             KCP_FACT_CONFIG, vm->id);
  ck_assert_uint_eq (announced->content.config.version, 0);
  peer_net_free (net);
}
END_TEST

static void
inject_fault (struct peer_net *net)
{
  struct peer_vm *vm
      = peer_net_vm (net, (guint)g_rand_int_range (net->random, 0, (gint)net->vms->len));

  switch (g_rand_int_range (net->random, 0, 6))
    {
    case 0:
      peer_net_restart (net, vm);
      break;
    case 1:
      vm->frozen = !vm->frozen;
      break;
    case 2:
      vm->partition = g_rand_int_range (net->random, 0, 3);
      break;
    case 3:
      net->loss_percent = g_rand_int_range (net->random, 0, 50);
      break;
    case 4:
      net->delay_max_ns = g_rand_int_range (net->random, 1, 300) * KCP_NS_PER_MS;
      break;
    default:
      (void)peer_net_publish (vm, KCP_FACT_QUARANTINE, "print", g_rand_int (net->random),
                              1);
      break;
    }
}

START_TEST (test_vms_converge_after_random_faults)
{
  for (guint32 run = 0; run < FAULT_RUNS; run++)
    {
      struct peer_net *net = peer_net_new (seed + run, 12, 3);

      net->duplicate_percent = 10;
      peer_net_seed_all (net);
      for (int i = 0; i < 30; i++)
        {
          inject_fault (net);
          peer_net_run (net, g_rand_int_range (net->random, 1, 3000) * KCP_NS_PER_MS);
        }
      net->loss_percent = 0;
      net->delay_max_ns = KCP_NS_PER_MS;
      for (guint i = 0; i < net->vms->len; i++)
        {
          peer_net_vm (net, i)->partition = 0;
          peer_net_vm (net, i)->frozen = false;
        }
      peer_net_seed_all (net);
      ck_assert_msg (peer_net_run_until (net, alive_and_converged, HEAL_LIMIT_NS) >= 0,
                     "seed %u did not heal", seed + run);
      peer_net_free (net);
    }
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("peer_membership");

  if (argc > 1)
    seed = (guint32)strtoul (argv[1], NULL, 10);
  (void)printf ("seed %u\n", seed);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_vms_discover_each_other_through_one_seed_despite_loss);
  tcase_add_test (tests, test_only_the_dead_vm_is_detected_as_dead);
  tcase_add_test (tests, test_broken_link_between_two_vms_causes_no_suspicion);
  tcase_add_test (tests, test_healed_partition_converges);
  tcase_add_test (tests, test_paused_vm_refutes_that_it_is_dead);
  tcase_add_test (tests, test_pause_restarts_suspicion_timeouts);
  tcase_add_test (tests, test_restarted_data_center_is_alive_again);
  tcase_add_test (tests, test_replaced_vm_with_clock_behind_is_alive_again);
  tcase_add_test (tests, test_false_death_is_refuted);
  tcase_add_test (tests, test_leaving_vm_is_announced_before_it_stops);
  tcase_add_test (tests, test_local_facts_stay_in_their_data_center);
  tcase_add_test (tests, test_fact_reaches_every_vm_in_time);
  tcase_add_test (tests, test_newer_configuration_of_another_vm_is_found);
  tcase_add_test (tests, test_restarted_vm_supersedes_its_old_configuration);
  tcase_add_test (tests, test_vms_converge_after_random_faults);
  return run_started_suite ();
}
