#include <errno.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/caller_head.h"
#include "forward/caller_private.h"
#include "forward/forward.h"
#include "forward/mesh.h"
#include "http/close_delimited.h"
#include "http/head_size.h"

#define RESPONSE_BLOCK_SIZE (4u << 10) /* bytes */
#define DEFAULT_BODY_MAX    (8 << 20)  /* bytes; applies without a configured limit */
#define LINE_EXTRA_BYTES    4u         /* colon, blank and line end of a header line */
#define STATUS_BAD_REQUEST  MHD_HTTP_BAD_REQUEST
/* After which a caller whose body was dropped for lack of memory may come again. */
#define NO_MEMORY_RETRY_AFTER_S "1"

/* One HTTP exchange: a caller's request and its answer. */
struct kcp_caller_exchange
{
  struct kcp_caller_listener *listener;
  struct MHD_Connection *connection;
  struct kcp_inbound *inbound; /* NULL once the request has been started */
  struct kcp_body body;        /* of the request, while it is being received */
  struct kcp_forward *forward;
  struct kcp_answer answer;
  struct kcp_head_size head_size;
  bool head_read;
  bool suspended;
  bool disconnected; /* the caller closed its connection, or the exchange has ended */
};

static enum MHD_Result
read_head (struct kcp_caller_exchange *exchange, const char *method);
static bool head_is_accepted (struct kcp_caller_exchange *exchange);
static bool is_from_vm (const struct kcp_caller_exchange *exchange);
static void set_idle_timeout (const struct kcp_caller_exchange *exchange);
static size_t body_max (const struct kcp_gateway *gateway);
static struct kcp_body_limits body_limits (const struct kcp_gateway *gateway);
static enum MHD_Result
receive_body (struct kcp_caller_exchange *exchange, struct kcp_str bytes);
static bool
body_is_too_large (struct MHD_Connection *connection, const struct kcp_gateway *gateway);
static enum MHD_Result
reject (struct kcp_caller_exchange *exchange, unsigned status, const char *problem);
static enum MHD_Result reject_body (struct kcp_caller_exchange *exchange);
static enum MHD_Result advance (struct kcp_caller_exchange *exchange);
static void on_changed (void *user);
static enum MHD_Result send_answer (struct kcp_caller_exchange *exchange);
static size_t answer_head_bytes (const struct kcp_answer *answer);
static struct MHD_Response *make_whole_response (struct kcp_answer *answer);
static ssize_t read_answer (void *user, uint64_t position, char *out, size_t max);
static bool is_close_delimited (const struct kcp_caller_exchange *exchange);
static void reset_connection (const struct kcp_caller_exchange *exchange);
static int connection_fd (const struct kcp_caller_exchange *exchange);
static void suspend (struct kcp_caller_exchange *exchange);
static void resume (struct kcp_caller_exchange *exchange);
static void free_forward (struct kcp_caller_exchange *exchange);

/* Creates the exchange. uri is the path and query of the request line as received. */
void *
kcp_caller_on_uri (void *user, const char *uri, struct MHD_Connection *connection)
{
  struct kcp_caller_exchange *exchange = g_new0 (struct kcp_caller_exchange, 1);

  exchange->listener = user;
  exchange->connection = connection;
  exchange->inbound = g_new0 (struct kcp_inbound, 1);
  exchange->inbound->target = g_strdup (uri);
  kcp_answer_init (&exchange->answer, on_changed, exchange);
  return exchange;
}

/* Reads a part of a request: its head, then its body, then its end, at which the request
   is started. */
enum MHD_Result
kcp_caller_on_access (void *user, struct MHD_Connection *connection, const char *url,
                      const char *method, const char *version, const char *data,
                      size_t *size, void **state)
{
  struct kcp_caller_exchange *exchange = *state;

  (void)user;
  (void)connection;
  (void)url;
  if (exchange->disconnected)
    return MHD_NO;
  if (!exchange->head_read)
    {
      exchange->answer.close_delimited = kcp_close_delimited_applies (version, method);
      return read_head (exchange, method);
    }
  if (*size > 0)
    {
      struct kcp_str bytes = { .data = data, .len = *size };

      *size = 0;
      return receive_body (exchange, bytes);
    }
  return advance (exchange);
}

