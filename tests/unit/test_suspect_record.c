/* Tests the text form of facts about suspects, and what a table makes of facts that come
   back from the store. */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "forward/suspect_record.h"
#include "tests/harness/run_suite.h"

#define NOW_MS      1780000000000
#define LATER_MS    5000
#define KEEP_NS     (600 * KCP_NS_PER_S)
#define INCIDENT_NS (200 * KCP_NS_PER_MS)
#define FINGERPRINT 0xfedcba9876543210
#define CAPACITY    16

static struct kcp_quarantine *
new_table (void)
{
  return kcp_quarantine_new_with_rule (
      CAPACITY, KEEP_NS,
      &(struct kcp_quarantine_rule){ .crashes = 3,
                                     .incidents = 2,
                                     .incidents_if_answered = 2,
                                     .incident_ns = INCIDENT_NS });
}

static void
add_crash (struct kcp_quarantine *table, uint64_t incarnation, int64_t at_ns)
{
  (void)kcp_quarantine_add_crash_of_copy (
      table,
      &(struct kcp_quarantine_crash){ .fingerprint = FINGERPRINT,
                                      .incarnation = incarnation,
                                      .sent_ns = at_ns,
                                      .ended_ns = at_ns },
      at_ns);
}

/* Writes what the table knows, and has another one read it later. */
static void
carry_over (struct kcp_quarantine *from, struct kcp_quarantine *to, int64_t at_ns)
{
  g_autoptr (GString) record = g_string_new (NULL);
  struct kcp_suspect_fact fact = { .kind = KCP_SUSPECT_PART };
  struct kcp_suspect_fact read;
  struct kcp_str rest;

  ck_assert (kcp_quarantine_get_fact (from, FINGERPRINT, at_ns, &fact.fact));
  kcp_suspect_record_add (record, &fact, NOW_MS);
  rest = (struct kcp_str){ .data = record->str, .len = record->len };
  ck_assert (kcp_suspect_record_read (kcp_suspect_record_next_line (&rest),
                                      NOW_MS + LATER_MS, &read));
  ck_assert_uint_eq (rest.len, 0);
  ck_assert_int_eq (read.kind, KCP_SUSPECT_PART);
  ck_assert_uint_eq (read.fact.remaining_ms, fact.fact.remaining_ms - LATER_MS);
  ck_assert_uint_eq (read.fact.incident_age_ms, fact.fact.incident_age_ms + LATER_MS);
  (void)kcp_quarantine_merge (to, &read.fact, at_ns + LATER_MS * KCP_NS_PER_MS);
}

/* Guards against crashes that do not count any more after all VMs were killed. */
START_TEST (test_crashes_are_not_counted_on_from_the_store)
{
  struct kcp_quarantine *before = new_table ();
  struct kcp_quarantine *after = new_table ();
  int64_t now = KCP_NS_PER_S;

  add_crash (before, 1, now);
  add_crash (before, 2, now + KCP_NS_PER_S);
  carry_over (before, after, now + KCP_NS_PER_S);
  now += 10 * KCP_NS_PER_S;
  ck_assert_int_eq (kcp_quarantine_state (after, FINGERPRINT, now),
                    KCP_QUARANTINE_SUSPECT);
  add_crash (after, 3, now);
  ck_assert_int_eq (kcp_quarantine_state (after, FINGERPRINT, now),
                    KCP_QUARANTINE_BLOCKED);
  kcp_quarantine_free (before);
  kcp_quarantine_free (after);
}
END_TEST

/* Guards against a sound request that is blocked by crashes of before it was cleared, in
   whatever order the records are read. */
START_TEST (test_cleared_suspect_comes_back_from_the_store)
{
  struct kcp_quarantine *before = new_table ();
  struct kcp_quarantine *cleared = new_table ();
  struct kcp_quarantine *after = new_table ();
  int64_t now = KCP_NS_PER_S;

  add_crash (before, 1, now);
  add_crash (before, 2, now + KCP_NS_PER_S);
  add_crash (cleared, 1, now);
  kcp_quarantine_add_completion (cleared, FINGERPRINT, now + 2 * KCP_NS_PER_S);
  carry_over (_i == 0 ? before : cleared, after, now + 3 * KCP_NS_PER_S);
  carry_over (_i == 0 ? cleared : before, after, now + 3 * KCP_NS_PER_S);
  now += 10 * KCP_NS_PER_S;
  ck_assert_int_eq (kcp_quarantine_state (after, FINGERPRINT, now), KCP_QUARANTINE_NONE);
  add_crash (after, 3, now);
  ck_assert_int_eq (kcp_quarantine_state (after, FINGERPRINT, now),
                    KCP_QUARANTINE_SUSPECT);
  kcp_quarantine_free (before);
  kcp_quarantine_free (cleared);
  kcp_quarantine_free (after);
}
END_TEST

/* Guards against lines of another build, or of another writer, that are taken for facts.
 */
START_TEST (test_lines_that_are_no_facts_are_used)
{
  static const char *const lines[] = {
    "",
    "request",
    "request 1 1 1 1",
    "other 1 1 1 1 1",
    "request zz 1 1 1 1",
    "request 1 -1 1 1 1",
    "request 1 1 1 1 99999999999999999999",
    "request 1 1 1 1 1 zz",
    "request 11111111111111111 1 1 1 1",
  };
  struct kcp_suspect_fact fact;

  for (guint i = 0; i < G_N_ELEMENTS (lines); i++)
    ck_assert_msg (!kcp_suspect_record_read (kcp_str_from_c (lines[i]), NOW_MS, &fact),
                   "%s", lines[i]);
  ck_assert (
      kcp_suspect_record_read (kcp_str_from_c ("request 1 1 1 1 1 2"), NOW_MS, &fact));
  ck_assert_uint_eq (fact.fact.remaining_ms, 0);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("suspect_record");

  tcase_add_test (cases, test_crashes_are_not_counted_on_from_the_store);
  tcase_add_loop_test (cases, test_cleared_suspect_comes_back_from_the_store, 0, 2);
  tcase_add_test (cases, test_lines_that_are_no_facts_are_used);
  return run_started_suite ();
}
