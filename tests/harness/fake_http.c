#include "tests/harness/fake_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>

/* A request whose body is being received. */
struct inbound
{
  GString *body;
};

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct inbound *inbound = *state;

  (void)user;
  (void)connection;
  (void)code;
  if (inbound == NULL)
    return;
  g_string_free (inbound->body, TRUE);
  g_free (inbound);
  *state = NULL;
}

/* Starts a daemon at a port, or at a free one if *port is 0, which it then sets. notify
   may be NULL. */
struct MHD_Daemon *
fake_http_start (MHD_AccessHandlerCallback handler, MHD_NotifyConnectionCallback notify,
                 void *user, int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)*port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC, 0,
      NULL, NULL, handler, user, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, user, MHD_OPTION_NOTIFY_CONNECTION,
      notify, user, MHD_OPTION_END);

  if (daemon == NULL)
    abort ();
  *port = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return daemon;
}

/* Receives the body of a request. Returns true once it is complete. */
bool
fake_http_receive (void **state, const char *data, size_t *size)
{
  struct inbound *inbound = *state;

  if (inbound == NULL)
    {
      inbound = g_new0 (struct inbound, 1);
      inbound->body = g_string_new (NULL);
      *state = inbound;
      return false;
    }
  if (*size == 0)
    return true;
  g_string_append_len (inbound->body, data, (gssize)*size);
  *size = 0;
  return false;
}

/* Returns the body of a request that fake_http_receive() has received. */
const GString *
fake_http_body (void *const *state)
{
  const struct inbound *inbound = *state;

  return inbound->body;
}

/* Makes an answer with a copy of the data. headers has names and values in turn and ends
   with NULL; it may be NULL. */
struct MHD_Response *
fake_http_make (const void *data, size_t len, const char *const *headers)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (len, (void *)data, MHD_RESPMEM_MUST_COPY);

  for (; headers != NULL && headers[0] != NULL; headers += 2)
    MHD_add_response_header (response, headers[0], headers[1]);
  return response;
}

/* Sends an answer and frees it. */
enum MHD_Result
fake_http_queue (struct MHD_Connection *connection, unsigned status,
                 struct MHD_Response *response)
{
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

/* Sends an answer as fake_http_make() makes it. */
enum MHD_Result
fake_http_send (struct MHD_Connection *connection, unsigned status, const void *data,
                size_t len, const char *const *headers)
{
  return fake_http_queue (connection, status, fake_http_make (data, len, headers));
}
