/* Tests that a team which sends more than its quota through several VMs gets its quota
   from all together, whichever VMs its callers use, and that other teams are served. */
#include <check.h>
#include <string.h>

#include "tests/harness/limit_load.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define PER_S          20.0 /* of the quota, requests */
#define REQUESTS_PER_S 16   /* of the caller of one VM */
#define REQUESTS_MAX   200  /* some of which exceed the quota */
#define LOAD_MS        12000
#define WINDOW_MS      8000 /* of the users' rule */
#define OVERAGE        1.1  /* of the same rule */
#define USED           0.9
#define APPLY_MS       1000 /* in which VMs apply a configuration */
#define US(ms)         ((ms) * (int64_t)G_TIME_SPAN_MILLISECOND)

static void
set_up (void)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, 4, "key1");
  g_autoptr (GString) text = g_string_new (config);
  const char *members = ",\"rate-per-s\":20,\"burst\":20},"
                        "{\"name\":\"team2\",\"api-keys\":[\"key2\"]}]}";

  vm_group_set_up (1);
  g_string_truncate (text, text->len - strlen ("}]}"));
  g_string_append (text, members);
  fake_platform_put_record (route_vm.platform, "config", text->str);
  g_usleep ((gulong)US (APPLY_MS));
}

/* Sends three times the quota to some VMs, or more, and expects that it is kept and
   used. */
static void
expect_kept (unsigned vms, double requests_per_s)
{
  struct fake_server *server = fake_platform_server (route_vm.platform, 0);
  struct limit_load load;
  unsigned peak;
  unsigned all;

  limit_load_start (&load, &(struct limit_load_spec){
                               .vm_at = vm_group_at,
                               .vms = vms,
                               .requests_per_s = requests_per_s,
                               .duration_ms = LOAD_MS,
                           });
  (void)limit_load_finish (&load);
  peak = fake_server_peak_arrivals (server, load.start_us, US (WINDOW_MS));
  all = fake_server_count_arrivals (server, load.start_us);
  g_print ("%u requests, at most %u in 8 s\n", all, peak);
  ck_assert_double_le (peak, (PER_S * WINDOW_MS / 1000 + PER_S) * OVERAGE);
  ck_assert_double_ge (all, USED * PER_S * LOAD_MS / 1000);
}

START_TEST (test_team_gets_more_than_its_quota_from_several_vms)
{
  expect_kept (VM_GROUP_SIZE, REQUESTS_PER_S);
}
END_TEST

START_TEST (test_team_gets_a_part_of_its_quota_from_one_vm)
{
  expect_kept (1, REQUESTS_PER_S * VM_GROUP_SIZE);
}
END_TEST

static struct raw_answer
send_with_key (const char *key)
{
  g_autofree char *text = g_strdup_printf (
      "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nConnection: close\r\n"
      "Authorization: Bearer %s\r\nRequest-Deadline: 2500\r\nContent-Length: 2\r\n\r\nin",
      key);

  return raw_exchange (route_vm.port, text, ROUTE_VM_TIMEOUT_MS);
}

START_TEST (test_team_over_its_quota_is_not_told_when_to_return_or_harms_another)
{
  struct raw_answer answer;
  int status = 200;

  for (unsigned i = 0; i < REQUESTS_MAX && status == 200; i++)
    {
      answer = send_with_key ("key1");
      status = route_vm_status (&answer);
      if (status != 200)
        ck_assert_ptr_nonnull (strstr (answer.text->str, "Retry-After: "));
      raw_answer_clear (&answer);
    }
  ck_assert_int_eq (status, 429);
  answer = send_with_key ("key2");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  raw_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("quota");

  tcase_add_checked_fixture (cases, set_up, vm_group_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_team_gets_more_than_its_quota_from_several_vms);
  tcase_add_test (cases, test_team_gets_a_part_of_its_quota_from_one_vm);
  tcase_add_test (cases,
                  test_team_over_its_quota_is_not_told_when_to_return_or_harms_another);
  return run_started_suite ();
}
