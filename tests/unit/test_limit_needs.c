/* Tests that the shares of VMs that divide a server's limit never add up to more than the
   limit, while needs change and messages are late, lost or come twice, and that the limit
   is used once messages arrive. */
#include <check.h>
#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "policy/limit_needs.h"
#include "policy/server_limit.h"
#include "tests/harness/run_suite.h"

#define MS(x)            ((x)*KCP_NS_PER_MS)
#define PER_S(x)         ((int64_t)((x)*KCP_SERVER_LIMIT_SCALE))
#define VMS              370u
#define USERS_MAX        32u
#define RUN_MS           40000
#define STEP_MS          20
#define RANK_PRIME       0x9e3779b97f4a7c15u
#define LIMIT            12.0
#define NEEDS_MAX        300u
#define DELAY_MAX_MS     2000
#define LOST_IN_100      30u
#define TWICE_IN_100     10u
#define CHANGE_MS        3000 /* interval at which callers move to other VMs */
#define ROUNDING         1e-9
#define USED             0.9
#define SEED             33u
#define RESTART_EXCESS_S 1.0 /* in which a VM that knows nothing may add its part */

/* A message on its way. */
struct packet
{
  int64_t arrives_ms;
  unsigned from;
  unsigned to;
  struct kcp_needs_message message;
};

/* The users of one limit, of many VMs. */
struct fleet
{
  unsigned count;
  unsigned vms[USERS_MAX];
  unsigned needs[USERS_MAX];
  struct kcp_own_needs own[USERS_MAX];
  struct kcp_peer_needs peers[USERS_MAX][USERS_MAX];
  GArray *packets; /* struct packet */
  GRand *random;
  unsigned lost_in_100;
  int64_t delay_max_ms;
};

static struct fleet fleet;

static uint64_t
rank_of (unsigned vm)
{
  return (vm + 1) * RANK_PRIME;
}

static void
set_up (void)
{
  struct kcp_server_limit_user all[VMS];
  uint64_t least;

  fleet = (struct fleet){ .packets = g_array_new (FALSE, FALSE, sizeof (struct packet)),
                          .random = g_rand_new_with_seed (SEED),
                          .lost_in_100 = LOST_IN_100,
                          .delay_max_ms = DELAY_MAX_MS };
  for (unsigned i = 0; i < VMS; i++)
    all[i] = (struct kcp_server_limit_user){ .rank = rank_of (i), .in_touch = true };
  least = kcp_server_limit_least_rank (PER_S (LIMIT), all, VMS);
  for (unsigned i = 0; i < VMS; i++)
    if (rank_of (i) >= least)
      {
        ck_assert_uint_lt (fleet.count, USERS_MAX);
        fleet.vms[fleet.count++] = i;
      }
}

static void
tear_down (void)
{
  g_array_unref (fleet.packets);
  g_rand_free (fleet.random);
}

static bool
happens (unsigned in_100)
{
  return (unsigned)g_rand_int_range (fleet.random, 0, 100) < in_100;
}

static void
post (struct packet packet, int64_t now_ms)
{
  packet.arrives_ms
      = now_ms + g_rand_int_range (fleet.random, 1, (int)fleet.delay_max_ms);
  if (!happens (fleet.lost_in_100))
    g_array_append_val (fleet.packets, packet);
}

/* Has a VM tell the other users what they need to know. */
static void
tell (unsigned from, int64_t now_ms)
{
  for (unsigned to = 0; to < fleet.count; to++)
    {
      struct packet packet = { .from = from, .to = to };

      if (to == from
          || !kcp_own_needs_tell (&fleet.own[from], &fleet.peers[from][to], MS (now_ms),
                                  &packet.message))
        continue;
      post (packet, now_ms);
      if (happens (TWICE_IN_100))
        post (packet, now_ms);
    }
}

static void
deliver (int64_t now_ms)
{
  for (guint i = fleet.packets->len; i > 0; i--)
    {
      const struct packet *packet = &g_array_index (fleet.packets, struct packet, i - 1);

      if (packet->arrives_ms > now_ms)
        continue;
      kcp_peer_needs_receive (&fleet.peers[packet->to][packet->from], &packet->message);
      g_array_remove_index_fast (fleet.packets, i - 1);
    }
}

static bool
all_acknowledge (unsigned vm)
{
  for (unsigned i = 0; i < fleet.count; i++)
    if (i != vm && !kcp_own_needs_are_acknowledged (&fleet.own[vm], &fleet.peers[vm][i]))
      return false;
  return true;
}

