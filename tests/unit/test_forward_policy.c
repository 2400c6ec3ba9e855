/* The decisions about routed requests, replayed under the load that each is made for. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "base/clock.h"
#include "policy/entry_expiry.h"
#include "policy/order_lease.h"
#include "policy/place.h"
#include "policy/queue_priority.h"
#include "policy/resend.h"
#include "policy/retry_after.h"
#include "policy/rollout.h"
#include "tests/harness/run_suite.h"

#define MS(x) ((x)*KCP_NS_PER_MS)
#define SLOTS 64

static struct kcp_place_candidate
make_candidate (void)
{
  return (struct kcp_place_candidate){ .usable = true, .local = true, .slots = SLOTS };
}

START_TEST (test_long_prompts_go_where_their_prefix_is_kept_until_that_server_is_full)
{
  struct kcp_place_candidate servers[3];
  unsigned at_home = 0;

  for (int i = 0; i < 3; i++)
    {
      servers[i] = make_candidate ();
      servers[i].uncached_tokens = 17000;
    }
  servers[1].uncached_tokens = 3700;
  servers[1].local = false;
  /* A hot prefix: requests for it come faster than one server reads. */
  for (int i = 0; i < 12; i++)
    {
      int at = kcp_place_choose (servers, 3, &kcp_place_engine_costs, (uint64_t)i);

      servers[at].in_flight++;
      servers[at].unread_tokens += servers[at].uncached_tokens;
      at_home += at == 1;
      if (i == 0)
        ck_assert_int_eq (at, 1);
    }
  ck_assert_uint_gt (at_home, 4);
  ck_assert_uint_lt (at_home, 12);
}
END_TEST

START_TEST (
    test_a_burst_spreads_over_current_servers_and_reaches_old_ones_when_they_are_full)
{
  struct kcp_place_candidate servers[4];

  for (int i = 0; i < 4; i++)
    {
      servers[i] = make_candidate ();
      servers[i].weights = KCP_PLACE_WEIGHTS_OLD;
    }
  servers[0].weights = KCP_PLACE_WEIGHTS_CURRENT;
  for (uint64_t i = 0; i < 400; i++)
    {
      int at = kcp_place_choose (servers, 4, &kcp_place_engine_costs, i);

      servers[at].in_flight++;
    }
  ck_assert_uint_gt (servers[0].in_flight, servers[1].in_flight);
  for (int i = 1; i < 4; i++)
    ck_assert_uint_gt (servers[i].in_flight, 50);
}
END_TEST

START_TEST (test_servers_whose_weights_may_not_be_used_are_never_chosen)
{
  struct kcp_place_candidate server = make_candidate ();

  server.weights = KCP_PLACE_WEIGHTS_REFUSED;
  ck_assert_int_eq (kcp_place_choose (&server, 1, &kcp_place_engine_costs, 0),
                    KCP_PLACE_NONE);
}
END_TEST

START_TEST (test_a_suspected_server_is_taken_last_but_not_never)
{
  struct kcp_place_candidate servers[2] = { make_candidate (), make_candidate () };

  servers[0].suspected = true;
  servers[1].in_flight = SLOTS / 2;
  ck_assert_int_eq (kcp_place_choose (servers, 2, &kcp_place_plain_costs, 0), 1);
  servers[1].usable = false;
  ck_assert_int_eq (kcp_place_choose (servers, 2, &kcp_place_plain_costs, 0), 0);
}
END_TEST

struct resend_case
{
  enum kcp_repeat repeat;
  enum kcp_attempt_end end;
  unsigned runs;
  enum kcp_resend_decision expected;
};

