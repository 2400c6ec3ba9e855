/* Tests that servers of unequal speed get the work that they can do in time, under the
   load that the policy is designed for. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "forward/mesh_message.h"
#include "forward/server.h"
#include "policy/place.h"
#include "policy/server_speed.h"
#include "tests/harness/run_suite.h"

#define MS(x)         ((x)*KCP_NS_PER_MS)
#define RANDOM_PRIME  0x9e3779b97f4a7c15u
#define US_PER_MS     1000
#define SERVERS       9u
#define SLOTS         16u
#define SHORT_TOKENS  300
#define LONG_TOKENS   17000
#define LONG_PROMPTS  100u
#define INTERVAL_MS   150 /* between long prompts */
#define LATE_MS       500 /* a slow server takes 620 ms for a long prompt */
#define LEARNED_SHORT 12u /* short prompts per server before the long ones */

/* A server with one queue. */
struct server
{
  double speed; /* of the mean server: 1 */
  struct kcp_server_speed samples;
  int64_t busy_until_us;
  int64_t prefill_tokens; /* of the long prompts in the queue; 0 when it is empty */
  unsigned long_prompts;
};

static const double speeds[] = { 0.6, 1.0, 1.6 };

static struct server servers[SERVERS];

static void
set_up (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    servers[i] = (struct server){ .speed = speeds[i % G_N_ELEMENTS (speeds)] };
}

static int64_t
service_us (const struct server *server, int64_t tokens)
{
  return (int64_t)((14000 + (double)tokens * 21) / server->speed);
}

static void
learn (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    for (unsigned j = 0; j < LEARNED_SHORT; j++)
      kcp_server_speed_record (&servers[i].samples, SHORT_TOKENS,
                               service_us (&servers[i], SHORT_TOKENS), MS (1));
}

static struct kcp_speed_samples
sum_samples (int64_t now_ns)
{
  struct kcp_speed_samples sum = { 0 };

  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct kcp_speed_samples own
          = kcp_server_speed_samples (&servers[i].samples, now_ns);

      sum.count += own.count;
      sum.log_sum += own.log_sum;
    }
  return sum;
}

static unsigned
choose (int64_t now_us)
{
  struct kcp_place_candidate candidates[SERVERS];
  struct kcp_speed_samples sum = sum_samples (now_us * KCP_NS_PER_US);

  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct kcp_speed_samples own
          = kcp_server_speed_samples (&servers[i].samples, now_us * KCP_NS_PER_US);

      if (servers[i].busy_until_us <= now_us)
        servers[i].prefill_tokens = 0;
      candidates[i] = (struct kcp_place_candidate){
        .usable = true,
        .local = true,
        .slots = SLOTS,
        .prefill_tokens_pending = servers[i].prefill_tokens,
        .uncached_tokens = LONG_TOKENS,
        .slowness = kcp_server_speed_slowness (&own, &sum),
      };
    }
  return (unsigned)kcp_place_choose (candidates, SERVERS, &kcp_place_engine_costs,
                                     (uint64_t)now_us * RANDOM_PRIME >> 32);
}

/* Returns the number of prompts whose first byte comes late. */
static unsigned
send_long_prompts (void)
{
  unsigned late = 0;

  for (unsigned i = 0; i < LONG_PROMPTS; i++)
    {
      int64_t now_us = (int64_t)(i + 1) * INTERVAL_MS * US_PER_MS;
      struct server *server = &servers[choose (now_us)];

      server->busy_until_us
          = MAX (server->busy_until_us, now_us) + service_us (server, LONG_TOKENS);
      server->prefill_tokens += LONG_TOKENS;
      server->long_prompts++;
      late += server->busy_until_us - now_us > LATE_MS * US_PER_MS;
    }
  return late;
}

/* Long prompts went to the slow servers as often as to the fast ones. */
START_TEST (test_slow_servers_get_the_long_prompts)
{
  learn ();
  ck_assert_uint_eq (send_long_prompts (), 0);
  for (unsigned i = 0; i < SERVERS; i += G_N_ELEMENTS (speeds))
    ck_assert_uint_lt (servers[i].long_prompts, servers[i + 2].long_prompts);
}
END_TEST

