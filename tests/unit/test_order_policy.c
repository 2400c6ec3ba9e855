/* Tests the decisions about orders to load weights: which server is next, how many load
   at once, and which VM may order. Each is tested under the load pattern that it is
   designed for. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/order_lease.h"
#include "policy/rollout.h"
#include "tests/harness/run_suite.h"

#define MS(x) ((x)*KCP_NS_PER_MS)

/* Versions are published faster than the servers load them. No server may be left out. */
START_TEST (test_the_server_with_the_oldest_weights_loads_first)
{
  struct kcp_rollout_server servers[9];
  int64_t desired = 1;
  int64_t max_lag = 0;
  unsigned next_free[9] = { 0 };

  for (int i = 0; i < 9; i++)
    servers[i] = (struct kcp_rollout_server){ .eligible = true,
                                              .version = 1,
                                              .data_center = (unsigned)i / 3,
                                              .in_flight = (unsigned)i };
  /* A step is a tenth of a second. A load takes 15 steps, and a version is published
     every 40 steps. */
  for (unsigned step = 0; step < 400; step++)
    {
      int at;

      if (step % 40 == 0)
        desired++;
      for (int i = 0; i < 9; i++)
        if (servers[i].loading && step >= next_free[i])
          servers[i].loading = false;
      at = kcp_rollout_choose (servers, 9, desired, kcp_rollout_limit (9));
      if (at != KCP_ROLLOUT_NONE)
        {
          servers[at].loading = true;
          servers[at].version = desired;
          next_free[at] = step + 15;
        }
      for (int i = 0; i < 9; i++)
        max_lag = MAX (max_lag, desired - servers[i].version);
    }
  ck_assert_int_le (max_lag, 2);
}
END_TEST

START_TEST (test_the_number_of_servers_that_load_at_once_is_limited)
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

#define BUSY_SERVERS 12
#define STEP_MS      100
#define COMPLETE_MS  800 /* until a server has completed its requests */
#define LOAD_MS      900

/* A server of the model: from its order on it completes its requests, then it loads. */
struct busy_server
{
  unsigned ordered_at; /* step of the order; 0: none */
};

static unsigned
steps_since (const struct busy_server *server, unsigned step)
{
  return server->ordered_at != 0 ? step - server->ordered_at : 0;
}

/* Load pattern: a burst of requests, so that servers need as long to complete their
   requests as to load. */
START_TEST (test_last_server_of_a_busy_deployment_loads_too_late)
{
  struct kcp_rollout_server servers[BUSY_SERVERS];
  struct busy_server busy[BUSY_SERVERS] = { 0 };
  unsigned current = 0;
  unsigned step = 0;

  for (unsigned i = 0; i < BUSY_SERVERS; i++)
    servers[i] = (struct kcp_rollout_server){
      .eligible = true, .version = 1, .data_center = i / 4, .in_flight = 30
    };
  while (current < BUSY_SERVERS && ++step < 1000)
    {
      unsigned loading = 0;
      int at;

      for (unsigned i = 0; i < BUSY_SERVERS; i++)
        {
          unsigned steps = steps_since (&busy[i], step);

          if (servers[i].loading && steps * STEP_MS >= COMPLETE_MS)
            servers[i].in_flight = 0;
          if (servers[i].loading && steps * STEP_MS >= COMPLETE_MS + LOAD_MS)
            {
              servers[i].loading = false;
              servers[i].version = 2;
              servers[i].in_flight = 30;
              current++;
            }
          loading += servers[i].loading && servers[i].in_flight == 0;
        }
      ck_assert_uint_le (loading, kcp_rollout_limit (BUSY_SERVERS) + 1);
      at = kcp_rollout_choose (servers, BUSY_SERVERS, 2,
                               kcp_rollout_limit (BUSY_SERVERS));
      if (at == KCP_ROLLOUT_NONE)
        continue;
      servers[at].loading = true;
      busy[at].ordered_at = step;
    }
  ck_assert_uint_lt (step * STEP_MS, 10000);
}
END_TEST

#define LONG_COMPLETE_MS   2600 /* until a slow server has completed its requests */
#define SLOW_SERVERS       9
#define REPLACE_MS         10000 /* from the naming until all must have loaded */
#define TYPICAL_ORDER_MS   1300
#define QUARTER_OF_SERVERS 2
#define HALF_OF_SERVERS    5

