/* Tests how a part of a prompt that crashes servers is told from the parts that are in
   flight beside it, with the load that makes them look alike: no two requests are alike,
   and the sound part is in each of those that crash servers. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "policy/answered_parts.h"
#include "policy/fingerprint.h"
#include "policy/quarantine.h"
#include "tests/harness/run_suite.h"

#define MS(x) ((x)*KCP_NS_PER_MS)

#define VMS              4
#define DEADLY           7u
#define SHARED           8u
#define KEEP_NS          (600 * KCP_NS_PER_S)
#define GAP_MS           1000 /* between crashes */
#define RUN_MS           50   /* from sending until the crash */
#define CRASHES          4
#define CRASHES_ANSWERED 6

static struct kcp_quarantine *vms[VMS];

static void
set_up (void)
{
  static const struct kcp_quarantine_rule rule
      = { .crashes = CRASHES,
          .incidents = CRASHES,
          .incidents_if_answered = CRASHES_ANSWERED,
          .incident_ns = MS (200) };

  for (int i = 0; i < VMS; i++)
    vms[i] = kcp_quarantine_new_with_rule (100, KEEP_NS, &rule);
}

static void
tear_down (void)
{
  for (int i = 0; i < VMS; i++)
    kcp_quarantine_free (vms[i]);
}

static void
add (int vm, uint64_t part, uint64_t server, int64_t sent_ms, bool answered_before)
{
  (void)kcp_quarantine_add_crash_of_copy (vms[vm],
                                          &(struct kcp_quarantine_crash){
                                              .fingerprint = part,
                                              .incarnation = server,
                                              .sent_ns = MS (sent_ms),
                                              .ended_ns = MS (sent_ms + RUN_MS),
                                              .answered_before = answered_before,
                                          },
                                          MS (sent_ms + RUN_MS));
}

/* Has all VMs tell each other what they know of a part. */
static void
exchange (uint64_t part, int64_t now_ms)
{
  for (int from = 0; from < VMS; from++)
    for (int to = 0; to < VMS; to++)
      {
        struct kcp_quarantine_fact fact;

        if (from != to && kcp_quarantine_get_fact (vms[from], part, MS (now_ms), &fact))
          (void)kcp_quarantine_merge (vms[to], &fact, MS (now_ms));
      }
}

static bool
is_blocked (uint64_t part, int64_t now_ms)
{
  unsigned count = 0;

  for (int i = 0; i < VMS; i++)
    count += kcp_quarantine_state (vms[i], part, MS (now_ms)) == KCP_QUARANTINE_BLOCKED;
  ck_assert (count == 0 || count == VMS);
  return count == VMS;
}

/* Crashes a server at one VM after the other with a part in flight, until all VMs block
   the part. Returns the number of crashes, at most max. */
static unsigned
crash_until_blocked (uint64_t part, unsigned max, bool answered_before)
{
  unsigned crashes = 0;
  int64_t now_ms = GAP_MS;

  while (crashes < max && !is_blocked (part, now_ms))
    {
      add ((int)(crashes % VMS), part, crashes + 1, now_ms, answered_before);
      exchange (part, now_ms + RUN_MS);
      crashes++;
      now_ms += GAP_MS;
    }
  return crashes;
}

START_TEST (test_part_of_requests_at_different_vms_is_never_blocked)
{
  ck_assert_uint_eq (crash_until_blocked (DEADLY, 10, false), CRASHES);
}
END_TEST

START_TEST (test_part_that_was_answered_before_it_crashes_servers_is_never_blocked)
{
  ck_assert_uint_eq (crash_until_blocked (DEADLY, 10, true), CRASHES_ANSWERED);
}
END_TEST

