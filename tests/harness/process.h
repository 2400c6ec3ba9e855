/* Starts, signals and stops the child processes of tests. */
#ifndef KCP_TESTS_HARNESS_PROCESS_H
#define KCP_TESTS_HARNESS_PROCESS_H

#include <sys/types.h>

struct process
{
  pid_t pid;
  char *name;
  char *log_path; /* receives its standard output and standard error */
  int port;       /* of a stand-in, or port for callers of a VM */
  int admin_port; /* of a VM */
  int peer_port;  /* of a VM, 0 if it has none */
};

struct process *process_start (const char *folder, const char *name, char *const *argv);
void process_signal (struct process *process, int signal_number);
int process_wait (struct process *process);
void process_kill (struct process *process);
void process_free (struct process *process);

#endif