/* Load pattern: a burst of requests at slow servers. A server that has loaded too late
   serves nothing in between. */
START_TEST (test_slow_servers_have_not_loaded_in_time)
{
  struct kcp_rollout_server servers[SLOW_SERVERS];
  struct busy_server busy[SLOW_SERVERS] = { 0 };
  unsigned outdated = SLOW_SERVERS;
  unsigned in_time = 0;
  unsigned order_ms = TYPICAL_ORDER_MS;
  unsigned step = 0;

  for (unsigned i = 0; i < SLOW_SERVERS; i++)
    servers[i] = (struct kcp_rollout_server){
      .eligible = true, .version = 1, .data_center = i / 3, .in_flight = 30
    };
  while (outdated > 0 && ++step < 1000)
    {
      unsigned ordered = 0;
      struct kcp_rollout_pace pace;
      int at;

      for (unsigned i = 0; i < SLOW_SERVERS; i++)
        {
          unsigned ms = steps_since (&busy[i], step) * STEP_MS;

          if (!servers[i].loading)
            continue;
          order_ms = MAX (order_ms, ms);
          if (ms >= LONG_COMPLETE_MS)
            servers[i].in_flight = 0;
          if (ms >= LONG_COMPLETE_MS + LOAD_MS)
            {
              servers[i].loading = false;
              servers[i].version = 2;
              servers[i].in_flight = 30;
              outdated--;
              in_time += step * STEP_MS <= REPLACE_MS;
            }
          ordered += servers[i].loading;
        }
      ck_assert_uint_le (ordered, HALF_OF_SERVERS);
      pace
          = (struct kcp_rollout_pace){ .outdated = outdated,
                                       .order_ns = MS (order_ms),
                                       .left_ns = MS (REPLACE_MS) - MS (step * STEP_MS) };
      at = kcp_rollout_choose (servers, SLOW_SERVERS, 2,
                               kcp_rollout_paced_limit (SLOW_SERVERS, &pace));
      if (at == KCP_ROLLOUT_NONE)
        continue;
      servers[at].loading = true;
      busy[at].ordered_at = step;
    }
  ck_assert_uint_ge (in_time, HALF_OF_SERVERS);
  ck_assert_uint_le (step * STEP_MS, 10000);
}
END_TEST

/* Servers that load fast enough are not ordered more at once. */
START_TEST (test_servers_load_a_few_at_a_time_while_there_is_time)
{
  struct kcp_rollout_pace pace = { .outdated = SLOW_SERVERS,
                                   .order_ns = MS (TYPICAL_ORDER_MS),
                                   .left_ns = MS (REPLACE_MS) };

  ck_assert_uint_eq (kcp_rollout_paced_limit (SLOW_SERVERS, &pace), QUARTER_OF_SERVERS);
  pace.left_ns = -MS (1);
  ck_assert_uint_eq (kcp_rollout_paced_limit (SLOW_SERVERS, &pace), HALF_OF_SERVERS);
  ck_assert_uint_eq (kcp_rollout_paced_limit (2, &pace), 2);
}
END_TEST

#define ORDER_MS 500 /* until an order without effect ends */

/* Load pattern: each order seems lost, since the servers carry orders out late. */
START_TEST (test_server_waits_for_its_first_order_while_others_get_more)
{
  struct kcp_rollout_server servers[BUSY_SERVERS];
  struct busy_server busy[BUSY_SERVERS] = { 0 };
  unsigned orders[BUSY_SERVERS] = { 0 };
  unsigned most = 0;
  unsigned least = 0;

  for (unsigned i = 0; i < BUSY_SERVERS; i++)
    servers[i] = (struct kcp_rollout_server){
      .eligible = true, .version = 1 + i % 2, .data_center = i / 4, .in_flight = i
    };
  for (unsigned step = 1; step <= 100; step++)
    {
      int at;

      for (unsigned i = 0; i < BUSY_SERVERS; i++)
        if (servers[i].loading && steps_since (&busy[i], step) * STEP_MS >= ORDER_MS)
          {
            servers[i].loading = false;
            servers[i].failed_orders++;
          }
      at = kcp_rollout_choose (servers, BUSY_SERVERS, 3,
                               kcp_rollout_limit (BUSY_SERVERS));
      if (at == KCP_ROLLOUT_NONE)
        continue;
      servers[at].loading = true;
      busy[at].ordered_at = step;
      orders[at]++;
      least = orders[0];
      for (unsigned i = 0; i < BUSY_SERVERS; i++)
        {
          most = MAX (most, orders[i]);
          least = MIN (least, orders[i]);
        }
      ck_assert_uint_le (most, least + 1);
    }
  ck_assert_uint_ge (least, 3);
}
END_TEST

