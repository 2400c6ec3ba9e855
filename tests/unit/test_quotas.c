/* Tests that VMs together keep a team's quota and use it, under the loads that the policy
   is designed for, while messages are late or lost and VMs fail. */
#include <check.h>
#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "platform/platform.h"
#include "quota/quotas.h"
#include "tests/harness/run_suite.h"

#define MS(x)           ((x)*KCP_NS_PER_MS)
#define VMS_MAX         300u
#define TEAM            "team1"
#define START_MS        4000 /* in which the granting VM has a full bucket */
#define RUN_MS          30000
#define DECIDED_MS      1000
#define STEP_MS         5
#define DETECT_MS       1500 /* until a VM that ended or was cut off counts as such */
#define DELAY_MAX_MS    20
#define LOST_IN_100     3u
#define SMALL_COST      400
#define LARGE_COST      17000
#define LARGE_EVERY     12u
#define MEAN_COST       ((SMALL_COST * (LARGE_EVERY - 1) + LARGE_COST) / (double)LARGE_EVERY)
#define WINDOW_MS       8000 /* of the users' rule */
#define OVERAGE         0.1
#define SLACK           190000
#define USED            0.9
#define LARGE_TEAM      740000
#define SMALL_TEAM      47000
#define CONFIG_APPLY_MS 3000
#define SEED            58u

struct packet
{
  int64_t arrives_ms;
  unsigned from;
  unsigned to;
  bool is_grant;
  bool grants;
  uint32_t sequence;
  struct kcp_quota_ask ask;
  struct kcp_quota_grant grant;
};

struct vm
{
  struct kcp_quotas *quotas;
  unsigned number;
  bool down;
  unsigned group;      /* VMs of different groups are cut off from each other */
  unsigned seen_group; /* as the others see it by now */
  bool seen_down;
  double tokens_per_s; /* that its callers ask for */
  double due;
  unsigned requests;
};

struct request
{
  struct kcp_quota_wait wait;
  int64_t cost;
  int64_t sent_ms;
};

struct use
{
  int64_t ms;
  int64_t cost;
};

static struct
{
  struct vm vms[VMS_MAX];
  unsigned count;
  struct kcp_quota_limit limit;
  GArray *packets;
  GArray *used; /* struct use */
  GRand *random;
  int64_t now_ms;
  int64_t asked_for;
  unsigned asked[2]; /* requests that are small, large */
  unsigned admitted[2];
} fleet;

static uint64_t
rank (unsigned vm)
{
  return (vm + 1) * 0x9e3779b97f4a7c15u;
}

/* Returns the VM that grants, in the view of a VM: the first that it sees. */
static unsigned
granting (unsigned vm)
{
  unsigned first = vm;

  for (unsigned i = 0; i < fleet.count; i++)
    if (!fleet.vms[i].seen_down && fleet.vms[i].seen_group == fleet.vms[vm].seen_group
        && rank (i) > rank (first))
      first = i;
  return first;
}

static double
share_of (unsigned vm)
{
  unsigned seen = 0;

  for (unsigned i = 0; i < fleet.count; i++)
    seen
        += !fleet.vms[i].seen_down && fleet.vms[i].seen_group == fleet.vms[vm].seen_group;
  return (double)seen / fleet.count;
}

/* The VMs use what the rule tolerates, in part. */
static void
set_limits (void)
{
  struct kcp_quota_tolerance tolerance
      = { .window_s = WINDOW_MS / 1000.0, .overage = OVERAGE, .slack = SLACK };
  struct kcp_quota_limit limit
      = kcp_quota_limit_with_tolerance (&fleet.limit, &tolerance);

  for (unsigned i = 0; i < fleet.count; i++)
    if (!fleet.vms[i].down)
      kcp_quotas_set_limit (fleet.vms[i].quotas, TEAM, &limit, granting (i) == i,
                            share_of (i), MS (fleet.now_ms));
}

static void
post (struct packet packet)
{
  packet.arrives_ms = fleet.now_ms + g_rand_int_range (fleet.random, 1, DELAY_MAX_MS);
  if (g_rand_int_range (fleet.random, 0, 100) >= (int)LOST_IN_100)
    g_array_append_val (fleet.packets, packet);
}

static bool
send_ask (void *self, uint64_t team, uint32_t sequence, const struct kcp_quota_ask *ask)
{
  const struct vm *vm = self;

  (void)team;
  post ((struct packet){ .from = vm->number,
                         .to = granting (vm->number),
                         .sequence = sequence,
                         .ask = *ask });
  return true;
}

static unsigned
count_vms (void *self)
{
  (void)self;
  return fleet.count;
}

static void
start_vm (unsigned i)
{
  struct vm *vm = &fleet.vms[i];

  vm->number = i;
  vm->down = false;
  vm->quotas = kcp_quotas_new (
      &(struct kcp_quota_link){ .self = vm, .ask = send_ask, .vms = count_vms });
}

