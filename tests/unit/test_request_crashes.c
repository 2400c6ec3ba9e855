/* Tests how a request that crashes servers is told from the requests that were in flight
   beside it, under the loads in which they look alike. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/crash_evidence.h"
#include "policy/fingerprint.h"
#include "policy/quarantine.h"
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

#define VMS     3
#define REQUEST 7u
#define KEEP_NS (600 * KCP_NS_PER_S)
#define AT_ONCE 1 /* ms between crashes of one incident */
#define ERRORS  4 /* that clear a suspect */

static struct kcp_quarantine *vms[VMS];

static void
set_up (void)
{
  static const struct kcp_quarantine_rule rule = {
    .crashes = 3,
    .incidents = 2,
    .incidents_if_answered = 2,
    .errors_to_clear = ERRORS,
    .incident_ns = KCP_NS_PER_S,
  };

  for (int i = 0; i < VMS; i++)
    vms[i] = kcp_quarantine_new_with_rule (100, KEEP_NS, &rule);
}

static void
tear_down (void)
{
  for (int i = 0; i < VMS; i++)
    kcp_quarantine_free (vms[i]);
}

/* Records at a VM that a server crashed with a copy in flight. */
static void
add (int vm, uint64_t server, int64_t sent_ms, int64_t ended_ms)
{
  (void)kcp_quarantine_add_crash_of_copy (vms[vm],
                                          &(struct kcp_quarantine_crash){
                                              .fingerprint = REQUEST,
                                              .incarnation = server,
                                              .sent_ns = MS (sent_ms),
                                              .ended_ns = MS (ended_ms),
                                          },
                                          MS (ended_ms));
}

/* Has all VMs tell each other what they know. */
static void
exchange (int64_t now_ms)
{
  for (int from = 0; from < VMS; from++)
    for (int to = 0; to < VMS; to++)
      {
        struct kcp_quarantine_fact fact;

        if (from != to
            && kcp_quarantine_get_fact (vms[from], REQUEST, MS (now_ms), &fact))
          (void)kcp_quarantine_merge (vms[to], &fact, MS (now_ms));
      }
}

static void
expect_state (enum kcp_quarantine_state state, int64_t now_ms)
{
  for (int i = 0; i < VMS; i++)
    ck_assert_int_eq (kcp_quarantine_state (vms[i], REQUEST, MS (now_ms)), state);
}

START_TEST (test_copies_at_different_vms_are_counted_apart)
{
  /* Each VM sees one crash; the first two are found late. */
  add (0, 1, 1000, 1000);
  exchange (1400);
  add (2, 3, 2600, 2601);
  exchange (2605);
  add (1, 2, 2300, 2300);
  exchange (2700);
  expect_state (KCP_QUARANTINE_BLOCKED, 2701);
}
END_TEST

START_TEST (test_popular_request_is_blamed_for_servers_that_crash_together)
{
  for (int server = 0; server < 6; server++)
    add (server % VMS, (uint64_t)server + 1, 900, 1000 + server * AT_ONCE);
  /* A copy was resent to a server that was about to crash as well. */
  add (0, 7, 1002, 1010);
  exchange (1010);
  expect_state (KCP_QUARANTINE_SUSPECT, 1011);
  kcp_quarantine_add_completion (vms[1], REQUEST, MS (1500));
  exchange (1500);
  expect_state (KCP_QUARANTINE_NONE, 1501);
}
END_TEST

START_TEST (test_copies_sent_together_are_taken_for_one_incident_for_ever)
{
  for (int server = 0; server < VMS; server++)
    add (server, (uint64_t)server + 1, 1000, 1001);
  exchange (1010);
  expect_state (KCP_QUARANTINE_SUSPECT, 1011);
  add (0, 4, 2100, 2101);
  exchange (2110);
  expect_state (KCP_QUARANTINE_BLOCKED, 2111);
}
END_TEST

START_TEST (test_answered_request_stays_suspect)
{
  add (0, 1, 1000, 1001);
  add (0, 2, 2000, 2001);
  exchange (2010);
  kcp_quarantine_add_completion (vms[1], REQUEST, MS (3000));
  exchange (3000);
  add (2, 3, 4000, 4001);
  exchange (4010);
  expect_state (KCP_QUARANTINE_SUSPECT, 4011);
}
END_TEST

/* Records errors that a VM got as answers, one each 10 ms from from_ms on. */
static void
add_errors (int vm, unsigned count, int64_t from_ms)
{
  for (unsigned i = 0; i < count; i++)
    (void)kcp_quarantine_add_error (vms[vm], REQUEST, MS (from_ms + (int64_t)i * 10));
}

START_TEST (test_errors_between_crashes_clear_a_request)
{
  add (0, 1, 1000, 1001);
  exchange (1010);
  add_errors (1, ERRORS - 1, 2000);
  add (1, 2, 3000, 3001);
  exchange (3010);
  add_errors (1, ERRORS - 1, 4000);
  exchange (4100);
  expect_state (KCP_QUARANTINE_SUSPECT, 4101);
  add (2, 3, 5000, 5001);
  exchange (5010);
  expect_state (KCP_QUARANTINE_BLOCKED, 5011);
}
END_TEST

START_TEST (test_popular_request_with_errors_only_is_blocked)
{
  for (int64_t herd = 0; herd < 5; herd++)
    {
      int64_t at_ms = 1000 + herd * 4000;

      for (int server = 0; server < VMS; server++)
        add (server, (uint64_t)(herd * VMS + server) + 1, at_ms, at_ms + AT_ONCE);
      exchange (at_ms + 10);
      add_errors ((int)herd % VMS, ERRORS, at_ms + 1000);
      exchange (at_ms + 2000);
      expect_state (KCP_QUARANTINE_NONE, at_ms + 2001);
    }
}
END_TEST

START_TEST (test_block_never_ends)
{
  for (int server = 0; server < 3; server++)
    add (0, (uint64_t)server + 1, server * 1000, server * 1000 + 1);
  exchange (2010);
  expect_state (KCP_QUARANTINE_BLOCKED, 2011);
  expect_state (KCP_QUARANTINE_NONE, 2011 + KEEP_NS / MS (1));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("request crashes");

  tcase_add_test (cases, test_caller_that_left_before_the_crash_is_taken_for_its_cause);
  tcase_add_test (cases, test_answer_read_after_the_crash_hides_the_crash);
  tcase_add_test (cases, test_request_is_blamed_for_a_crash_long_after_it);
  tcase_add_test (cases, test_different_requests_share_a_fingerprint);
  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_copies_at_different_vms_are_counted_apart);
  tcase_add_test (cases, test_popular_request_is_blamed_for_servers_that_crash_together);
  tcase_add_test (cases, test_copies_sent_together_are_taken_for_one_incident_for_ever);
  tcase_add_test (cases, test_answered_request_stays_suspect);
  tcase_add_test (cases, test_errors_between_crashes_clear_a_request);
  tcase_add_test (cases, test_popular_request_with_errors_only_is_blocked);
  tcase_add_test (cases, test_block_never_ends);
  return run_started_suite ();
}
