/* Tests the decisions about retries, the quarantine and the classification of failed
   attempts. */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "policy/quarantine.h"
#include "policy/retry.h"
#include "request/failure.h"
#include "tests/harness/run_suite.h"

#define KEEP_NS (60 * KCP_NS_PER_S)
#define SEED    1u

static guint32 seed = SEED;

struct decision_case
{
  bool repeatable;
  bool can_resume;
  enum kcp_retry_progress progress;
  enum kcp_retry_decision expected;
};

START_TEST (test_a_nonrepeatable_request_is_resent_only_if_no_byte_was_sent)
{
  static const struct decision_case cases[] = {
    { false, false, KCP_RETRY_UNSENT, KCP_RETRY_OTHER },
    { false, false, KCP_RETRY_REFUSED, KCP_RETRY_GIVE_UP },
    { false, true, KCP_RETRY_SENT, KCP_RETRY_GIVE_UP },
    { false, true, KCP_RETRY_FORWARDED, KCP_RETRY_RESUME_SAME },
    { false, false, KCP_RETRY_FORWARDED, KCP_RETRY_GIVE_UP },
    { true, false, KCP_RETRY_UNSENT, KCP_RETRY_OTHER },
    { true, false, KCP_RETRY_REFUSED, KCP_RETRY_OTHER },
    { true, false, KCP_RETRY_SENT, KCP_RETRY_OTHER },
    { true, true, KCP_RETRY_FORWARDED, KCP_RETRY_RESUME_SAME },
    { true, false, KCP_RETRY_FORWARDED, KCP_RETRY_RESUME_OTHER },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct kcp_retry_budget budget;
      struct kcp_retry_facts facts = {
        .repeatable = cases[i].repeatable,
        .server_holds_stream = cases[i].can_resume,
        .progress = cases[i].progress,
        .attempts = 1,
        .remaining_ns = 1,
      };

      kcp_retry_budget_init (&budget, 10);
      ck_assert_int_eq (kcp_retry_decide (&facts, &budget), cases[i].expected);
      facts.remaining_ns = 0;
      ck_assert_int_eq (kcp_retry_decide (&facts, &budget), KCP_RETRY_GIVE_UP);
      facts.remaining_ns = 1;
      facts.attempts = KCP_RETRY_ATTEMPTS_MAX;
      ck_assert_int_eq (kcp_retry_decide (&facts, &budget), KCP_RETRY_GIVE_UP);
    }
}
END_TEST

START_TEST (test_retries_in_a_full_outage_stay_within_ten_percent_and_the_burst)
{
  struct kcp_retry_facts facts
      = { .repeatable = true, .progress = KCP_RETRY_SENT, .remaining_ns = 1 };
  struct kcp_retry_budget budget;
  int requests = 10000;
  int retries = 0;

  kcp_retry_budget_init (&budget, 10);
  for (int i = 0; i < requests; i++)
    {
      kcp_retry_budget_add_request (&budget);
      for (facts.attempts = 1; kcp_retry_decide (&facts, &budget) != KCP_RETRY_GIVE_UP;
           facts.attempts++)
        retries++;
    }
  ck_assert_int_le (retries, requests / 10 + KCP_RETRY_BURST);
}
END_TEST

START_TEST (test_a_second_crash_blocks_a_request_and_completion_clears_a_suspect)
{
  struct kcp_quarantine *quarantine = kcp_quarantine_new (100, KEEP_NS);

  kcp_quarantine_add_crash (quarantine, 1, 77, 0);
  kcp_quarantine_add_crash (quarantine, 2, 77, 0);
  kcp_quarantine_add_crash (quarantine, 1, 77, 0);
  ck_assert_int_eq (kcp_quarantine_state (quarantine, 1, 1), KCP_QUARANTINE_SUSPECT);
  ck_assert (kcp_quarantine_reserve_server (quarantine, 5));
  ck_assert (!kcp_quarantine_reserve_server (quarantine, 5));
  ck_assert (kcp_quarantine_reserve_server (quarantine, 6));
  kcp_quarantine_release_server (quarantine, 5);
  kcp_quarantine_add_crash (quarantine, 1, 88, 0);
  kcp_quarantine_add_completion (quarantine, 2, 0);
  ck_assert_int_eq (kcp_quarantine_state (quarantine, 1, 1), KCP_QUARANTINE_BLOCKED);
  ck_assert_int_eq (kcp_quarantine_state (quarantine, 2, 1), KCP_QUARANTINE_NONE);
  kcp_quarantine_add_completion (quarantine, 1, 0);
  ck_assert_int_eq (kcp_quarantine_state (quarantine, 1, 1), KCP_QUARANTINE_BLOCKED);
  ck_assert_int_eq (kcp_quarantine_state (quarantine, 1, KEEP_NS), KCP_QUARANTINE_NONE);
  kcp_quarantine_free (quarantine);
}
END_TEST

