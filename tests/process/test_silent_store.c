/* Tests for how long a routing VM goes without new records after all its open connections
   to the store have gone silent at once, as when a middlebox drops them without notice.
   New connections work. The VM has several: one for each call that was in progress at the
   same time. */
#include <check.h>
#include <string.h>

#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

/* Defaults of store.timeout_ms, store.wait_ms and store.poll_ms. */
#define TIMEOUT_MS 800
#define WAIT_MS    1500
#define POLL_MS    700
/* Longest pause after a failed call, and time for establishing a connection. */
#define PAUSE_MS   500
#define CONNECT_MS 250
/* One timeout, then a new connection. */
#define RECORDS_MAX_MS (WAIT_MS + TIMEOUT_MS + PAUSE_MS + CONNECT_MS)
#define SERVERS_MAX_MS (POLL_MS + TIMEOUT_MS + PAUSE_MS + CONNECT_MS)

#define LIMIT_MS      10000
#define WATCH_MS      10
#define BEFORE_MS     50   /* from the silence until the record is written */
#define SOON_MS       50   /* within a read, shortly after it began */
#define LATE_MS       1300 /* within a read, shortly before it is answered */
#define SETTLE_MS     2500 /* from known records until connections are reused again */
#define REUSE_MS      4000
#define NEW_KEY       "key2"
#define OPERATORS     "keyed.op"
#define SERVERS_TOPIC "keyed.servers"

static gint64 silent_us; /* when the connections went silent */

static void
set_up (void)
{
  route_vm.poll_ms = POLL_MS;
  route_vm_set_up_servers (2);
}

static int
silent_ms (void)
{
  return (int)((g_get_monotonic_time () - silent_us) / G_TIME_SPAN_MILLISECOND);
}

static void
wait_for_read (const char *topic)
{
  unsigned before = fake_platform_read_count (route_vm.platform, topic);

  for (int waited = 0; waited < LIMIT_MS; waited += WATCH_MS)
    {
      if (fake_platform_read_count (route_vm.platform, topic) != before)
        return;
      g_usleep (WATCH_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_abort_msg ("the VM did not read %s", topic);
}

/* Makes the open connections silent within_ms after the VM began to read the operators'
   records. */
static void
silence_within_read (int within_ms)
{
  wait_for_read (OPERATORS);
  g_usleep ((gulong)within_ms * G_TIME_SPAN_MILLISECOND);
  silent_us = g_get_monotonic_time ();
  fake_platform_silence_connections (route_vm.platform);
}

static int
send_with_new_key (void)
{
  struct raw_answer answer = raw_exchange (
      route_vm.port,
      "POST /again/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nConnection: close\r\n"
      "Authorization: Bearer " NEW_KEY "\r\nRequest-Deadline: 2500\r\n"
      "Content-Length: 1\r\n\r\nb",
      ROUTE_VM_TIMEOUT_MS);
  int status = route_vm_status (&answer);

  raw_answer_clear (&answer);
  return status;
}

/* Writes a configuration with a new key and fails the test if the VM does not know the
   key within RECORDS_MAX_MS of the silence. */
static void
check_new_key (void)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, 4, NEW_KEY);
  int status;

  g_usleep (BEFORE_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_put_record (route_vm.platform, "config", config);
  while ((status = send_with_new_key ()) != 200 && silent_ms () < LIMIT_MS)
    g_usleep (WATCH_MS * G_TIME_SPAN_MILLISECOND);
  g_print ("a new key is known %d ms after the silence\n", silent_ms ());
  ck_assert_int_eq (status, 200);
  ck_assert_int_le (silent_ms (), RECORDS_MAX_MS);
}

START_TEST (test_new_key_is_late_if_connections_go_silent_early_in_a_read)
{
  silence_within_read (SOON_MS);
  check_new_key ();
}
END_TEST

START_TEST (test_new_key_is_late_if_connections_go_silent_late_in_a_read)
{
  silence_within_read (LATE_MS);
  check_new_key ();
}
END_TEST

START_TEST (test_servers_list_is_read_late_after_connections_go_silent)
{
  silence_within_read (SOON_MS);
  wait_for_read (SERVERS_TOPIC);
  g_print ("the servers' list is read %d ms after the silence\n", silent_ms ());
  ck_assert_int_le (silent_ms (), SERVERS_MAX_MS);
}
END_TEST

START_TEST (test_new_connections_are_logged_with_the_reason)
{
  g_autofree char *path = g_build_filename (route_vm.folder, "out.log", NULL);
  g_autofree char *log = NULL;
  const char *line;

  silence_within_read (LATE_MS);
  check_new_key ();
  ck_assert (g_file_get_contents (path, &log, NULL, NULL));
  line = strstr (log, "\"event\":\"store_new_connections\"");
  ck_assert_ptr_nonnull (line);
  ck_assert_ptr_nonnull (strstr (line, "\"why\":\"timed_out\""));
}
END_TEST

/* Guards against a VM that burdens the store with a connection for each call. */
START_TEST (test_connections_are_not_reused_after_silent_ones)
{
  int connections;

  silence_within_read (SOON_MS);
  check_new_key ();
  g_usleep (SETTLE_MS * G_TIME_SPAN_MILLISECOND);
  connections = fake_platform_connection_count (route_vm.platform);
  g_usleep (REUSE_MS * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_eq (fake_platform_connection_count (route_vm.platform), connections);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("silent_store");

  tcase_add_checked_fixture (cases, set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_new_key_is_late_if_connections_go_silent_early_in_a_read);
  tcase_add_test (cases, test_new_key_is_late_if_connections_go_silent_late_in_a_read);
  tcase_add_test (cases, test_servers_list_is_read_late_after_connections_go_silent);
  tcase_add_test (cases, test_new_connections_are_logged_with_the_reason);
  tcase_add_test (cases, test_connections_are_not_reused_after_silent_ones);
  return run_started_suite ();
}
