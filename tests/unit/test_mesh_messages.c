/* Tests the messages between VMs: each is decoded as it was encoded, and one that is cut
   anywhere is rejected. */
#include <check.h>
#include <glib.h>

#include "forward/mesh_message.h"
#include "tests/harness/run_suite.h"

START_TEST (test_mesh_message_round_trip_rejects_truncation)
{
  struct kcp_mesh_message message;
  struct kcp_mesh_message copy;
  struct kcp_mesh_row *row;
  char bytes[KCP_MESH_MESSAGE_MAX];
  uint64_t part = 0x1234567890abcdefu;
  size_t len;

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, "10.0.0.1:7341", sizeof message.vm);
  g_strlcpy (message.data_center, "z", sizeof message.data_center);
  message.start_ms = 5;
  message.sequence = 6;
  row = kcp_mesh_message_add_row (&message);
  row->server = 99;
  row->in_flight = 3;
  row->has_parts = true;
  g_array_append_val (row->parts, part);
  len = kcp_mesh_message_encode (&message, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  kcp_mesh_message_init (&copy);
  ck_assert (kcp_mesh_message_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, message.vm);
  row = &g_array_index (copy.rows, struct kcp_mesh_row, 0);
  ck_assert_uint_eq (g_array_index (row->parts, uint64_t, 0), part);
  ck_assert_uint_eq (row->in_flight, 3);
  kcp_mesh_message_clear (&copy);
  for (size_t cut = 0; cut < len; cut++)
    {
      kcp_mesh_message_init (&copy);
      ck_assert (!kcp_mesh_message_decode (&copy, bytes, cut));
      kcp_mesh_message_clear (&copy);
    }
  kcp_mesh_message_clear (&message);
}
END_TEST

/* Guards against a gossip message that is too large for a datagram. Messages are largest
   if only two VMs are alive and each reads the cache events of half of the servers. */
START_TEST (test_largest_mesh_message_fits_a_datagram)
{
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t short_len;

  kcp_mesh_message_init (&message);
  g_strlcpy (message.vm, "255.255.255.255:65535", sizeof message.vm);
  for (uint64_t i = 0; i < KCP_MESH_ROWS_MAX; i++)
    {
      struct kcp_mesh_row *row = kcp_mesh_message_add_row (&message);

      row->server = i;
      row->in_flight = 3;
    }
  short_len = kcp_mesh_message_encode (&message, bytes, sizeof bytes);
  ck_assert_uint_gt (short_len, 0);
  /* A row with only the requests in flight takes a key and one word. */
  ck_assert_uint_lt (short_len, KCP_MESH_ROWS_MAX * 12 + 200);
  for (guint i = 0; i < KCP_MESH_ROWS_MAX; i++)
    {
      struct kcp_mesh_row *row = &g_array_index (message.rows, struct kcp_mesh_row, i);

      row->prefill_tokens_pending = 9;
      row->version = 9;
      row->has_parts = true;
      g_array_set_size (row->parts, KCP_MESH_PARTS_MAX / KCP_MESH_ROWS_MAX);
    }
  ck_assert_uint_gt (kcp_mesh_message_encode (&message, bytes, sizeof bytes), 0);
  kcp_mesh_message_clear (&message);
}
END_TEST

START_TEST (test_mesh_records_round_trip_rejects_truncation)
{
  struct kcp_mesh_record row = {
    .offset = 8, .removal_delay_ms = 9, .key = KCP_STR ("i-1"), .value = KCP_STR ("{}")
  };
  struct kcp_mesh_records records;
  struct kcp_mesh_records copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_records_init (&records);
  g_strlcpy (records.vm, "10.0.0.1:7341", sizeof records.vm);
  records.from = 8;
  records.next = 10;
  g_array_append_val (records.records, row);
  len = kcp_mesh_records_encode (&records, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_RECORDS);
  kcp_mesh_records_init (&copy);
  ck_assert (kcp_mesh_records_decode (&copy, bytes, len));
  row = g_array_index (copy.records, struct kcp_mesh_record, 0);
  ck_assert_int_eq (copy.next, 10);
  ck_assert_int_eq (row.offset, 8);
  ck_assert_uint_eq (row.removal_delay_ms, 9);
  ck_assert (kcp_str_equal (row.key, KCP_STR ("i-1")));
  ck_assert (kcp_str_equal (row.value, KCP_STR ("{}")));
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_records_decode (&copy, bytes, cut));
  kcp_mesh_records_clear (&copy);
  kcp_mesh_records_clear (&records);
}
END_TEST

static void
expect_suspects_round_trip (enum kcp_suspect_kind kind, enum kcp_mesh_procedure procedure,
                            const struct kcp_quarantine_fact *expected)
{
  struct kcp_quarantine_fact fact = *expected;
  struct kcp_mesh_suspects suspects;
  struct kcp_mesh_suspects copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_suspects_init (&suspects, kind);
  g_strlcpy (suspects.vm, "10.0.0.1:7341", sizeof suspects.vm);
  for (guint i = 0; i < KCP_MESH_SUSPECTS_MAX; i++)
    g_array_append_val (suspects.facts, fact);
  len = kcp_mesh_suspects_encode (&suspects, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), procedure);
  kcp_mesh_suspects_init (&copy, kind);
  ck_assert (kcp_mesh_suspects_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, suspects.vm);
  ck_assert_uint_eq (copy.facts->len, KCP_MESH_SUSPECTS_MAX);
  ck_assert_mem_eq (&g_array_index (copy.facts, struct kcp_quarantine_fact, 0), &fact,
                    sizeof fact);
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_suspects_decode (&copy, bytes, cut));
  kcp_mesh_suspects_clear (&copy);
  kcp_mesh_suspects_clear (&suspects);
}