START_TEST (test_the_quarantine_is_bounded_and_keeps_blocked_requests)
{
  struct kcp_quarantine *quarantine = kcp_quarantine_new (10, KEEP_NS);

  kcp_quarantine_add_crash (quarantine, 1, 1, 0);
  kcp_quarantine_add_crash (quarantine, 1, 2, 0);
  for (uint64_t i = 2; i < 100; i++)
    kcp_quarantine_add_crash (quarantine, i, 1, (int64_t)i);
  ck_assert_uint_le (kcp_quarantine_count (quarantine), 10);
  ck_assert_int_eq (kcp_quarantine_state (quarantine, 1, 100), KCP_QUARANTINE_BLOCKED);
  kcp_quarantine_free (quarantine);
}
END_TEST

static void
merge_into (void *user, const struct kcp_quarantine_fact *fact)
{
  kcp_quarantine_merge (user, fact, 1);
}

/* VMs must converge to the same state, regardless of how they learn of crashes and
   completions and in which order they exchange facts. */
START_TEST (test_vms_converge_for_any_order_of_facts)
{
  GRand *random = g_rand_new_with_seed (seed);

  for (int run = 0; run < 500; run++)
    {
      struct kcp_quarantine *vms[3];

      for (int i = 0; i < 3; i++)
        vms[i] = kcp_quarantine_new (100, KEEP_NS);
      for (int step = 0; step < 12; step++)
        {
          struct kcp_quarantine *vm = vms[g_rand_int_range (random, 0, 3)];
          uint64_t request = (uint64_t)g_rand_int_range (random, 1, 3);

          switch (g_rand_int_range (random, 0, 3))
            {
            case 0:
              kcp_quarantine_add_crash (vm, request, g_rand_int (random) % 3 + 1, 1);
              break;
            case 1:
              kcp_quarantine_add_completion (vm, request, 1);
              break;
            default:
              kcp_quarantine_visit (vm, 1, merge_into,
                                    vms[g_rand_int_range (random, 0, 3)]);
              break;
            }
        }
      for (int round = 0; round < 9; round++)
        kcp_quarantine_visit (vms[round % 3], 1, merge_into, vms[(round + 1) % 3]);
      for (int i = 1; i < 3; i++)
        for (uint64_t request = 1; request < 3; request++)
          ck_assert_int_eq (kcp_quarantine_state (vms[i], request, 1),
                            kcp_quarantine_state (vms[0], request, 1));
      for (int i = 0; i < 3; i++)
        kcp_quarantine_free (vms[i]);
    }
  g_rand_free (random);
}
END_TEST

START_TEST (test_crashes_seen_by_two_vms_add_up_to_a_block)
{
  struct kcp_quarantine *vms[2];

  for (int i = 0; i < 2; i++)
    {
      vms[i] = kcp_quarantine_new (100, KEEP_NS);
      kcp_quarantine_add_crash (vms[i], 1, (uint64_t)i + 1, 1);
    }
  kcp_quarantine_visit (vms[0], 1, merge_into, vms[1]);
  kcp_quarantine_visit (vms[1], 1, merge_into, vms[0]);
  for (int i = 0; i < 2; i++)
    {
      ck_assert_int_eq (kcp_quarantine_state (vms[i], 1, 1), KCP_QUARANTINE_BLOCKED);
      kcp_quarantine_free (vms[i]);
    }
}
END_TEST

START_TEST (test_one_vm_is_responsible_for_the_suspects_of_each_server)
{
  uint64_t vms[7];

  for (size_t i = 0; i < G_N_ELEMENTS (vms); i++)
    vms[i] = i + 1;
  for (uint64_t server = 1; server < 500; server++)
    {
      int responsible_vms = 0;

      for (size_t own = 0; own < G_N_ELEMENTS (vms); own++)
        responsible_vms
            += kcp_quarantine_is_responsible (server, vms, G_N_ELEMENTS (vms), own);
      ck_assert_int_eq (responsible_vms, 1);
    }
}
END_TEST

