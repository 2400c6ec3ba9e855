#include "http/caller_api.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <microhttpd.h>
#include <string.h>

#include "base/counter.h"
#include "base/logger.h"
#include "http/close_delimited.h"
#include "http/listener.h"
#include "http/responder.h"
#include "policy/body_memory.h"
#include "request/request.h"

#define STEP             "entry"
#define READ_BLOCK_BYTES (4u << 10)
#define RETRY_AFTER_S    1
/* Bodies of the largest size that all together may take if the settings do not say. */
#define BODIES_DEFAULT 16u

struct kcp_caller_api
{
  struct kcp_router *router;
  struct kcp_listener listener;
  unsigned exchanges; /* number of calls whose answer is not completely sent; atomic */
  GMutex lock;        /* of the bodies */
  struct kcp_body_memory bodies;
};

/* One HTTP exchange. Only the server's thread accesses it, except that resume() may be
   called from any thread, and that any thread may drop its body. */
struct exchange
{
  struct kcp_caller_api *api;
  struct MHD_Connection *connection;
  struct kcp_call *call;  /* NULL once the request has been started */
  struct kcp_body body;   /* used under the lock of the bodies */
  size_t discarded_bytes; /* of the body of a refused call */
  struct kcp_reply *reply;
  struct kcp_request *request;
  struct kcp_error error; /* unless KCP_OK, sent as the answer after the body is read */
  bool close_delimited;   /* the answer ends with the connection */
  bool framing_ambiguous; /* the headers do not clearly define where the request ends */
};

/* Headers that this server interprets and that a request may contain only once. */
static const char *const single_headers[] = {
  "Authorization",  "Kingcuppoint-Profile", "Kingcuppoint-Deadline-Ms", "Idempotency-Key",
  "Content-Length", "Content-Type",         "Transfer-Encoding",        "Host",
};

struct header_count
{
  const char *name;
  int count;
};

/* Returns the number of calls whose answer has not been sent to the last byte. */
unsigned
kcp_caller_api_exchanges_in_flight (struct kcp_caller_api *api)
{
  return ck_pr_load_uint (&api->exchanges);
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state);
static void on_completed (void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode code);
static struct exchange *
exchange_new (struct kcp_caller_api *api, struct MHD_Connection *connection);
static bool parse_head (struct exchange *exchange, const char *url, const char *method);
static struct kcp_call *
call_from_path (const char *url, const char *method, struct kcp_error *error);
static struct kcp_call *
service_call_from_path (const char *url, const char *method, struct kcp_error *error);
static bool
headers_are_unambiguous (struct MHD_Connection *connection, struct kcp_error *error);
static enum MHD_Result
count_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value);
static char *dup_header (struct MHD_Connection *connection, const char *name);
static void begin_body (struct exchange *exchange);
static enum MHD_Result receive_body (struct exchange *exchange, struct kcp_str bytes);
static struct kcp_body_limits body_limits (const struct exchange *exchange);
static void complete_body (struct exchange *exchange);
static void end_body (struct exchange *exchange);
static enum MHD_Result start_or_reply (struct exchange *exchange);
static enum MHD_Result send_reply (struct exchange *exchange);
static int connection_fd (const struct exchange *exchange);
static ssize_t read_reply (void *user, uint64_t position, char *out, size_t max);
static void suspend (void *user);
static void resume (void *user);
static enum MHD_Result
answer_builtin_path (struct kcp_caller_api *api, struct MHD_Connection *connection,
                     const char *url, bool *answered);
static enum MHD_Result
answer_models (struct kcp_caller_api *api, struct MHD_Connection *connection);

/* Starts the server on the address and port given by the settings; with port 0, the
   kernel chooses a free port. Returns NULL and sets error on failure. */
struct kcp_caller_api *
kcp_caller_api_start (struct kcp_router *router, struct kcp_error *error)
{
  const struct kcp_settings *settings = router->settings;
  struct kcp_caller_api *api = g_new0 (struct kcp_caller_api, 1);
  struct kcp_listener_options options = {
    .address = settings->callers_address,
    .port = (int)settings->callers_port,
    .threads = (unsigned)settings->callers_threads,
    .max_connections = (unsigned)settings->callers_max_connections,
    .max_header_bytes = (size_t)settings->callers_max_header_bytes,
    .idle_timeout_s = (unsigned)settings->callers_idle_timeout_s,
    .certificate_path = settings->callers_tls_certificate,
    .key_path = settings->callers_tls_key,
    .access = on_access,
    .completed = on_completed,
    .user = api,
  };

  api->router = router;
  kcp_body_memory_init (&api->bodies);
  if (kcp_listener_start (&api->listener, &options, error))
    return api;
  kcp_caller_api_stop (api);
  return NULL;
}

