#include <arpa/inet.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin/standin.h"

#define MAX_CONNECTIONS 4096

struct exchange
{
  GString *body;
};

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state);
static void on_completed (void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode code);
static struct MHD_Daemon *listen_on_loopback (const struct standin_role *role, int port);
static const struct standin_role *find_role (const char *name);

static const struct standin_role *const roles[] = {
  &standin_log_role,
  &standin_list_role,
  &standin_engine_role,
  &standin_service_role,
};

/* Runs one role on a port of the loopback address. Prints the port as a JSON line once it
   accepts connections. */
int
main (int argc, char **argv)
{
  struct standin_options options
      = { .weights = "w1", .cache_blocks = 4096, .name = "standin" };
  int port = 0;
  const GOptionEntry entries[] = {
    { "role", 0, 0, G_OPTION_ARG_STRING, &options.role, "log, list, engine or service",
      "ROLE" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &options.name, "name of this server", "NAME" },
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "port; default: any free port", "N" },
    { "token-ms", 0, 0, G_OPTION_ARG_INT64, &options.token_ms, "time between tokens",
      "MS" },
    { "prefill-us", 0, 0, G_OPTION_ARG_INT64, &options.prefill_us,
      "prefill time per token that is not cached", "US" },
    { "cache-blocks", 0, 0, G_OPTION_ARG_INT64, &options.cache_blocks,
      "capacity of the cache in blocks", "N" },
    { "weights", 0, 0, G_OPTION_ARG_STRING, &options.weights,
      "weights version at the start", "VERSION" },
    { "crash-on", 0, 0, G_OPTION_ARG_STRING, &options.crash_on,
      "exit on a request body with this text", "TEXT" },
    { "load-ms", 0, 0, G_OPTION_ARG_INT64, &options.load_ms, "time to load weights",
      "MS" },
    { "checks-fencing", 0, 0, G_OPTION_ARG_NONE, &options.checks_fencing,
      "reject orders with an old fencing token", NULL },
    { 0 },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  const struct standin_role *role;
  struct MHD_Daemon *daemon;
  sigset_t signals;
  int signal_number;

  g_option_context_add_main_entries (context, entries, NULL);
  if (sodium_init () < 0 || !g_option_context_parse (context, &argc, &argv, NULL))
    return EXIT_FAILURE;
  role = find_role (options.role);
  if (role == NULL)
    return EXIT_FAILURE;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  (void)signal (SIGPIPE, SIG_IGN);
  role->start (&options);
  daemon = listen_on_loopback (role, port);
  if (daemon == NULL)
    return EXIT_FAILURE;
  (void)fprintf (stderr, "{\"event\":\"listening\",\"port\":\"%d\"}\n",
                 MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  (void)sigwait (&signals, &signal_number);
  /* Ends the process without stopping the daemon, since streams may still be open. */
  _exit (EXIT_SUCCESS);
}

/* Answers a request with a JSON document and the request's own id. Takes ownership of
   document. */
enum MHD_Result
standin_answer (const struct standin_request *request, unsigned status, json_t *document)
{
  return standin_answer_as (request, standin_header (request, "Kingcuppoint-Request"),
                            status, document);
}

/* Answers a request with a JSON document and the id of an attempt, which may differ from
   the request's own; NULL: no id. Takes ownership of document. */
enum MHD_Result
standin_answer_as (const struct standin_request *request, const char *attempt,
                   unsigned status, json_t *document)
{
  char *text = json_dumps (document, JSON_COMPACT);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "application/json");
  if (attempt != NULL)
    MHD_add_response_header (response, "Kingcuppoint-Request", attempt);
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  json_decref (document);
  return result;
}

/* Returns an integer parameter of the query, or fallback if it is absent. */
int64_t
standin_query_int (const struct standin_request *request, const char *name,
                   int64_t fallback)
{
  const char *text
      = MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

/* Returns a request header, or NULL. */
const char *
standin_header (const struct standin_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state)
{
  const struct standin_role *role = user;
  struct exchange *exchange = *state;
  struct standin_request request = { connection, method, url, { 0 } };

  (void)version;
  if (exchange == NULL)
    {
      exchange = g_new0 (struct exchange, 1);
      exchange->body = g_string_new (NULL);
      *state = exchange;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (exchange->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  request.body = (struct kcp_str){ exchange->body->str, exchange->body->len };
  return role->handle (&request);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct exchange *exchange = *state;

  (void)user;
  (void)connection;
  (void)code;
  if (exchange == NULL)
    return;
  g_string_free (exchange->body, TRUE);
  g_free (exchange);
  *state = NULL;
}

static struct MHD_Daemon *
listen_on_loopback (const struct standin_role *role, int port)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)port),
    .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };

  return MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0,
      NULL, NULL, on_access, (void *)role, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

static const struct standin_role *
find_role (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (roles); i++)
    if (g_strcmp0 (roles[i]->name, name) == 0)
      return roles[i];
  return NULL;
}