static void
set_up (unsigned count, int64_t per_s)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.count = count;
  fleet.limit = (struct kcp_quota_limit){ .per_s = per_s, .burst = per_s };
  fleet.packets = g_array_new (FALSE, FALSE, sizeof (struct packet));
  fleet.used = g_array_new (FALSE, FALSE, sizeof (struct use));
  fleet.random = g_rand_new_with_seed (SEED);
  for (unsigned i = 0; i < count; i++)
    {
      start_vm (i);
      fleet.vms[i].due = g_rand_double (fleet.random);
      fleet.vms[i].requests = (unsigned)g_rand_int_range (fleet.random, 0, LARGE_EVERY);
    }
  set_limits ();
  fleet.now_ms = START_MS;
}

static void set_demand (unsigned from, unsigned callers, double multiple);
static void run (int64_t ms);

/* Lets the requests that wait be decided. */
static void
tear_down (void)
{
  set_demand (0, 0, 0);
  run (DECIDED_MS);
  for (unsigned i = 0; i < fleet.count; i++)
    kcp_quotas_free (fleet.vms[i].quotas);
  g_array_unref (fleet.packets);
  g_array_unref (fleet.used);
  g_rand_free (fleet.random);
}

/* Has the first callers VMs' callers ask for a multiple of the quota. */
static void
set_demand (unsigned from, unsigned callers, double multiple)
{
  for (unsigned i = 0; i < fleet.count; i++)
    fleet.vms[i].tokens_per_s = i >= from && i < from + callers
                                    ? multiple * (double)fleet.limit.per_s / callers
                                    : 0;
}

static void
record (int64_t cost)
{
  struct use use = { .ms = fleet.now_ms, .cost = cost };

  g_array_append_val (fleet.used, use);
  fleet.admitted[cost == LARGE_COST]++;
}

static void
on_decided (void *user, bool admitted, int64_t return_ns)
{
  struct request *request = user;

  ck_assert (admitted || return_ns >= MS (fleet.now_ms));
  ck_assert_int_le (fleet.now_ms - request->sent_ms, DECIDED_MS / 2);
  if (admitted)
    record (request->cost);
  g_free (request);
}

static void
send_request (struct vm *vm)
{
  struct request *request = g_new0 (struct request, 1);
  int64_t return_ns;

  request->sent_ms = fleet.now_ms;
  request->cost = vm->requests++ % LARGE_EVERY == 0 ? LARGE_COST : SMALL_COST;
  request->wait = (struct kcp_quota_wait){ .cost = request->cost,
                                           .decided = on_decided,
                                           .user = request };
  fleet.asked_for += request->cost;
  fleet.asked[request->cost == LARGE_COST]++;
  switch (kcp_quotas_admit (vm->quotas, TEAM, &fleet.limit, &request->wait, &return_ns,
                            MS (fleet.now_ms)))
    {
    case KCP_QUOTA_ADMITTED:
      record (request->cost);
      g_free (request);
      break;
    case KCP_QUOTA_REFUSED:
      g_free (request);
      break;
    case KCP_QUOTA_WAITS:
      break;
    }
}

static void
deliver (const struct packet *packet)
{
  struct vm *to = &fleet.vms[packet->to];
  struct packet reply = { .from = packet->to, .to = packet->from, .is_grant = true };
  uint64_t team = kcp_quota_team_key (TEAM);

  if (to->down || to->group != fleet.vms[packet->from].group)
    return;
  if (packet->is_grant && packet->grants)
    kcp_quotas_receive (to->quotas, team, packet->sequence, &packet->grant,
                        MS (fleet.now_ms));
  else if (packet->is_grant)
    kcp_quotas_unanswered (to->quotas, team, packet->sequence, MS (fleet.now_ms));
  if (packet->is_grant)
    return;
  reply.sequence = packet->sequence;
  reply.grants = kcp_quotas_grant (to->quotas, team, &packet->ask, &reply.grant,
                                   MS (fleet.now_ms));
  post (reply);
}

static void
deliver_due (void)
{
  for (guint i = fleet.packets->len; i > 0; i--)
    {
      struct packet packet = g_array_index (fleet.packets, struct packet, i - 1);

      if (packet.arrives_ms > fleet.now_ms)
        continue;
      g_array_remove_index_fast (fleet.packets, i - 1);
      deliver (&packet);
    }
}

static void
run (int64_t ms)
{
  for (int64_t end_ms = fleet.now_ms + ms; fleet.now_ms < end_ms; fleet.now_ms += STEP_MS)
    {
      deliver_due ();
      for (unsigned i = 0; i < fleet.count; i++)
        {
          struct vm *vm = &fleet.vms[i];

          if (vm->down)
            continue;
          (void)kcp_quotas_tick (vm->quotas, MS (fleet.now_ms));
          vm->due += vm->tokens_per_s * STEP_MS / 1000 / MEAN_COST;
          for (; vm->due >= 1; vm->due -= 0.5 + g_rand_double (fleet.random))
            send_request (vm);
        }
    }
}