START_TEST (test_what_may_run_once_is_sent_again_only_if_it_did_not_run)
{
  static const struct resend_case cases[] = {
    { KCP_REPEAT_ONCE, KCP_ATTEMPT_UNSENT, 0, KCP_RESEND_OTHER },
    { KCP_REPEAT_ONCE, KCP_ATTEMPT_REFUSED, 0, KCP_RESEND_OTHER },
    { KCP_REPEAT_ONCE, KCP_ATTEMPT_UNKNOWN, 1, KCP_RESEND_FAIL },
    { KCP_REPEAT_ONCE, KCP_ATTEMPT_ERROR, 1, KCP_RESEND_PASS_ERROR },
    { KCP_REPEAT_ONCE, KCP_ATTEMPT_INTERRUPTED, 1, KCP_RESEND_FAIL },
    { KCP_REPEAT_IDEMPOTENT, KCP_ATTEMPT_UNKNOWN, 1, KCP_RESEND_OTHER },
    { KCP_REPEAT_IDEMPOTENT, KCP_ATTEMPT_ERROR, 1, KCP_RESEND_OTHER },
    { KCP_REPEAT_IDEMPOTENT, KCP_ATTEMPT_UNKNOWN, 2, KCP_RESEND_FAIL },
    { KCP_REPEAT_RESUMABLE, KCP_ATTEMPT_INTERRUPTED, 1, KCP_RESEND_RESUME },
    { KCP_REPEAT_RESUMABLE, KCP_ATTEMPT_INTERRUPTED, 2, KCP_RESEND_FAIL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct kcp_resend_budget budget;
      struct kcp_resend_facts facts = {
        .repeat = cases[i].repeat,
        .end = cases[i].end,
        .runs = cases[i].runs,
        .refusals = 1,
        .max_runs = 2,
        .may_have_run = cases[i].runs > 0,
        .server_available = true,
        .remaining_ms = 1000,
      };

      kcp_resend_budget_init (&budget, 0.1, 10, MS (10000), 0);
      ck_assert_msg (kcp_resend_decide (&facts, &budget, 0) == cases[i].expected,
                     "case %zu", i);
    }
}
END_TEST

START_TEST (test_a_refusal_after_a_run_never_says_not_run)
{
  struct kcp_resend_budget budget;
  struct kcp_resend_facts facts = {
    .repeat = KCP_REPEAT_IDEMPOTENT,
    .end = KCP_ATTEMPT_REFUSED,
    .runs = 1,
    .refusals = 9,
    .max_runs = 2,
    .may_have_run = true,
    .server_available = true,
    .remaining_ms = 1000,
  };

  kcp_resend_budget_init (&budget, 0.1, 10, MS (10000), 0);
  ck_assert_int_eq (kcp_resend_decide (&facts, &budget, 0), KCP_RESEND_FAIL);
}
END_TEST

/* All servers refuse for ten seconds while requests come: the retries of all VMs together
   stay within what the service allows. */
START_TEST (test_retries_of_a_storm_stay_within_the_budget)
{
  const double ratio = 0.2;
  const double burst = 54;
  const unsigned vms = 7;
  const unsigned requests_a_vm = 300;
  unsigned retries = 0;

  for (unsigned vm = 0; vm < vms; vm++)
    {
      struct kcp_resend_budget budget;

      kcp_resend_budget_init (&budget, ratio * 0.6, burst * 0.6 / vms, MS (10000), 0);
      for (unsigned i = 0; i < requests_a_vm; i++)
        {
          int64_t now = MS (10000) * i / requests_a_vm;

          kcp_resend_budget_add_request (&budget, now);
          for (int retry = 0; retry < 4; retry++)
            retries += kcp_resend_budget_take (&budget, now);
        }
    }
  ck_assert_uint_le (retries, (unsigned)(ratio * vms * requests_a_vm + burst));
  ck_assert_uint_gt (retries, vms * requests_a_vm / 10);
}
END_TEST

/* Calm traffic, and then a fifth of the servers refuses at once, as when new weights are
   loaded: the requests sent there in that moment find another server. */
START_TEST (test_a_calm_time_pays_for_the_retries_of_one_moment)
{
  const unsigned a_second = 15;
  struct kcp_resend_budget budget;
  unsigned taken = 0;

  kcp_resend_budget_init (&budget, 0.2 * 0.6, 158 * 0.6 / 59, MS (10000), 0);
  for (unsigned i = 0; i < 10 * a_second; i++)
    kcp_resend_budget_add_request (&budget, MS (10000) * i / (10 * a_second));
  for (unsigned i = 0; i < a_second; i++)
    taken += kcp_resend_budget_take (&budget, MS (10000));
  ck_assert_uint_eq (taken, a_second);
}
END_TEST

/* Whatever comes when, no window holds more retries than its requests, or those of the
   window before it, allow. */
START_TEST (test_no_window_holds_more_retries_than_allowed)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      unsigned requests[600] = { 0 }; /* of each 100 ms */
      unsigned retries[600] = { 0 };
      struct kcp_resend_budget budget;

      kcp_resend_budget_init (&budget, 0.12, 2, MS (10000), 0);
      for (int at = 0; at < 600; at++)
        {
          bool calm = (at / 70) % 2 == 0;
          int arrivals = g_rand_int_range (random, 0, calm ? 4 : 2);

          requests[at] = (unsigned)arrivals;
          for (int i = 0; i < arrivals; i++)
            kcp_resend_budget_add_request (&budget, MS (100) * at);
          for (int i = 0; !calm && i < 5; i++)
            retries[at] += kcp_resend_budget_take (&budget, MS (100) * at);
        }
      for (int from = 100; from + 100 <= 600; from++)
        {
          unsigned of_window[2] = { 0 };
          unsigned taken = 0;

          for (int at = from; at < from + 100; at++)
            {
              of_window[0] += requests[at];
              of_window[1] += requests[at - 100];
              taken += retries[at];
            }
          /* The share of 0.6 that a VM takes leaves room for windows that overlap. */
          ck_assert_double_le (taken, 0.2 * MAX (of_window[0], of_window[1]) + 4);
        }
      g_rand_free (random);
    }
}
END_TEST

