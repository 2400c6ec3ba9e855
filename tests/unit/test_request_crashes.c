/* Tests how a request that crashes servers is told from the requests that were in flight
   beside it, under the loads in which they look alike. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/crash_evidence.h"
#include "policy/fingerprint.h"
#include "tests/harness/run_suite.h"

#define MS(x) ((x)*KCP_NS_PER_MS)

static bool
counts (int64_t attempt_ended_ms, int64_t last_answer_ms, int64_t now_ms)
{
  return kcp_crash_evidence_counts (&(struct kcp_crash_facts){
      .attempt_ended_ns = MS (attempt_ended_ms),
      .last_answer_ns = MS (last_answer_ms),
      .now_ns = MS (now_ms),
  });
}

START_TEST (test_caller_that_left_before_the_crash_is_taken_for_its_cause)
{
  /* The server answered others after the caller had left, and crashed later. */
  ck_assert (!counts (1000, 1900, 2000));
  /* It has sent nothing since the attempt ended. */
  ck_assert (counts (1000, 900, 1010));
  ck_assert (counts (1000, 0, 5000));
}
END_TEST

START_TEST (test_answer_read_after_the_crash_hides_the_crash)
{
  /* Another connection's last answer is read just after the attempt's has closed. */
  ck_assert (counts (1000, 1020, 1030));
}
END_TEST

START_TEST (test_request_is_blamed_for_a_crash_long_after_it)
{
  ck_assert (!counts (1000, 0, 1000 + KCP_CRASH_EVIDENCE_MAX_AGE_NS / MS (1) + 1));
}
END_TEST

static uint64_t
fingerprint (const char *team, const char *target, const char *body)
{
  return kcp_fingerprint_request (&(struct kcp_request_identity){
      .team = kcp_str_from_c (team),
      .method = KCP_STR ("POST"),
      .host = KCP_STR ("h"),
      .target = kcp_str_from_c (target),
      .body = kcp_str_from_c (body),
  });
}

START_TEST (test_different_requests_share_a_fingerprint)
{
  uint64_t first = fingerprint ("t", "/a/b", "x");

  ck_assert_uint_eq (first, fingerprint ("t", "/a/b", "x"));
  ck_assert_uint_ne (first, fingerprint ("u", "/a/b", "x"));
  ck_assert_uint_ne (first, fingerprint ("t", "/a/c", "x"));
  ck_assert_uint_ne (first, fingerprint ("t", "/a/b", "y"));
  ck_assert_uint_ne (first, fingerprint ("t", "/a/", "bx"));
  ck_assert_uint_ne (first, fingerprint ("", "/a/b", "x"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("request crashes");
  TCase *cases = tcase_create ("request crashes");

  tcase_add_test (cases, test_caller_that_left_before_the_crash_is_taken_for_its_cause);
  tcase_add_test (cases, test_answer_read_after_the_crash_hides_the_crash);
  tcase_add_test (cases, test_request_is_blamed_for_a_crash_long_after_it);
  tcase_add_test (cases, test_different_requests_share_a_fingerprint);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
