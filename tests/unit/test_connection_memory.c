/* Tests the memory of callers' connections. Guards against connections that leave no room
   for the head of an answer, and against connections that together take the memory of a
   small VM. */
#include <check.h>
#include <glib.h>

#include "policy/connection_memory.h"
#include "tests/harness/run_suite.h"

#define MB             ((int64_t)1 << 20)
#define HEAD_MAX_BYTES (16 << 10)
#define FEW_LINES      100 /* as many as common HTTP servers accept at least */
#define ANSWER_BYTES   3000
#define THOUSANDS      2000

static const int64_t process_bytes[]
    = { 88 * MB, 110 * MB, 128 * MB, 260 * MB, 512 * MB };

START_TEST (test_connections_leave_half_of_the_memory)
{
  struct kcp_connection_memory memory
      = kcp_connection_memory_for (process_bytes[_i], HEAD_MAX_BYTES);

  ck_assert_int_le ((int64_t)memory.bytes * memory.connections_max,
                    process_bytes[_i] / 2);
}
END_TEST

START_TEST (test_small_vm_accepts_thousands_of_connections)
{
  struct kcp_connection_memory memory
      = kcp_connection_memory_for (128 * MB, HEAD_MAX_BYTES);

  ck_assert_uint_ge (memory.connections_max, THOUSANDS);
}
END_TEST

START_TEST (test_longest_head_leaves_room_for_an_answer)
{
  struct kcp_connection_memory memory
      = kcp_connection_memory_for (process_bytes[_i], HEAD_MAX_BYTES);
  struct kcp_head_size head = { .bytes = HEAD_MAX_BYTES, .elements = FEW_LINES };

  ck_assert (kcp_connection_memory_has_answer_room (memory.bytes, &head));
  ck_assert (kcp_connection_memory_fits_answer (memory.bytes, &head, ANSWER_BYTES));
}
END_TEST

START_TEST (test_elements_and_copies_count)
{
  struct kcp_connection_memory memory
      = kcp_connection_memory_for (128 * MB, HEAD_MAX_BYTES);
  struct kcp_head_size many = { .bytes = HEAD_MAX_BYTES, .elements = memory.bytes / 64 };
  struct kcp_head_size copied = { .bytes = HEAD_MAX_BYTES, .copied = HEAD_MAX_BYTES };

  ck_assert (!kcp_connection_memory_has_answer_room (memory.bytes, &many));
  ck_assert (!kcp_connection_memory_has_answer_room (memory.bytes, &copied));
}
END_TEST

/* A limit that is not set, negative or far too large gives usable figures. */
START_TEST (test_odd_limits_give_usable_memory)
{
  static const int64_t limits[] = { INT64_MIN, -1, 0, 1, (int64_t)1 << 40, INT64_MAX };

  for (guint i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      struct kcp_connection_memory memory
          = kcp_connection_memory_for (16 * MB, limits[i]);

      ck_assert_uint_ge (memory.bytes, 8 << 10);
      ck_assert_int_le ((int64_t)memory.bytes * memory.connections_max, 8 * MB);
      ck_assert_uint_ge (memory.connections_max, 1);
    }
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("connection_memory");

  tcase_add_loop_test (cases, test_connections_leave_half_of_the_memory, 0,
                       G_N_ELEMENTS (process_bytes));
  tcase_add_test (cases, test_small_vm_accepts_thousands_of_connections);
  tcase_add_loop_test (cases, test_longest_head_leaves_room_for_an_answer, 0,
                       G_N_ELEMENTS (process_bytes));
  tcase_add_test (cases, test_elements_and_copies_count);
  tcase_add_test (cases, test_odd_limits_give_usable_memory);
  return run_started_suite ();
}
