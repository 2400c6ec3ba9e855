#include "tests/harness/process_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CONNECTIONS_MAX 64
#define REQUEST_MAX     8192 /* bytes */
#define FDS_MAX         1024
#define BACKLOG         64
#define FIRST_START_MS  1000
#define NEXT_START_MS   2000
#define REPORT_DELAY_MS 300
#define RESETS          3u
#define REFUSAL                                                                          \
  "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

struct connection
{
  int fd; /* -1: free */
  size_t len;
  char received[REQUEST_MAX + 1];
};

/* A process: the server, or the one that follows it at its port. */
struct process
{
  struct process_server_script script;
  char id[64];
  int listener;
  int requests; /* pipe */
  int64_t start_ms;
  bool follows;
  unsigned resets; /* of calls for its report, so far */
  struct connection connections[CONNECTIONS_MAX];
};

static pid_t fork_process (struct process *process, int wait_for, const int *kept);
static _Noreturn void run (struct process *process);
static void accept_one (struct process *process);
static void read_some (struct process *process, struct connection *connection);
static void answer (struct process *process, struct connection *connection);
static void answer_request (struct process *process, struct connection *connection);
static void answer_router_call (struct process *process, struct connection *connection);
static void answer_report (struct process *process, struct connection *connection);
static bool is_for_other_instance (const struct process *process, const char *head);
static void copy_header (const char *head, const char *name, char *out, size_t size);
static void write_text (int fd, const char *text);
static void close_connection (struct connection *connection);

/* Starts a server, which offers service "s" with version 1 of the weights of model "m",
   and adds it to the platform's servers' list as ready. */
struct process_server
process_server_start (struct fake_platform *platform, const char *id,
                      const struct process_server_script *script)
{
  struct process *process = calloc (1, sizeof *process);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  struct process_server server = { 0 };
  int requests[2];
  int life[2]; /* only the server has the end for writing: it ends with the server */
  char entry[512];

  process->script = *script;
  process->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (process->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (process->listener, BACKLOG) != 0
      || getsockname (process->listener, (struct sockaddr *)&address, &len) != 0
      || pipe2 (requests, O_CLOEXEC | O_NONBLOCK) != 0 || pipe2 (life, O_CLOEXEC) != 0)
    abort ();
  process->requests = requests[1];
  (void)snprintf (process->id, sizeof process->id, "%s", id);
  process->start_ms
      = script->reported_start_ms != 0 ? script->reported_start_ms : FIRST_START_MS;
  server.pid = fork_process (process, -1,
                             (int[]){ process->listener, requests[1], life[1], -1 });
  if (script->end == PROCESS_SERVER_RESTARTS || script->end == PROCESS_SERVER_IS_REPLACED)
    {
      process->follows = true;
      if (script->end == PROCESS_SERVER_RESTARTS)
        process->start_ms = NEXT_START_MS;
      else
        (void)snprintf (process->id, sizeof process->id, "%s-next", id);
      server.successor = fork_process (
          process, life[0], (int[]){ process->listener, requests[1], life[0], -1 });
    }
  server.requests = requests[0];
  (void)close (requests[1]);
  (void)close (life[0]);
  (void)close (life[1]);
  (void)close (process->listener);
  free (process);
  (void)snprintf (entry, sizeof entry,
                  "{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\","
                  "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"seq-no\":1,"
                  "\"born\":%d,\"models\":[{\"name\":\"m\",\"version\":1}]}",
                  ntohs (address.sin_port), FIRST_START_MS);
  fake_platform_put_server_entry (platform, id, entry);
  return server;
}

/* Returns how many requests have arrived since the last call. */
unsigned
process_server_take_request_count (const struct process_server *server)
{
  unsigned count = 0;
  char byte;

  while (read (server->requests, &byte, 1) == 1)
    count++;
  return count;
}

/* Kills the server, and the process that followed it. */
void
process_server_stop (const struct process_server *server)
{
  const pid_t pids[] = { server->pid, server->successor };

  for (size_t i = 0; i < sizeof pids / sizeof pids[0]; i++)
    if (pids[i] > 0)
      {
        (void)kill (pids[i], SIGKILL);
        (void)waitpid (pids[i], NULL, 0);
      }
  (void)close (server->requests);
}

/* Forks a process that keeps only some descriptors, the last of which is followed by -1.
   It begins once the pipe wait_for has ended; -1: at once. */
static pid_t
fork_process (struct process *process, int wait_for, const int *kept)
{
  pid_t pid = fork ();
  char byte;

  if (pid < 0)
    abort ();
  if (pid > 0)
    return pid;
  for (int fd = STDERR_FILENO + 1; fd < FDS_MAX; fd++)
    {
      bool keep = false;

      for (const int *other = kept; *other >= 0; other++)
        keep = keep || *other == fd;
      if (!keep)
        (void)close (fd);
    }
  if (wait_for >= 0)
    (void)read (wait_for, &byte, 1);
  if (wait_for >= 0 && process->start_ms == NEXT_START_MS)
    process->start_ms = g_get_real_time () / 1000;
  run (process);
}

