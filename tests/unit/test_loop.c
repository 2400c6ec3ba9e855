/* Tests how the event loop notices that it was kept from handling events. */
#include <check.h>

#include "forward/loop.h"
#include "tests/harness/run_suite.h"

#define BUSY_MS 100
#define LONG_MS 900

/* A loop with a manual clock, and a handler that takes a given time. */
struct fixture
{
  struct kcp_clock clock;
  struct kcp_loop *loop;
  struct kcp_loop_timer slow;
  struct kcp_loop_timer end;
  int64_t handler_ms;
};

static void
take_time (void *user)
{
  struct fixture *fixture = user;

  kcp_clock_advance (&fixture->clock, fixture->handler_ms * KCP_NS_PER_MS);
}

static void
stop (void *user)
{
  kcp_loop_stop (user);
}

/* Runs a loop in which one handler takes handler_ms, and returns whether the loop has
   stalled since before that. */
static bool
stalls (int64_t handler_ms)
{
  struct fixture fixture = {
    .clock = { .kind = KCP_CLOCK_MANUAL, .monotonic = { .tv_sec = 100 } },
    .handler_ms = handler_ms,
  };
  int64_t start;
  bool stalled;

  fixture.loop = kcp_loop_new (&fixture.clock);
  start = kcp_loop_now (fixture.loop);
  kcp_loop_timer_set (fixture.loop, &fixture.slow, start, take_time, &fixture);
  kcp_loop_timer_set (fixture.loop, &fixture.end, start + 1, stop, fixture.loop);
  kcp_loop_run (fixture.loop);
  stalled = kcp_loop_stalled_since (fixture.loop, start);
  kcp_loop_free (fixture.loop);
  return stalled;
}

START_TEST (test_long_handler_is_a_stall)
{
  ck_assert (stalls (LONG_MS));
  ck_assert (!stalls (BUSY_MS));
}
END_TEST

/* The time for which the loop waits for events is not a stall. */
START_TEST (test_wait_for_events_is_not_a_stall)
{
  struct kcp_loop *loop = kcp_loop_new (&kcp_clock_system);
  struct kcp_loop_timer end = { 0 };
  int64_t start = kcp_loop_now (loop);

  kcp_loop_timer_set (loop, &end, start + LONG_MS * KCP_NS_PER_MS, stop, loop);
  kcp_loop_run (loop);
  ck_assert (!kcp_loop_stalled_since (loop, start));
  kcp_loop_free (loop);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("loop");

  tcase_add_test (cases, test_long_handler_is_a_stall);
  tcase_add_test (cases, test_wait_for_events_is_not_a_stall);
  return run_started_suite ();
}
