#include "tests/harness/scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BLOCK_BYTES 4096
#define EVENTS_WAIT_MS   200
#define BACKLOG          64
#define BORN_MS          1000
#define HEAD_END         "\r\n\r\n"

struct scripted_server
{
  struct fake_platform *platform;
  char *id;
  int port;
  unsigned entries; /* that it has written */
  int listener;
  scripted_handler *handler;
  scripted_handler *router_handler; /* NULL: the server answers the router's calls */
  void *user;
  GThread *acceptor;
  pthread_mutex_t lock; /* guards the members below */
  bool stopping;
  GPtrArray *threads; /* GThread, one for each connection */
  unsigned connections;
  GArray *open;       /* int, descriptors of the open connections */
  GArray *request_us; /* int64_t, monotonic times at which requests arrived */
};

struct connection
{
  struct scripted_server *server;
  int fd;
  unsigned number;
  GString *received; /* bytes that no request has used yet */
};

static void *accept_connections (void *user);
static void *serve_connection (void *user);
static bool serve_next (struct connection *connection);
static bool read_more (struct connection *connection);
static bool receive_request (struct connection *connection, GString *head);
static char *header_value (const char *head, const char *name);
static void answer_router_call (struct scripted_request *request, const char *head);
static unsigned count_request (struct scripted_server *server);
static void close_connection (struct scripted_server *server, int fd);

/* Starts a server, which offers service "s" with version 1 of the weights of model "m",
   and adds it to the platform's servers' list as ready. handler is called for each
   request. */
struct scripted_server *
scripted_server_start (struct fake_platform *platform, const char *id,
                       scripted_handler *handler, void *user)
{
  struct scripted_server *server = g_new0 (struct scripted_server, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  server->platform = platform;
  server->id = g_strdup (id);
  server->handler = handler;
  server->user = user;
  server->threads = g_ptr_array_new ();
  server->open = g_array_new (FALSE, FALSE, sizeof (int));
  server->request_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  pthread_mutex_init (&server->lock, NULL);
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, BACKLOG) != 0
      || getsockname (server->listener, (struct sockaddr *)&address, &len) != 0)
    abort ();
  server->port = ntohs (address.sin_port);
  server->acceptor = g_thread_new ("accept", accept_connections, server);
  scripted_server_put_entry (server, "ready");
  return server;
}

/* Closes all connections, waits for the handlers and frees the server. */
void
scripted_server_stop (struct scripted_server *server)
{
  pthread_mutex_lock (&server->lock);
  server->stopping = true;
  (void)shutdown (server->listener, SHUT_RDWR);
  for (guint i = 0; i < server->open->len; i++)
    (void)shutdown (g_array_index (server->open, int, i), SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
  g_thread_join (server->acceptor);
  for (guint i = 0; i < server->threads->len; i++)
    g_thread_join (g_ptr_array_index (server->threads, i));
  (void)close (server->listener);
  g_ptr_array_unref (server->threads);
  g_array_unref (server->open);
  g_array_unref (server->request_us);
  pthread_mutex_destroy (&server->lock);
  g_free (server->id);
  g_free (server);
}

/* Has the router's own calls answered by a handler too. */
void
scripted_server_answer_router_calls (struct scripted_server *server,
                                     scripted_handler *handler)
{
  server->router_handler = handler;
}

/* Refuses further connections, as after the end of the process. */
void
scripted_server_close_port (struct scripted_server *server)
{
  (void)shutdown (server->listener, SHUT_RDWR);
}

/* Appends the server's entry with the given state to the servers' list. */
void
scripted_server_put_entry (struct scripted_server *server, const char *state)
{
  scripted_server_put_entry_as (server, state, BORN_MS);
}

/* As scripted_server_put_entry(), for a server that says that it started at born_ms. */
void
scripted_server_put_entry_as (struct scripted_server *server, const char *state,
                              int64_t born_ms)
{
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"v1\","
      "\"slots\":8,\"state\":\"%s\",\"seq-no\":%u,"
      "\"born\":%" G_GINT64_FORMAT ",\"models\":[{\"name\":\"m\",\"version\":1}]}",
      server->port, state, ++server->entries, born_ms);

  fake_platform_put_server_entry (server->platform, server->id, text);
}

/* Removes the server's entry from the servers' list. */
void
scripted_server_remove_entry (struct scripted_server *server)
{
  fake_platform_put_server_entry (server->platform, server->id, "");
}

/* Returns the number of requests that have arrived, without the router's own calls. */
unsigned
scripted_server_request_count (struct scripted_server *server)
{
  unsigned count;

  pthread_mutex_lock (&server->lock);
  count = server->request_us->len;
  pthread_mutex_unlock (&server->lock);
  return count;
}

/* Returns the monotonic time, in microseconds, at which a request arrived. */
int64_t
scripted_server_request_us (struct scripted_server *server, unsigned number)
{
  int64_t time_us;

  pthread_mutex_lock (&server->lock);
  time_us = g_array_index (server->request_us, int64_t, number);
  pthread_mutex_unlock (&server->lock);
  return time_us;
}

/* Returns true once the server is being stopped. Handlers that run for long check it. */
bool
scripted_server_is_stopping (struct scripted_server *server)
{
  bool stopping;

  pthread_mutex_lock (&server->lock);
  stopping = server->stopping;
  pthread_mutex_unlock (&server->lock);
  return stopping;
}

