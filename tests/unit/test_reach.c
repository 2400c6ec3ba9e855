/* The paths from a VM to the servers: what is concluded from connections that fail, what
   follows for a request, and which VM it is passed on to. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/hop.h"
#include "policy/resend.h"
#include "tests/harness/run_suite.h"

#define SERVERS 5u

static struct kcp_reach servers[SERVERS];

static void
set_up (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      servers[i] = (struct kcp_reach){ 0 };
      (void)kcp_reach_record_contact (&servers[i], 1);
    }
}

static enum kcp_paths
paths_of (unsigned count)
{
  struct kcp_reach_sum sum = { 0 };

  for (unsigned i = 0; i < count; i++)
    kcp_reach_sum_add (&sum, &servers[i]);
  return kcp_reach_paths (&sum);
}

static void
lose_paths (unsigned first, unsigned end, int64_t now_ns)
{
  for (unsigned i = first; i < end; i++)
    kcp_reach_record_failure (&servers[i], now_ns + i);
}

START_TEST (test_paths_are_sound_without_servers_and_while_some_are_reached)
{
  ck_assert_int_eq (paths_of (0), KCP_PATHS_SOUND);
  ck_assert_int_eq (paths_of (SERVERS), KCP_PATHS_SOUND);
  lose_paths (0, KCP_REACH_DOUBT_SERVERS - 1, 10);
  ck_assert_int_eq (paths_of (SERVERS), KCP_PATHS_SOUND);
}
END_TEST

START_TEST (test_paths_are_in_doubt_after_several_failures_without_contact)
{
  lose_paths (0, KCP_REACH_DOUBT_SERVERS, 10);
  ck_assert_int_eq (paths_of (SERVERS), KCP_PATHS_DOUBT);
  (void)kcp_reach_record_contact (&servers[SERVERS - 1], 20);
  ck_assert_int_eq (paths_of (SERVERS), KCP_PATHS_SOUND);
}
END_TEST

/* One server that fails again and again says nothing of the paths to the others. */
START_TEST (test_failures_of_one_server_do_not_add_up)
{
  for (unsigned i = 0; i < 2 * KCP_REACH_DOUBT_SERVERS; i++)
    kcp_reach_record_failure (&servers[0], 10 + i);
  ck_assert_int_eq (paths_of (SERVERS), KCP_PATHS_SOUND);
}
END_TEST

START_TEST (test_no_path_is_left_once_all_servers_have_failed)
{
  lose_paths (0, 2, 10);
  ck_assert_int_eq (paths_of (2), KCP_PATHS_NONE);
  lose_paths (2, SERVERS, 10);
  ck_assert_int_eq (paths_of (SERVERS), KCP_PATHS_NONE);
  ck_assert (kcp_reach_record_contact (&servers[0], 20));
  ck_assert (!kcp_reach_record_contact (&servers[0], 21));
  ck_assert_int_eq (paths_of (SERVERS), KCP_PATHS_SOUND);
}
END_TEST

/* Probes of a server that stays away become rare, but come once a second at least. */
START_TEST (test_probes_follow_at_growing_and_bounded_intervals)
{
  int64_t before_ns = 0;

  for (unsigned i = 0; i < 10; i++)
    {
      int64_t wait_ns;

      kcp_reach_record_failure (&servers[0], 10);
      wait_ns = servers[0].probe_after_ns - 10;
      ck_assert_int_ge (wait_ns, before_ns);
      ck_assert_int_le (wait_ns, KCP_NS_PER_S);
      before_ns = wait_ns;
    }
}
END_TEST

/* An attempt that reached no server does not draw on the budget that protects servers. */
START_TEST (test_attempts_that_reach_no_server_take_no_retries)
{
  struct kcp_resend_budget budget;
  struct kcp_resend_facts facts = { .end = KCP_ATTEMPT_UNSENT,
                                    .repeat = KCP_REPEAT_ONCE,
                                    .refusals = 1,
                                    .unsent = 1,
                                    .max_runs = 1,
                                    .server_available = true,
                                    .remaining_ms = 1000 };

  kcp_resend_budget_init (&budget, 0, 1, KCP_NS_PER_S, 0);
  for (unsigned i = 0; i < 5; i++)
    ck_assert_int_eq (kcp_resend_decide (&facts, &budget, 0), KCP_RESEND_OTHER);
  facts.end = KCP_ATTEMPT_REFUSED;
  ck_assert_int_eq (kcp_resend_decide (&facts, &budget, 0), KCP_RESEND_OTHER);
  ck_assert_int_eq (kcp_resend_decide (&facts, &budget, 0), KCP_RESEND_REFUSE);
}
END_TEST

