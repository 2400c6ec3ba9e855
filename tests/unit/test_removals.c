/* Tests when a VM stops using servers whose entries were deleted, if their removal is
   delayed until different times: by outages of the store that followed each other, or by
   the VM that relayed the deletion. */
#include <check.h>

#include "forward/feed_private.h"
#include "platform/platform.h"
#include "tests/harness/run_suite.h"

#define EARLY_MS 50
#define LATE_MS  300

static struct kcp_forward_settings settings
    = { .vm_data_center = (char *)"z", .retry_burst = 54, .retry_window_s = 10 };
static struct kcp_gateway gateway;
static struct kcp_feed *feed;

/* A store that never answers. */
static void
list (void *self, enum kcp_store_topic topic, const char *after_key, kcp_store_done *done,
      void *user)
{
  (void)self;
  (void)topic;
  (void)after_key;
  (void)done;
  (void)user;
}

static void
watch_era (void *self, kcp_store_era_handler *handler, void *user)
{
  (void)self;
  (void)handler;
  (void)user;
}

static const struct kcp_store store = { .list = list, .watch_era = watch_era };

static void
on_changed (void *user)
{
  (void)user;
}

static void
add_server (const char *id)
{
  struct kcp_server_entry entry;

  kcp_server_entry_init (&entry);
  entry.id = g_strdup (id);
  entry.service = g_strdup ("s");
  entry.address = g_strdup_printf ("%s:1", id);
  entry.data_center = g_strdup ("z");
  entry.state = KCP_SERVER_READY;
  entry.slots = 64;
  entry.started_ms = 1;
  kcp_servers_apply (gateway.servers, &entry);
}

static void
set_up (void)
{
  kcp_gateway_init (&gateway, &settings, &kcp_platform_dialect, &kcp_clock_system);
  feed = kcp_feed_start (&gateway, &store, on_changed, NULL);
  add_server ("early");
  add_server ("late");
}

static void
tear_down (void)
{
  kcp_feed_stop (feed);
  kcp_gateway_clear (&gateway);
}

static void
stop_loop (void *user)
{
  kcp_loop_stop (user);
}

static void
run_loop_until (int64_t end_ns)
{
  struct kcp_loop_timer end = { 0 };

  kcp_loop_timer_set (gateway.loop, &end, end_ns, stop_loop, gateway.loop);
  kcp_loop_run (gateway.loop);
}

static bool
is_known (const char *id)
{
  return kcp_servers_find (gateway.servers, id) != NULL;
}

START_TEST (test_removal_waits_for_that_of_a_server_removed_later)
{
  int64_t start = kcp_loop_now (gateway.loop);

  kcp_feed_remove_server (feed, "early", start + EARLY_MS * KCP_NS_PER_MS);
  kcp_feed_remove_server (feed, "late", start + LATE_MS * KCP_NS_PER_MS);
  run_loop_until (start + 2 * EARLY_MS * KCP_NS_PER_MS);
  ck_assert (!is_known ("early"));
  ck_assert (is_known ("late"));
}
END_TEST

START_TEST (test_removal_is_forgotten_after_that_of_a_server_removed_earlier)
{
  int64_t start = kcp_loop_now (gateway.loop);

  kcp_feed_remove_server (feed, "late", start + LATE_MS * KCP_NS_PER_MS);
  kcp_feed_remove_server (feed, "early", start + EARLY_MS * KCP_NS_PER_MS);
  run_loop_until (start + 2 * LATE_MS * KCP_NS_PER_MS);
  ck_assert (!is_known ("early"));
  ck_assert (!is_known ("late"));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("removals");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_removal_waits_for_that_of_a_server_removed_later);
  tcase_add_test (cases,
                  test_removal_is_forgotten_after_that_of_a_server_removed_earlier);
  return run_started_suite ();
}