/* Stops the server and frees it. api may be NULL. */
void
kcp_caller_api_stop (struct kcp_caller_api *api)
{
  if (api == NULL)
    return;
  kcp_listener_stop (&api->listener);
  kcp_body_memory_clear (&api->bodies);
  g_free (api);
}

/* Returns the port that the server listens on. */
int
kcp_caller_api_port (const struct kcp_caller_api *api)
{
  return kcp_listener_port (&api->listener);
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state)
{
  struct kcp_caller_api *api = user;
  struct exchange *exchange = *state;
  bool answered = false;

  if (exchange == NULL)
    {
      enum MHD_Result result = answer_builtin_path (api, connection, url, &answered);

      if (answered)
        return result;
      exchange = exchange_new (api, connection);
      exchange->close_delimited = kcp_close_delimited_applies (version, method);
      *state = exchange;
      (void)parse_head (exchange, url, method);
      return MHD_YES;
    }
  if (*size > 0)
    {
      struct kcp_str bytes = { .data = data, .len = *size };

      *size = 0;
      return receive_body (exchange, bytes);
    }
  return start_or_reply (exchange);
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
  *state = NULL;
  if (exchange->request != NULL)
    kcp_request_cancel (exchange->request);
  kcp_request_unref (exchange->request);
  kcp_reply_unref (exchange->reply);
  end_body (exchange);
  kcp_call_free (exchange->call);
  ck_pr_dec_uint (&exchange->api->exchanges);
  g_free (exchange);
}

static struct exchange *
exchange_new (struct kcp_caller_api *api, struct MHD_Connection *connection)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);

  ck_pr_inc_uint (&api->exchanges);
  exchange->api = api;
  exchange->connection = connection;
  return exchange;
}

/* Parses the method, path and headers into exchange->call. Returns false and sets
   exchange->error if the request is to be refused. */
static bool
parse_head (struct exchange *exchange, const char *url, const char *method)
{
  struct MHD_Connection *connection = exchange->connection;
  struct kcp_str key = kcp_responder_bearer_token (connection);
  struct kcp_call *call;
  bool unambiguous;

  if (!kcp_listener_can_answer (&exchange->api->listener, connection, &exchange->error))
    return false;
  unambiguous = headers_are_unambiguous (connection, &exchange->error);
  exchange->framing_ambiguous = !unambiguous;
  call = unambiguous ? call_from_path (url, method, &exchange->error) : NULL;
  if (call == NULL)
    return false;
  call->key = key.len > 0 ? kcp_str_dup (key) : NULL;
  call->profile = dup_header (connection, "Kingcuppoint-Profile");
  call->idempotency_key = dup_header (connection, "Idempotency-Key");
  call->deadline_ms = dup_header (connection, "Kingcuppoint-Deadline-Ms");
  call->content_type = dup_header (connection, "Content-Type");
  exchange->call = call;
  begin_body (exchange);
  return true;
}

static struct kcp_call *
call_from_path (const char *url, const char *method, struct kcp_error *error)
{
  bool chat = strcmp (url, "/v1/chat/completions") == 0;

  if (g_str_has_prefix (url, "/services/"))
    return service_call_from_path (url, method, error);
  if (!chat && strcmp (url, "/v1/completions") != 0)
    {
      kcp_error_set (error, KCP_ERR_NOT_FOUND, STEP, NULL,
                     "there is nothing at this path");
      return NULL;
    }
  if (strcmp (method, MHD_HTTP_METHOD_POST) != 0)
    {
      kcp_error_set (error, KCP_ERR_METHOD_NOT_ALLOWED, STEP, NULL,
                     "POST is allowed here");
      return NULL;
    }
  return kcp_call_new (chat ? KCP_CALL_CHAT : KCP_CALL_COMPLETION, method);
}