START_TEST (test_server_without_samples_is_told_apart)
{
  struct kcp_speed_samples none = { 0 };
  struct kcp_speed_samples sum;

  ck_assert_int_eq (kcp_server_speed_slowness (&none, &none), KCP_SLOWNESS_USUAL);
  learn ();
  sum = sum_samples (MS (1));
  ck_assert_int_eq (kcp_server_speed_slowness (&none, &sum), KCP_SLOWNESS_USUAL);
}
END_TEST

/* A packet that is lost, or a process that was paused, is no slow server. */
START_TEST (test_one_delayed_answer_is_a_verdict)
{
  struct kcp_server_speed speed = { 0 };
  struct kcp_speed_samples own;
  struct kcp_speed_samples sum;

  learn ();
  kcp_server_speed_record (&speed, SHORT_TOKENS, 10000 * US_PER_MS, MS (1));
  own = kcp_server_speed_samples (&speed, MS (1));
  sum = sum_samples (MS (1));
  ck_assert_int_le (kcp_server_speed_slowness (&own, &sum), KCP_SLOWNESS_USUAL * 3 / 2);
}
END_TEST

START_TEST (test_server_stays_slow_after_it_has_recovered)
{
  struct kcp_server_speed *speed = &servers[1].samples;
  struct kcp_speed_samples own;
  struct kcp_speed_samples sum;

  learn ();
  for (unsigned i = 0; i < 50; i++)
    kcp_server_speed_record (speed, SHORT_TOKENS, 1000 * US_PER_MS, MS (1000));
  for (unsigned i = 0; i < 60; i++)
    kcp_server_speed_record (speed, SHORT_TOKENS, service_us (&servers[1], SHORT_TOKENS),
                             MS (1000 + i * 500));
  own = kcp_server_speed_samples (speed, MS (31000));
  sum = sum_samples (MS (31000));
  ck_assert_int_le (kcp_server_speed_slowness (&own, &sum), KCP_SLOWNESS_USUAL * 3 / 2);
}
END_TEST

/* A slow server counted as free while it still had other VMs' prompts to prefill. */
START_TEST (test_prompts_of_other_vms_end_early_at_a_slow_server)
{
  struct kcp_server slow = { .slowness = 2 * KCP_SLOWNESS_USUAL };
  struct kcp_server usual = { 0 };

  kcp_server_record_peer_prompt (&slow, 1, 10000, MS (1));
  kcp_server_record_peer_prompt (&usual, 1, 10000, MS (1));
  ck_assert_int_eq (kcp_server_peers_prefill_tokens (&slow, MS (1)), 10000);
  ck_assert_int_eq (kcp_server_peers_prefill_tokens (&slow, MS (211)), 5000);
  ck_assert_int_eq (kcp_server_peers_prefill_tokens (&usual, MS (211)), 0);
  g_array_unref (slow.peers_sent_parts);
  g_array_unref (usual.peers_sent_parts);
}
END_TEST

START_TEST (test_message_loses_speeds)
{
  struct kcp_mesh_speeds sent;
  struct kcp_mesh_speeds received;
  struct kcp_mesh_speed row = { .server = 7, .count = 3, .log_sum = -200 };
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_speeds_init (&sent);
  kcp_mesh_speeds_init (&received);
  g_strlcpy (sent.vm, "127.0.0.1:1", sizeof sent.vm);
  for (unsigned i = 0; i < KCP_MESH_SPEEDS_MAX; i++)
    g_array_append_val (sent.rows, row);
  len = kcp_mesh_speeds_encode (&sent, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert (kcp_mesh_speeds_decode (&received, bytes, len));
  ck_assert_uint_eq (received.rows->len, KCP_MESH_SPEEDS_MAX);
  ck_assert_mem_eq (&g_array_index (received.rows, struct kcp_mesh_speed, 5), &row,
                    sizeof row);
  ck_assert (!kcp_mesh_speeds_decode (&received, bytes, len - 1));
  kcp_mesh_speeds_clear (&sent);
  kcp_mesh_speeds_clear (&received);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("server speed");

  tcase_add_checked_fixture (cases, set_up, NULL);
  tcase_add_test (cases, test_slow_servers_get_the_long_prompts);
  tcase_add_test (cases, test_server_without_samples_is_told_apart);
  tcase_add_test (cases, test_one_delayed_answer_is_a_verdict);
  tcase_add_test (cases, test_server_stays_slow_after_it_has_recovered);
  tcase_add_test (cases, test_prompts_of_other_vms_end_early_at_a_slow_server);
  tcase_add_test (cases, test_message_loses_speeds);
  return run_started_suite ();
}