/* Writes a text to the request's connection. Returns false if it is closed. */
bool
scripted_request_write (struct scripted_request *request, const char *text)
{
  return scripted_request_write_bytes (request, text, strlen (text));
}

/* As scripted_request_write(), for bytes. */
bool
scripted_request_write_bytes (struct scripted_request *request, const char *data,
                              size_t len)
{
  while (len > 0)
    {
      ssize_t count = send (request->fd, data, len, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      data += count;
      len -= (size_t)count;
    }
  return true;
}

/* Writes the head of an answer to this request with the server's signature. header_lines
   are further lines, each with its line end. */
bool
scripted_request_write_head (struct scripted_request *request, const char *status,
                             const char *header_lines)
{
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Seal: %s\r\n%s\r\n",
                         status, request->id, request->server->id, header_lines);

  return scripted_request_write (request, head);
}

/* Resets the request's connection. */
void
scripted_request_reset (struct scripted_request *request)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  (void)setsockopt (request->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void *
accept_connections (void *user)
{
  struct scripted_server *server = user;
  int fd;

  while ((fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct connection *connection = g_new0 (struct connection, 1);

      connection->server = server;
      connection->fd = fd;
      connection->received = g_string_new (NULL);
      pthread_mutex_lock (&server->lock);
      connection->number = server->connections++;
      g_array_append_val (server->open, fd);
      if (server->stopping)
        (void)shutdown (fd, SHUT_RDWR);
      g_ptr_array_add (server->threads,
                       g_thread_new ("connection", serve_connection, connection));
      pthread_mutex_unlock (&server->lock);
    }
  return NULL;
}

static void *
serve_connection (void *user)
{
  struct connection *connection = user;

  while (serve_next (connection))
    continue;
  close_connection (connection->server, connection->fd);
  g_string_free (connection->received, TRUE);
  g_free (connection);
  return NULL;
}

/* Receives and answers one request. Returns false if the connection is to be closed. */
static bool
serve_next (struct connection *connection)
{
  struct scripted_server *server = connection->server;
  g_autoptr (GString) head = g_string_new (NULL);
  struct scripted_request request
      = { .server = server, .fd = connection->fd, .connection = connection->number };

  if (!receive_request (connection, head))
    return false;
  if (strstr (head->str, " /kingcuppoint/") != NULL)
    {
      if (server->router_handler != NULL)
        server->router_handler (&request, server->user);
      else
        answer_router_call (&request, head->str);
      return request.keep_open;
    }
  request.number = count_request (server);
  request.id = header_value (head->str, "Request-Id");
  request.after_event = header_value (head->str, "Last-Event-Id");
  server->handler (&request, server->user);
  g_free (request.id);
  g_free (request.after_event);
  return request.keep_open;
}

static bool
read_more (struct connection *connection)
{
  char block[READ_BLOCK_BYTES];
  ssize_t count = read (connection->fd, block, sizeof block);

  if (count <= 0)
    return false;
  g_string_append_len (connection->received, block, count);
  return true;
}

/* Receives a request with its body and stores its head. Returns false if the connection
   has ended. */
static bool
receive_request (struct connection *connection, GString *head)
{
  GString *received = connection->received;
  g_autofree char *length = NULL;
  const char *end;
  size_t total;

  while ((end = strstr (received->str, HEAD_END)) == NULL)
    if (!read_more (connection))
      return false;
  g_string_append_len (head, received->str, end + strlen (HEAD_END) - received->str);
  length = header_value (head->str, "Content-Length");
  total = head->len + (length != NULL ? strtoul (length, NULL, 10) : 0);
  while (received->len < total)
    if (!read_more (connection))
      return false;
  g_string_erase (received, 0, (gssize)total);
  return true;
}

/* Returns the value of a header, to be freed with g_free(), or NULL. */
static char *
header_value (const char *head, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (head, "\r\n", -1);
  size_t len = strlen (name);

  for (char **line = lines; *line != NULL; line++)
    if (g_ascii_strncasecmp (*line, name, len) == 0 && (*line)[len] == ':')
      return g_strstrip (g_strdup (*line + len + 1));
  return NULL;
}

/* Answers a call that the router makes by itself. */
static void
answer_router_call (struct scripted_request *request, const char *head)
{
  const char *body = "{\"models\":[{\"name\":\"m\",\"version\":1}],\"busy\":false,"
                     "\"seq-no\":0,\"queued\":0,\"active\":0}";
  g_autofree char *answer = NULL;

  if (strstr (head, "/kv-events") != NULL)
    {
      body = "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";
      g_usleep (EVENTS_WAIT_MS * G_TIME_SPAN_MILLISECOND);
    }
  answer = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen (body), body);
  request->keep_open = scripted_request_write (request, answer);
}

static unsigned
count_request (struct scripted_server *server)
{
  int64_t now_us = g_get_monotonic_time ();
  unsigned number;

  pthread_mutex_lock (&server->lock);
  number = server->request_us->len;
  g_array_append_val (server->request_us, now_us);
  pthread_mutex_unlock (&server->lock);
  return number;
}

static void
close_connection (struct scripted_server *server, int fd)
{
  pthread_mutex_lock (&server->lock);
  for (guint i = 0; i < server->open->len; i++)
    if (g_array_index (server->open, int, i) == fd)
      {
        g_array_remove_index_fast (server->open, i);
        break;
      }
  (void)close (fd);
  pthread_mutex_unlock (&server->lock);
}
