/* Tests that servers which fail or refuse at once attract no work, and that they get it
   back, under the loads that the policy is designed for. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "forward/mesh_message.h"
#include "policy/place.h"
#include "policy/server_health.h"
#include "tests/harness/run_suite.h"

#define MS(x)        ((x)*KCP_NS_PER_MS)
#define RANDOM_PRIME 0x9e3779b97f4a7c15u
#define SERVERS      4u
#define SLOTS        8u
#define REQUESTS     600u /* 60 a second for 10 s */
#define INTERVAL_MS  (1000 / 60)
#define ANSWER_MS    300
#define FAILED_TRIES (REQUESTS / 20) /* by the failing server, in 10 s */
#define RECOVERY_MS  40000

/* A server, and the requests that it has not answered. */
struct server
{
  bool fails;
  enum kcp_server_outcome failure;
  struct kcp_server_health health;
  GArray *ends_ms; /* int64_t */
  unsigned tries;
};

static struct server servers[SERVERS];

static void
set_up (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    servers[i]
        = (struct server){ .failure = KCP_OUTCOME_FAILURE,
                           .ends_ms = g_array_new (FALSE, FALSE, sizeof (int64_t)) };
}

static void
tear_down (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    g_array_unref (servers[i].ends_ms);
}

/* Ends the answers that are due. */
static void
answer_due (int64_t now_ms)
{
  for (unsigned i = 0; i < SERVERS; i++)
    for (guint j = servers[i].ends_ms->len; j > 0; j--)
      if (g_array_index (servers[i].ends_ms, int64_t, j - 1) <= now_ms)
        {
          g_array_remove_index_fast (servers[i].ends_ms, j - 1);
          kcp_server_health_record (&servers[i].health, KCP_OUTCOME_SUCCESS, MS (now_ms));
        }
}

static unsigned
choose (int64_t now_ms)
{
  struct kcp_place_candidate candidates[SERVERS];
  struct kcp_outcome_counts counts[SERVERS];
  struct kcp_outcome_counts sum = { 0 };

  for (unsigned i = 0; i < SERVERS; i++)
    {
      counts[i] = kcp_server_health_counts (&servers[i].health, MS (now_ms));
      sum.successes += counts[i].successes;
      sum.failures += counts[i].failures;
    }
  for (unsigned i = 0; i < SERVERS; i++)
    candidates[i] = (struct kcp_place_candidate){
      .usable = true,
      .local = true,
      .slots = SLOTS,
      .in_flight = servers[i].ends_ms->len,
      .failing_us = kcp_server_health_cost_us (&counts[i], &sum),
    };
  return (unsigned)kcp_place_choose (candidates, SERVERS, &kcp_place_plain_costs,
                                     (uint64_t)now_ms * RANDOM_PRIME >> 32);
}

static void
send_requests (int64_t from_ms)
{
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      int64_t now_ms = from_ms + i * INTERVAL_MS;
      int64_t end_ms = now_ms + ANSWER_MS;
      struct server *server;

      answer_due (now_ms);
      server = &servers[choose (now_ms)];
      server->tries++;
      if (server->fails)
        kcp_server_health_record (&server->health, server->failure, MS (now_ms));
      else
        g_array_append_val (server->ends_ms, end_ms);
    }
}

/* Three servers answer in 300 ms, one fails at once and has nothing in flight: it got 530
   of 643 tries. */
START_TEST (test_server_that_fails_at_once_draws_the_requests)
{
  servers[0].fails = true;
  servers[0].failure = (enum kcp_server_outcome)_i;
  send_requests (0);
  ck_assert_uint_ge (servers[0].tries, 1);
  ck_assert_uint_le (servers[0].tries, FAILED_TRIES);
}
END_TEST

START_TEST (test_server_that_has_recovered_gets_no_requests)
{
  unsigned before;

  servers[0].fails = true;
  send_requests (0);
  servers[0].fails = false;
  send_requests (RECOVERY_MS / 2);
  before = servers[0].tries;
  send_requests (RECOVERY_MS);
  ck_assert_uint_ge (servers[0].tries - before, REQUESTS / SERVERS / 2);
}
END_TEST

