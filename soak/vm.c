#include "soak/vm.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/cut_file.h"
#include "tests/harness/free_port.h"

#define DRAIN_GRACE_S  4
#define DRAIN_GRACE_US (DRAIN_GRACE_S * G_USEC_PER_SEC)
#define LOG_MODE       0644

static void write_settings (struct soak_vm *vm, unsigned index, const char *data_center,
                            int store_port, const char *further);
static void run_program (const struct soak_vm *vm, const char *program);
static void
check_running (struct soak_vm *vm, int64_t now_us, const struct soak_report *report);

/* Chooses ports and writes the settings of the VM with that index to the folder; further
   has further sections of them. The VM is not started. */
void
soak_vm_init (struct soak_vm *vm, unsigned index, const char *folder,
              const char *data_center, int store_port, const char *further)
{
  g_autofree char *name = g_strdup_printf ("vm%u.ini", index);
  g_autofree char *log_name = g_strdup_printf ("vm%u.log", index);

  *vm = (struct soak_vm){ .port = free_port (SOCK_STREAM),
                          .ready_port = free_port (SOCK_STREAM),
                          .metrics_port = free_port (SOCK_STREAM),
                          .peer_port = free_port (SOCK_DGRAM),
                          .settings = g_build_filename (folder, name, NULL),
                          .log = g_build_filename (folder, log_name, NULL) };
  vm->cut = cut_file_path (vm->settings);
  write_settings (vm, index, data_center, store_port, further);
}

static void
write_settings (struct soak_vm *vm, unsigned index, const char *data_center,
                int store_port, const char *further)
{
  g_autofree char *text = g_strdup_printf (
      "[vm]\nid = vm%u\ndata_center = %s\n[callers]\nlisten = 127.0.0.1:%d\n"
      "[ready]\nlisten = 127.0.0.1:%d\n[metrics]\nlisten = 127.0.0.1:%d\n"
      "[peers]\nlisten = 127.0.0.1:%d\n[store]\naddress = 127.0.0.1:%d\n"
      "poll_ms = 200\n[drain]\ngrace_s = %d\nnotice_ms = 500\n%s",
      index, data_center, vm->port, vm->ready_port, vm->metrics_port, vm->peer_port,
      store_port, DRAIN_GRACE_S, further);

  if (!g_file_set_contents (vm->settings, text, -1, NULL))
    abort ();
}

/* Ends the VM's process and removes its settings, and its log unless that is kept. */
void
soak_vm_clear (struct soak_vm *vm, bool keep_log)
{
  if (vm->pid > 0)
    {
      (void)kill (vm->pid, SIGKILL);
      (void)waitpid (vm->pid, NULL, 0);
    }
  (void)g_unlink (vm->settings);
  (void)g_unlink (vm->cut);
  if (!keep_log)
    (void)g_unlink (vm->log);
  g_free (vm->settings);
  g_free (vm->cut);
  g_free (vm->log);
}

/* Starts a VM's process. A signal that it gets before its program runs is kept for the
   program. */
void
soak_vm_start (struct soak_vm *vm)
{
  const char *build = g_getenv ("BUILD") != NULL ? g_getenv ("BUILD") : "build";
  g_autofree char *built = g_build_filename (build, "kingcuppoint", NULL);
  const char *newest
      = g_getenv ("KCP_PROGRAM") != NULL ? g_getenv ("KCP_PROGRAM") : built;
  const char *program = vm->program != NULL ? vm->program : newest;
  sigset_t signals;
  sigset_t before;

  (void)sigemptyset (&signals);
  (void)sigaddset (&signals, SIGHUP);
  (void)sigaddset (&signals, SIGTERM);
  (void)pthread_sigmask (SIG_BLOCK, &signals, &before);
  vm->start_us = 0;
  vm->pid = fork ();
  if (vm->pid == 0)
    run_program (vm, program);
  (void)pthread_sigmask (SIG_SETMASK, &before, NULL);
}

/* Runs a VM's program in the process that was forked for it. No other socket of the test
   stays open in it. */