/* Frees the exchange. A request that is still in progress ends. */
void
kcp_caller_on_completed (void *user, struct MHD_Connection *connection, void **state,
                         enum MHD_RequestTerminationCode code)
{
  struct kcp_caller_exchange *exchange = *state;
  struct kcp_caller *caller = kcp_caller_of (connection);

  (void)user;
  (void)code;
  if (exchange == NULL)
    return;
  *state = NULL;
  if (caller != NULL)
    {
      caller->exchange = NULL;
      caller->since_ns = kcp_loop_now (exchange->listener->server->gateway->loop);
    }
  exchange->disconnected = true;
  free_forward (exchange);
  kcp_body_end (&exchange->body);
  kcp_answer_clear (&exchange->answer);
  if (exchange->inbound != NULL)
    kcp_inbound_clear (exchange->inbound);
  g_free (exchange->inbound);
  g_free (exchange);
}

/* Returns true if the request was received to its end. */
bool
kcp_caller_exchange_is_started (const struct kcp_caller_exchange *exchange)
{
  return exchange->forward != NULL;
}

/* Ends the request of a caller that has closed its connection, or its sending side: an
   answer that is complete is still sent. */
void
kcp_caller_exchange_cancel (struct kcp_caller_exchange *exchange)
{
  if (exchange->disconnected)
    return;
  exchange->disconnected = true;
  free_forward (exchange);
  if (is_close_delimited (exchange) && exchange->answer.end != KCP_ANSWER_COMPLETE)
    reset_connection (exchange);
  resume (exchange);
}

/* Ends the request, if one is in progress, for lack of time. Its caller gets an answer,
   or a stream that is broken off. */
void
kcp_caller_exchange_give_up (struct kcp_caller_exchange *exchange, const char *reason)
{
  if (exchange->forward != NULL && !exchange->disconnected)
    kcp_forward_give_up (exchange->forward, reason);
}

