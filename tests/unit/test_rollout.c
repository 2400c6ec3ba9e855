/* Tests the orders for new weights on a real event loop with a fake store. */
#include <check.h>
#include <stdlib.h>

#include "forward/rollout.h"
#include "platform/platform.h"
#include "platform/records.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/steady_store.h"

#define RUN_MS 2500 /* longer than an order lease is valid */

/* A store that accepts the first lease record and never answers a later append. */
struct slow_store
{
  struct kcp_store calls;
  unsigned appends;
};

static void
reply (kcp_store_done *done, void *user, struct kcp_store_answer *result)
{
  result->records = g_array_new (FALSE, TRUE, sizeof (struct kcp_store_record));
  done (user, result);
  g_array_unref (result->records);
}

static void
read_topic (void *self, enum kcp_store_topic topic, int64_t from_offset, int64_t wait_ms,
            kcp_store_done *done, void *user)
{
  (void)self;
  (void)topic;
  (void)from_offset;
  (void)wait_ms;
  reply (done, user, &(struct kcp_store_answer){ .end = KCP_STORE_DONE });
}

static void
append (void *self, enum kcp_store_topic topic, int64_t expected_end, struct kcp_str key,
        struct kcp_str value, kcp_store_done *done, void *user)
{
  struct slow_store *store = self;

  (void)topic;
  (void)expected_end;
  (void)key;
  (void)value;
  if (store->appends++ == 0)
    reply (done, user, &(struct kcp_store_answer){ .end = KCP_STORE_DONE, .next = 1 });
}

static void
add_server (struct kcp_servers *servers, const char *id)
{
  static const char text[]
      = "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"slots\":6,"
        "\"state\":\"ready\",\"born\":1,\"models\":[{\"name\":\"m\",\"version\":1}]}";
  struct kcp_server_entry entry;
  const char *why = NULL;

  ck_assert (
      kcp_platform_read_server (kcp_str_from_c (id), KCP_STR (text), &entry, &why));
  kcp_servers_apply (servers, &entry);
  kcp_servers_find (servers, id)->orders_taken = 0;
}

static void
stop (void *user)
{
  kcp_loop_stop (user);
}

/* Guards against an event loop that never reaches its timers. No server accepts
   connections, so orders fail and are started again while the order lease is being
   renewed and expires. */
START_TEST (test_loop_continues_when_lease_expires_during_renewal)
{
  struct kcp_forward_settings settings = { .callers_listen = (char *)"127.0.0.1:9",
                                           .retry_burst = 54,
                                           .retry_window_s = 10,
                                           .servers_max_idle_s = 3,
                                           .orders_min_gap_ms = 3000 };
  struct slow_store store = { .calls = { .era = steady_store_era,
                                         .watch_era = steady_store_watch_era,
                                         .read = read_topic,
                                         .append = append } };
  struct kcp_loop_timer end = { 0 };
  struct kcp_gateway gateway;
  struct kcp_rollout *rollout;

  store.calls.self = &store;
  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  add_server (gateway.servers, "i-1");
  add_server (gateway.servers, "i-2");
  add_server (gateway.servers, "i-3");
  kcp_gateway_add_desired_weights (&gateway, "m", 2, kcp_loop_now (gateway.loop));
  rollout = kcp_rollout_start (&gateway, &store.calls);
  kcp_loop_timer_set (gateway.loop, &end,
                      kcp_loop_now (gateway.loop) + RUN_MS * KCP_NS_PER_MS, stop,
                      gateway.loop);
  kcp_loop_run (gateway.loop);
  ck_assert_uint_ge (store.appends, 2);
  kcp_rollout_stop (rollout);
  kcp_gateway_clear (&gateway);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("rollout");

  tcase_set_timeout (cases, 20);
  tcase_add_test (cases, test_loop_continues_when_lease_expires_during_renewal);
  return run_started_suite ();
}