static void
run_program (const struct soak_vm *vm, const char *program)
{
  int log = open (vm->log, O_WRONLY | O_CREAT | O_APPEND, LOG_MODE);

  (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (log < 0 || dup2 (log, STDOUT_FILENO) < 0)
    _exit (126);
  (void)close_range (STDERR_FILENO + 1, ~0u, 0);
  (void)execl (program, program, "route", "--settings", vm->settings, (char *)NULL);
  _exit (127);
}

/* Injects a fault into a VM that has none. A killed or stopped VM is started or continued
   after duration_us. Returns false if the VM has a fault already. */
bool
soak_vm_inject (struct soak_vm *vm, enum soak_vm_fault fault, int64_t now_us,
                int64_t duration_us)
{
  if (vm->pid == 0 || vm->resume_us != 0 || vm->kill_us != 0)
    return false;
  vm->disturbed_us = now_us;
  switch (fault)
    {
    case SOAK_VM_KILL:
      (void)kill (vm->pid, SIGKILL);
      (void)waitpid (vm->pid, NULL, 0);
      vm->pid = 0;
      vm->start_us = now_us + duration_us;
      break;
    case SOAK_VM_STOP:
      (void)kill (vm->pid, SIGSTOP);
      vm->resume_us = now_us + duration_us;
      break;
    case SOAK_VM_TERM:
      (void)kill (vm->pid, SIGTERM);
      vm->kill_us = now_us + DRAIN_GRACE_US;
      break;
    case SOAK_VM_HUP:
    case SOAK_VM_FAULT_COUNT:
      (void)kill (vm->pid, SIGHUP);
      break;
    }
  return true;
}

/* Reports a violation if a VM has ended without having been killed or told to drain; it
   is started again. */
static void
check_running (struct soak_vm *vm, int64_t now_us, const struct soak_report *report)
{
  g_autofree char *text = NULL;
  int status;

  if (vm->pid == 0 || vm->kill_us != 0 || waitpid (vm->pid, &status, WNOHANG) != vm->pid)
    return;
  text = g_strdup_printf ("%s: exit code %d, signal %d", vm->settings,
                          WIFEXITED (status) ? WEXITSTATUS (status) : 0,
                          WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  report->broken ("EXIT", "-", text);
  vm->pid = 0;
  vm->resume_us = 0;
  vm->disturbed_us = now_us;
}

/* Continues or starts a VM when that is due, or immediately if all is true. Reports a
   violation and kills the VM if it has not drained in time. */
void
soak_vm_end_faults (struct soak_vm *vm, int64_t now_us, bool all,
                    const struct soak_report *report)
{
  check_running (vm, now_us, report);
  if (vm->resume_us != 0 && (all || now_us >= vm->resume_us))
    {
      (void)kill (vm->pid, SIGCONT);
      vm->resume_us = 0;
      vm->disturbed_us = now_us;
    }
  if (vm->kill_us != 0 && waitpid (vm->pid, NULL, WNOHANG) == vm->pid)
    {
      vm->pid = 0;
      vm->kill_us = 0;
      vm->start_us = now_us;
    }
  else if (vm->kill_us != 0 && now_us >= vm->kill_us)
    {
      report->broken ("DRAIN", "-",
                      "a VM was still running at the end of its grace period");
      (void)kill (vm->pid, SIGKILL);
      (void)waitpid (vm->pid, NULL, 0);
      vm->pid = 0;
      vm->kill_us = 0;
      vm->start_us = now_us;
    }
  if (vm->pid == 0 && (all || now_us >= vm->start_us))
    {
      soak_vm_start (vm);
      vm->disturbed_us = now_us;
    }
}

/* Connects to a port of the loopback address. Returns -1 if nothing accepts there. */
int
soak_connect (int port, int receive_timeout_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct timeval limit = { .tv_sec = receive_timeout_ms / 1000,
                           .tv_usec = receive_timeout_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void)setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  (void)close (fd);
  return -1;
}
