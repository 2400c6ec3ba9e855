/* Tests the decision whether an answer that ended with its connection is whole. */
#include <check.h>

#include "policy/answer_end.h"
#include "tests/harness/run_suite.h"

#define START_MS 1000
#define OVER_NS  KCP_ANSWER_END_MAX_WAIT_NS

struct end_case
{
  struct kcp_answer_end_facts facts;
  enum kcp_answer_end_decision decision;
  enum kcp_answer_end_evidence evidence;
};

START_TEST (test_an_end_is_whole_only_if_the_same_process_answers_after_it)
{
  static const struct end_case cases[] = {
    { { 0 }, KCP_ANSWER_END_ASK_AGAIN, KCP_ANSWER_END_NOTHING },
    { { .waited_ns = OVER_NS - 1 }, KCP_ANSWER_END_ASK_AGAIN, KCP_ANSWER_END_NOTHING },
    { { .waited_ns = OVER_NS }, KCP_ANSWER_END_CUT_OFF, KCP_ANSWER_END_NOTHING },
    { { .refused = true }, KCP_ANSWER_END_CUT_OFF, KCP_ANSWER_END_REFUSED },
    { { .taken_start_ms = START_MS + 1 },
      KCP_ANSWER_END_CUT_OFF,
      KCP_ANSWER_END_ADDRESS_TAKEN },
    { { .other_instance = true }, KCP_ANSWER_END_CUT_OFF, KCP_ANSWER_END_OTHER_INSTANCE },
    { { .answered = true,
        .other_instance = true,
        .expected_start_ms = START_MS,
        .reported_start_ms = START_MS },
      KCP_ANSWER_END_CUT_OFF,
      KCP_ANSWER_END_OTHER_INSTANCE },
    { { .answered = true,
        .expected_start_ms = START_MS,
        .reported_start_ms = START_MS + 1 },
      KCP_ANSWER_END_CUT_OFF,
      KCP_ANSWER_END_OTHER_START },
    { { .answered = true,
        .taken_start_ms = START_MS + 1,
        .expected_start_ms = START_MS,
        .reported_start_ms = START_MS },
      KCP_ANSWER_END_CUT_OFF,
      KCP_ANSWER_END_ADDRESS_TAKEN },
    { { .answered = true, .expected_start_ms = START_MS, .reported_start_ms = START_MS },
      KCP_ANSWER_END_WHOLE,
      KCP_ANSWER_END_SAME_START },
    { { .answered = true,
        .sent_ms = START_MS + KCP_ANSWER_END_CLOCK_MARGIN_MS + 1,
        .expected_start_ms = START_MS,
        .reported_start_ms = START_MS + 1 },
      KCP_ANSWER_END_CUT_OFF,
      KCP_ANSWER_END_OTHER_START },
    { { .answered = true,
        .sent_ms = START_MS + KCP_ANSWER_END_CLOCK_MARGIN_MS + 2,
        .taken_start_ms = START_MS + 1,
        .expected_start_ms = START_MS,
        .reported_start_ms = START_MS + 1 },
      KCP_ANSWER_END_WHOLE,
      KCP_ANSWER_END_STARTED_BEFORE },
    { { .answered = true, .expected_start_ms = START_MS },
      KCP_ANSWER_END_WHOLE,
      KCP_ANSWER_END_ANSWERED },
    { { .answered = true, .reported_start_ms = START_MS, .waited_ns = OVER_NS },
      KCP_ANSWER_END_WHOLE,
      KCP_ANSWER_END_ANSWERED },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kcp_end_verdict end = kcp_answer_end_decide (&cases[i].facts);

      ck_assert_msg (end.decision == cases[i].decision
                         && end.evidence == cases[i].evidence,
                     "case %zu", i);
    }
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("answer_end");

  tcase_add_test (tests, test_an_end_is_whole_only_if_the_same_process_answers_after_it);
  return run_started_suite ();
}