/* Returns the share that a VM takes by what it knows. */
static double
share (unsigned vm)
{
  struct kcp_server_limit_user users[USERS_MAX];

  for (unsigned i = 0; i < fleet.count; i++)
    users[i] = (struct kcp_server_limit_user){
      .rank = rank_of (fleet.vms[i]),
      .needs = i == vm ? kcp_own_needs_agreed (&fleet.own[vm])
                       : kcp_peer_needs_assumed (&fleet.peers[vm][i]),
      .in_touch = true,
    };
  return kcp_server_limit_divide (PER_S (LIMIT), users, fleet.count, vm);
}

/* Runs one step of all VMs. Returns the sum of their shares. */
static double
step (int64_t now_ms)
{
  double sum = 0;

  deliver (now_ms);
  for (unsigned i = 0; i < fleet.count; i++)
    {
      (void)kcp_own_needs_update (&fleet.own[i], fleet.needs[i], all_acknowledge (i),
                                  MS (now_ms));
      tell (i, now_ms);
      sum += share (i);
    }
  return sum;
}

/* Has callers move to other VMs. */
static void
move_callers (void)
{
  for (unsigned i = 0; i < fleet.count; i++)
    fleet.needs[i] = (unsigned)g_rand_int_range (fleet.random, 0, NEEDS_MAX);
}

static void
expect_within_limit (double sum, int64_t now_ms)
{
  ck_assert_msg (sum <= LIMIT + ROUNDING, "shares of %.2f at %d ms", sum, (int)now_ms);
}

START_TEST (test_shares_add_up_to_more_than_the_limit_while_callers_move)
{
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      if (now_ms % CHANGE_MS == 0)
        move_callers ();
      expect_within_limit (step (now_ms), now_ms);
    }
}
END_TEST

START_TEST (test_shares_add_up_to_more_than_the_limit_while_needs_grow_everywhere)
{
  fleet.lost_in_100 = 0;
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      for (unsigned i = 0; i < fleet.count; i++)
        fleet.needs[i] = (unsigned)(now_ms * (i + 1) / 1000);
      expect_within_limit (step (now_ms), now_ms);
    }
}
END_TEST

START_TEST (test_shares_add_up_to_more_than_the_limit_without_any_message)
{
  fleet.lost_in_100 = 100;
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      double sum;

      if (now_ms % CHANGE_MS == 0)
        move_callers ();
      sum = step (now_ms);
      ck_assert_double_le (sum, LIMIT + ROUNDING);
      ck_assert_double_ge (sum, LIMIT - ROUNDING);
    }
}
END_TEST

START_TEST (test_limit_stays_unused_though_messages_arrive)
{
  double sum = 0;

  fleet.delay_max_ms = STEP_MS;
  move_callers ();
  for (int64_t now_ms = 0; now_ms < CHANGE_MS; now_ms += STEP_MS)
    sum = step (now_ms);
  ck_assert_double_ge (sum, USED * LIMIT);
}
END_TEST

START_TEST (test_vms_with_constant_needs_never_stop_telling_them)
{
  fleet.lost_in_100 = 0;
  move_callers ();
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    (void)step (now_ms);
  ck_assert_uint_eq (fleet.packets->len, 0);
}
END_TEST

/* A VM that starts anew has lost what it knew, and the others still count its old needs.
   Until they have exchanged statements it takes its part among initial needs. */
START_TEST (test_vm_that_starts_anew_takes_a_large_share)
{
  unsigned excess_steps = 0;
  double most = LIMIT + LIMIT / fleet.count;

  move_callers ();
  for (int64_t now_ms = 0; now_ms < CHANGE_MS; now_ms += STEP_MS)
    (void)step (now_ms);
  fleet.delay_max_ms = STEP_MS;
  fleet.lost_in_100 = 0;
  g_array_set_size (fleet.packets, 0);
  fleet.own[0] = (struct kcp_own_needs){ 0 };
  memset (fleet.peers[0], 0, sizeof fleet.peers[0]);
  for (unsigned i = 1; i < fleet.count; i++)
    fleet.peers[i][0] = (struct kcp_peer_needs){ 0 };
  for (int64_t now_ms = CHANGE_MS; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      double sum = step (now_ms);

      ck_assert_msg (sum <= most + ROUNDING, "shares of %.2f at %d ms", sum, (int)now_ms);
      excess_steps += sum > LIMIT + ROUNDING;
    }
  ck_assert_uint_le (excess_steps, RESTART_EXCESS_S * 1000 / STEP_MS);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("limit needs");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_shares_add_up_to_more_than_the_limit_while_callers_move);
  tcase_add_test (cases,
                  test_shares_add_up_to_more_than_the_limit_while_needs_grow_everywhere);
  tcase_add_test (cases, test_shares_add_up_to_more_than_the_limit_without_any_message);
  tcase_add_test (cases, test_limit_stays_unused_though_messages_arrive);
  tcase_add_test (cases, test_vms_with_constant_needs_never_stop_telling_them);
  tcase_add_test (cases, test_vm_that_starts_anew_takes_a_large_share);
  return run_started_suite ();
}