/* Requests that are bad themselves fail everywhere. */
START_TEST (test_servers_that_all_fail_are_told_apart)
{
  for (unsigned i = 0; i < SERVERS; i++)
    servers[i].fails = true;
  send_requests (0);
  for (unsigned i = 0; i < SERVERS; i++)
    ck_assert_uint_ge (servers[i].tries, REQUESTS / SERVERS / 2);
}
END_TEST

START_TEST (test_one_failure_is_a_verdict)
{
  struct kcp_outcome_counts one = { .failures = 1, .successes = 20 };
  struct kcp_outcome_counts sum = { .failures = 1, .successes = 200 };

  ck_assert_int_le (kcp_server_health_cost_us (&one, &sum),
                    2 * kcp_place_plain_costs.per_waiting * 2);
}
END_TEST

/* A server whose first attempt failed got no request again while the other one answered.
 */
START_TEST (test_failure_of_the_first_attempt_is_a_verdict)
{
  struct kcp_outcome_counts one = { .failures = 1 };
  struct kcp_outcome_counts sum = { .failures = 1, .successes = 200 };

  ck_assert_int_eq (kcp_server_health_cost_us (&one, &sum), 0);
}
END_TEST

START_TEST (test_evidence_outlives_the_fault)
{
  struct kcp_server_health health = { 0 };
  struct kcp_outcome_counts counts;

  for (unsigned i = 0; i < 10; i++)
    kcp_server_health_record (&health, KCP_OUTCOME_UNREACHED, MS (1000));
  counts = kcp_server_health_counts (&health, MS (61000));
  ck_assert_int_le (kcp_server_health_cost_us (&counts, &counts),
                    kcp_place_plain_costs.per_in_flight * 4);
  kcp_server_health_record (&health, KCP_OUTCOME_UNREACHED, MS (61000));
  kcp_server_health_forgive (&health, MS (61000));
  counts = kcp_server_health_counts (&health, MS (61000));
  ck_assert_int_eq (kcp_server_health_cost_us (&counts, &counts), 0);
}
END_TEST

START_TEST (test_message_loses_outcomes)
{
  struct kcp_mesh_outcomes sent;
  struct kcp_mesh_outcomes received;
  struct kcp_mesh_outcome row
      = { .server = 7, .successes = 16, .failures = 64, .reached = 1 };
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_outcomes_init (&sent);
  kcp_mesh_outcomes_init (&received);
  g_strlcpy (sent.vm, "127.0.0.1:1", sizeof sent.vm);
  for (unsigned i = 0; i < KCP_MESH_OUTCOMES_MAX; i++)
    g_array_append_val (sent.rows, row);
  len = kcp_mesh_outcomes_encode (&sent, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert (kcp_mesh_outcomes_decode (&received, bytes, len));
  ck_assert_uint_eq (received.rows->len, KCP_MESH_OUTCOMES_MAX);
  ck_assert_mem_eq (&g_array_index (received.rows, struct kcp_mesh_outcome, 5), &row,
                    sizeof row);
  ck_assert (!kcp_mesh_outcomes_decode (&received, bytes, len - 1));
  kcp_mesh_outcomes_clear (&sent);
  kcp_mesh_outcomes_clear (&received);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("server health");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_loop_test (cases, test_server_that_fails_at_once_draws_the_requests,
                       KCP_OUTCOME_FAILURE, KCP_OUTCOME_UNREACHED + 1);
  tcase_add_test (cases, test_server_that_has_recovered_gets_no_requests);
  tcase_add_test (cases, test_servers_that_all_fail_are_told_apart);
  tcase_add_test (cases, test_one_failure_is_a_verdict);
  tcase_add_test (cases, test_failure_of_the_first_attempt_is_a_verdict);
  tcase_add_test (cases, test_evidence_outlives_the_fault);
  tcase_add_test (cases, test_message_loses_outcomes);
  return run_started_suite ();
}
