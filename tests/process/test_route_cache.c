/* Tests the headers about cached prompt parts that a routing VM sends to the servers of a
   fake platform: the cache space that a request uses and the weights that it requires. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/raw.h"
#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define PROMPT_HEAD "Model: m\r\nToken-Usage: 9010,5\r\nPrompt-Prefix: ab:9000,cd:10\r\n"
/* Longer than the interval at which the VM polls the store. */
#define STORE_POLLED_MS 600
#define TEAMS           3

/* Drains the second server, so that only the first one accepts requests, and returns the
   first one. */
static struct fake_server *
use_one_server (void)
{
  fake_platform_put_server (route_vm.platform, 1, "draining");
  g_usleep (STORE_POLLED_MS * G_TIME_SPAN_MILLISECOND);
  return fake_platform_server (route_vm.platform, 0);
}

/* Puts a configuration in force with team1, team2 and team3, whose keys are key1, key2
   and key3. isolated names the isolated teams. */
static void
put_teams (int version, const char *isolated)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, version, "none");
  g_autoptr (GString) text = g_string_new (config);
  g_autoptr (GString) teams = g_string_new ("\"tenants\":[");

  for (int i = 1; i <= TEAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("team%d", i);

      g_string_append_printf (teams,
                              "{\"name\":\"%s\",\"api-keys\":[\"key%d\"],"
                              "\"isolated\":%s},",
                              name, i,
                              strstr (isolated, name) != NULL ? "true" : "false");
    }
  ck_assert_uint_eq (g_string_replace (text, "\"tenants\":[", teams->str, 1), 1);
  ck_assert_uint_eq (g_string_replace (text, "\"team1\",\"api-keys\":[\"none",
                                       "\"other\",\"api-keys\":[\"none", 1),
                     1);
  fake_platform_put_record (route_vm.platform, "config", text->str);
  g_usleep (STORE_POLLED_MS * G_TIME_SPAN_MILLISECOND);
}

static void
send_prompt (const char *key)
{
  g_autofree char *text = g_strdup_printf (
      "POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nConnection: close\r\n"
      "Authorization: Bearer %s\r\nRequest-Deadline: 2500\r\n" PROMPT_HEAD
      "Content-Length: 1\r\n\r\nb",
      key);
  struct raw_answer answer = raw_exchange (route_vm.port, text, ROUTE_VM_TIMEOUT_MS);

  ck_assert_int_eq (route_vm_status (&answer), 200);
  raw_answer_clear (&answer);
}

/* Sends a prompt with the key of a team and returns a header that the server received. */
static char *
send_and_get_header (struct fake_server *server, const char *key, const char *name)
{
  send_prompt (key);
  return fake_server_header (server, name);
}

START_TEST (test_prompt_requires_weights_of_its_placement)
{
  struct fake_server *server = use_one_server ();
  g_autofree char *before = send_and_get_header (server, "key1", "Expect-Version");
  g_autofree char *after = NULL;

  ck_assert_str_eq (before, "1");
  server->version = 7;
  fake_platform_put_server (route_vm.platform, 0, "ready");
  g_usleep (STORE_POLLED_MS * G_TIME_SPAN_MILLISECOND);
  after = send_and_get_header (server, "key1", "Expect-Version");
  ck_assert_str_eq (after, "7");
}
END_TEST

START_TEST (test_cache_is_not_shared_across_weights)
{
  struct fake_server *server = use_one_server ();
  g_autofree char *before = send_and_get_header (server, "key1", "Cache-Salt");
  g_autofree char *again = send_and_get_header (server, "key1", "Cache-Salt");
  g_autofree char *after = NULL;

  ck_assert_ptr_nonnull (before);
  ck_assert_str_eq (again, before);
  server->version = 2;
  fake_platform_put_server (route_vm.platform, 0, "ready");
  g_usleep (STORE_POLLED_MS * G_TIME_SPAN_MILLISECOND);
  after = send_and_get_header (server, "key1", "Cache-Salt");
  ck_assert_str_ne (after, before);
}
END_TEST

