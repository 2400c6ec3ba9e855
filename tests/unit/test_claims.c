/* Tests the state machine of a booking stream, the decisions about claims and the sealing
   of outcomes. */
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
static uint64_t next_offset;
static int64_t now_ms;

static void
set_up (void)
{
  claims = kcp_claims_new (WINDOW_MS);
  next_offset = 0;
  now_ms = START_MS;
}

static void
tear_down (void)
{
  kcp_claims_free (claims);
}

/* Appends an entry as a record of its own and takes ownership of it. The record is empty
   if entry is NULL. */
static void
append_entry (struct kcp_claims *into, const char *writer, uint64_t seq, json_t *entry)
{
  json_t *entries = json_array ();
  json_t *record;

  if (entry != NULL)
    json_array_append_new (entries, entry);
  record = kcp_entry_record (writer, seq, now_ms, entries);
  kcp_claims_apply (into, next_offset++, record);
  json_decref (record);
}

static json_t *
make_claim (const char *key, const char *claim)
{
  return kcp_entry_claim (&(struct kcp_claim_entry){
      .key = key, .body_hash = "body", .claim = claim, .vm = "vm-1", .writer = "w" });
}

/* Returns the state of a key. Checks that claim is the one that won, if any did. */
static enum kcp_claim_state
state_of (const struct kcp_claims *from, const char *key, const char *claim)
{
  struct kcp_claim_view view;

  kcp_claims_lookup (from, key, &view);
  if (view.state != KCP_CLAIM_NONE)
    ck_assert_str_eq (view.claim, claim);
  return view.state;
}

/* Advances the log time in steps small enough for one record each. */
static void
pass_time (struct kcp_claims *into, int64_t ms)
{
  static uint64_t seq;

  for (int64_t passed = 0; passed < ms; passed += 1000)
    {
      now_ms += 1000;
      append_entry (into, "ticker", ++seq, NULL);
    }
}