/* Model of the platform's log: the names of the VMs that appended the lease records, in
   order. */
struct lease_log
{
  const char *holders[512];
  int64_t end;
  int64_t era; /* rises when the log loses its newest records */
};

/* A VM of the model: it reads, appends, freezes and loses answers at random. */
struct model_vm
{
  struct kcp_order_lease lease;
  char name[16];
  int64_t frozen_until_ns;
};

/* The answer to a call names another era than that in which the call was sent. */
static void
learn_era (struct model_vm *vm, const struct lease_log *log, int64_t now_ns)
{
  kcp_order_lease_on_new_era (&vm->lease, log->era, now_ns);
  kcp_order_lease_on_failed (&vm->lease, MS (150), now_ns);
}

/* The log comes back from a copy that lacks some of the newest records. */
static void
lose_records (struct lease_log *log, GRand *random)
{
  log->end = MAX (log->end - g_rand_int_range (random, 1, 4), 0);
  log->era++;
}

static void
step_vm (struct model_vm *vm, struct lease_log *log, GRand *random, int64_t now_ns)
{
  int64_t until;
  int64_t offset;
  bool new_era = vm->lease.era != log->era;

  switch (kcp_order_lease_step (&vm->lease, true, now_ns, &until))
    {
    case KCP_ORDER_LEASE_WAIT:
    case KCP_ORDER_LEASE_HELD:
      return;
    case KCP_ORDER_LEASE_READ:
      kcp_order_lease_on_sent (&vm->lease, now_ns);
      offset = log->end - 1;
      if (new_era)
        learn_era (vm, log, now_ns);
      else if (g_rand_int_range (random, 0, 10) == 0)
        kcp_order_lease_on_failed (&vm->lease, MS (150), now_ns);
      else
        kcp_order_lease_on_read (&vm->lease, log->end,
                                 offset >= 0 ? log->holders[offset] : NULL, offset,
                                 now_ns);
      return;
    case KCP_ORDER_LEASE_APPEND:
      kcp_order_lease_on_sent (&vm->lease, now_ns);
      if (vm->lease.end == log->end && log->end < 512)
        log->holders[log->end++] = vm->name;
      else if (!new_era)
        {
          kcp_order_lease_on_failed (&vm->lease, 0, now_ns);
          return;
        }
      if (new_era)
        learn_era (vm, log, now_ns);
      else if (g_rand_int_range (random, 0, 5) == 0)
        kcp_order_lease_on_failed (&vm->lease, MS (150), now_ns); /* the answer is lost */
      else
        kcp_order_lease_on_appended (&vm->lease, log->end - 1, now_ns);
      return;
    }
}

/* Three VMs freeze at any moment and lose answers; in the second run the log loses
   records too. Orders of two VMs must be at least the minimum gap of 3 s apart, and
   fencing tokens must not decrease. */
START_TEST (test_orders_of_two_vms_are_at_least_the_minimum_gap_apart)
{
  const struct kcp_order_lease_times times = { .valid_ns = MS (1500),
                                               .renew_ns = MS (700),
                                               .takeover_delay_ns = MS (5000),
                                               .read_interval_ns = MS (900) };

  for (guint32 seed = 1; seed <= 60; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct lease_log log = { .end = 0 };
      struct model_vm vms[3];
      const char *last_holder = NULL;
      int64_t last_order_ns = 0;
      int64_t last_fence = 0;
      unsigned orders = 0;

      for (int i = 0; i < 3; i++)
        {
          (void)g_snprintf (vms[i].name, sizeof vms[i].name, "vm%d", i);
          kcp_order_lease_init (&vms[i].lease, vms[i].name, &times);
          vms[i].frozen_until_ns = 0;
        }
      for (int64_t now = 0; now < MS (60000); now += MS (50))
        for (int i = 0; i < 3; i++)
          {
            if (_i == 1 && g_rand_int_range (random, 0, 900) == 0)
              lose_records (&log, random);
            if (now < vms[i].frozen_until_ns)
              continue;
            if (g_rand_int_range (random, 0, 150) == 0)
              vms[i].frozen_until_ns = now + MS (g_rand_int_range (random, 500, 9000));
            step_vm (&vms[i], &log, random, now);
            if (!kcp_order_lease_is_held (&vms[i].lease, now))
              continue;
            if (last_holder != NULL && last_holder != vms[i].name)
              ck_assert_msg (now - last_order_ns >= MS (3000), "seed %u: %s after %s",
                             seed, vms[i].name, last_holder);
            ck_assert_int_ge (kcp_order_lease_fencing_token (&vms[i].lease), last_fence);
            last_fence = kcp_order_lease_fencing_token (&vms[i].lease);
            last_holder = vms[i].name;
            last_order_ns = now;
            orders++;
          }
      ck_assert_uint_gt (orders, 100);
      g_rand_free (random);
    }
}
END_TEST

