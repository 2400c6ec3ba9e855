/* Two test programs that run at once are given different ports. */
#include <check.h>
#include <glib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/free_port.h"
#include "tests/harness/run_suite.h"

#define PORTS 400

static void
take_ports (int *ports)
{
  for (int i = 0; i < PORTS; i++)
    ports[i] = free_port (SOCK_STREAM);
}

START_TEST (test_two_programs_are_given_different_ports)
{
  int own[PORTS];
  int others[PORTS];
  int ends[2];
  int go[2];
  char byte = 0;
  pid_t pid;

  ck_assert_int_eq (pipe (ends), 0);
  ck_assert_int_eq (pipe (go), 0);
  pid = fork ();
  if (pid == 0)
    {
      take_ports (others);
      (void)!write (ends[1], others, sizeof others);
      /* Keeps them until the other program has taken its own. */
      (void)!read (go[0], &byte, 1);
      _exit (0);
    }
  ck_assert_int_eq (read (ends[0], others, sizeof others), sizeof others);
  take_ports (own);
  ck_assert_int_eq (write (go[1], &byte, 1), 1);
  (void)waitpid (pid, NULL, 0);
  for (int i = 0; i < PORTS; i++)
    for (int j = 0; j < PORTS; j++)
      ck_assert_int_ne (own[i], others[j]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("free port");
  TCase *cases = tcase_create ("free port");

  tcase_add_test (cases, test_two_programs_are_given_different_ports);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