/* Returns the most that was used in a window that begins at from_ms or later. */
static int64_t
peak_use (int64_t from_ms)
{
  int64_t sum = 0;
  int64_t peak = 0;
  guint first = 0;

  for (guint i = 0; i < fleet.used->len; i++)
    {
      const struct use *use = &g_array_index (fleet.used, struct use, i);

      if (use->ms < from_ms)
        {
          first = i + 1;
          continue;
        }
      sum += use->cost;
      while (g_array_index (fleet.used, struct use, first).ms <= use->ms - WINDOW_MS)
        sum -= g_array_index (fleet.used, struct use, first++).cost;
      peak = MAX (peak, sum);
    }
  return peak;
}

static void
expect_kept (int64_t from_ms)
{
  double allowed
      = ((double)fleet.limit.per_s * WINDOW_MS / 1000 + (double)fleet.limit.burst)
            * (1 + OVERAGE)
        + SLACK;

  ck_assert_double_le ((double)peak_use (from_ms), allowed);
}

static int64_t
sum_used (void)
{
  int64_t sum = 0;

  for (guint i = 0; i < fleet.used->len; i++)
    sum += g_array_index (fleet.used, struct use, i).cost;
  return sum;
}

/* Expects that of the quota of some seconds at least a part was used. */
static void
expect_used (double part, int64_t ms)
{
  ck_assert_double_ge ((double)sum_used (), part * (double)fleet.limit.per_s * ms / 1000);
}

static const unsigned sizes[] = { 7, 61, 300 };
static const int64_t limits[] = { LARGE_TEAM, SMALL_TEAM };

START_TEST (test_team_at_all_vms_exceeds_its_quota_or_leaves_it_unused)
{
  set_up (sizes[_i / 2], limits[_i % 2]);
  set_demand (0, fleet.count, 4);
  run (RUN_MS);
  expect_kept (0);
  expect_used (USED, RUN_MS);
  tear_down ();
}
END_TEST

START_TEST (test_team_at_one_vm_gets_only_a_part_of_its_quota)
{
  set_up (sizes[_i / 2], limits[_i % 2]);
  set_demand (0, 1, 4);
  run (RUN_MS);
  expect_kept (0);
  expect_used (USED, RUN_MS);
  tear_down ();
}
END_TEST

START_TEST (test_callers_that_move_exceed_the_quota_or_leave_it_unused)
{
  set_up (61, limits[_i]);
  for (unsigned i = 0; i < 6; i++)
    {
      set_demand (i * 10, 10, 3);
      run (RUN_MS / 6);
    }
  expect_kept (0);
  expect_used (USED, RUN_MS);
  tear_down ();
}
END_TEST

/* What is refused below the quota is lost to the callers. */
START_TEST (test_team_below_its_quota_is_refused)
{
  set_up (sizes[_i / 2], limits[_i % 2]);
  set_demand (0, fleet.count, 0.55);
  run (RUN_MS);
  ck_assert_double_ge ((double)sum_used (), USED * (double)fleet.asked_for);
  tear_down ();
}
END_TEST

START_TEST (test_large_requests_are_refused_more_often_than_small_ones)
{
  double small;
  double large;

  set_up (61, LARGE_TEAM);
  set_demand (0, 61, 3);
  run (RUN_MS);
  small = (double)fleet.admitted[0] / fleet.asked[0];
  large = (double)fleet.admitted[1] / fleet.asked[1];
  ck_assert_double_ge (large, small / 2);
  ck_assert_double_ge (small, large / 2);
  tear_down ();
}
END_TEST

static void
set_down (unsigned i, bool down)
{
  if (down)
    g_clear_pointer (&fleet.vms[i].quotas, kcp_quotas_free);
  else
    start_vm (i);
  fleet.vms[i].down = down;
}

/* Has all VMs see which of them are down and in which group each is. */
static void
detect (void)
{
  for (unsigned i = 0; i < fleet.count; i++)
    {
      fleet.vms[i].seen_down = fleet.vms[i].down;
      fleet.vms[i].seen_group = fleet.vms[i].group;
    }
  set_limits ();
}

/* The VM that grants is killed and forgets what it granted, again and again. Callers
   pause before each kill, so that none waits at the VM that ends. */
START_TEST (test_quota_is_exceeded_as_granting_vms_are_killed)
{
  set_up (7, limits[_i]);
  set_demand (0, 7, 3);
  for (unsigned i = 0; i < 4; i++)
    {
      unsigned killed = granting (0);

      run (3000);
      set_demand (0, 7, 0);
      run (200);
      set_down (killed, true);
      set_demand (0, 7, 3);
      run (DETECT_MS);
      detect ();
      run (2000);
      set_down (killed, false);
      detect ();
    }
  expect_kept (0);
  tear_down ();
}
END_TEST

