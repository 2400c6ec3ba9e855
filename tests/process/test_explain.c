/* Tests the procedures of docs/OPERATIONS.md that lead from a request's id to its cause,
   on the log of a VM. */
#include <check.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define STREAM_HEAD "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n"

/* Runs kingcuppoint explain for id on the VM's log. Returns its output and stores its
   wait status in status. */
static char *
explain (const char *id, int *status)
{
  const char *build = g_getenv ("BUILD") != NULL ? g_getenv ("BUILD") : "build";
  g_autofree char *program = g_build_filename (build, "kingcuppoint", NULL);
  g_autofree char *log = g_build_filename (route_vm.folder, "out.log", NULL);
  char *argv[] = { program, "explain", (char *)id, log, NULL };
  char *out = NULL;

  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, &out,
                           NULL, status, NULL));
  return out;
}

/* Asserts that the output for request r1 contains these words in this order. The list
   ends with NULL. */
static void
expect_explain_output (const char *const *words)
{
  int status;
  g_autofree char *out = explain ("r1", &status);
  const char *at = out;

  ck_assert_int_eq (status, 0);
  for (size_t i = 0; words[i] != NULL; i++)
    {
      const char *found = strstr (at, words[i]);

      ck_assert_msg (found != NULL, "no \"%s\" in its place in:\n%s", words[i], out);
      at = found + strlen (words[i]);
    }
}

static void
call (const char *path, const char *head, int status)
{
  struct raw_answer answer = route_vm_send ("POST", path, head, "b");

  ck_assert_int_eq (route_vm_status (&answer), status);
  raw_answer_clear (&answer);
}

START_TEST (test_refused_request)
{
  const char *const words[] = { "request r1:",     "sent, sent to a server: route=once",
                                "attempt_failed,", "class=1 status=503",
                                "not_run=1",       "sent, sent to a server: route=once",
                                "attempt_failed,", "request, ended: outcome=refused",
                                "runs=0",          NULL };

  route_vm_set_modes (FAKE_REFUSE, FAKE_REFUSE);
  call ("/once/x", "", 503);
  expect_explain_output (words);
}
END_TEST

START_TEST (test_call_with_unknown_outcome)
{
  const char *const words[] = { "sent, sent to a server: route=once",
                                "attempt_failed,",
                                "class=2",
                                "request, ended: outcome=failed why=no_sound_answer",
                                "runs=1",
                                NULL };

  route_vm_set_modes (FAKE_HANG_UP, FAKE_HANG_UP);
  call ("/once/x", "", 502);
  expect_explain_output (words);
}
END_TEST

START_TEST (test_interrupted_stream)
{
  const char *const words[]
      = { "sent, sent to a server: route=stream",
          "attempt_failed,",
          "class=4",
          "sent, sent to a server: route=stream",
          "attempt_failed,",
          "class=4",
          "request, ended: outcome=broken_off why=stream_interrupted",
          NULL };

  route_vm_set_modes (FAKE_INTERRUPT, FAKE_INTERRUPT);
  call ("/stream/x", STREAM_HEAD, 200);
  expect_explain_output (words);
}
END_TEST

/* The output shows the chosen server, what was known of it, and that its entry had just
   changed. */
START_TEST (test_choice_of_server)
{
  g_autofree char *removed_server
      = g_strdup_printf ("server=%s", fake_platform_server (route_vm.platform, 0)->id);
  int status;
  g_autofree char *out = NULL;

  fake_platform_put_server (route_vm.platform, 0, "draining");
  g_usleep (400 * G_TIME_SPAN_MILLISECOND);
  call ("/stream/x", STREAM_HEAD, 200);
  out = explain ("r1", &status);
  ck_assert_int_eq (status, 0);
  ck_assert_ptr_nonnull (strstr (out, "usable=1"));
  ck_assert_ptr_null (strstr (out, removed_server));
  ck_assert_ptr_nonnull (strstr (out, "its entry changed: change=added"));
}
END_TEST

START_TEST (test_unknown_id_is_an_error)
{
  int status;
  g_autofree char *out = explain ("nobody", &status);

  ck_assert (!g_spawn_check_wait_status (status, NULL));
  ck_assert_str_eq (out, "");
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("explain");

  tcase_add_checked_fixture (cases, route_vm_set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_refused_request);
  tcase_add_test (cases, test_call_with_unknown_outcome);
  tcase_add_test (cases, test_interrupted_stream);
  tcase_add_test (cases, test_choice_of_server);
  tcase_add_test (cases, test_unknown_id_is_an_error);
  return run_started_suite ();
}
