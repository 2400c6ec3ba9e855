/* Tests that timers fire in the order of their due times, fire again on request, and do
   not fire after they were cancelled. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "request/timers.h"
#include "tests/harness/run_suite.h"

#define WAIT_MS 2000

struct timer_log
{
  int fired;        /* atomic */
  int released;     /* atomic */
  int repeats_left; /* times that the function still asks to be called again */
  int order;        /* position among all calls of fire() */
};

static int fire_count; /* atomic */

static int64_t
fire (void *user)
{
  struct timer_log *timer_log = user;

  timer_log->order = __atomic_add_fetch (&fire_count, 1, __ATOMIC_ACQ_REL);
  (void)__atomic_add_fetch (&timer_log->fired, 1, __ATOMIC_ACQ_REL);
  if (timer_log->repeats_left-- == 0)
    return KCP_TIMER_END;
  return kcp_clock_monotonic_ns (&kcp_clock_system) + KCP_NS_PER_MS;
}

static void
release (void *user)
{
  struct timer_log *timer_log = user;

  (void)__atomic_add_fetch (&timer_log->released, 1, __ATOMIC_ACQ_REL);
}

static void
wait_released (struct timer_log *timer_log)
{
  for (int i = 0;
       i < WAIT_MS && __atomic_load_n (&timer_log->released, __ATOMIC_ACQUIRE) == 0; i++)
    g_usleep (G_TIME_SPAN_MILLISECOND);
  ck_assert_int_eq (__atomic_load_n (&timer_log->released, __ATOMIC_ACQUIRE), 1);
}

START_TEST (test_timers_fire_in_order_and_repeat)
{
  struct kcp_timers *timers = kcp_timers_new (&kcp_clock_system);
  int64_t now = kcp_clock_monotonic_ns (&kcp_clock_system);
  struct timer_log late = { 0 };
  struct timer_log soon = { .repeats_left = 2 };
  struct kcp_timer *late_timer
      = kcp_timers_add (timers, now + 60 * KCP_NS_PER_MS, fire, release, &late);
  struct kcp_timer *soon_timer
      = kcp_timers_add (timers, now + KCP_NS_PER_MS, fire, release, &soon);

  wait_released (&late);
  wait_released (&soon);
  ck_assert_int_eq (soon.fired, 3);
  ck_assert_int_eq (late.fired, 1);
  ck_assert_int_gt (late.order, soon.order);
  ck_assert_int_ge (kcp_clock_monotonic_ns (&kcp_clock_system), now + 60 * KCP_NS_PER_MS);
  kcp_timer_cancel (late_timer);
  kcp_timer_cancel (soon_timer);
  kcp_timers_free (timers);
}
END_TEST

START_TEST (test_cancelled_timer_does_not_fire)
{
  struct kcp_timers *timers = kcp_timers_new (&kcp_clock_system);
  int64_t due = kcp_clock_monotonic_ns (&kcp_clock_system) + 50 * KCP_NS_PER_MS;
  struct timer_log cancelled = { 0 };
  struct timer_log after = { 0 };
  struct timer_log pending = { 0 };
  struct kcp_timer *first = kcp_timers_add (timers, due, fire, release, &cancelled);
  struct kcp_timer *second
      = kcp_timers_add (timers, due + KCP_NS_PER_MS, fire, release, &after);

  kcp_timer_cancel (first);
  ck_assert_int_eq (cancelled.released, 1);
  wait_released (&after);
  ck_assert_int_eq (cancelled.fired, 0);
  kcp_timer_cancel (second);
  first = kcp_timers_add (timers, due + KCP_NS_PER_S * 3600, fire, release, &pending);
  kcp_timers_free (timers);
  ck_assert_int_eq (pending.released, 1);
  ck_assert_int_eq (pending.fired, 0);
  kcp_timer_cancel (first);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("timers");

  tcase_add_test (tests, test_timers_fire_in_order_and_repeat);
  tcase_add_test (tests, test_cancelled_timer_does_not_fire);
  return run_started_suite ();
}