START_TEST (test_mesh_notices_round_trip_rejects_truncation)
{
  struct kcp_server_notice notice = {
    .server = 1, .kind = KCP_NOTICE_LIMIT, .value = 2700, .age_ms = 40, .needs = 300
  };
  struct kcp_mesh_notices notices;
  struct kcp_mesh_notices copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_notices_init (&notices);
  g_strlcpy (notices.vm, "10.0.0.1:7341", sizeof notices.vm);
  for (guint i = 0; i < KCP_MESH_NOTICES_MAX; i++)
    g_array_append_val (notices.notices, notice);
  len = kcp_mesh_notices_encode (&notices, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_NOTICES);
  kcp_mesh_notices_init (&copy);
  ck_assert (kcp_mesh_notices_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, notices.vm);
  ck_assert_uint_eq (copy.notices->len, KCP_MESH_NOTICES_MAX);
  ck_assert_mem_eq (&g_array_index (copy.notices, struct kcp_server_notice, 0), &notice,
                    sizeof notice);
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_notices_decode (&copy, bytes, cut));
  kcp_mesh_notices_clear (&copy);
  kcp_mesh_notices_clear (&notices);
}
END_TEST

START_TEST (test_mesh_needs_round_trip_rejects_truncation)
{
  struct kcp_mesh_needs_row row
      = { .server = 7,
          .message
          = { .statement = { .sequence = 3, .needs = 300 }, .acknowledged = 9 } };
  struct kcp_mesh_needs needs;
  struct kcp_mesh_needs copy;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_needs_init (&needs);
  g_strlcpy (needs.vm, "10.0.0.1:7341", sizeof needs.vm);
  needs.start_ms = 5;
  needs.receiver_start_ms = 6;
  for (guint i = 0; i < KCP_MESH_NEEDS_MAX; i++)
    g_array_append_val (needs.rows, row);
  len = kcp_mesh_needs_encode (&needs, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_NEEDS);
  kcp_mesh_needs_init (&copy);
  ck_assert (kcp_mesh_needs_decode (&copy, bytes, len));
  ck_assert_str_eq (copy.vm, needs.vm);
  ck_assert_uint_eq (copy.start_ms, needs.start_ms);
  ck_assert_uint_eq (copy.receiver_start_ms, needs.receiver_start_ms);
  ck_assert_uint_eq (copy.rows->len, KCP_MESH_NEEDS_MAX);
  ck_assert_mem_eq (&g_array_index (copy.rows, struct kcp_mesh_needs_row, 0), &row,
                    sizeof row);
  for (size_t cut = 0; cut < len; cut++)
    ck_assert (!kcp_mesh_needs_decode (&copy, bytes, cut));
  kcp_mesh_needs_clear (&copy);
  kcp_mesh_needs_clear (&needs);
}
END_TEST

START_TEST (test_mesh_suspects_round_trip_rejects_truncation)
{
  expect_suspects_round_trip (KCP_SUSPECT_REQUEST, KCP_MESH_SUSPECTS,
                              &(struct kcp_quarantine_fact){
                                  .fingerprint = 1,
                                  .crashes = { 2, 3, 4 },
                                  .rank = 7,
                                  .incidents = 2,
                                  .incident_age_ms = 8,
                                  .remaining_ms = 9,
                              });
  expect_suspects_round_trip (KCP_SUSPECT_PART, KCP_MESH_PART_SUSPECTS,
                              &(struct kcp_quarantine_fact){
                                  .fingerprint = 1,
                                  .crashes = { 2, 3, 4, 5, 6, 7 },
                                  .rank = 7,
                                  .incidents = 5,
                                  .incident_age_ms = 8,
                                  .remaining_ms = 9,
                              });
}
END_TEST

START_TEST (test_mesh_update_round_trip_is_distinct_from_message)
{
  struct kcp_mesh_change change = {
    .server = 7, .part = 8, .prefill_tokens_pending = 9, .version = 10, .loading_ms = 11
  };
  struct kcp_mesh_update update;
  struct kcp_mesh_update copy;
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  size_t len;

  kcp_mesh_update_init (&update);
  g_strlcpy (update.vm, "10.0.0.1:7341", sizeof update.vm);
  update.start_ms = 5;
  update.sequence = 6;
  g_array_append_val (update.changes, change);
  len = kcp_mesh_update_encode (&update, KCP_MESH_UPDATE, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (kcp_mesh_procedure_of (bytes, len), KCP_MESH_UPDATE);
  kcp_mesh_update_init (&copy);
  ck_assert (kcp_mesh_update_decode (&copy, KCP_MESH_UPDATE, bytes, len));
  ck_assert_str_eq (copy.vm, update.vm);
  ck_assert_uint_eq (copy.sequence, 6);
  ck_assert_mem_eq (copy.changes->data, &change, sizeof change);
  kcp_mesh_update_clear (&copy);
  kcp_mesh_message_init (&message);
  ck_assert (!kcp_mesh_message_decode (&message, bytes, len));
  kcp_mesh_message_clear (&message);
  for (size_t cut = 0; cut < len; cut++)
    {
      kcp_mesh_update_init (&copy);
      ck_assert (!kcp_mesh_update_decode (&copy, KCP_MESH_UPDATE, bytes, cut));
      kcp_mesh_update_clear (&copy);
    }
  kcp_mesh_update_clear (&update);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("mesh messages");

  tcase_add_test (cases, test_mesh_message_round_trip_rejects_truncation);
  tcase_add_test (cases, test_largest_mesh_message_fits_a_datagram);
  tcase_add_test (cases, test_mesh_records_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_notices_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_needs_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_suspects_round_trip_rejects_truncation);
  tcase_add_test (cases, test_mesh_update_round_trip_is_distinct_from_message);
  return run_started_suite ();
}
