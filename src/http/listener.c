#include "http/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include "http/head_size.h"

#define STEP "listen"
/* A connection has the memory for heads this many times as long as the limit, so that
   heads within the limit may have more lines. */
#define HEADS_PER_CONNECTION 2

static bool make_address (const struct kcp_listener_options *options,
                          struct sockaddr_in *out, struct kcp_error *error);
static bool read_tls (const struct kcp_listener_options *options, char **certificate,
                      char **key, struct kcp_error *error);

/* Starts a server with a pool of threads. Returns false and sets error on failure; the
   caller calls kcp_listener_stop() in that case, too. */
bool
kcp_listener_start (struct kcp_listener *listener,
                    const struct kcp_listener_options *options, struct kcp_error *error)
{
  unsigned flags = MHD_USE_AUTO_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  struct sockaddr_in address;
  struct MHD_OptionItem tls[] = {
    { MHD_OPTION_HTTPS_MEM_CERT, 0, NULL },
    { MHD_OPTION_HTTPS_MEM_KEY, 0, NULL },
    { MHD_OPTION_END, 0, NULL },
  };

  if (!make_address (options, &address, error)
      || !read_tls (options, &listener->certificate, &listener->key, error))
    return false;
  if (listener->certificate != NULL)
    flags |= MHD_USE_TLS;
  tls[0].ptr_value = listener->certificate;
  tls[1].ptr_value = listener->key;
  if (listener->certificate == NULL)
    tls[0].option = MHD_OPTION_END;
  listener->connection_bytes = kcp_connection_memory_needed (
      (int64_t)options->max_header_bytes * HEADS_PER_CONNECTION);
  listener->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, options->access, options->user, MHD_OPTION_SOCK_ADDR,
      &address, MHD_OPTION_THREAD_POOL_SIZE, options->threads,
      MHD_OPTION_CONNECTION_LIMIT, options->max_connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, listener->connection_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s, MHD_OPTION_NOTIFY_COMPLETED,
      options->completed, options->user, MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
  if (listener->daemon == NULL)
    kcp_error_set (error, KCP_ERR_INTERNAL, STEP, options->address, "port %d: %s",
                   options->port, strerror (errno));
  return listener->daemon != NULL;
}

/* Returns true if the connection has enough memory left for the answer to the request
   whose head it has received. Otherwise sets error and returns false; the request must
   not run. To be called from the access handler. */
bool
kcp_listener_can_answer (const struct kcp_listener *listener,
                         struct MHD_Connection *connection, struct kcp_error *error)
{
  struct kcp_head_size size = kcp_head_size_measure (connection);

  if (kcp_connection_memory_has_answer_room (listener->connection_bytes, &size))
    return true;
  kcp_error_set (error, KCP_ERR_HEAD_TOO_LARGE, "head", NULL, "%zu bytes, %zu headers",
                 size.bytes, size.elements);
  return false;
}

/* Stops the server, if it is running, and frees its members. */
void
kcp_listener_stop (struct kcp_listener *listener)
{
  if (listener->daemon != NULL)
    MHD_stop_daemon (listener->daemon);
  g_free (listener->certificate);
  g_free (listener->key);
  *listener = (struct kcp_listener){ 0 };
}

/* Returns the port that the server listens on, or 0 if it is unknown. */
int
kcp_listener_port (const struct kcp_listener *listener)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (listener->daemon, MHD_DAEMON_INFO_BIND_PORT);

  return info != NULL ? info->port : 0;
}

static bool
make_address (const struct kcp_listener_options *options, struct sockaddr_in *out,
              struct kcp_error *error)
{
  *out = (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)options->port),
  };
  if (inet_pton (AF_INET, options->address, &out->sin_addr) == 1)
    return true;
  kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, options->address,
                 "not an IPv4 address");
  return false;
}

static bool
read_tls (const struct kcp_listener_options *options, char **certificate, char **key,
          struct kcp_error *error)
{
  g_autoptr (GError) cause = NULL;

  *certificate = NULL;
  *key = NULL;
  if (options->certificate_path == NULL || options->key_path == NULL)
    return true;
  if (g_file_get_contents (options->certificate_path, certificate, NULL, &cause)
      && g_file_get_contents (options->key_path, key, NULL, &cause))
    return true;
  kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "%s", cause->message);
  return false;
}
