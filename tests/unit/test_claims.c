#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "booking/claims.h"
#include "booking/decide.h"
#include "booking/entry.h"
#include "booking/seal.h"
#include "booking/uuid7.h"
#include "tests/harness/run_suite.h"

#define WINDOW_MS 60000
#define START_MS  1700000000000LL

static struct kcp_claims *claims;
static uint64_t next;
static int64_t now_ms;

static void
set_up (void)
{
  claims = kcp_claims_new (WINDOW_MS);
  next = 0;
  now_ms = START_MS;
}

static void
tear_down (void)
{
  kcp_claims_free (claims);
}

/* Puts one entry, which is taken over, into the log as a record of its own. */
static void
put (struct kcp_claims *into, const char *writer, uint64_t seq, json_t *entry)
{
  json_t *entries = json_array ();
  json_t *record;

  if (entry != NULL)
    json_array_append_new (entries, entry);
  record = kcp_entry_record (writer, seq, now_ms, entries);
  kcp_claims_apply (into, next++, record);
  json_decref (record);
}

static json_t *
claim_of (const char *key, const char *claim)
{
  return kcp_entry_claim (&(struct kcp_claim_entry){
      .key = key, .body_hash = "body", .claim = claim, .vm = "vm-1", .writer = "w" });
}

static enum kcp_claim_state
state_of (const struct kcp_claims *of, const char *key, const char *claim)
{
  struct kcp_claim_view view;

  kcp_claims_look_up (of, key, &view);
  if (view.state != KCP_CLAIM_NONE)
    ck_assert_str_eq (view.claim, claim);
  return view.state;
}

/* Lets the log time pass in steps that it follows. */
static void
pass (struct kcp_claims *into, int64_t ms)
{
  static uint64_t seq;

  for (int64_t passed = 0; passed < ms; passed += 1000)
    {
      now_ms += 1000;
      put (into, "ticker", ++seq, NULL);
    }
}

