#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/caller_private.h"

#define IDLE_TIMEOUT_S    20u
#define CLOSING_TIMEOUT_S 1u
/* Other VMs may have as many connections as callers, divided by this. */
#define VM_CONNECTIONS_DIVISOR 8u
/* So many connections are kept free, by closing those without a request. */
#define FREE_CONNECTIONS 16u
/* Connections that wait to be accepted. Of VMs few may, so that a VM whose connection is
   not accepted soon finds another VM. */
#define CALLERS_BACKLOG     511u
#define CALLING_VMS_BACKLOG 16u

/* Must neither add nor remove callers. reason is for the log; NULL: none. */
typedef void caller_action (struct kcp_caller *caller, const char *reason);

static bool
listen_at (struct kcp_caller_server *server, const struct sockaddr_in *address, int fd,
           struct kcp_error *error);
static struct kcp_connection_memory memory_for (const struct kcp_caller_server *server);
static void apply_limits (void *user);
static void replace_listener (struct kcp_caller_server *server);
static void stop_accepting (struct kcp_caller_listener *listener);
static void for_each_caller (struct kcp_caller_server *server, caller_action *action,
                             const char *reason);
static void make_room (struct kcp_caller_listener *listener);
static void close_if_idle (struct kcp_caller *caller, const char *reason);
static void give_up (struct kcp_caller *caller, const char *reason);
static void cancel (struct kcp_caller *caller, const char *reason);
static void on_connection (void *user, struct MHD_Connection *connection, void **state,
                           enum MHD_ConnectionNotificationCode code);
static void on_disconnected (void *user, uint32_t events);
static void listener_free (gpointer data);

/* Opens the server for a kind of callers at address, an IP:PORT. Returns NULL and sets
   error on failure. */
struct kcp_caller_server *
kcp_caller_server_open (struct kcp_gateway *gateway, enum kcp_caller_kind kind,
                        const char *address, struct kcp_error *error)
{
  struct kcp_caller_server *server = g_new0 (struct kcp_caller_server, 1);
  struct sockaddr_in at;

  server->gateway = gateway;
  server->kind = kind;
  server->address = g_strdup (address);
  server->listeners = g_ptr_array_new_with_free_func (listener_free);
  server->callers = g_hash_table_new (NULL, NULL);
  if (!kcp_server_loop_parse_address (address, &at, error)
      || !listen_at (server, &at, MHD_INVALID_SOCKET, error))
    {
      kcp_caller_server_close (server);
      return NULL;
    }
  kcp_loop_add_step (gateway->loop, apply_limits, server);
  return server;
}

/* Sets the idle timeout of the connections without a request in progress to
   CLOSING_TIMEOUT_S, after which they are closed. */
void
kcp_caller_server_close_idle (struct kcp_caller_server *server)
{
  for_each_caller (server, close_if_idle, NULL);
}

/* Ends the requests in progress for lack of time. The event loop sends their answers. */
void
kcp_caller_server_end_requests (struct kcp_caller_server *server, const char *reason)
{
  for_each_caller (server, give_up, reason);
}

/* Closes the server and its connections, and ends their requests. The event loop must not
   run after this. server may be NULL. */
void
kcp_caller_server_close (struct kcp_caller_server *server)
{
  if (server == NULL)
    return;
  /* No connection may be suspended when its daemon is stopped. */
  for_each_caller (server, cancel, NULL);
  for (guint i = 0; i < server->listeners->len; i++)
    {
      struct kcp_caller_listener *listener = g_ptr_array_index (server->listeners, i);

      kcp_server_loop_stop (&listener->loop);
    }
  g_ptr_array_unref (server->listeners);
  g_hash_table_unref (server->callers);
  g_free (server->address);
  g_free (server);
}

/* Returns the caller of a connection. */
struct kcp_caller *
kcp_caller_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static void
for_each_caller (struct kcp_caller_server *server, caller_action *action,
                 const char *reason)
{
  GHashTableIter iter;
  gpointer caller;

  g_hash_table_iter_init (&iter, server->callers);
  while (g_hash_table_iter_next (&iter, &caller, NULL))
    action (caller, reason);
}

static void
close_if_idle (struct kcp_caller *caller, const char *reason)
{
  (void)reason;
  if (caller->exchange != NULL)
    return;
  MHD_set_connection_option (caller->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                             CLOSING_TIMEOUT_S);
  caller->listener->loop.run_pending = true;
}

static void
give_up (struct kcp_caller *caller, const char *reason)
{
  if (caller->exchange != NULL)
    kcp_caller_exchange_give_up (caller->exchange, reason);
}

static void
cancel (struct kcp_caller *caller, const char *reason)
{
  (void)reason;
  if (caller->exchange != NULL)
    kcp_caller_exchange_cancel (caller->exchange);
}

/* Starts a daemon that accepts connections on fd, which it owns from then on, or, if fd
   is invalid, on a new socket at address. */
static bool
listen_at (struct kcp_caller_server *server, const struct sockaddr_in *address, int fd,
           struct kcp_error *error)
{
  struct kcp_caller_listener *listener = g_new0 (struct kcp_caller_listener, 1);
  struct MHD_OptionItem socket_option[] = {
    { MHD_OPTION_LISTEN_SOCKET, fd, NULL },
    { MHD_OPTION_END, 0, NULL },
  };
  struct MHD_Daemon *daemon;

