/* Tests what a routing VM knows after the platform's store was away for a moment and came
   back from a copy that lacks its newest records, whose offsets are given out again. */
#include <check.h>

#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define OPERATOR    "keyed.op"
#define SERVERS     "keyed.servers"
#define LOST        3
#define REFRESH_MS  3000 /* until a change in the store has to be in force */
#define REQUESTS    12
#define NEW_VERSION 4

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
  for (int i = 0; i < REQUESTS; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/once/x", "", "b");

      ck_assert_int_eq (route_vm_status (&answer), 200);
      raw_answer_clear (&answer);
    }
  ck_assert_uint_eq (leaving->runs, runs);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store copy");
  TCase *cases = tcase_create ("store copy");

  tcase_add_checked_fixture (cases, route_vm_set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases,
                  test_configuration_written_at_offsets_given_out_again_is_not_read);
  tcase_add_test (cases,
                  test_server_that_leaves_at_offsets_given_out_again_still_gets_requests);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
