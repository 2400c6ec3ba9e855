/* Tests which request bodies are dropped when all together take too much memory, under
   the load that the policy is designed for. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/body_memory.h"
#include "tests/harness/run_suite.h"

#define MS(x)       ((x)*KCP_NS_PER_MS)
#define CROWD       60u
#define PIECE_BYTES 1000u

static const struct kcp_body_limits limits = { .one = 100000, .all = 500000 };

static struct kcp_body_memory memory;
static char piece[PIECE_BYTES];

static void
set_up (void)
{
  kcp_body_memory_init (&memory);
}

static void
tear_down (void)
{
  kcp_body_memory_clear (&memory);
}

static bool
receive (struct kcp_body *body, size_t bytes, int64_t now_ms)
{
  bool ends = true;

  for (size_t sent = 0; sent < bytes; sent += PIECE_BYTES)
    ends = kcp_body_receive (body, (struct kcp_str){ piece, PIECE_BYTES }, &limits,
                             MS (now_ms));
  return ends;
}

/* Sends a small body and expects that it is complete. */
static void
expect_small_body_received (int64_t now_ms)
{
  struct kcp_body body;
  GString *text;

  kcp_body_begin (&memory, &body, MS (now_ms));
  (void)receive (&body, 10 * PIECE_BYTES, now_ms);
  text = kcp_body_complete (&body);
  ck_assert_ptr_nonnull (text);
  ck_assert_uint_eq (text->len, 10 * PIECE_BYTES);
  g_string_free (text, TRUE);
  kcp_body_end (&body);
}

/* Guards against bodies that stop short of their end filling the memory, and against
   dropping those of ordinary callers for them. */
START_TEST (test_unfinished_bodies_of_a_crowd_take_all_memory)
{
  struct kcp_body crowd[CROWD];

  for (unsigned i = 0; i < CROWD; i++)
    {
      kcp_body_begin (&memory, &crowd[i], MS (i));
      (void)receive (&crowd[i], limits.one - PIECE_BYTES, i);
      ck_assert_uint_le (memory.used, limits.all);
      expect_small_body_received (i);
    }
  ck_assert_int_eq (crowd[0].state, KCP_BODY_DROPPED);
  ck_assert_int_eq (crowd[CROWD - 1].state, KCP_BODY_RECEIVING);
  for (unsigned i = 0; i < CROWD; i++)
    kcp_body_end (&crowd[i]);
  ck_assert_uint_eq (memory.used, 0);
  ck_assert_uint_eq (memory.bodies->len, 0);
}
END_TEST

/* Requests whose bodies are complete may be running. */
START_TEST (test_complete_body_is_dropped)
{
  struct kcp_body complete[5];
  struct kcp_body next;
  GString *texts[5];

  for (unsigned i = 0; i < 5; i++)
    {
      kcp_body_begin (&memory, &complete[i], 0);
      (void)receive (&complete[i], limits.one, 0);
      texts[i] = kcp_body_complete (&complete[i]);
      ck_assert_uint_eq (texts[i]->len, limits.one);
    }
  kcp_body_begin (&memory, &next, MS (10));
  ck_assert (receive (&next, PIECE_BYTES, 10));
  ck_assert_int_eq (next.state, KCP_BODY_DROPPED);
  ck_assert_ptr_null (kcp_body_complete (&next));
  kcp_body_end (&next);
  for (unsigned i = 0; i < 5; i++)
    {
      ck_assert_int_eq (complete[i].state, KCP_BODY_COMPLETE);
      g_string_free (texts[i], TRUE);
      kcp_body_end (&complete[i]);
    }
  expect_small_body_received (20);
}
END_TEST

/* A caller that exceeds the limit by little gets an answer; one that goes on is
   disconnected. */
START_TEST (test_body_over_the_limit_keeps_its_memory)
{
  struct kcp_body body;

  kcp_body_begin (&memory, &body, 0);
  ck_assert (receive (&body, limits.one + PIECE_BYTES, 0));
  ck_assert_int_eq (body.state, KCP_BODY_TOO_LARGE);
  ck_assert_uint_eq (memory.used, 0);
  ck_assert (!receive (&body, limits.one, 1));
  ck_assert_uint_eq (memory.used, 0);
  kcp_body_end (&body);
}
END_TEST

START_TEST (test_small_process_has_no_room_for_the_largest_body)
{
  ck_assert_uint_ge (kcp_body_limits_all (16 << 20, 8 << 20), 8 << 20);
  ck_assert_uint_le (kcp_body_limits_all (256 << 20, 4 << 20), (256 << 20) / 8);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("body memory");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_unfinished_bodies_of_a_crowd_take_all_memory);
  tcase_add_test (cases, test_complete_body_is_dropped);
  tcase_add_test (cases, test_body_over_the_limit_keeps_its_memory);
  tcase_add_test (cases, test_small_process_has_no_room_for_the_largest_body);
  return run_started_suite ();
}