START_TEST (test_isolated_team_does_not_share_cache)
{
  struct fake_server *server = use_one_server ();
  g_autofree char *first = NULL;
  g_autofree char *second = NULL;
  g_autofree char *isolated = NULL;
  g_autofree char *again = NULL;

  put_teams (5, "team3");
  first = send_and_get_header (server, "key1", "Cache-Salt");
  second = send_and_get_header (server, "key2", "Cache-Salt");
  isolated = send_and_get_header (server, "key3", "Cache-Salt");
  again = send_and_get_header (server, "key3", "Cache-Salt");
  ck_assert_str_eq (first, second);
  ck_assert_str_ne (isolated, first);
  ck_assert_str_eq (again, isolated);
}
END_TEST

/* Guards against cached parts of a team that becomes isolated being found by others, and
   against a change that isolates no team losing cached parts. */
START_TEST (test_team_that_becomes_isolated_leaves_no_cached_parts_to_others)
{
  struct fake_server *server = use_one_server ();
  g_autofree char *shared = NULL;
  g_autofree char *other = NULL;
  g_autofree char *own = NULL;
  g_autofree char *after_restart = NULL;
  g_autofree char *unchanged = NULL;

  put_teams (5, "");
  shared = send_and_get_header (server, "key1", "Cache-Salt");
  put_teams (6, "team1");
  other = send_and_get_header (server, "key2", "Cache-Salt");
  own = send_and_get_header (server, "key1", "Cache-Salt");
  ck_assert_str_ne (other, shared);
  ck_assert_str_ne (own, shared);
  ck_assert_str_ne (own, other);
  put_teams (7, "team1");
  unchanged = send_and_get_header (server, "key2", "Cache-Salt");
  ck_assert_str_eq (unchanged, other);
  route_vm_restart (&route_vm);
  route_vm_wait_ready ();
  after_restart = send_and_get_header (server, "key2", "Cache-Salt");
  ck_assert_str_eq (after_restart, other);
}
END_TEST

/* Guards against cached parts that a team made between two times of isolation being found
   by others, also if another team is isolated in turn. */
START_TEST (test_teams_isolated_in_turn_leave_no_cached_parts_to_others)
{
  static const char *const isolated[] = { "", "team1", "team2", "", "team1,team2" };
  struct fake_server *server = use_one_server ();
  g_autoptr (GPtrArray) by_team1 = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) by_team2 = g_ptr_array_new_with_free_func (g_free);

  for (int i = 0; i < (int)G_N_ELEMENTS (isolated); i++)
    {
      g_autofree char *other = NULL;

      put_teams (5 + i, isolated[i]);
      other = send_and_get_header (server, "key3", "Cache-Salt");
      g_ptr_array_add (by_team1, send_and_get_header (server, "key1", "Cache-Salt"));
      g_ptr_array_add (by_team2, send_and_get_header (server, "key2", "Cache-Salt"));
      for (guint past = 0; past < by_team1->len; past++)
        {
          if (strstr (isolated[i], "team1") != NULL)
            ck_assert_str_ne (other, g_ptr_array_index (by_team1, past));
          if (strstr (isolated[i], "team2") != NULL)
            ck_assert_str_ne (other, g_ptr_array_index (by_team2, past));
        }
    }
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("route cache");

  tcase_add_checked_fixture (cases, route_vm_set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_prompt_requires_weights_of_its_placement);
  tcase_add_test (cases, test_cache_is_not_shared_across_weights);
  tcase_add_test (cases, test_isolated_team_does_not_share_cache);
  tcase_add_test (cases,
                  test_team_that_becomes_isolated_leaves_no_cached_parts_to_others);
  tcase_add_test (cases, test_teams_isolated_in_turn_leave_no_cached_parts_to_others);
  return run_started_suite ();
}
