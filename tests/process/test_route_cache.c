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

/* Drains the second server, so that only the first one accepts requests, and returns the
   first one. */
static struct fake_server *
use_one_server (void)
{
  fake_platform_put_server (route_vm.platform, 1, "draining");
  g_usleep (STORE_POLLED_MS * G_TIME_SPAN_MILLISECOND);
  return fake_platform_server (route_vm.platform, 0);
}

/* Puts a configuration with three teams in force, one of which is isolated. */
static void
put_teams (void)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, 5, "key1");
  GString *text = g_string_new (config);

  ck_assert_uint_eq (
      g_string_replace (text, "\"tenants\":[",
                        "\"tenants\":[{\"name\":\"team2\",\"api-keys\":[\"key2\"],"
                        "\"isolated\":false},{\"name\":\"team3\","
                        "\"api-keys\":[\"key3\"],\"isolated\":true},",
                        1),
      1);
  fake_platform_put_record (route_vm.platform, "config", text->str);
  g_string_free (text, TRUE);
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

  put_teams ();
  first = send_and_get_header (server, "key1", "Cache-Salt");
  second = send_and_get_header (server, "key2", "Cache-Salt");
  isolated = send_and_get_header (server, "key3", "Cache-Salt");
  again = send_and_get_header (server, "key3", "Cache-Salt");
  ck_assert_str_eq (first, second);
  ck_assert_str_ne (isolated, first);
  ck_assert_str_eq (again, isolated);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("route cache");
  TCase *cases = tcase_create ("route cache");

  tcase_add_checked_fixture (cases, route_vm_set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_prompt_requires_weights_of_its_placement);
  tcase_add_test (cases, test_cache_is_not_shared_across_weights);
  tcase_add_test (cases, test_isolated_team_does_not_share_cache);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
