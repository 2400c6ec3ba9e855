#include "forward/caller_server.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "base/decision_log.h"
#include "forward/caller_head.h"
#include "forward/forward.h"
#include "forward/server_loop.h"

#define CONNECTION_MEMORY   (20u << 10) /* bytes of each connection */
#define RESPONSE_BLOCK_SIZE (4u << 10)  /* bytes */
#define IDLE_TIMEOUT_S      20u
#define CLOSING_TIMEOUT_S   1u
#define DEFAULT_BODY_MAX    (8 << 20) /* bytes; applies without a configured limit */
#define CONNECTIONS_MAX     3000u
#define STATUS_BAD_REQUEST  MHD_HTTP_BAD_REQUEST

struct kcp_caller_server
{
  struct kcp_gateway *gateway;
  struct kcp_server_loop server;
  GHashTable *callers; /* set of struct caller */
};

/* One HTTP exchange: a caller's request and its answer. */
struct exchange
{
  struct kcp_caller_server *server;
  struct MHD_Connection *connection;
  struct kcp_inbound *inbound; /* NULL once the request has been started */
  struct kcp_forward *forward;
  struct kcp_answer answer;
  bool head_read;
  bool chunked; /* a streamed answer is sent in chunks, not up to the connection's end */
  bool suspended;
  bool disconnected; /* the caller closed its connection, or the exchange has ended */
};

/* One open connection of a caller. */
struct caller
{
  struct kcp_caller_server *server;
  int fd;
  struct MHD_Connection *connection;
  struct exchange *exchange; /* in progress, or NULL */
  bool peer_closed;
};

static void *on_uri (void *user, const char *uri, struct MHD_Connection *connection);
static void on_connection (void *user, struct MHD_Connection *connection, void **state,
                           enum MHD_ConnectionNotificationCode code);
static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state);
static void on_completed (void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode code);
static void on_disconnected (void *user, uint32_t events);
static enum MHD_Result read_head (struct exchange *exchange, const char *method);
static void set_idle_timeout (const struct exchange *exchange);
static size_t body_max (const struct kcp_gateway *gateway);
static bool
body_is_too_large (struct MHD_Connection *connection, const struct kcp_gateway *gateway);
static enum MHD_Result
reject (struct exchange *exchange, unsigned status, const char *problem);
static enum MHD_Result advance (struct exchange *exchange);
static void on_changed (void *user);
static enum MHD_Result send_answer (struct exchange *exchange);
static struct MHD_Response *make_whole_response (struct kcp_answer *answer);
static ssize_t read_answer (void *user, uint64_t position, char *out, size_t max);
static void reset_connection (const struct exchange *exchange);
static void suspend (struct exchange *exchange);
static void resume (struct exchange *exchange);
static void free_forward (struct exchange *exchange);
static struct caller *find_caller (struct MHD_Connection *connection);

/* Opens the caller server at address, an IP:PORT. Returns NULL and sets error on
   failure. */
struct kcp_caller_server *
kcp_caller_server_open (struct kcp_gateway *gateway, const char *address,
                        struct kcp_error *error)
{
  struct kcp_caller_server *server = g_new0 (struct kcp_caller_server, 1);
  struct sockaddr_in at;
  struct MHD_Daemon *daemon;

  server->gateway = gateway;
  server->callers = g_hash_table_new (NULL, NULL);
  if (!kcp_server_loop_parse_address (address, &at, error))
    goto fail;
  daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, ntohs (at.sin_port), NULL,
      NULL, on_access, server, MHD_OPTION_SOCK_ADDR, &at,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
      MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      IDLE_TIMEOUT_S, MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, server, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (kcp_server_loop_start (&server->server, gateway->loop, daemon, address, error))
    return server;
fail:
  kcp_caller_server_close (server);
  return NULL;
}

/* Sets the idle timeout of the connections without a request in progress to
   CLOSING_TIMEOUT_S, after which they are closed. */
void
kcp_caller_server_close_idle (struct kcp_caller_server *server)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, server->callers);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct caller *caller = key;

      if (caller->exchange == NULL)
        MHD_set_connection_option (caller->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                   CLOSING_TIMEOUT_S);
    }
  server->server.run_pending = true;
}

/* Closes the server and its connections, and ends their requests. server may be NULL. */
void
kcp_caller_server_close (struct kcp_caller_server *server)
{
  if (server == NULL)
    return;
  kcp_server_loop_stop (&server->server);
  if (server->callers != NULL)
    g_hash_table_unref (server->callers);
  g_free (server);
}