START_TEST (test_refused_callers_return_spread_and_in_time)
{
  int64_t least = INT64_MAX;
  int64_t most = 0;

  for (uint64_t draw = 0; draw < 1000; draw++)
    {
      int64_t wait = kcp_retry_after_ms (200, 6000, draw * 7919);

      least = MIN (least, wait);
      most = MAX (most, wait);
      ck_assert_int_le (kcp_retry_after_ms (5000, 900, draw), 300);
    }
  ck_assert_int_ge (least, 200);
  ck_assert_int_ge (most - least, 300);
  ck_assert_int_le (most, 2000);
}
END_TEST

START_TEST (test_short_questions_go_before_long_prompts_of_equal_teams)
{
  ck_assert_int_lt (kcp_queue_priority (0, 1), kcp_queue_priority (1, 1));
  ck_assert_int_lt (kcp_queue_priority (2, 0), kcp_queue_priority (0, 1));
  ck_assert_int_eq (kcp_queue_priority (0, KCP_PRIORITY_NONE), 0);
  ck_assert_int_eq (kcp_queue_priority (50, 50), KCP_QUEUE_PRIORITY_LOWEST);
}
END_TEST

START_TEST (test_entries_that_lapse_with_the_store_are_held_until_they_can_be_back)
{
  struct kcp_entry_expiry lapse = { .min_outage_ns = MS (2000), .grace_ns = MS (2300) };

  ck_assert_int_eq (kcp_entry_expiry_removal_ns (&lapse, MS (500)), MS (500));
  ck_assert (kcp_entry_expiry_on_store_call (&lapse, false, MS (1000)));
  ck_assert (!kcp_entry_expiry_on_store_call (&lapse, false, MS (2000)));
  ck_assert (kcp_entry_expiry_on_store_call (&lapse, true, MS (5000)));
  ck_assert_int_eq (kcp_entry_expiry_removal_ns (&lapse, MS (5001)), MS (7300));
  ck_assert_int_eq (kcp_entry_expiry_removal_ns (&lapse, MS (9000)), MS (9000));
}
END_TEST

START_TEST (test_a_call_that_failed_once_holds_no_entry)
{
  struct kcp_entry_expiry lapse = { .min_outage_ns = MS (2000), .grace_ns = MS (2300) };

  (void)kcp_entry_expiry_on_store_call (&lapse, false, MS (1000));
  (void)kcp_entry_expiry_on_store_call (&lapse, true, MS (1400));
  ck_assert_int_eq (kcp_entry_expiry_removal_ns (&lapse, MS (1500)), MS (1500));
}
END_TEST

/* Versions come faster than the servers load: none is left out. */
START_TEST (test_the_server_furthest_behind_is_ordered_first)
{
  struct kcp_rollout_server servers[9];
  int64_t wanted = 1;
  int64_t oldest_seen = 0;
  unsigned next_free[9] = { 0 };

  for (int i = 0; i < 9; i++)
    servers[i] = (struct kcp_rollout_server){ .eligible = true,
                                              .version = 1,
                                              .data_center = (unsigned)i / 3,
                                              .in_flight = (unsigned)i };
  /* A step is a tenth of a second; loading takes 15, a version comes each 40. */
  for (unsigned step = 0; step < 400; step++)
    {
      int at;

      if (step % 40 == 0)
        wanted++;
      for (int i = 0; i < 9; i++)
        if (servers[i].loading && step >= next_free[i])
          servers[i].loading = false;
      at = kcp_rollout_choose (servers, 9, wanted, kcp_rollout_limit (9));
      if (at != KCP_ROLLOUT_NONE)
        {
          servers[at].loading = true;
          servers[at].version = wanted;
          next_free[at] = step + 15;
        }
      for (int i = 0; i < 9; i++)
        oldest_seen = MAX (oldest_seen, wanted - servers[i].version);
    }
  ck_assert_int_le (oldest_seen, 2);
}
END_TEST