static enum MHD_Result
read_head (struct kcp_caller_exchange *exchange, const char *method)
{
  struct MHD_Connection *connection = exchange->connection;
  struct kcp_caller *caller = kcp_caller_of (connection);
  const char *problem;

  exchange->head_read = true;
  if (caller != NULL && caller->peer_closed)
    return MHD_NO;
  if (caller != NULL)
    caller->exchange = exchange;
  problem
      = kcp_caller_head_read (connection, exchange->listener->server->gateway->dialect,
                              method, exchange->inbound);
  if (problem != NULL)
    return reject (exchange, STATUS_BAD_REQUEST, problem);
  if (exchange->listener->server->kind == KCP_CALLERS)
    set_idle_timeout (exchange);
  else if (!is_from_vm (exchange))
    return reject (exchange, MHD_HTTP_FORBIDDEN, "not_a_vm");
  else
    exchange->inbound->hop = kcp_hop_read_head (connection);
  if (!head_is_accepted (exchange))
    return reject (exchange, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large");
  if (body_is_too_large (connection, exchange->listener->server->gateway))
    return reject (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
  kcp_body_begin (&exchange->listener->server->gateway->bodies, &exchange->body,
                  kcp_loop_now (exchange->listener->server->gateway->loop));
  return MHD_YES;
}

/* Returns true if the head is within the configured limit, which does not count the
   request line, and leaves the connection enough memory for an answer. Otherwise the
   request must not run, since it could not be answered. */
static bool
head_is_accepted (struct kcp_caller_exchange *exchange)
{
  const struct kcp_routes *routes = exchange->listener->server->gateway->routes;
  int64_t max_bytes = routes != NULL ? routes->limits.max_header_bytes : 0;
  size_t line_bytes
      = strlen (exchange->inbound->method) + strlen (exchange->inbound->target);

  exchange->head_size = kcp_head_size_measure (exchange->connection);
  if (max_bytes > 0 && exchange->head_size.bytes > (size_t)max_bytes + line_bytes)
    return false;
  return kcp_connection_memory_has_answer_room (exchange->listener->memory.bytes,
                                                &exchange->head_size);
}

/* Returns true if the connection comes from the address of another VM. */
static bool
is_from_vm (const struct kcp_caller_exchange *exchange)
{
  const struct sockaddr *address
      = MHD_get_connection_info (exchange->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
            ->client_addr;

  return address->sa_family == AF_INET
         && kcp_mesh_knows_address (
             exchange->listener->server->gateway->mesh,
             ((const struct sockaddr_in *)(const void *)address)->sin_addr);
}

/* Applies the configured idle timeout, as the next larger number of whole seconds, to the
   connection. */
static void
set_idle_timeout (const struct kcp_caller_exchange *exchange)
{
  const struct kcp_routes *routes = exchange->listener->server->gateway->routes;
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

static struct kcp_body_limits
body_limits (const struct kcp_gateway *gateway)
{
  const struct kcp_forward_settings *settings = gateway->settings;
  size_t one = body_max (gateway);

  return (struct kcp_body_limits){
    .one = one,
    .all = settings->callers_bodies_mb > 0
               ? MAX ((size_t)settings->callers_bodies_mb << 20, one)
               : kcp_body_limits_all (settings->vm_memory_mb << 20, one),
  };
}

/* Takes a part of the body. What a dropped body still brings is discarded, so that its
   caller gets an answer; a caller that sends without end is disconnected. */
static enum MHD_Result
receive_body (struct kcp_caller_exchange *exchange, struct kcp_str bytes)
{
  const struct kcp_gateway *gateway = exchange->listener->server->gateway;
  struct kcp_body_limits limits = body_limits (gateway);

  if (exchange->body.memory == NULL
      || kcp_body_receive (&exchange->body, bytes, &limits, kcp_loop_now (gateway->loop)))
    return MHD_YES;
  KCP_LOG ("body_without_end", KCP_LOG_TEXT ("request", exchange->inbound->id),
           KCP_LOG_INT ("discarded_bytes", exchange->body.discarded_bytes));
  return MHD_NO;
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

/* Answers a request that is not started, or whose answer cannot be passed on, with a
   status of this VM, and closes the connection. */
static enum MHD_Result
reject (struct kcp_caller_exchange *exchange, unsigned status, const char *problem)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result;

  KCP_LOG (
      "rejected",
      KCP_LOG_TEXT ("request", exchange->inbound != NULL ? exchange->inbound->id : NULL),
      KCP_LOG_INT ("status", status), KCP_LOG_TEXT ("why", problem),
      KCP_LOG_INT ("head_bytes", exchange->head_size.bytes),
      KCP_LOG_INT ("head_elements", exchange->head_size.elements),
      KCP_LOG_INT ("answer_head_bytes", answer_head_bytes (&exchange->answer)));
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER,
                             NO_MEMORY_RETRY_AFTER_S);
  if (exchange->listener->server->kind == KCP_CALLING_VMS && exchange->forward == NULL)
    kcp_hop_add_answer_lines (response, KCP_HOP_DECLINED, 0);
  result = MHD_queue_response (exchange->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Rejects a request whose body was dropped. It has not run. */
static enum MHD_Result
reject_body (struct kcp_caller_exchange *exchange)
{
  if (exchange->body.state == KCP_BODY_TOO_LARGE)
    return reject (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
  kcp_counter_add (KCP_COUNT_BODIES_DROPPED, 1);
  return reject (exchange, MHD_HTTP_SERVICE_UNAVAILABLE, "no_memory_for_body");
}

/* Starts the request, or rejects it if its body was dropped. Then sends the answer if
   it has begun, or suspends the connection. */
static enum MHD_Result
advance (struct kcp_caller_exchange *exchange)
{
  if (exchange->forward == NULL)
    {
      struct kcp_inbound *inbound = exchange->inbound;

      inbound->body = kcp_body_complete (&exchange->body);
      if (inbound->body == NULL)
        return reject_body (exchange);
      exchange->inbound = NULL;
      exchange->forward = kcp_forward_start (exchange->listener->server->gateway, inbound,
                                             &exchange->answer);
    }
  if (exchange->answer.begun)
    return send_answer (exchange);
  suspend (exchange);
  return MHD_YES;
}

static void
on_changed (void *user)
{
  struct kcp_caller_exchange *exchange = user;

  if (!exchange->disconnected)
    resume (exchange);
}

static enum MHD_Result
send_answer (struct kcp_caller_exchange *exchange)
{
  struct kcp_answer *answer = &exchange->answer;
  struct MHD_Response *response;
  enum MHD_Result result;

  if (!kcp_connection_memory_fits_answer (exchange->listener->memory.bytes,
                                          &exchange->head_size,
                                          answer_head_bytes (answer)))
    return reject (exchange, MHD_HTTP_BAD_GATEWAY, "answer_head_too_large");
  if (is_close_delimited (exchange))
    kcp_close_delimited_begin (connection_fd (exchange));
  if (answer->streaming)
    response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, RESPONSE_BLOCK_SIZE,
                                                  read_answer, exchange, NULL);
  else
    response = make_whole_response (answer);
  for (guint i = 0; i + 1 < answer->headers->len; i += 2)
    MHD_add_response_header (response, g_ptr_array_index (answer->headers, i),
                             g_ptr_array_index (answer->headers, i + 1));
  if (exchange->listener->server->kind == KCP_CALLING_VMS)
    kcp_hop_add_answer_lines (response, answer->hop_end, answer->software);
  if (exchange->listener->server->gateway->draining || exchange->listener->replaced)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (exchange->connection, answer->status, response);
  MHD_destroy_response (response);
  return result;
}

/* Returns true if the end of the connection is the end of the answer, which has begun. */
static bool
is_close_delimited (const struct kcp_caller_exchange *exchange)
{
  const struct kcp_answer *answer = &exchange->answer;

  return answer->begun && answer->streaming && answer->close_delimited
         && kcp_close_delimited_has_body (answer->status);
}

/* Returns the bytes of the answer's header lines. */
static size_t
answer_head_bytes (const struct kcp_answer *answer)
{
  size_t bytes = 0;

  for (guint i = 0; i + 1 < answer->headers->len; i += 2)
    bytes += strlen (g_ptr_array_index (answer->headers, i))
             + strlen (g_ptr_array_index (answer->headers, i + 1)) + LINE_EXTRA_BYTES;
  return bytes;
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
  struct kcp_caller_exchange *exchange = user;
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
  if (exchange->disconnected && exchange->answer.end != KCP_ANSWER_COMPLETE)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  switch (exchange->answer.end)
    {
    case KCP_ANSWER_IN_PROGRESS:
      break;
    case KCP_ANSWER_COMPLETE:
      if (exchange->answer.close_delimited)
        kcp_close_delimited_complete (connection_fd (exchange));
      return MHD_CONTENT_READER_END_OF_STREAM;
    case KCP_ANSWER_INTERRUPTED:
      if (exchange->answer.close_delimited)
        reset_connection (exchange);
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  suspend (exchange);
  return 0;
}

/* Ends the answer so that the caller does not take it for complete. */
static void
reset_connection (const struct kcp_caller_exchange *exchange)
{
  if (!kcp_close_delimited_abort (connection_fd (exchange)))
    KCP_LOG ("reset_failed", KCP_LOG_TEXT ("reason", g_strerror (errno)));
}

static int
connection_fd (const struct kcp_caller_exchange *exchange)
{
  return MHD_get_connection_info (exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

static void
suspend (struct kcp_caller_exchange *exchange)
{
  exchange->suspended = true;
  MHD_suspend_connection (exchange->connection);
}

static void
resume (struct kcp_caller_exchange *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  exchange->listener->loop.run_pending = true;
  MHD_resume_connection (exchange->connection);
}

static void
free_forward (struct kcp_caller_exchange *exchange)
{
  if (exchange->forward != NULL)
    kcp_forward_free (exchange->forward);
  exchange->forward = NULL;
}