/* Load pattern: 195 VMs of five data centers while new weights are published
   repeatedly. */
START_TEST (test_one_vm_of_a_data_center_competes_until_no_orders_are_seen)
{
  struct kcp_order_lease_competitor competitor = { .no_orders_ns = 2 * KCP_NS_PER_S };

  ck_assert (!kcp_order_lease_may_compete (&competitor));
  competitor.leader = true;
  ck_assert (kcp_order_lease_may_compete (&competitor));
  competitor.leader = false;
  competitor.holds = true;
  ck_assert (kcp_order_lease_may_compete (&competitor));
  competitor.holds = false;
  competitor.no_orders_ns = 3 * KCP_NS_PER_S;
  ck_assert (kcp_order_lease_may_compete (&competitor));
}
END_TEST

/* While the lease is renewed over a slow store, an order that would arrive after the
   expiry must wait for the renewal instead of being tried again and again. */
START_TEST (test_no_order_is_sent_when_the_lease_is_about_to_expire)
{
  const struct kcp_order_lease_times times = { .valid_ns = MS (1500),
                                               .renew_ns = MS (700),
                                               .takeover_delay_ns = MS (5000),
                                               .read_interval_ns = MS (900),
                                               .order_margin_ns = MS (500) };
  struct kcp_order_lease lease;
  int64_t until;

  kcp_order_lease_init (&lease, "vm", &times);
  kcp_order_lease_on_sent (&lease, 0);
  kcp_order_lease_on_appended (&lease, 0, MS (10));
  ck_assert_int_eq (kcp_order_lease_step (&lease, true, MS (600), &until),
                    KCP_ORDER_LEASE_HELD);
  ck_assert_int_eq (until, MS (1000));
  ck_assert_int_eq (kcp_order_lease_step (&lease, true, MS (900), &until),
                    KCP_ORDER_LEASE_APPEND);
  kcp_order_lease_on_sent (&lease, MS (900));
  ck_assert_int_eq (kcp_order_lease_step (&lease, true, MS (950), &until),
                    KCP_ORDER_LEASE_HELD);
  ck_assert_int_eq (kcp_order_lease_step (&lease, true, MS (1100), &until),
                    KCP_ORDER_LEASE_WAIT);
  ck_assert (!kcp_order_lease_may_order (&lease, MS (1100)));
  ck_assert (kcp_order_lease_is_held (&lease, MS (1100)));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("order policy");

  tcase_add_test (cases, test_one_vm_of_a_data_center_competes_until_no_orders_are_seen);
  tcase_add_test (cases, test_no_order_is_sent_when_the_lease_is_about_to_expire);
  tcase_add_test (cases, test_the_server_with_the_oldest_weights_loads_first);
  tcase_add_test (cases, test_the_number_of_servers_that_load_at_once_is_limited);
  tcase_add_test (cases, test_last_server_of_a_busy_deployment_loads_too_late);
  tcase_add_test (cases, test_slow_servers_have_not_loaded_in_time);
  tcase_add_test (cases, test_servers_load_a_few_at_a_time_while_there_is_time);
  tcase_add_test (cases, test_server_waits_for_its_first_order_while_others_get_more);
  tcase_add_loop_test (cases, test_orders_of_two_vms_are_at_least_the_minimum_gap_apart,
                       0, 2);
  return run_started_suite ();
}