START_TEST (test_shared_part_is_blocked_with_the_deadly_one)
{
  int64_t now_ms = GAP_MS;

  for (unsigned i = 0; i < 20; i++, now_ms += GAP_MS)
    {
      add ((int)(i % VMS), DEADLY, i + 1, now_ms, false);
      add ((int)(i % VMS), SHARED, i + 1, now_ms, false);
      exchange (DEADLY, now_ms + RUN_MS);
      exchange (SHARED, now_ms + RUN_MS);
      if (i % 3 == 2)
        kcp_quarantine_add_completion (vms[(i + 1) % VMS], SHARED,
                                       MS (now_ms + 2 * RUN_MS));
      exchange (SHARED, now_ms + 3 * RUN_MS);
    }
  ck_assert (is_blocked (DEADLY, now_ms));
  ck_assert (!is_blocked (SHARED, now_ms));
}
END_TEST

START_TEST (test_shared_part_is_blocked_when_servers_crash_in_herds)
{
  int64_t now_ms = GAP_MS;
  uint64_t server = 0;

  for (unsigned herd = 0; herd < CRASHES_ANSWERED - 1; herd++, now_ms += GAP_MS)
    {
      for (int i = 0; i < 12; i++)
        add (i % VMS, SHARED, ++server, now_ms + i, true);
      exchange (SHARED, now_ms + RUN_MS + 12);
    }
  ck_assert (!is_blocked (SHARED, now_ms));
}
END_TEST

START_TEST (test_crash_found_after_an_answer_is_counted)
{
  add (0, SHARED, 1, 1000, false);
  kcp_quarantine_add_completion (vms[0], SHARED, MS (3000));
  for (uint64_t i = 2; i < 10; i++)
    {
      (void)kcp_quarantine_add_crash_of_copy (
          vms[0],
          &(struct kcp_quarantine_crash){ .fingerprint = SHARED,
                                          .incarnation = i,
                                          .sent_ns = MS (1000 + (int64_t)i * 200),
                                          .ended_ns = MS (1010 + (int64_t)i * 200) },
          MS (4000));
    }
  ck_assert_int_eq (kcp_quarantine_state (vms[0], SHARED, MS (4000)),
                    KCP_QUARANTINE_NONE);
}
END_TEST

START_TEST (test_part_shares_its_fingerprint_with_another)
{
  ck_assert_uint_eq (kcp_fingerprint_part (KCP_STR ("a")),
                     kcp_fingerprint_part (KCP_STR ("a")));
  ck_assert_uint_ne (kcp_fingerprint_part (KCP_STR ("a")),
                     kcp_fingerprint_part (KCP_STR ("b")));
}
END_TEST

START_TEST (test_answered_part_is_forgotten_though_no_other_took_its_place)
{
  struct kcp_answered_parts *parts = kcp_answered_parts_new ();

  ck_assert (!kcp_answered_parts_contains (parts, 0));
  kcp_answered_parts_add (parts, 5);
  ck_assert (kcp_answered_parts_contains (parts, 5));
  ck_assert (!kcp_answered_parts_contains (parts, 5 + KCP_ANSWERED_PARTS_SLOTS));
  kcp_answered_parts_add (parts, 5 + KCP_ANSWERED_PARTS_SLOTS);
  ck_assert (!kcp_answered_parts_contains (parts, 5));
  kcp_answered_parts_free (parts);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("part crashes");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_add_test (cases, test_part_of_requests_at_different_vms_is_never_blocked);
  tcase_add_test (cases,
                  test_part_that_was_answered_before_it_crashes_servers_is_never_blocked);
  tcase_add_test (cases, test_shared_part_is_blocked_with_the_deadly_one);
  tcase_add_test (cases, test_shared_part_is_blocked_when_servers_crash_in_herds);
  tcase_add_test (cases, test_crash_found_after_an_answer_is_counted);
  tcase_add_test (cases, test_part_shares_its_fingerprint_with_another);
  tcase_add_test (cases, test_answered_part_is_forgotten_though_no_other_took_its_place);
  return run_started_suite ();
}