START_TEST (test_request_is_passed_on_where_this_vm_reaches_no_server)
{
  static const struct
  {
    enum kcp_paths paths;
    unsigned unsent;
    bool vm_available;
    bool may_have_run;
    enum kcp_resend_decision decision;
  } cases[] = {
    { KCP_PATHS_SOUND, 1, true, false, KCP_RESEND_OTHER },
    { KCP_PATHS_SOUND, 2, true, false, KCP_RESEND_PASS_ON },
    { KCP_PATHS_SOUND, 2, false, false, KCP_RESEND_OTHER },
    { KCP_PATHS_DOUBT, 1, true, false, KCP_RESEND_PASS_ON },
    { KCP_PATHS_DOUBT, 1, false, false, KCP_RESEND_OTHER },
    { KCP_PATHS_NONE, 1, true, false, KCP_RESEND_PASS_ON },
    { KCP_PATHS_NONE, 1, false, false, KCP_RESEND_REFUSE },
    { KCP_PATHS_NONE, 1, false, true, KCP_RESEND_FAIL },
    { KCP_PATHS_NONE, 4, true, false, KCP_RESEND_REFUSE },
  };
  static const enum kcp_attempt_end ends[] = { KCP_ATTEMPT_UNSENT, KCP_ATTEMPT_DECLINED };
  struct kcp_resend_budget budget;

  kcp_resend_budget_init (&budget, 0, 0, KCP_NS_PER_S, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      struct kcp_resend_facts facts = { .end = ends[i],
                                        .refusals = cases[_i].unsent,
                                        .unsent = cases[_i].unsent,
                                        .declines = cases[_i].unsent,
                                        .paths = cases[_i].paths,
                                        .vm_available = cases[_i].vm_available,
                                        .may_have_run = cases[_i].may_have_run,
                                        .server_available = true,
                                        .remaining_ms = 1000 };

      ck_assert_int_eq (kcp_resend_decide (&facts, &budget, 0), cases[_i].decision);
    }
}
END_TEST

START_TEST (test_request_is_passed_on_to_the_nearest_sound_vm)
{
  static const struct kcp_hop_candidate vms[] = {
    { .usable = false, .local = true },
    { .usable = true, .local = true, .suspected = true },
    { .usable = true, .local = true, .in_flight = 3 },
    { .usable = true, .local = true, .in_flight = 2 },
    { .usable = true, .local = false },
  };

  for (uint64_t random_value = 0; random_value < 10; random_value++)
    {
      ck_assert_int_eq (kcp_hop_choose (vms, 5, false, random_value), 3);
      ck_assert_int_eq (kcp_hop_choose (vms, 5, true, random_value), 4);
      ck_assert_int_eq (kcp_hop_choose (vms, 2, true, random_value), 1);
      ck_assert_int_eq (kcp_hop_choose (vms, 1, false, random_value), KCP_HOP_NONE);
      ck_assert_int_eq (kcp_hop_choose (vms, 0, false, random_value), KCP_HOP_NONE);
    }
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("reach");

  tcase_add_checked_fixture (cases, set_up, NULL);
  tcase_add_test (cases, test_paths_are_sound_without_servers_and_while_some_are_reached);
  tcase_add_test (cases, test_paths_are_in_doubt_after_several_failures_without_contact);
  tcase_add_test (cases, test_failures_of_one_server_do_not_add_up);
  tcase_add_test (cases, test_no_path_is_left_once_all_servers_have_failed);
  tcase_add_test (cases, test_probes_follow_at_growing_and_bounded_intervals);
  tcase_add_test (cases, test_attempts_that_reach_no_server_take_no_retries);
  tcase_add_loop_test (cases, test_request_is_passed_on_where_this_vm_reaches_no_server,
                       0, 9);
  tcase_add_test (cases, test_request_is_passed_on_to_the_nearest_sound_vm);
  return run_started_suite ();
}