static _Noreturn void
run (struct process *process)
{
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    process->connections[i].fd = -1;
  for (;;)
    {
      struct pollfd fds[CONNECTIONS_MAX + 1];

      for (size_t i = 0; i < CONNECTIONS_MAX; i++)
        fds[i] = (struct pollfd){ .fd = process->connections[i].fd, .events = POLLIN };
      fds[CONNECTIONS_MAX] = (struct pollfd){ .fd = process->listener, .events = POLLIN };
      if (poll (fds, CONNECTIONS_MAX + 1, -1) < 0)
        _exit (1);
      for (size_t i = 0; i < CONNECTIONS_MAX; i++)
        if (fds[i].revents != 0)
          read_some (process, &process->connections[i]);
      if (fds[CONNECTIONS_MAX].revents != 0)
        accept_one (process);
    }
}

static void
accept_one (struct process *process)
{
  int fd = accept4 (process->listener, NULL, NULL, SOCK_CLOEXEC);

  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    if (process->connections[i].fd < 0)
      {
        process->connections[i].fd = fd;
        process->connections[i].len = 0;
        return;
      }
  (void)close (fd);
}

static void
read_some (struct process *process, struct connection *connection)
{
  ssize_t count = read (connection->fd, connection->received + connection->len,
                        REQUEST_MAX - connection->len);
  char length[32];
  const char *end;

  if (count <= 0)
    {
      close_connection (connection);
      return;
    }
  connection->len += (size_t)count;
  connection->received[connection->len] = '\0';
  end = strstr (connection->received, "\r\n\r\n");
  if (end == NULL)
    return;
  copy_header (connection->received, "\r\nContent-Length: ", length, sizeof length);
  if (connection->len
      >= (size_t)(end + 4 - connection->received) + strtoul (length, NULL, 10))
    answer (process, connection);
}

static void
answer (struct process *process, struct connection *connection)
{
  connection->len = 0;
  if (strstr (connection->received, " /kingcuppoint/") != NULL)
    answer_router_call (process, connection);
  else
    answer_request (process, connection);
}

static void
answer_request (struct process *process, struct connection *connection)
{
  const struct process_server_script *script = &process->script;
  bool resumed = strstr (connection->received, "\r\nLast-Event-Id: ") != NULL;
  char id[128];
  char head[512];

  (void)write (process->requests, "", 1);
  if (is_for_other_instance (process, connection->received))
    {
      write_text (connection->fd, REFUSAL);
      return;
    }
  copy_header (connection->received, "\r\nRequest-Id: ", id, sizeof id);
  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\n%s\r\n", id,
                  process->id, script->header_lines);
  write_text (connection->fd, head);
  write_text (connection->fd, resumed && script->resumed_body != NULL
                                  ? script->resumed_body
                                  : script->body);
  if (script->end != PROCESS_SERVER_CLOSES && !process->follows)
    (void)kill (getpid (), SIGKILL);
  close_connection (connection);
}

static void
answer_router_call (struct process *process, struct connection *connection)
{
  const char *body = "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";
  char text[256];

  if (is_for_other_instance (process, connection->received))
    {
      write_text (connection->fd, REFUSAL);
      return;
    }
  if (strstr (connection->received, "/report") != NULL)
    {
      answer_report (process, connection);
      return;
    }
  (void)snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                  strlen (body), body);
  write_text (connection->fd, text);
}

static void
answer_report (struct process *process, struct connection *connection)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  char body[256];
  char text[512];

  switch (process->script.reports)
    {
    case PROCESS_SERVER_REPORTS:
      break;
    case PROCESS_SERVER_REPORTS_LATE:
      (void)usleep (REPORT_DELAY_MS * 1000);
      break;
    case PROCESS_SERVER_REPORTS_BUSY:
      write_text (connection->fd,
                  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      return;
    case PROCESS_SERVER_RESETS_REPORTS:
      if (process->resets++ >= RESETS)
        break;
      (void)setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      close_connection (connection);
      return;
    case PROCESS_SERVER_NEVER_REPORTS:
      return;
    }
  (void)snprintf (body, sizeof body,
                  "{\"born\":%" G_GINT64_FORMAT
                  ",\"models\":[{\"name\":\"m\",\"version\":1}],"
                  "\"busy\":false,\"seq-no\":0,\"queued\":0,\"active\":0}",
                  process->start_ms);
  (void)snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                  strlen (body), body);
  write_text (connection->fd, text);
}

static bool
is_for_other_instance (const struct process *process, const char *head)
{
  char expected[64];

  copy_header (head, "\r\nExpect-Instance: ", expected, sizeof expected);
  return expected[0] != '\0' && strcmp (expected, process->id) != 0;
}

/* Copies the value of a header; empty if the head does not have it. */
static void
copy_header (const char *head, const char *name, char *out, size_t size)
{
  const char *line = strcasestr (head, name);
  size_t len;

  out[0] = '\0';
  if (line == NULL)
    return;
  line += strlen (name);
  len = strcspn (line, "\r");
  if (len < size)
    {
      memcpy (out, line, len);
      out[len] = '\0';
    }
}

static void
write_text (int fd, const char *text)
{
  size_t len = strlen (text);

  while (len > 0)
    {
      ssize_t count = send (fd, text, len, MSG_NOSIGNAL);

      if (count <= 0)
        return;
      text += count;
      len -= (size_t)count;
    }
}

static void
close_connection (struct connection *connection)
{
  (void)close (connection->fd);
  connection->fd = -1;
}