START_TEST (test_the_first_claim_wins_until_its_holder_releases_it)
{
  put (claims, "a", 1, claim_of ("k", "1"));
  put (claims, "b", 1, claim_of ("k", "2"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  put (claims, "b", 2, kcp_entry_release ("k", "2"));
  put (claims, "b", 3, kcp_entry_outcome ("k", "2", "no"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  put (claims, "a", 2, kcp_entry_release ("k", "1"));
  ck_assert_int_eq (state_of (claims, "k", ""), KCP_CLAIM_NONE);
  put (claims, "b", 4, claim_of ("k", "3"));
  ck_assert_int_eq (state_of (claims, "k", "3"), KCP_CLAIM_HELD);
  put (claims, "b", 5, kcp_entry_outcome ("k", "3", "yes"));
  put (claims, "b", 6, kcp_entry_release ("k", "3"));
  ck_assert_int_eq (state_of (claims, "k", "3"), KCP_CLAIM_DECIDED);
}
END_TEST

START_TEST (test_a_record_that_arrives_after_a_later_one_of_its_writer_is_void)
{
  put (claims, "a", 2, kcp_entry_release ("k", "1"));
  put (claims, "a", 1, claim_of ("k", "1"));
  ck_assert_int_eq (state_of (claims, "k", ""), KCP_CLAIM_NONE);
  put (claims, "b", 1, claim_of ("k", "2"));
  put (claims, "b", 1, claim_of ("k", "2"));
  ck_assert_int_eq (state_of (claims, "k", "2"), KCP_CLAIM_HELD);
}
END_TEST

START_TEST (test_keys_are_kept_for_the_window_after_their_last_claim_and_then_forgotten)
{
  put (claims, "a", 1, claim_of ("k", "1"));
  pass (claims, WINDOW_MS);
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  put (claims, "b", 1, claim_of ("k", "2"));
  pass (claims, WINDOW_MS + KCP_CLOCK_MARGIN_MS - 2000);
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  pass (claims, KCP_CLOCK_MARGIN_MS + 4000);
  ck_assert_uint_eq (kcp_claims_count (claims), 0);
}
END_TEST

START_TEST (test_one_record_with_a_wrong_clock_expires_nothing)
{
  put (claims, "a", 1, claim_of ("k", "1"));
  now_ms += 100 * (int64_t)WINDOW_MS;
  put (claims, "b", 1, claim_of ("k", "2"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
}
END_TEST

START_TEST (test_a_late_release_frees_nothing)
{
  put (claims, "a", 1, claim_of ("k", "1"));
  pass (claims, WINDOW_MS + 5000);
  put (claims, "a", 2, kcp_entry_release ("k", "1"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
}
END_TEST

START_TEST (test_a_reader_of_a_trimmed_log_is_incomplete_until_a_whole_checkpoint)
{
  struct kcp_claims *reader = kcp_claims_new (WINDOW_MS);
  json_t *parts;
  uint64_t as_of;

  for (int i = 0; i < 600; i++)
    {
      g_autofree char *key = g_strdup_printf ("k%d", i);

      put (claims, "a", (uint64_t)i + 1, claim_of (key, "1"));
    }
  put (claims, "a", 601, kcp_entry_outcome ("k7", "1", "yes"));
  as_of = next;
  parts = kcp_claims_snapshot (claims, "c");
  ck_assert_uint_gt (json_array_size (parts), 2);
  kcp_claims_skip_to (reader, as_of);
  put (reader, "b", 1, claim_of ("late", "2"));
  for (size_t i = 0; i < json_array_size (parts); i++)
    {
      json_t *record = kcp_entry_record ("c", i + 1, now_ms, json_array ());

      ck_assert (!kcp_claims_is_complete (reader));
      json_object_update (record, json_array_get (parts, i));
      kcp_claims_apply (reader, next++, record);
      json_decref (record);
    }
  ck_assert (kcp_claims_is_complete (reader));
  ck_assert_uint_eq (kcp_claims_next_offset (reader), as_of);
  ck_assert_uint_eq (kcp_claims_count (reader), 600);
  ck_assert_int_eq (state_of (reader, "k7", "1"), KCP_CLAIM_DECIDED);
  ck_assert_uint_eq (kcp_claims_last_seq (reader, "a"), 601);
  json_decref (parts);
  kcp_claims_free (reader);
}
END_TEST

START_TEST (test_a_log_that_leaves_records_out_makes_the_state_incomplete)
{
  put (claims, "a", 1, claim_of ("k", "1"));
  next++;
  put (claims, "b", 1, claim_of ("k", "2"));
  ck_assert (!kcp_claims_is_complete (claims));
}
END_TEST

START_TEST (test_a_trimmed_log_is_complete_again_once_the_window_has_passed)
{
  kcp_claims_skip_to (claims, 5);
  next = 5;
  ck_assert (!kcp_claims_covers (claims, START_MS));
  pass (claims, WINDOW_MS);
  ck_assert (!kcp_claims_is_complete (claims));
  ck_assert (!kcp_claims_covers (claims, START_MS));
  ck_assert (kcp_claims_covers (claims, START_MS + KCP_CLOCK_MARGIN_MS + 2000));
  pass (claims, KCP_CLOCK_MARGIN_MS + 2000);
  ck_assert (kcp_claims_is_complete (claims));
}
END_TEST

START_TEST (test_keys_survive_a_log_that_was_put_back)
{
  struct kcp_claims *other = kcp_claims_new (WINDOW_MS);
  json_t *entries;
  json_t *record;

  put (claims, "a", 1, claim_of ("k", "1"));
  put (claims, "a", 2, claim_of ("lost", "2"));
  kcp_claims_read_again (claims, 0);
  next = 0;
  put (claims, "a", 1, claim_of ("k", "1"));
  ck_assert_int_eq (state_of (claims, "lost", "2"), KCP_CLAIM_HELD);
  entries = kcp_claims_restore_entries (claims);
  record = kcp_entry_record ("b", 1, now_ms, entries);
  kcp_claims_apply (other, 0, record);
  ck_assert_int_eq (state_of (other, "lost", "2"), KCP_CLAIM_HELD);
  json_decref (record);
  kcp_claims_free (other);
}
END_TEST

START_TEST (test_a_log_that_grew_again_after_it_was_put_back_is_noticed)
{
  json_t *same = kcp_entry_record ("a", 1, now_ms, json_array ());
  json_t *another = kcp_entry_record ("b", 1, now_ms, json_array ());

  put (claims, "a", 1, claim_of ("k", "1"));
  ck_assert_uint_eq (kcp_claims_read_offset (claims), 0);
  ck_assert (kcp_claims_matches (claims, 0, same));
  ck_assert (!kcp_claims_matches (claims, 0, another));
  json_decref (same);
  json_decref (another);
}
END_TEST

static struct kcp_decision_facts
facts_held (void)
{
  struct kcp_decision_facts facts = {
    .claim = "mine",
    .body_hash = "body",
    .now_ms = START_MS,
    .window_ms = WINDOW_MS,
    .covered = true,
    .holder_alive = true,
    .view = { .state = KCP_CLAIM_HELD, .until_ms = START_MS + 1 },
  };

  g_strlcpy (facts.view.claim, "other", sizeof facts.view.claim);
  g_strlcpy (facts.view.body_hash, "body", sizeof facts.view.body_hash);
  return facts;
}

START_TEST (test_a_held_key_is_in_progress_until_its_deadline_or_its_vm_dies)
{
  struct kcp_decision_facts facts = facts_held ();
  struct kcp_claim_answer answer;

  ck_assert (kcp_decide (&facts, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_IN_PROGRESS);
  ck_assert_int_gt (answer.error.retry_after_s, 0);
  facts.holder_alive = false;
  ck_assert (kcp_decide (&facts, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_OUTCOME_UNKNOWN);
  facts.holder_alive = true;
  facts.now_ms++;
  ck_assert (kcp_decide (&facts, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_OUTCOME_UNKNOWN);
  ck_assert_int_eq (answer.error.execution, KCP_EXECUTION_UNKNOWN);
}
END_TEST

START_TEST (test_another_body_and_an_old_key_are_refused)
{
  struct kcp_decision_facts facts = facts_held ();
  struct kcp_claim_answer answer;

  facts.body_hash = "another";
  ck_assert (kcp_decide (&facts, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_KEY_REUSED);
  facts.view.state = KCP_CLAIM_NONE;
  facts.key_ms = START_MS - WINDOW_MS - 1;
  ck_assert (kcp_decide_early (&facts, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_KEY_EXPIRED);
  facts.key_ms = START_MS - WINDOW_MS;
  ck_assert (!kcp_decide_early (&facts, &answer));
}
END_TEST

START_TEST (test_the_time_of_a_uuid_of_version_7)
{
  ck_assert_int_eq (kcp_uuid7_time_ms ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
                    1645557742000);
  ck_assert_int_eq (kcp_uuid7_time_ms ("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), 0);
  ck_assert_int_eq (kcp_uuid7_time_ms ("017f22e2-79b0-7cc3-98c4-dc0c0c07398"), 0);
  ck_assert_int_eq (kcp_uuid7_time_ms ("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f"), 0);
  ck_assert_int_eq (kcp_uuid7_time_ms ("017f22e2_79b0-7cc3-98c4-dc0c0c07398f"), 0);
  ck_assert_int_eq (kcp_uuid7_time_ms (""), 0);
}
END_TEST

START_TEST (test_a_sealed_outcome_opens_only_with_its_key_and_scope)
{
  struct kcp_seal seal;
  struct kcp_seal other;
  json_t *document = json_pack ("{ss}", "body", "secret answer");
  g_autofree char *sealed = NULL;
  json_t *opened;

  kcp_seal_init (&seal,
                 "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");
  kcp_seal_init (&other,
                 "10112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");
  sealed = kcp_seal_close (&seal, "k", document);
  ck_assert_ptr_null (strstr (sealed, "secret"));
  opened = kcp_seal_open (&seal, "k", sealed);
  ck_assert (json_equal (opened, document));
  ck_assert_ptr_null (kcp_seal_open (&seal, "l", sealed));
  ck_assert_ptr_null (kcp_seal_open (&other, "k", sealed));
  ck_assert_ptr_null (kcp_seal_open (&seal, "k", "short"));
  json_decref (opened);
  json_decref (document);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claims");
  TCase *tests = tcase_create ("claims");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_the_first_claim_wins_until_its_holder_releases_it);
  tcase_add_test (tests,
                  test_a_record_that_arrives_after_a_later_one_of_its_writer_is_void);
  tcase_add_test (
      tests, test_keys_are_kept_for_the_window_after_their_last_claim_and_then_forgotten);
  tcase_add_test (tests, test_one_record_with_a_wrong_clock_expires_nothing);
  tcase_add_test (tests, test_a_late_release_frees_nothing);
  tcase_add_test (tests,
                  test_a_reader_of_a_trimmed_log_is_incomplete_until_a_whole_checkpoint);
  tcase_add_test (tests, test_a_trimmed_log_is_complete_again_once_the_window_has_passed);
  tcase_add_test (tests, test_a_log_that_leaves_records_out_makes_the_state_incomplete);
  tcase_add_test (tests, test_keys_survive_a_log_that_was_put_back);
  tcase_add_test (tests, test_a_log_that_grew_again_after_it_was_put_back_is_noticed);
  tcase_add_test (tests,
                  test_a_held_key_is_in_progress_until_its_deadline_or_its_vm_dies);
  tcase_add_test (tests, test_another_body_and_an_old_key_are_refused);
  tcase_add_test (tests, test_the_time_of_a_uuid_of_version_7);
  tcase_add_test (tests, test_a_sealed_outcome_opens_only_with_its_key_and_scope);
  suite_add_tcase (suite, tests);
  return run_suite (suite);
}