static struct kcp_call *
service_call_from_path (const char *url, const char *method, struct kcp_error *error)
{
  const char *name = url + strlen ("/services/");
  const char *slash = strchr (name, '/');
  size_t len = slash != NULL ? (size_t)(slash - name) : strlen (name);
  struct kcp_call *call;

  if (len == 0)
    {
      kcp_error_set (error, KCP_ERR_NOT_FOUND, STEP, NULL, "the path names no service");
      return NULL;
    }
  call = kcp_call_new (KCP_CALL_SERVICE, method);
  call->service = g_strndup (name, len);
  call->path = g_strdup (slash != NULL ? slash : "/");
  return call;
}

static bool
headers_are_unambiguous (struct MHD_Connection *connection, struct kcp_error *error)
{
  for (size_t i = 0; i < G_N_ELEMENTS (single_headers); i++)
    {
      struct header_count count = { .name = single_headers[i] };

      MHD_get_connection_values (connection, MHD_HEADER_KIND, count_header, &count);
      if (count.count > 1)
        {
          kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                         "%s: given more than once", count.name);
          return false;
        }
    }
  if (MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Content-Length") == NULL
      || MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Transfer-Encoding")
             == NULL)
    return true;
  kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                 "Content-Length: not allowed beside Transfer-Encoding");
  return false;
}

static enum MHD_Result
count_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value)
{
  struct header_count *count = user;

  (void)kind;
  (void)value;
  if (g_ascii_strcasecmp (key, count->name) == 0)
    count->count++;
  return MHD_YES;
}

static char *
dup_header (struct MHD_Connection *connection, const char *name)
{
  return g_strdup (MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name));
}

static void
begin_body (struct exchange *exchange)
{
  struct kcp_caller_api *api = exchange->api;

  g_mutex_lock (&api->lock);
  kcp_body_begin (&api->bodies, &exchange->body,
                  kcp_clock_monotonic_ns (api->router->clock));
  g_mutex_unlock (&api->lock);
}

/* Takes a part of the body. What a refused call still brings is discarded, so that its
   caller gets an answer; a caller that sends without end is disconnected. */
static enum MHD_Result
receive_body (struct exchange *exchange, struct kcp_str bytes)
{
  struct kcp_caller_api *api = exchange->api;
  struct kcp_body_limits limits = body_limits (exchange);
  bool ends;

  if (exchange->call == NULL)
    {
      exchange->discarded_bytes += bytes.len;
      return exchange->discarded_bytes <= limits.one ? MHD_YES : MHD_NO;
    }
  g_mutex_lock (&api->lock);
  ends = kcp_body_receive (&exchange->body, bytes, &limits,
                           kcp_clock_monotonic_ns (api->router->clock));
  g_mutex_unlock (&api->lock);
  return ends ? MHD_YES : MHD_NO;
}

static struct kcp_body_limits
body_limits (const struct exchange *exchange)
{
  const struct kcp_settings *settings = exchange->api->router->settings;
  size_t one = (size_t)settings->callers_max_body_bytes;
  size_t all = (size_t)settings->callers_max_bodies_bytes;

  return (struct kcp_body_limits){ .one = one,
                                   .all
                                   = all > 0 ? MAX (all, one) : one * BODIES_DEFAULT };
}

/* Gives the call its body, or sets exchange->error if that was dropped. */
static void
complete_body (struct exchange *exchange)
{
  struct kcp_caller_api *api = exchange->api;
  struct kcp_body_limits limits = body_limits (exchange);
  enum kcp_body_state state;
  GString *text;

  g_mutex_lock (&api->lock);
  text = kcp_body_complete (&exchange->body);
  state = exchange->body.state;
  g_mutex_unlock (&api->lock);
  if (text != NULL)
    {
      g_string_free (exchange->call->body, TRUE);
      exchange->call->body = text;
    }
  else if (state == KCP_BODY_TOO_LARGE)
    kcp_error_set (&exchange->error, KCP_ERR_TOO_LARGE, STEP, NULL,
                   "body: more than %zu bytes", limits.one);
  else
    {
      kcp_counter_add (KCP_COUNT_BODIES_DROPPED, 1);
      kcp_error_set (&exchange->error, KCP_ERR_OVERLOADED, STEP, NULL,
                     "all bodies together: more than %zu bytes", limits.all);
      exchange->error.retry_after_s = RETRY_AFTER_S;
    }
}

static void
end_body (struct exchange *exchange)
{
  g_mutex_lock (&exchange->api->lock);
  kcp_body_end (&exchange->body);
  g_mutex_unlock (&exchange->api->lock);
}

/* Sends the error of a refused exchange. Otherwise starts the request, if it has not been
   started, and sends the reply once it has begun. */