  if (fd == MHD_INVALID_SOCKET)
    socket_option[0].option = MHD_OPTION_END;
  listener->server = server;
  listener->memory = memory_for (server);
  daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, ntohs (address->sin_port),
      NULL, NULL, kcp_caller_on_access, listener, MHD_OPTION_SOCK_ADDR, address,
      MHD_OPTION_LISTEN_BACKLOG_SIZE,
      server->kind == KCP_CALLING_VMS ? CALLING_VMS_BACKLOG : CALLERS_BACKLOG,
      MHD_OPTION_ARRAY, socket_option, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      listener->memory.bytes, MHD_OPTION_CONNECTION_LIMIT,
      listener->memory.connections_max, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
      MHD_OPTION_URI_LOG_CALLBACK, kcp_caller_on_uri, listener,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, listener, MHD_OPTION_NOTIFY_COMPLETED,
      kcp_caller_on_completed, listener, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (!kcp_server_loop_start (&listener->loop, server->gateway->loop, daemon,
                              server->address, error))
    {
      g_free (listener);
      return false;
    }
  KCP_LOG ("listening", KCP_LOG_TEXT ("address", server->address),
           KCP_LOG_INT ("connection_bytes", listener->memory.bytes),
           KCP_LOG_INT ("connections_max", listener->memory.connections_max));
  g_ptr_array_add (server->listeners, listener);
  return true;
}

/* Returns the memory of connections under the configuration in force. */
static struct kcp_connection_memory
memory_for (const struct kcp_caller_server *server)
{
  const struct kcp_gateway *gateway = server->gateway;
  struct kcp_connection_memory memory;
  int64_t head_max_bytes
      = gateway->routes != NULL ? gateway->routes->limits.max_header_bytes : 0;

  memory = kcp_connection_memory_for (gateway->settings->vm_memory_mb << 20,
                                      head_max_bytes > 0 ? head_max_bytes
                                                         : KCP_HEAD_MAX_DEFAULT);
  if (server->kind == KCP_CALLING_VMS)
    memory.connections_max /= VM_CONNECTIONS_DIVISOR;
  return memory;
}

/* Has another daemon accept connections if a new configuration needs more memory for each
   than they have. */
static void
apply_limits (void *user)
{
  struct kcp_caller_server *server = user;
  const struct kcp_routes *routes = server->gateway->routes;
  const struct kcp_caller_listener *newest
      = g_ptr_array_index (server->listeners, server->listeners->len - 1);

  if (routes == NULL || routes->version == server->limits_version)
    return;
  server->limits_version = routes->version;
  if (memory_for (server).bytes > newest->memory.bytes)
    replace_listener (server);
}

/* Starts a daemon on the same socket before the one in use stops accepting, so that no
   caller's connection is refused. Open connections are closed after their next answer. */
static void
replace_listener (struct kcp_caller_server *server)
{
  struct kcp_caller_listener *old
      = g_ptr_array_index (server->listeners, server->listeners->len - 1);
  int fd = MHD_get_daemon_info (old->loop.daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
  int copy = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  struct sockaddr_in at;
  struct kcp_error error = { 0 };

  if (copy < 0 || !kcp_server_loop_parse_address (server->address, &at, &error)
      || !listen_at (server, &at, copy, &error))
    {
      if (copy >= 0)
        (void)close (copy);
      KCP_LOG ("limits_not_applied", KCP_LOG_TEXT ("detail", error.detail));
      return;
    }
  stop_accepting (old);
}

static void
stop_accepting (struct kcp_caller_listener *listener)
{
  int fd = MHD_quiesce_daemon (listener->loop.daemon);

  if (fd != MHD_INVALID_SOCKET)
    (void)close (fd);
  listener->replaced = true;
}

/* Watches each connection for the caller closing it, since libmicrohttpd does not detect
   this while the connection is suspended and the request waits for its answer. */
static void
on_connection (void *user, struct MHD_Connection *connection, void **state,
               enum MHD_ConnectionNotificationCode code)
{
  struct kcp_caller_listener *listener = user;
  struct kcp_caller_server *server = listener->server;
  struct kcp_poller *poller = kcp_loop_poller (server->gateway->loop);
  struct kcp_caller *caller = *state;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      caller = g_new0 (struct kcp_caller, 1);
      caller->listener = listener;
      caller->fd = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                       ->connect_fd;
      caller->connection = connection;
      caller->since_ns = kcp_loop_now (server->gateway->loop);
      *state = caller;
      make_room (listener);
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

/* Closes a connection if few more would be accepted: that which has been without a
   complete request for the longest. Otherwise callers that send none, or never end one,
   would keep all others out until their connections time out. */
static void
make_room (struct kcp_caller_listener *listener)
{
  struct kcp_caller_server *server = listener->server;
  unsigned max = listener->memory.connections_max;
  struct kcp_caller *oldest = NULL;
  GHashTableIter iter;
  gpointer item;

  if (g_hash_table_size (server->callers) + FREE_CONNECTIONS < max)
    return;
  g_hash_table_iter_init (&iter, server->callers);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    {
      struct kcp_caller *caller = item;

      if (caller->evicted
          || (caller->exchange != NULL
              && kcp_caller_exchange_is_started (caller->exchange)))
        continue;
      if (oldest == NULL || caller->since_ns < oldest->since_ns)
        oldest = caller;
    }
  if (oldest == NULL)
    return;
  oldest->evicted = true;
  kcp_counter_add (KCP_COUNT_CONNECTIONS_EVICTED, 1);
  (void)shutdown (oldest->fd, SHUT_RDWR);
}

/* Ends the request of a caller that has closed its connection. */
static void
on_disconnected (void *user, uint32_t events)
{
  struct kcp_caller *caller = user;

  (void)events;
  /* A request that has been received but not read yet must not be started either. */
  caller->peer_closed = true;
  if (caller->exchange != NULL)
    kcp_caller_exchange_cancel (caller->exchange);
}

static void
listener_free (gpointer data)
{
  g_free (data);
}