START_TEST (test_groups_that_are_cut_off_exceed_the_quota_or_leave_it_unused)
{
  set_up (61, limits[_i]);
  set_demand (0, 61, 2);
  run (4000);
  for (unsigned i = 0; i < 61; i++)
    fleet.vms[i].group = i % 3;
  run (DETECT_MS);
  detect ();
  run (12000);
  for (unsigned i = 0; i < 61; i++)
    fleet.vms[i].group = 0;
  detect ();
  run (6000);
  expect_kept (0);
  expect_used (0.8, 4000 + DETECT_MS + 18000);
  tear_down ();
}
END_TEST

START_TEST (test_lowered_quota_is_not_kept_a_window_later)
{
  int64_t lowered_ms;

  set_up (61, LARGE_TEAM);
  set_demand (0, 61, 2);
  run (6000);
  fleet.limit = (struct kcp_quota_limit){ .per_s = SMALL_TEAM, .burst = SMALL_TEAM };
  lowered_ms = fleet.now_ms;
  set_limits ();
  run (20000);
  expect_kept (lowered_ms + CONFIG_APPLY_MS);
  tear_down ();
}
END_TEST

static struct kcp_operator_record
read_team (const char *members)
{
  g_autofree char *text = g_strdup_printf (
      "{\"version\":1,\"routes\":[],\"tenants\":[{\"name\":\"t\"%s}]}", members);
  struct kcp_operator_record record;
  const char *reason = NULL;

  ck_assert (kcp_platform_dialect.read_operator (
      KCP_STR ("config"), kcp_str_from_c (text), &record, &reason));
  return record;
}

static void
expect_quota (const char *members, int64_t per_s, int64_t burst, bool counts_tokens)
{
  struct kcp_operator_record record = read_team (members);
  const struct kcp_team_access *team = kcp_routes_team_named (record.routes, "t");

  ck_assert_int_eq (team->quota.limit.per_s, per_s);
  ck_assert_int_eq (team->quota.limit.burst, burst);
  ck_assert_int_eq (team->quota.counts_tokens, counts_tokens);
  ck_assert_int_eq (record.routes->has_quotas, per_s > 0);
  kcp_routes_unref (record.routes);
}

START_TEST (test_limit_without_tolerance_changes)
{
  struct kcp_quota_limit limit = { .per_s = 10, .burst = 4 };
  struct kcp_quota_tolerance none = { 0 };
  struct kcp_quota_limit kept = kcp_quota_limit_with_tolerance (&limit, &none);

  ck_assert_int_eq (kept.per_s, 10);
  ck_assert_int_eq (kept.burst, 4);
}
END_TEST

START_TEST (test_quota_is_read_wrongly)
{
  expect_quota ("", 0, 0, false);
  expect_quota (",\"rate-per-s\":5,\"burst\":7", 5, 7, false);
  expect_quota (",\"rate-per-s\":5", 5, 5, false);
  expect_quota (",\"rate-per-s\":5,\"unit\":\"request_count\"", 5, 5, false);
  expect_quota (",\"rate-per-s\":5,\"unit\":\"token_count\"", 5, 5, true);
  expect_quota (",\"rate-per-s\":5,\"unit\":\"unknown\"", 5, 5, true);
  expect_quota (",\"rate-per-s\":-5,\"burst\":-1", 0, 0, false);
  expect_quota (",\"rate-per-s\":1e300", 0, 0, false);
  expect_quota (",\"rate-per-s\":\"many\"", 0, 0, false);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("quotas");

  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_team_at_all_vms_exceeds_its_quota_or_leaves_it_unused,
                       0, 6);
  tcase_add_loop_test (cases, test_team_at_one_vm_gets_only_a_part_of_its_quota, 0, 6);
  tcase_add_loop_test (cases, test_callers_that_move_exceed_the_quota_or_leave_it_unused,
                       0, 2);
  tcase_add_loop_test (cases, test_team_below_its_quota_is_refused, 0, 6);
  tcase_add_test (cases, test_large_requests_are_refused_more_often_than_small_ones);
  tcase_add_loop_test (cases, test_quota_is_exceeded_as_granting_vms_are_killed, 0, 2);
  tcase_add_loop_test (
      cases, test_groups_that_are_cut_off_exceed_the_quota_or_leave_it_unused, 0, 2);
  tcase_add_test (cases, test_lowered_quota_is_not_kept_a_window_later);
  tcase_add_test (cases, test_limit_without_tolerance_changes);
  tcase_add_test (cases, test_quota_is_read_wrongly);
  return run_started_suite ();
}