/* Creates the exchange. uri is the path and query of the request line as received. */
static void *
on_uri (void *user, const char *uri, struct MHD_Connection *connection)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);

  exchange->server = user;
  exchange->connection = connection;
  exchange->inbound = g_new0 (struct kcp_inbound, 1);
  exchange->inbound->target = g_strdup (uri);
  exchange->inbound->body = g_string_new (NULL);
  kcp_answer_init (&exchange->answer, on_changed, exchange);
  return exchange;
}

/* Watches each connection for the caller closing it, since libmicrohttpd does not detect
   this while the connection is suspended and the request waits for its answer. */
static void
on_connection (void *user, struct MHD_Connection *connection, void **state,
               enum MHD_ConnectionNotificationCode code)
{
  struct kcp_caller_server *server = user;
  struct kcp_poller *poller = kcp_loop_poller (server->gateway->loop);
  struct caller *caller = *state;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      caller = g_new0 (struct caller, 1);
      caller->server = server;
      caller->fd = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                       ->connect_fd;
      caller->connection = connection;
      *state = caller;
      g_hash_table_add (server->callers, caller);
      kcp_poller_watch (poller, caller->fd, EPOLLRDHUP | EPOLLET, on_disconnected,
                        caller);
      return;
    }
  if (caller == NULL)
    return;
  kcp_poller_unwatch (poller, caller->fd);
  g_hash_table_remove (server->callers, caller);
  g_free (caller);
  *state = NULL;
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state)
{
  struct exchange *exchange = *state;
  const struct kcp_caller_server *server = user;

  (void)connection;
  (void)url;
  if (exchange->disconnected)
    return MHD_NO;
  if (!exchange->head_read)
    {
      exchange->chunked = strcmp (version, MHD_HTTP_VERSION_1_0) != 0;
      return read_head (exchange, method);
    }
  if (*size > 0)
    {
      if (exchange->inbound->body->len + *size <= body_max (server->gateway))
        g_string_append_len (exchange->inbound->body, data, (gssize)*size);
      else
        exchange->answer.status = MHD_HTTP_CONTENT_TOO_LARGE;
      *size = 0;
      return MHD_YES;
    }
  return advance (exchange);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct exchange *exchange = *state;
  struct caller *caller = find_caller (connection);

  (void)user;
  (void)code;
  if (exchange == NULL)
    return;
  *state = NULL;
  if (caller != NULL)
    caller->exchange = NULL;
  exchange->disconnected = true;
  free_forward (exchange);
  kcp_answer_clear (&exchange->answer);
  if (exchange->inbound != NULL)
    kcp_inbound_clear (exchange->inbound);
  g_free (exchange->inbound);
  g_free (exchange);
}

/* Ends the request of a caller that has closed its connection. */
static void
on_disconnected (void *user, uint32_t events)
{
  struct caller *caller = user;
  struct exchange *exchange = caller->exchange;

  (void)events;
  /* A request that has been received but not read yet must not be started either. */
  caller->peer_closed = true;
  if (exchange == NULL || exchange->disconnected)
    return;
  exchange->disconnected = true;
  free_forward (exchange);
  resume (exchange);
}

static enum MHD_Result
read_head (struct exchange *exchange, const char *method)
{
  struct MHD_Connection *connection = exchange->connection;
  struct caller *caller = find_caller (connection);
  const char *problem;

  exchange->head_read = true;
  if (caller != NULL && caller->peer_closed)
    return MHD_NO;
  if (caller != NULL)
    caller->exchange = exchange;
  problem = kcp_caller_head_read (connection, exchange->server->gateway->dialect, method,
                                  exchange->inbound);
  if (problem != NULL)
    return reject (exchange, STATUS_BAD_REQUEST, problem);
  set_idle_timeout (exchange);
  if (body_is_too_large (connection, exchange->server->gateway))
    return reject (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
  return MHD_YES;
}

/* Applies the configured idle timeout, as the next larger number of whole seconds, to the
   connection. */
static void
set_idle_timeout (const struct exchange *exchange)
{
  const struct kcp_routes *routes = exchange->server->gateway->routes;
  int64_t idle_ms = routes != NULL ? routes->limits.idle_timeout_ms : 0;

  if (idle_ms > 0)
    MHD_set_connection_option (exchange->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                               (unsigned)(idle_ms / KCP_MS_PER_S + 1));
}

static size_t
body_max (const struct kcp_gateway *gateway)
{
  int64_t max_bytes
      = gateway->routes != NULL ? gateway->routes->limits.max_body_bytes : 0;

  return max_bytes > 0 ? (size_t)max_bytes : DEFAULT_BODY_MAX;
}

static bool
body_is_too_large (struct MHD_Connection *connection, const struct kcp_gateway *gateway)
{
  const char *text = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_CONTENT_LENGTH);
  int64_t length;

  return text != NULL && kcp_str_to_int64 (kcp_str_from_c (text), &length)
         && length > (int64_t)body_max (gateway);
}

