#include <string.h>

#include "forward/caller_server.h"
#include "forward/server_loop.h"

#define CONNECTION_MEMORY 4096u /* bytes of each connection */
#define IDLE_TIMEOUT_S    10u

struct kcp_text_server
{
  struct kcp_server_loop server;
  char *path;
  kcp_text_answer *answer;
  void *user;
};

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state);

/* Opens an HTTP server at address, an IP:PORT, that answers requests for path with the
   status and text from answer; path NULL matches every request. Returns NULL and sets
   error on failure. */
struct kcp_text_server *
kcp_text_server_open (struct kcp_loop *loop, const char *address, const char *path,
                      kcp_text_answer *answer, void *user, struct kcp_error *error)
{
  struct kcp_text_server *server = g_new0 (struct kcp_text_server, 1);
  struct sockaddr_in at;
  struct MHD_Daemon *daemon;

  server->path = g_strdup (path);
  server->answer = answer;
  server->user = user;
  if (!kcp_server_loop_parse_address (address, &at, error))
    goto fail;
  daemon
      = MHD_start_daemon (MHD_USE_EPOLL, ntohs (at.sin_port), NULL, NULL, on_access,
                          server, MHD_OPTION_SOCK_ADDR, &at,
                          MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
                          MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, MHD_OPTION_END);
  if (kcp_server_loop_start (&server->server, loop, daemon, address, error))
    return server;
fail:
  kcp_text_server_close (server);
  return NULL;
}

/* Closes the server. server may be NULL. */
void
kcp_text_server_close (struct kcp_text_server *server)
{
  if (server == NULL)
    return;
  kcp_server_loop_stop (&server->server);
  g_free (server->path);
  g_free (server);
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state)
{
  struct kcp_text_server *server = user;
  g_autoptr (GString) text = g_string_new (NULL);
  struct MHD_Response *response;
  unsigned status = MHD_HTTP_NOT_FOUND;
  enum MHD_Result result;

  (void)method;
  (void)version;
  (void)data;
  if (*state == NULL)
    {
      *state = server;
      return MHD_YES;
    }
  if (*size > 0)
    {
      *size = 0;
      return MHD_YES;
    }
  if (server->path == NULL || strcmp (url, server->path) == 0)
    status = server->answer (server->user, text);
  response
      = MHD_create_response_from_buffer (text->len, text->str, MHD_RESPMEM_MUST_COPY);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}
