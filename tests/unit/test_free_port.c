/* Guards against two test programs that run concurrently being given the same port. The
   program that listens second then fails to bind it. */
#include <check.h>
#include <glib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/free_port.h"
#include "tests/harness/run_suite.h"

#define PORTS 400

static void
reserve_ports (int *ports)
{
  for (int i = 0; i < PORTS; i++)
    ports[i] = free_port (SOCK_STREAM);
}

START_TEST (test_concurrent_programs_get_different_ports)
{
  int parent_ports[PORTS];
  int child_ports[PORTS];
  int ports_pipe[2];
  int exit_pipe[2];
  char byte = 0;
  pid_t pid;

  ck_assert_int_eq (pipe (ports_pipe), 0);
  ck_assert_int_eq (pipe (exit_pipe), 0);
  pid = fork ();
  if (pid == 0)
    {
      reserve_ports (child_ports);
      (void)!write (ports_pipe[1], child_ports, sizeof child_ports);
      /* Keeps its ports reserved until the parent has reserved its own. */
      (void)!read (exit_pipe[0], &byte, 1);
      _exit (0);
    }
  ck_assert_int_eq (read (ports_pipe[0], child_ports, sizeof child_ports),
                    sizeof child_ports);
  reserve_ports (parent_ports);
  ck_assert_int_eq (write (exit_pipe[1], &byte, 1), 1);
  (void)waitpid (pid, NULL, 0);
  for (int i = 0; i < PORTS; i++)
    for (int j = 0; j < PORTS; j++)
      ck_assert_int_ne (parent_ports[i], child_ports[j]);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("free port");

  tcase_add_test (cases, test_concurrent_programs_get_different_ports);
  return run_started_suite ();
}
