/* Load on the memory for answers: servers that send without end and callers that do not
   read, among ordinary requests. */
#include <check.h>
#include <glib.h>

#include "policy/answer_limits.h"
#include "tests/harness/run_suite.h"

#define MEMORY_BYTES  ((int64_t)256 << 20)
#define BLOCK_BYTES   (16u << 10) /* that arrive at a time */
#define CONNECTIONS   3000u       /* of callers of one VM */
#define SMALL_ANSWERS 200u

/* Answers without end, by turns with ordinary ones of 8 KiB: all together hold little
   more than their limit, and no ordinary one is ended. */
START_TEST (test_answers_without_end_are_ended_before_ordinary_ones)
{
  const struct kcp_answer_limits limits = kcp_answer_limits_for (MEMORY_BYTES);
  size_t own[CONNECTIONS] = { 0 };
  size_t all = 0;
  unsigned ended = 0;

  for (unsigned round = 0; round < 1000; round++)
    for (unsigned i = 0; i < CONNECTIONS; i += 10)
      {
        own[i] += BLOCK_BYTES;
        all += BLOCK_BYTES;
        if (kcp_answer_limits_check (&limits, own[i], all) != KCP_ANSWER_LIMIT_NONE)
          {
            all -= own[i];
            own[i] = 0;
            ended++;
          }
        ck_assert_uint_le (all, limits.all + CONNECTIONS / 10 * KCP_ANSWER_SMALL_BYTES);
        ck_assert_int_eq (
            kcp_answer_limits_check (&limits, BLOCK_BYTES / 2, all + BLOCK_BYTES / 2),
            KCP_ANSWER_LIMIT_NONE);
      }
  ck_assert_uint_gt (ended, SMALL_ANSWERS);
}
END_TEST

/* Streams whose callers read nothing stay below half of the memory, however many. */
START_TEST (test_unread_streams_share_the_memory)
{
  const struct kcp_answer_limits limits = kcp_answer_limits_for (MEMORY_BYTES);

  for (unsigned streams = 1; streams <= CONNECTIONS; streams++)
    {
      size_t unread = kcp_answer_limits_pause_at (&limits, streams) + BLOCK_BYTES;

      ck_assert_uint_le (unread * streams, (size_t)MEMORY_BYTES / 2);
    }
  ck_assert_uint_gt (kcp_answer_limits_pause_at (&limits, 0), 0);
}
END_TEST

START_TEST (test_one_answer_leaves_memory_for_others_on_a_small_vm)
{
  const struct kcp_answer_limits limits = kcp_answer_limits_for ((int64_t)88 << 20);

  ck_assert_uint_le (limits.one * 2, limits.all);
  ck_assert_uint_le (limits.all, (size_t)88 << 18);
  ck_assert_int_eq (kcp_answer_limits_check (&limits, limits.one + 1, limits.one + 1),
                    KCP_ANSWER_LIMIT_ONE);
  ck_assert_int_eq (kcp_answer_limits_check (&limits, limits.one, limits.one),
                    KCP_ANSWER_LIMIT_NONE);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("answer_limits");

  tcase_add_test (cases, test_answers_without_end_are_ended_before_ordinary_ones);
  tcase_add_test (cases, test_unread_streams_share_the_memory);
  tcase_add_test (cases, test_one_answer_leaves_memory_for_others_on_a_small_vm);
  return run_started_suite ();
}
