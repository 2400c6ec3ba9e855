#include "tests/harness/early_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG          16
#define READ_BLOCK_BYTES 4096
#define HEAD_END         "\r\n\r\n"
#define RESET_DELAY_MS   30  /* in which the answer's bytes are read */
#define DRAIN_MS         200 /* for the rest of a request */

struct early_server
{
  int listener;
  int port;
  char *answer;
  enum early_end end;
  GThread *thread;
  int stopping; /* atomic */
  int answers;  /* atomic */
};

static void *accept_connections (void *user);
static void answer_connection (struct early_server *server, int fd);
static bool read_head (int fd);

/* Starts a server at a free port of the loopback address. */
struct early_server *
early_server_start (const char *answer, enum early_end end)
{
  struct early_server *server = g_new0 (struct early_server, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  server->answer = g_strdup (answer);
  server->end = end;
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, BACKLOG) != 0
      || getsockname (server->listener, (struct sockaddr *)&address, &len) != 0)
    abort ();
  server->port = ntohs (address.sin_port);
  server->thread = g_thread_new ("early", accept_connections, server);
  return server;
}

int
early_server_port (const struct early_server *server)
{
  return server->port;
}

/* Returns the number of requests answered so far. */
unsigned
early_server_answer_count (struct early_server *server)
{
  return (unsigned)g_atomic_int_get (&server->answers);
}

/* Stops the server and frees it. */
void
early_server_stop (struct early_server *server)
{
  g_atomic_int_set (&server->stopping, 1);
  (void)shutdown (server->listener, SHUT_RDWR);
  (void)g_thread_join (server->thread);
  (void)close (server->listener);
  g_free (server->answer);
  g_free (server);
}

static void *
accept_connections (void *user)
{
  struct early_server *server = user;

  while (!g_atomic_int_get (&server->stopping))
    {
      int fd = accept (server->listener, NULL, NULL);

      if (fd >= 0)
        answer_connection (server, fd);
    }
  return NULL;
}

static void
answer_connection (struct early_server *server, int fd)
{
  struct linger reset = { .l_onoff = 1 };
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  char block[READ_BLOCK_BYTES];
  int64_t end_us = g_get_monotonic_time () + DRAIN_MS * G_TIME_SPAN_MILLISECOND;

  if (read_head (fd)
      && send (fd, server->answer, strlen (server->answer), MSG_NOSIGNAL) > 0)
    {
      g_atomic_int_inc (&server->answers);
      g_usleep (RESET_DELAY_MS * G_TIME_SPAN_MILLISECOND);
      if (server->end == EARLY_RESET)
        (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      else
        while (g_get_monotonic_time () < end_us && poll (&wait, 1, DRAIN_MS) > 0
               && read (fd, block, sizeof block) > 0)
          continue;
    }
  (void)close (fd);
}

/* Reads to the end of the head, and perhaps into the body. */
static bool
read_head (int fd)
{
  g_autoptr (GString) head = g_string_new (NULL);
  char block[READ_BLOCK_BYTES];
  ssize_t count;

  while (strstr (head->str, HEAD_END) == NULL)
    {
      count = read (fd, block, sizeof block);
      if (count <= 0)
        return false;
      g_string_append_len (head, block, count);
    }
  return true;
}
