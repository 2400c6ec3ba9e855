/* Tests what a routing VM knows after the platform's store was away for a moment and came
   back from a copy that lacks its newest records, whose offsets are given out again. */
#include <check.h>

#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define OPERATOR      "keyed.op"
#define SERVERS       "keyed.servers"
#define VMS           "keyed.kingcuppoint.vms"
#define ORDERS        "kingcuppoint.orders"
#define BLOCKED       "keyed.kingcuppoint.blocked"
#define CRASH_DOWN_MS 400
#define ORDERS_MS     12000 /* until all servers have the desired weights */
#define LOST          3
#define LEASE_MS      2000 /* longer than an order lease is valid */
#define REFRESH_MS    3000 /* until a change in the store has to be in force */
#define REQUESTS      12
#define NEW_VERSION   4

static void
put_config (int version, const char *key)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, version, key);

  fake_platform_put_record (route_vm.platform, "config", config);
}

static void
put_other_records (unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    fake_platform_put_record (route_vm.platform, "other", "{}");
}

/* The store comes back without the newest records of topic, to which write then adds more
   than were lost before the VM reads on. */
static void
come_back_from_copy (const char *topic, void (*write) (void))
{
  g_usleep (REFRESH_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_set_down (route_vm.platform, true);
  fake_platform_lose_records (route_vm.platform, topic, LOST);
  write ();
  fake_platform_set_down (route_vm.platform, false);
  g_usleep (REFRESH_MS * G_TIME_SPAN_MILLISECOND);
}

static void
write_new_config (void)
{
  put_config (NEW_VERSION, "key2");
  put_other_records (LOST);
}

START_TEST (test_configuration_written_at_offsets_given_out_again_is_not_read)
{
  struct raw_answer answer;

  put_other_records (LOST);
  come_back_from_copy (OPERATOR, write_new_config);
  answer = route_vm_send ("POST", "/once/x", "", "b");
  ck_assert_msg (route_vm_status (&answer) == 401,
                 "the replaced key is still accepted: status %d",
                 route_vm_status (&answer));
  raw_answer_clear (&answer);
}
END_TEST

static void
send_requests (const struct route_vm *vm)
{
  for (int i = 0; i < REQUESTS; i++)
    {
      struct raw_answer answer = route_vm_send_to (vm, "POST", "/once/x", "r1", "", "b");

      ck_assert_int_eq (route_vm_status (&answer), 200);
      raw_answer_clear (&answer);
    }
}

static void
write_leaving_server (void)
{
  fake_platform_put_server (route_vm.platform, 0, "draining");
  for (unsigned i = 0; i < LOST; i++)
    fake_platform_put_server (route_vm.platform, 1, "ready");
}

START_TEST (test_server_that_leaves_at_offsets_given_out_again_still_gets_requests)
{
  struct fake_server *leaving = fake_platform_server (route_vm.platform, 0);
  unsigned runs;

  for (unsigned i = 0; i < LOST; i++)
    fake_platform_put_server (route_vm.platform, 1, "ready");
  come_back_from_copy (SERVERS, write_leaving_server);
  runs = leaving->runs;
  send_requests (&route_vm);
  ck_assert_uint_eq (leaving->runs, runs);
}
END_TEST

static void
write_nothing (void)
{
}

/* The copy is from before the server said that it leaves. */
START_TEST (test_leaving_server_is_not_ready_again_by_an_older_copy)
{
  struct fake_server *leaving = fake_platform_server (route_vm.platform, 0);
  unsigned runs;

  for (unsigned i = 0; i < LOST; i++)
    fake_platform_put_server (route_vm.platform, 0, "draining");
  come_back_from_copy (SERVERS, write_nothing);
  runs = leaving->runs;
  send_requests (&route_vm);
  ck_assert_uint_eq (leaving->runs, runs);
}
END_TEST

static void
remove_leaving_server (void)
{
  fake_platform_put_server_entry (route_vm.platform, "i-0", "");
}

/* The copy is from before the server said that it leaves, and was removed. */
START_TEST (test_removed_server_does_not_come_back_by_an_older_copy)
{
  struct fake_server *leaving = fake_platform_server (route_vm.platform, 0);
  unsigned runs;

  fake_platform_put_server (route_vm.platform, 0, "draining");
  remove_leaving_server ();
  remove_leaving_server ();
  come_back_from_copy (SERVERS, write_nothing);
  runs = leaving->runs;
  send_requests (&route_vm);
  ck_assert_uint_eq (leaving->runs, runs);
  /* It is used again once it writes its entry. */
  fake_platform_put_server (route_vm.platform, 0, "ready");
  g_usleep (REFRESH_MS * G_TIME_SPAN_MILLISECOND);
  send_requests (&route_vm);
  ck_assert_uint_gt (leaving->runs, runs);
}
END_TEST

/* Entries that the copy lacks are those of servers that live: they are not removed before
   they could be written again. */
START_TEST (test_servers_that_the_copy_lacks_are_used_until_they_could_register)
{
  struct raw_answer answer;

  g_usleep (REFRESH_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_lose_records (route_vm.platform, SERVERS, 2);
  g_usleep (REFRESH_MS / 3 * G_TIME_SPAN_MILLISECOND);
  answer = route_vm_send ("POST", "/once/x", "", "b");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  raw_answer_clear (&answer);
}
END_TEST

START_TEST (test_vm_entry_that_the_copy_lacks_is_written_again)
{
  ck_assert_uint_eq (fake_platform_end_offset (route_vm.platform, VMS), 1);
  fake_platform_lose_records (route_vm.platform, VMS, 1);
  g_usleep (REFRESH_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert_uint_eq (fake_platform_end_offset (route_vm.platform, VMS), 1);
}
END_TEST

/* A VM that starts later could not know of the request otherwise. */
START_TEST (test_blocked_request_that_the_copy_lacks_is_written_again)
{
  int64_t end_us = g_get_monotonic_time () + ORDERS_MS * G_TIME_SPAN_MILLISECOND;

  fake_platform_crash_on (route_vm.platform, "crash", CRASH_DOWN_MS);
  while (fake_platform_end_offset (route_vm.platform, BLOCKED) == 0
         && g_get_monotonic_time () < end_us)
    {
      struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "crash");

      raw_answer_clear (&answer);
      g_usleep (CRASH_DOWN_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_uint_eq (fake_platform_end_offset (route_vm.platform, BLOCKED), 1);
  fake_platform_lose_records (route_vm.platform, BLOCKED, 1);
  g_usleep (REFRESH_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert_uint_eq (fake_platform_end_offset (route_vm.platform, BLOCKED), 1);
}
END_TEST

static void
order_version (int64_t version)
{
  g_autofree char *text
      = g_strdup_printf ("{\"model\":\"m\",\"version\":%" G_GINT64_FORMAT "}", version);

  fake_platform_put_record (route_vm.platform, "version/m", text);
  for (int waited = 0; waited < ORDERS_MS; waited += ROUTE_VM_SETTLE_MS)
    {
      if (fake_platform_server (route_vm.platform, 0)->version == version
          && fake_platform_server (route_vm.platform, 1)->version == version)
        return;
      g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_abort_msg ("the servers were not ordered to load the version");
}

/* The offsets of lease records make the fencing tokens, and are given out again. */
START_TEST (test_fencing_tokens_do_not_fall_when_offsets_are_given_out_again)
{
  unsigned end;

  order_version (2);
  g_usleep (LEASE_MS * G_TIME_SPAN_MILLISECOND); /* the next orders need a new lease */
  order_version (3);
  end = fake_platform_end_offset (route_vm.platform, ORDERS);
  ck_assert_uint_gt (end, 1);
  fake_platform_lose_records (route_vm.platform, ORDERS, end);
  g_usleep (LEASE_MS * G_TIME_SPAN_MILLISECOND);
  order_version (4);
  for (unsigned i = 0; i < 2; i++)
    ck_assert_uint_eq (fake_platform_server (route_vm.platform, i)->lower_fences, 0);
}
END_TEST

/* A VM that gets the servers' list from the leader learns the same. */
START_TEST (test_relayed_list_is_not_mixed_with_that_of_the_copy)
{
  struct fake_server *leaving = fake_platform_server (route_vm.platform, 0);
  struct route_vm other;
  unsigned runs;

  route_vm_add (&other, NULL);
  for (unsigned i = 0; i < LOST; i++)
    fake_platform_put_server (route_vm.platform, 1, "ready");
  come_back_from_copy (SERVERS, write_leaving_server);
  runs = leaving->runs;
  send_requests (&route_vm);
  send_requests (&other);
  ck_assert_uint_eq (leaving->runs, runs);
  route_vm_remove (&other);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("store copy");

  tcase_add_checked_fixture (cases, route_vm_set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases,
                  test_configuration_written_at_offsets_given_out_again_is_not_read);
  tcase_add_test (cases,
                  test_server_that_leaves_at_offsets_given_out_again_still_gets_requests);
  tcase_add_test (cases, test_leaving_server_is_not_ready_again_by_an_older_copy);
  tcase_add_test (cases, test_removed_server_does_not_come_back_by_an_older_copy);
  tcase_add_test (cases,
                  test_servers_that_the_copy_lacks_are_used_until_they_could_register);
  tcase_add_test (cases, test_vm_entry_that_the_copy_lacks_is_written_again);
  tcase_add_test (cases, test_blocked_request_that_the_copy_lacks_is_written_again);
  tcase_add_test (cases,
                  test_fencing_tokens_do_not_fall_when_offsets_are_given_out_again);
  tcase_add_test (cases, test_relayed_list_is_not_mixed_with_that_of_the_copy);
  return run_started_suite ();
}
