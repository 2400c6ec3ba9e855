#include "tests/harness/process.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_TIMEOUT_MS 20000
#define READY_POLL_MS    2

static pid_t spawn (char *const *argv, const char *log_path);
static bool read_ports (struct process *process);
static int parse_port (json_t *line, const char *key);

/* Starts a program whose output goes to FOLDER/NAME.log and waits until it logs that it
   is listening. Aborts the test program if that takes longer than READY_TIMEOUT_MS. The
   child is killed when the test program ends. */
struct process *
process_start (const char *folder, const char *name, char *const *argv)
{
  struct process *process = g_new0 (struct process, 1);

  process->name = g_strdup (name);
  process->log_path = g_strdup_printf ("%s/%s.log", folder, name);
  (void)unlink (process->log_path);
  process->pid = spawn (argv, process->log_path);
  for (int waited = 0; waited < READY_TIMEOUT_MS; waited += READY_POLL_MS)
    {
      if (read_ports (process))
        return process;
      g_usleep (READY_POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  (void)fprintf (stderr, "%s did not start; see %s\n", name, process->log_path);
  abort ();
}

/* Sends a signal to the process, unless it has ended. */
void
process_signal (struct process *process, int signal_number)
{
  if (process->pid > 0)
    (void)kill (process->pid, signal_number);
}

/* Waits for the process to end. Returns its exit code, or 128 plus the number of the
   signal that ended it. */
int
process_wait (struct process *process)
{
  int status = 0;

  if (process->pid == 0)
    return 0;
  (void)waitpid (process->pid, &status, 0);
  process->pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

/* Kills the process and waits for its end. */
void
process_kill (struct process *process)
{
  if (process->pid == 0)
    return;
  process_signal (process, SIGKILL);
  (void)process_wait (process);
}

/* Kills the process if it still runs, and frees it; NULL is allowed. */
void
process_free (struct process *process)
{
  if (process == NULL)
    return;
  process_kill (process);
  g_free (process->name);
  g_free (process->log_path);
  g_free (process);
}

static pid_t
spawn (char *const *argv, const char *log_path)
{
  pid_t parent = getpid ();
  pid_t pid = fork ();
  sigset_t empty_set;
  int fd;

  if (pid != 0)
    return pid;
  sigemptyset (&empty_set);
  (void)sigprocmask (SIG_SETMASK, &empty_set, NULL);
  (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (EXIT_FAILURE);
  fd = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (fd >= 0)
    {
      (void)dup2 (fd, STDERR_FILENO);
      (void)dup2 (fd, STDOUT_FILENO);
    }
  execv (argv[0], argv);
  _exit (EXIT_FAILURE);
}

static bool
read_ports (struct process *process)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  bool found = false;

  if (!g_file_get_contents (process->log_path, &text, NULL, NULL))
    return false;
  lines = g_strsplit (text, "\n", -1);
  for (char **at = lines; *at != NULL && !found; at++)
    {
      json_t *line;

      if (strstr (*at, "\"listening\"") == NULL)
        continue;
      line = json_loads (*at, 0, NULL);
      process->port = parse_port (line, "port") + parse_port (line, "callers");
      process->admin_port = parse_port (line, "operators");
      process->peer_port = parse_port (line, "peers");
      found = process->port > 0;
      json_decref (line);
    }
  return found;
}

static int
parse_port (json_t *line, const char *key)
{
  const char *text = json_string_value (json_object_get (line, key));

  return text != NULL ? atoi (text) : 0;
}