/* Answers an invalid request without starting it, and closes the connection. */
static enum MHD_Result
reject (struct exchange *exchange, unsigned status, const char *problem)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result;

  KCP_LOG ("rejected", KCP_LOG_TEXT ("request", exchange->inbound->id),
           KCP_LOG_INT ("status", status), KCP_LOG_TEXT ("why", problem));
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (exchange->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Starts the request, or rejects it if its body was too large. Then sends the answer if
   it has begun, or suspends the connection. */
static enum MHD_Result
advance (struct exchange *exchange)
{
  if (exchange->answer.status == MHD_HTTP_CONTENT_TOO_LARGE && exchange->forward == NULL)
    return reject (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
  if (exchange->forward == NULL)
    {
      struct kcp_inbound *inbound = exchange->inbound;

      exchange->inbound = NULL;
      exchange->forward
          = kcp_forward_start (exchange->server->gateway, inbound, &exchange->answer);
    }
  if (exchange->answer.begun)
    return send_answer (exchange);
  suspend (exchange);
  return MHD_YES;
}

static void
on_changed (void *user)
{
  struct exchange *exchange = user;

  if (!exchange->disconnected)
    resume (exchange);
}

static enum MHD_Result
send_answer (struct exchange *exchange)
{
  struct kcp_answer *answer = &exchange->answer;
  struct MHD_Response *response;
  enum MHD_Result result;

  if (answer->streaming)
    response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, RESPONSE_BLOCK_SIZE,
                                                  read_answer, exchange, NULL);
  else
    response = make_whole_response (answer);
  for (guint i = 0; i + 1 < answer->headers->len; i += 2)
    MHD_add_response_header (response, g_ptr_array_index (answer->headers, i),
                             g_ptr_array_index (answer->headers, i + 1));
  if (exchange->server->gateway->draining)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (exchange->connection, answer->status, response);
  MHD_destroy_response (response);
  return result;
}

/* Makes the response to an answer that is complete. Takes the answer's body. */
static struct MHD_Response *
make_whole_response (struct kcp_answer *answer)
{
  size_t len = answer->body->len;
  char *data = g_string_free (answer->body, FALSE);

  answer->body = g_string_new (NULL);
  return MHD_create_response_from_buffer (len, data, MHD_RESPMEM_MUST_FREE);
}

/* Gives libmicrohttpd the next bytes of a streamed answer. Suspends the connection if
   there are none yet. */
static ssize_t
read_answer (void *user, uint64_t position, char *out, size_t max)
{
  struct exchange *exchange = user;
  GString *body = exchange->answer.body;
  size_t count = MIN (max, body->len);

  (void)position;
  if (count > 0)
    {
      memcpy (out, body->str, count);
      g_string_erase (body, 0, (gssize)count);
      if (exchange->answer.taken != NULL)
        exchange->answer.taken (exchange->answer.taken_user);
      return (ssize_t)count;
    }
  if (exchange->disconnected)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  switch (exchange->answer.end)
    {
    case KCP_ANSWER_IN_PROGRESS:
      break;
    case KCP_ANSWER_COMPLETE:
      return MHD_CONTENT_READER_END_OF_STREAM;
    case KCP_ANSWER_INTERRUPTED:
      if (!exchange->chunked)
        reset_connection (exchange);
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  suspend (exchange);
  return 0;
}

/* Resets the connection to a caller that would take its orderly end for the end of the
   answer. libmicrohttpd ends connections in order, so this has to be done before. */
static void
reset_connection (const struct exchange *exchange)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };
  const struct caller *caller = find_caller (exchange->connection);

  if (caller != NULL && connect (caller->fd, &none, sizeof none) != 0)
    KCP_LOG ("reset_failed", KCP_LOG_TEXT ("reason", g_strerror (errno)));
}

static void
suspend (struct exchange *exchange)
{
  exchange->suspended = true;
  MHD_suspend_connection (exchange->connection);
}

static void
resume (struct exchange *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  exchange->server->server.run_pending = true;
  MHD_resume_connection (exchange->connection);
}

static void
free_forward (struct exchange *exchange)
{
  if (exchange->forward != NULL)
    kcp_forward_free (exchange->forward);
  exchange->forward = NULL;
}

static struct caller *
find_caller (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}