static enum MHD_Result
start_or_reply (struct exchange *exchange)
{
  struct kcp_router *router = exchange->api->router;

  if (exchange->error.code == KCP_OK && exchange->request == NULL)
    complete_body (exchange);
  if (exchange->error.code != KCP_OK)
    return exchange->framing_ambiguous
               ? kcp_responder_send_problem_and_close (exchange->connection,
                                                       &exchange->error)
               : kcp_responder_send_problem (exchange->connection, &exchange->error);
  if (exchange->request == NULL)
    {
      struct kcp_call *call = exchange->call;

      exchange->call = NULL;
      exchange->reply
          = kcp_reply_new ((size_t)router->settings->callers_stream_buffer_bytes, suspend,
                           resume, exchange);
      exchange->request = kcp_request_start (router, call, exchange->reply);
    }
  return kcp_reply_wait_begun (exchange->reply) ? send_reply (exchange) : MHD_YES;
}

static enum MHD_Result
send_reply (struct exchange *exchange)
{
  g_auto (GStrv) headers = kcp_reply_headers (exchange->reply);
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, READ_BLOCK_BYTES, read_reply, exchange, NULL);
  enum MHD_Result result;

  exchange->close_delimited
      = exchange->close_delimited
        && kcp_close_delimited_has_body (kcp_reply_status (exchange->reply));
  if (exchange->close_delimited)
    kcp_close_delimited_begin (connection_fd (exchange));
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           kcp_reply_content_type (exchange->reply));
  for (char **name = headers; *name != NULL; name += 2)
    MHD_add_response_header (response, name[0], name[1]);
  result = MHD_queue_response (exchange->connection, kcp_reply_status (exchange->reply),
                               response);
  MHD_destroy_response (response);
  return result;
}

static int
connection_fd (const struct exchange *exchange)
{
  return MHD_get_connection_info (exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

static ssize_t
read_reply (void *user, uint64_t position, char *out, size_t max)
{
  struct exchange *exchange = user;
  ssize_t count = kcp_reply_read (exchange->reply, out, max);

  (void)position;
  if (count != KCP_REPLY_END)
    return count;
  if (exchange->close_delimited)
    kcp_close_delimited_complete (connection_fd (exchange));
  return MHD_CONTENT_READER_END_OF_STREAM;
}

static void
suspend (void *user)
{
  struct exchange *exchange = user;

  MHD_suspend_connection (exchange->connection);
}

static void
resume (void *user)
{
  struct exchange *exchange = user;

  MHD_resume_connection (exchange->connection);
}

/* Answers the paths that need no backend server: health, readiness, metrics and the list
   of models. Sets *answered to false for any other path. */
static enum MHD_Result
answer_builtin_path (struct kcp_caller_api *api, struct MHD_Connection *connection,
                     const char *url, bool *answered)
{
  struct kcp_router *router = api->router;

  *answered = true;
  if (strcmp (url, "/healthz") == 0)
    return kcp_responder_send_text (connection, MHD_HTTP_OK, "text/plain",
                                    KCP_STR ("ok\n"));
  if (strcmp (url, "/readyz") == 0)
    {
      bool ready
          = !ck_pr_load_int (&router->draining) && kcp_config_is_loaded (router->config);

      return kcp_responder_send_text (
          connection, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
          ready ? KCP_STR ("ready\n") : KCP_STR ("not ready\n"));
    }
  if (strcmp (url, "/metrics") == 0)
    {
      g_autoptr (GString) text = g_string_new (NULL);

      kcp_counter_print (text);
      return kcp_responder_send_text (connection, MHD_HTTP_OK,
                                      "text/plain; version=0.0.4",
                                      (struct kcp_str){ text->str, text->len });
    }
  if (strcmp (url, "/v1/models") == 0)
    return answer_models (api, connection);
  *answered = false;
  return MHD_YES;
}

static enum MHD_Result
answer_models (struct kcp_caller_api *api, struct MHD_Connection *connection)
{
  json_t *names = kcp_registry_models (api->router->registry);
  json_t *list = json_array ();
  json_t *name;
  size_t i;

  json_array_foreach (names, i, name)
      json_array_append_new (list, json_pack ("{sOssss}", "id", name, "object", "model",
                                              "owned_by", "kingcuppoint"));
  json_decref (names);
  return kcp_responder_send_json (connection, MHD_HTTP_OK,
                                  json_pack ("{ssso}", "object", "list", "data", list),
                                  NULL);
}