START_TEST (test_a_copy_of_a_suspect_waits_for_the_vm_that_saw_the_crash)
{
  struct kcp_quarantine *first = kcp_quarantine_new (100, KEEP_NS);
  struct kcp_quarantine *other = kcp_quarantine_new (100, KEEP_NS);

  kcp_quarantine_add_crash (first, 1, 77, 1);
  kcp_quarantine_visit (first, 1, merge_into, other);
  ck_assert (!kcp_quarantine_must_wait (first, 1, 2));
  ck_assert (kcp_quarantine_must_wait (other, 1, 2));
  kcp_quarantine_add_completion (first, 1, 3);
  kcp_quarantine_visit (first, 3, merge_into, other);
  ck_assert (!kcp_quarantine_must_wait (other, 1, 4));
  kcp_quarantine_add_crash (first, 1, 88, 5);
  kcp_quarantine_visit (first, 5, merge_into, other);
  ck_assert (kcp_quarantine_must_wait (other, 1, 6));
  ck_assert (!kcp_quarantine_must_wait (other, 1, 10 * KCP_NS_PER_S));
  kcp_quarantine_free (first);
  kcp_quarantine_free (other);
}
END_TEST

struct end_case
{
  struct kcp_attempt_result end;
  enum kcp_failure expected;
};

START_TEST (test_the_end_of_an_attempt_is_classified)
{
  static const struct end_case cases[] = {
    { { .fetch = KCP_FETCH_COMPLETE, .status = 200, .echoed = true, .complete = true },
      KCP_FAILURE_NONE },
    { { .fetch = KCP_FETCH_CONNECT_FAILED }, KCP_FAILURE_UNSENT },
    { { .fetch = KCP_FETCH_INTERRUPTED, .status = 200, .echoed = true },
      KCP_FAILURE_INTERRUPTED },
    { { .fetch = KCP_FETCH_TIMED_OUT }, KCP_FAILURE_INTERRUPTED },
    { { .fetch = KCP_FETCH_IDLE_TIMEOUT }, KCP_FAILURE_INTERRUPTED },
    { { .fetch = KCP_FETCH_IDLE_TIMEOUT, .resumes = true }, KCP_FAILURE_NO_RESPONSE },
    { { .fetch = KCP_FETCH_IDLE_TIMEOUT, .resumes = true, .echoed = true },
      KCP_FAILURE_INTERRUPTED },
    /* A refusal without the id of this attempt may belong to another call. */
    { { .fetch = KCP_FETCH_COMPLETE, .status = 503 }, KCP_FAILURE_INTERRUPTED },
    { { .fetch = KCP_FETCH_COMPLETE, .status = 503, .echoed = true },
      KCP_FAILURE_REFUSED },
    { { .fetch = KCP_FETCH_COMPLETE, .status = 409, .echoed = true },
      KCP_FAILURE_MISMATCH },
    { { .fetch = KCP_FETCH_COMPLETE, .status = 400, .echoed = true },
      KCP_FAILURE_BAD_REQUEST },
    { { .fetch = KCP_FETCH_COMPLETE, .status = 404, .echoed = true },
      KCP_FAILURE_BAD_REQUEST },
    { { .fetch = KCP_FETCH_COMPLETE, .status = 404, .echoed = true, .resumes = true },
      KCP_FAILURE_NO_STREAM },
    { { .fetch = KCP_FETCH_COMPLETE, .status = 200, .echoed = true },
      KCP_FAILURE_INTERRUPTED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (kcp_failure_classify (&cases[i].end) == cases[i].expected, "case %zu",
                   i);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("policy_failures");

  if (argc > 1)
    seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
  (void)printf ("seed %u\n", seed);
  tcase_add_test (tests, test_the_end_of_an_attempt_is_classified);
  tcase_add_test (tests, test_a_nonrepeatable_request_is_resent_only_if_no_byte_was_sent);
  tcase_add_test (tests,
                  test_retries_in_a_full_outage_stay_within_ten_percent_and_the_burst);
  tcase_add_test (tests,
                  test_a_second_crash_blocks_a_request_and_completion_clears_a_suspect);
  tcase_add_test (tests, test_the_quarantine_is_bounded_and_keeps_blocked_requests);
  tcase_add_test (tests, test_vms_converge_for_any_order_of_facts);
  tcase_add_test (tests, test_crashes_seen_by_two_vms_add_up_to_a_block);
  tcase_add_test (tests, test_one_vm_is_responsible_for_the_suspects_of_each_server);
  tcase_add_test (tests, test_a_copy_of_a_suspect_waits_for_the_vm_that_saw_the_crash);
  return run_started_suite ();
}