START_TEST (test_only_a_share_of_the_servers_loads_at_once)
{
  struct kcp_rollout_server servers[3];

  for (int i = 0; i < 3; i++)
    servers[i] = (struct kcp_rollout_server){ .eligible = true, .version = 1 };
  servers[0].loading = true;
  servers[1].loading = true;
  ck_assert_int_eq (kcp_rollout_choose (servers, 3, 2, kcp_rollout_limit (3)),
                    KCP_ROLLOUT_NONE);
  ck_assert_uint_eq (kcp_rollout_limit (57), 11);
}
END_TEST

/* A model of the platform's log: claims in order, and who appended them. */
struct claim_log
{
  const char *holders[512];
  int64_t end;
};

/* One VM of the model: it reads, appends, pauses, and loses answers at random. */
struct claim_vm
{
  struct kcp_order_lease claim;
  char name[16];
  int64_t frozen_until_ns;
};

static void
step_vm (struct claim_vm *vm, struct claim_log *log, GRand *random, int64_t now_ns)
{
  int64_t until;
  int64_t offset;

  switch (kcp_order_lease_step (&vm->claim, true, now_ns, &until))
    {
    case KCP_ORDER_LEASE_WAIT:
    case KCP_ORDER_LEASE_HELD:
      return;
    case KCP_ORDER_LEASE_READ:
      kcp_order_lease_on_sent (&vm->claim, now_ns);
      offset = log->end - 1;
      if (g_rand_int_range (random, 0, 10) == 0)
        kcp_order_lease_on_failed (&vm->claim, MS (150), now_ns);
      else
        kcp_order_lease_on_read (&vm->claim, log->end,
                                 offset >= 0 ? log->holders[offset] : NULL, offset,
                                 now_ns);
      return;
    case KCP_ORDER_LEASE_APPEND:
      kcp_order_lease_on_sent (&vm->claim, now_ns);
      if (vm->claim.end != log->end || log->end == 512)
        {
          kcp_order_lease_on_failed (&vm->claim, 0, now_ns);
          return;
        }
      log->holders[log->end++] = vm->name;
      if (g_rand_int_range (random, 0, 5) == 0)
        kcp_order_lease_on_failed (&vm->claim, MS (150), now_ns); /* the answer is lost */
      else
        kcp_order_lease_on_appended (&vm->claim, log->end - 1, now_ns);
      return;
    }
}

/* Three VMs that freeze at any moment and lose answers: orders of two of them are always
   at least a turn apart, and fencing tokens never fall. */
START_TEST (test_orders_of_two_vms_are_a_turn_apart)
{
  const struct kcp_order_lease_times times = { .valid_ns = MS (1500),
                                               .renew_ns = MS (700),
                                               .takeover_delay_ns = MS (5000),
                                               .read_interval_ns = MS (900) };

  for (guint32 seed = 1; seed <= 60; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct claim_log log = { .end = 0 };
      struct claim_vm vms[3];
      const char *last_holder = NULL;
      int64_t last_order_ns = 0;
      int64_t last_fence = 0;
      unsigned orders = 0;

      for (int i = 0; i < 3; i++)
        {
          (void)g_snprintf (vms[i].name, sizeof vms[i].name, "vm%d", i);
          kcp_order_lease_init (&vms[i].claim, vms[i].name, &times);
          vms[i].frozen_until_ns = 0;
        }
      for (int64_t now = 0; now < MS (60000); now += MS (50))
        for (int i = 0; i < 3; i++)
          {
            if (now < vms[i].frozen_until_ns)
              continue;
            if (g_rand_int_range (random, 0, 150) == 0)
              vms[i].frozen_until_ns = now + MS (g_rand_int_range (random, 500, 9000));
            step_vm (&vms[i], &log, random, now);
            if (!kcp_order_lease_is_held (&vms[i].claim, now))
              continue;
            if (last_holder != NULL && last_holder != vms[i].name)
              ck_assert_msg (now - last_order_ns >= MS (3000), "seed %u: %s after %s",
                             seed, vms[i].name, last_holder);
            ck_assert_int_ge (kcp_order_lease_fencing_token (&vms[i].claim), last_fence);
            last_fence = kcp_order_lease_fencing_token (&vms[i].claim);
            last_holder = vms[i].name;
            last_order_ns = now;
            orders++;
          }
      ck_assert_uint_gt (orders, 100);
      g_rand_free (random);
    }
}
END_TEST

