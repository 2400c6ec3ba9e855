/* Tests signals that reach a VM in route mode before it has started. Guards against a
   reload just after a start that ends the VM. */
#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define LOG_TIMEOUT_MS 3000
#define FILE_MODE      0600

static char *settings_path (void);
static int start_with_unfinished_settings (char **text);
static void finish_settings (int fd, const char *text);
static void wait_for_log (const char *text);
static int wait_for_exit (void);

/* Returns the path of the settings file that the harness has written. */
static char *
settings_path (void)
{
  return g_build_filename (route_vm.folder, "route.ini", NULL);
}

/* Starts the VM again with settings that it reads from a pipe. Returns the pipe's end for
   writing once the VM waits for its settings; text becomes what the settings were. */
static int
start_with_unfinished_settings (char **text)
{
  g_autofree char *path = settings_path ();
  int fd;

  route_vm_kill (&route_vm);
  ck_assert (g_file_get_contents (path, text, NULL, NULL));
  ck_assert_int_eq (g_unlink (path), 0);
  ck_assert_int_eq (mkfifo (path, FILE_MODE), 0);
  route_vm_start_from (path);
  fd = open (path, O_WRONLY | O_CLOEXEC);
  ck_assert_int_ge (fd, 0);
  return fd;
}

/* Writes the settings that the VM waits for, and leaves them at the path as a file, from
   which a reload reads them. */
static void
finish_settings (int fd, const char *text)
{
  g_autofree char *path = settings_path ();

  ck_assert_int_eq (g_unlink (path), 0);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  (void)close (fd);
}

/* Waits until the VM has logged a line with text. */
static void
wait_for_log (const char *text)
{
  g_autofree char *path = g_build_filename (route_vm.folder, "out.log", NULL);

  for (int waited = 0; waited < LOG_TIMEOUT_MS; waited += ROUTE_VM_SETTLE_MS)
    {
      g_autofree char *log = NULL;

      if (g_file_get_contents (path, &log, NULL, NULL) && strstr (log, text) != NULL)
        return;
      g_usleep (ROUTE_VM_SETTLE_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_abort_msg ("the VM did not log %s", text);
}

/* Waits for the VM's process to end. Returns its exit code, or 128 plus the number of the
   signal that ended it. */
static int
wait_for_exit (void)
{
  int status = 0;

  ck_assert_int_eq (waitpid (route_vm.pid, &status, 0), route_vm.pid);
  route_vm.pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

START_TEST (test_reload_while_vm_starts_does_not_end_it)
{
  g_autofree char *text = NULL;
  int fd = start_with_unfinished_settings (&text);

  (void)signal (SIGPIPE, SIG_IGN);
  ck_assert_int_eq (kill (route_vm.pid, SIGHUP), 0);
  finish_settings (fd, text);
  route_vm_wait_ready ();
  wait_for_log ("\"event\":\"reloaded\",\"cause\":\"signal\"");
}
END_TEST

/* Whoever starts the VM keeps the signal from it until its program runs. */
START_TEST (test_reload_before_program_runs_takes_effect)
{
  g_autofree char *path = settings_path ();
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGHUP);
  route_vm_kill (&route_vm);
  ck_assert_int_eq (sigprocmask (SIG_BLOCK, &signals, NULL), 0);
  route_vm_start_from (path);
  ck_assert_int_eq (kill (route_vm.pid, SIGHUP), 0);
  route_vm_wait_ready ();
  wait_for_log ("\"event\":\"reloaded\",\"cause\":\"signal\"");
}
END_TEST

START_TEST (test_stop_while_vm_starts_drains_it)
{
  g_autofree char *text = NULL;
  int fd = start_with_unfinished_settings (&text);

  (void)signal (SIGPIPE, SIG_IGN);
  ck_assert_int_eq (kill (route_vm.pid, SIGTERM), 0);
  finish_settings (fd, text);
  ck_assert_int_eq (wait_for_exit (), 0);
  wait_for_log ("\"event\":\"stopped\"");
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("early_signals");

  tcase_add_checked_fixture (cases, route_vm_set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_reload_while_vm_starts_does_not_end_it);
  tcase_add_test (cases, test_reload_before_program_runs_takes_effect);
  tcase_add_test (cases, test_stop_while_vm_starts_drains_it);
  return run_started_suite ();
}