START_TEST (test_the_first_claim_wins_until_its_holder_releases_it)
{
  append_entry (claims, "a", 1, make_claim ("k", "1"));
  append_entry (claims, "b", 1, make_claim ("k", "2"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  append_entry (claims, "b", 2, kcp_entry_release ("k", "2"));
  append_entry (claims, "b", 3, kcp_entry_outcome ("k", "2", "no"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  append_entry (claims, "a", 2, kcp_entry_release ("k", "1"));
  ck_assert_int_eq (state_of (claims, "k", ""), KCP_CLAIM_NONE);
  append_entry (claims, "b", 4, make_claim ("k", "3"));
  ck_assert_int_eq (state_of (claims, "k", "3"), KCP_CLAIM_HELD);
  append_entry (claims, "b", 5, kcp_entry_outcome ("k", "3", "yes"));
  append_entry (claims, "b", 6, kcp_entry_release ("k", "3"));
  ck_assert_int_eq (state_of (claims, "k", "3"), KCP_CLAIM_DECIDED);
}
END_TEST

/* An append whose answer was lost may reach the log after the writer's next record. */
START_TEST (test_a_record_that_arrives_after_a_later_one_of_its_writer_is_void)
{
  append_entry (claims, "a", 2, kcp_entry_release ("k", "1"));
  append_entry (claims, "a", 1, make_claim ("k", "1"));
  ck_assert_int_eq (state_of (claims, "k", ""), KCP_CLAIM_NONE);
  append_entry (claims, "b", 1, make_claim ("k", "2"));
  append_entry (claims, "b", 1, make_claim ("k", "2"));
  ck_assert_int_eq (state_of (claims, "k", "2"), KCP_CLAIM_HELD);
}
END_TEST

START_TEST (test_keys_are_kept_for_the_window_after_their_last_claim_and_then_removed)
{
  append_entry (claims, "a", 1, make_claim ("k", "1"));
  pass_time (claims, WINDOW_MS);
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  append_entry (claims, "b", 1, make_claim ("k", "2"));
  pass_time (claims, WINDOW_MS + KCP_CLOCK_SKEW_MAX_MS - 2000);
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
  pass_time (claims, KCP_CLOCK_SKEW_MAX_MS + 4000);
  ck_assert_uint_eq (kcp_claims_count (claims), 0);
}
END_TEST

/* A writer whose clock is far ahead must not make the claims of other VMs expire. */
START_TEST (test_one_record_with_a_wrong_clock_expires_nothing)
{
  append_entry (claims, "a", 1, make_claim ("k", "1"));
  now_ms += 100 * (int64_t)WINDOW_MS;
  append_entry (claims, "b", 1, make_claim ("k", "2"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
}
END_TEST

/* Another VM may already regard the claim as expired when its release is read. If the
   release took effect, the VMs could disagree about which claim holds the key. */
START_TEST (test_a_late_release_is_ignored)
{
  append_entry (claims, "a", 1, make_claim ("k", "1"));
  pass_time (claims, WINDOW_MS + 5000);
  append_entry (claims, "a", 2, kcp_entry_release ("k", "1"));
  ck_assert_int_eq (state_of (claims, "k", "1"), KCP_CLAIM_HELD);
}
END_TEST

START_TEST (test_a_trimmed_log_is_incomplete_until_a_complete_checkpoint_is_read)
{
  struct kcp_claims *reader = kcp_claims_new (WINDOW_MS);
  json_t *parts;
  uint64_t as_of;

  for (int i = 0; i < 600; i++)
    {
      g_autofree char *key = g_strdup_printf ("k%d", i);

      append_entry (claims, "a", (uint64_t)i + 1, make_claim (key, "1"));
    }
  append_entry (claims, "a", 601, kcp_entry_outcome ("k7", "1", "yes"));
  as_of = next_offset;
  parts = kcp_claims_snapshot (claims, "c");
  ck_assert_uint_gt (json_array_size (parts), 2);
  kcp_claims_skip_to (reader, as_of);
  append_entry (reader, "b", 1, make_claim ("late", "2"));
  for (size_t i = 0; i < json_array_size (parts); i++)
    {
      json_t *record = kcp_entry_record ("c", i + 1, now_ms, json_array ());

      ck_assert (!kcp_claims_is_complete (reader));
      json_object_update (record, json_array_get (parts, i));
      kcp_claims_apply (reader, next_offset++, record);
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

START_TEST (test_a_gap_in_the_log_makes_the_state_incomplete)
{
  append_entry (claims, "a", 1, make_claim ("k", "1"));
  next_offset++;
  append_entry (claims, "b", 1, make_claim ("k", "2"));
  ck_assert (!kcp_claims_is_complete (claims));
}
END_TEST

START_TEST (test_a_trimmed_log_is_complete_again_once_the_window_has_passed)
{
  kcp_claims_skip_to (claims, 5);
  next_offset = 5;
  ck_assert (!kcp_claims_covers_key (claims, START_MS));
  pass_time (claims, WINDOW_MS);
  ck_assert (!kcp_claims_is_complete (claims));
  ck_assert (!kcp_claims_covers_key (claims, START_MS));
  ck_assert (kcp_claims_covers_key (claims, START_MS + KCP_CLOCK_SKEW_MAX_MS + 2000));
  pass_time (claims, KCP_CLOCK_SKEW_MAX_MS + 2000);
  ck_assert (kcp_claims_is_complete (claims));
}
END_TEST

START_TEST (test_keys_survive_a_log_rollback)
{
  struct kcp_claims *other = kcp_claims_new (WINDOW_MS);
  json_t *entries;
  json_t *record;

  append_entry (claims, "a", 1, make_claim ("k", "1"));
  append_entry (claims, "a", 2, make_claim ("lost", "2"));
  kcp_claims_rewind (claims, 0);
  next_offset = 0;
  append_entry (claims, "a", 1, make_claim ("k", "1"));
  ck_assert_int_eq (state_of (claims, "lost", "2"), KCP_CLAIM_HELD);
  entries = kcp_claims_restore_entries (claims);
  record = kcp_entry_record ("b", 1, now_ms, entries);
  kcp_claims_apply (other, 0, record);
  ck_assert_int_eq (state_of (other, "lost", "2"), KCP_CLAIM_HELD);
  json_decref (record);
  kcp_claims_free (other);
}
END_TEST

/* After the rollback another record was appended at an offset that had been read. */
START_TEST (test_a_rolled_back_log_that_has_grown_again_is_detected)
{
  json_t *same = kcp_entry_record ("a", 1, now_ms, json_array ());
  json_t *another = kcp_entry_record ("b", 1, now_ms, json_array ());

  append_entry (claims, "a", 1, make_claim ("k", "1"));
  ck_assert_uint_eq (kcp_claims_read_offset (claims), 0);
  ck_assert (kcp_claims_matches_last_record (claims, 0, same));
  ck_assert (!kcp_claims_matches_last_record (claims, 0, another));
  json_decref (same);
  json_decref (another);
}
END_TEST

static struct kcp_decision_input
input_for_held_key (void)
{
  struct kcp_decision_input input = {
    .claim = "mine",
    .body_hash = "body",
    .now_ms = START_MS,
    .window_ms = WINDOW_MS,
    .covered = true,
    .holder_alive = true,
    .view = { .state = KCP_CLAIM_HELD, .deadline_ms = START_MS + 1 },
  };

  g_strlcpy (input.view.claim, "other", sizeof input.view.claim);
  g_strlcpy (input.view.body_hash, "body", sizeof input.view.body_hash);
  return input;
}

START_TEST (test_a_held_key_is_in_progress_until_its_deadline_or_its_vm_dies)
{
  struct kcp_decision_input input = input_for_held_key ();
  struct kcp_claim_answer answer;

  ck_assert (kcp_decide (&input, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_IN_PROGRESS);
  ck_assert_int_gt (answer.error.retry_after_s, 0);
  input.holder_alive = false;
  ck_assert (kcp_decide (&input, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_OUTCOME_UNKNOWN);
  input.holder_alive = true;
  input.now_ms++;
  ck_assert (kcp_decide (&input, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_OUTCOME_UNKNOWN);
  ck_assert_int_eq (answer.error.execution, KCP_EXECUTION_UNKNOWN);
}
END_TEST

START_TEST (test_another_body_and_an_old_key_are_refused)
{
  struct kcp_decision_input input = input_for_held_key ();
  struct kcp_claim_answer answer;

  input.body_hash = "another";
  ck_assert (kcp_decide (&input, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_KEY_REUSED);
  input.view.state = KCP_CLAIM_NONE;
  input.key_created_ms = START_MS - WINDOW_MS - 1;
  ck_assert (kcp_decide_early (&input, &answer));
  ck_assert_int_eq (answer.error.code, KCP_ERR_KEY_EXPIRED);
  input.key_created_ms = START_MS - WINDOW_MS;
  ck_assert (!kcp_decide_early (&input, &answer));
}
END_TEST

START_TEST (test_uuid7_time)
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
  sealed = kcp_seal_encrypt (&seal, "k", document);
  ck_assert_ptr_null (strstr (sealed, "secret"));
  opened = kcp_seal_decrypt (&seal, "k", sealed);
  ck_assert (json_equal (opened, document));
  ck_assert_ptr_null (kcp_seal_decrypt (&seal, "l", sealed));
  ck_assert_ptr_null (kcp_seal_decrypt (&other, "k", sealed));
  ck_assert_ptr_null (kcp_seal_decrypt (&seal, "k", "short"));
  json_decref (opened);
  json_decref (document);
}
END_TEST

int
main (void)
{
  TCase *tests = start_suite ("claims");

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_the_first_claim_wins_until_its_holder_releases_it);
  tcase_add_test (tests,
                  test_a_record_that_arrives_after_a_later_one_of_its_writer_is_void);
  tcase_add_test (
      tests, test_keys_are_kept_for_the_window_after_their_last_claim_and_then_removed);
  tcase_add_test (tests, test_one_record_with_a_wrong_clock_expires_nothing);
  tcase_add_test (tests, test_a_late_release_is_ignored);
  tcase_add_test (tests,
                  test_a_trimmed_log_is_incomplete_until_a_complete_checkpoint_is_read);
  tcase_add_test (tests, test_a_trimmed_log_is_complete_again_once_the_window_has_passed);
  tcase_add_test (tests, test_a_gap_in_the_log_makes_the_state_incomplete);
  tcase_add_test (tests, test_keys_survive_a_log_rollback);
  tcase_add_test (tests, test_a_rolled_back_log_that_has_grown_again_is_detected);
  tcase_add_test (tests,
                  test_a_held_key_is_in_progress_until_its_deadline_or_its_vm_dies);
  tcase_add_test (tests, test_another_body_and_an_old_key_are_refused);
  tcase_add_test (tests, test_uuid7_time);
  tcase_add_test (tests, test_a_sealed_outcome_opens_only_with_its_key_and_scope);
  return run_started_suite ();
}