/* The right is being renewed while the store is slow: orders that would arrive behind its
   end are not tried, again and again, but wait for the renewal. */
/* Load pattern: 195 VMs of five data centers while weights are named again and again. */
START_TEST (test_one_vm_of_a_data_center_contends_until_no_orders_are_seen)
{
  struct kcp_order_lease_competitor competitor = { .no_orders_ns = 2 * KCP_NS_PER_S };

  ck_assert (!kcp_order_lease_may_compete (&competitor));
  competitor.first = true;
  ck_assert (kcp_order_lease_may_compete (&competitor));
  competitor.first = false;
  competitor.holds = true;
  ck_assert (kcp_order_lease_may_compete (&competitor));
  competitor.holds = false;
  competitor.no_orders_ns = 3 * KCP_NS_PER_S;
  ck_assert (kcp_order_lease_may_compete (&competitor));
}
END_TEST

START_TEST (test_a_right_that_is_about_to_end_gives_no_orders)
{
  const struct kcp_order_lease_times times = { .valid_ns = MS (1500),
                                               .renew_ns = MS (700),
                                               .takeover_delay_ns = MS (5000),
                                               .read_interval_ns = MS (900),
                                               .order_margin_ns = MS (500) };
  struct kcp_order_lease claim;
  int64_t until;

  kcp_order_lease_init (&claim, "vm", &times);
  kcp_order_lease_on_sent (&claim, 0);
  kcp_order_lease_on_appended (&claim, 0, MS (10));
  ck_assert_int_eq (kcp_order_lease_step (&claim, true, MS (600), &until),
                    KCP_ORDER_LEASE_HELD);
  ck_assert_int_eq (until, MS (1000));
  ck_assert_int_eq (kcp_order_lease_step (&claim, true, MS (900), &until),
                    KCP_ORDER_LEASE_APPEND);
  kcp_order_lease_on_sent (&claim, MS (900));
  ck_assert_int_eq (kcp_order_lease_step (&claim, true, MS (950), &until),
                    KCP_ORDER_LEASE_HELD);
  ck_assert_int_eq (kcp_order_lease_step (&claim, true, MS (1100), &until),
                    KCP_ORDER_LEASE_WAIT);
  ck_assert (!kcp_order_lease_may_order (&claim, MS (1100)));
  ck_assert (kcp_order_lease_is_held (&claim, MS (1100)));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("forward policy");
  TCase *cases = tcase_create ("forward policy");

  tcase_add_test (
      cases, test_long_prompts_go_where_their_prefix_is_kept_until_that_server_is_full);
  tcase_add_test (
      cases,
      test_a_burst_spreads_over_current_servers_and_reaches_old_ones_when_they_are_full);
  tcase_add_test (cases, test_servers_whose_weights_may_not_be_used_are_never_chosen);
  tcase_add_test (cases, test_a_suspected_server_is_taken_last_but_not_never);
  tcase_add_test (cases, test_what_may_run_once_is_sent_again_only_if_it_did_not_run);
  tcase_add_test (cases, test_a_refusal_after_a_run_never_says_not_run);
  tcase_add_test (cases, test_retries_of_a_storm_stay_within_the_budget);
  tcase_add_test (cases, test_one_vm_of_a_data_center_contends_until_no_orders_are_seen);
  tcase_add_test (cases, test_a_right_that_is_about_to_end_gives_no_orders);
  tcase_add_test (cases, test_a_calm_time_pays_for_the_retries_of_one_moment);
  tcase_add_test (cases, test_no_window_holds_more_retries_than_allowed);
  tcase_add_test (cases, test_refused_callers_return_spread_and_in_time);
  tcase_add_test (cases, test_short_questions_go_before_long_prompts_of_equal_teams);
  tcase_add_test (cases,
                  test_entries_that_lapse_with_the_store_are_held_until_they_can_be_back);
  tcase_add_test (cases, test_a_call_that_failed_once_holds_no_entry);
  tcase_add_test (cases, test_the_server_furthest_behind_is_ordered_first);
  tcase_add_test (cases, test_only_a_share_of_the_servers_loads_at_once);
  tcase_add_test (cases, test_orders_of_two_vms_are_a_turn_apart);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
