#include "forward/http_client.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/send_guard.h"
#include "forward/http_sockets.h"

#define CONNECTION_CACHE  1024L       /* connections kept for reuse */
#define READ_BUFFER       (16L << 10) /* bytes */
#define UPLOAD_BUFFER     (16L << 10) /* bytes */
#define SPARE_HANDLES_MAX 64u
#define KEEPALIVE_IDLE_S  1 /* before the first probe and between probes */
#define KEEPALIVE_COUNT   3 /* unanswered probes */

struct kcp_http_client
{
  struct kcp_loop *loop;
  CURLM *multi;
  GPtrArray *spare_handles; /* easy handles for reuse */
  GHashTable *calls;        /* set of struct kcp_http_call */
  struct kcp_http_sockets *sockets;
};

struct kcp_http_call
{
  struct kcp_http_client *client;
  CURL *curl;
  struct curl_slist *headers;
  struct kcp_str body;
  size_t body_sent;
  int64_t ack_timeout_ms;
  struct kcp_send_guard guard;
  int own_port; /* of the connection on which it was sent; 0: not sent */
  int new_fd;   /* socket that was created for this call; -1: none */
  bool unclean; /* the connection to be used again has bytes that no request asked for */
  bool moved;   /* to a new connection, since that one was unclean */
  struct kcp_http_head head;
  size_t body_bytes;
  size_t max_body_bytes; /* 0: not limited here */
  const char *limit;     /* the limit that the answer exceeds, for the log; NULL: none */
  char error[CURL_ERROR_SIZE];
  void (*head_began) (void *user);
  void (*head_ended) (void *user);
  void (*header) (void *user, struct kcp_str name, struct kcp_str value);
  bool (*data) (void *user, struct kcp_str bytes);
  void (*done) (void *user, const struct kcp_http_result *result);
  void *user;
};

static const char *const end_names[KCP_HTTP_END_COUNT] = {
  [KCP_HTTP_COMPLETE] = "whole",
  [KCP_HTTP_UNSENT] = "unsent",
  [KCP_HTTP_INTERRUPTED] = "broken",
  [KCP_HTTP_TIMED_OUT] = "timed_out",
};

static void read_messages (void *user);
static void move_to_new_connection (struct kcp_http_call *call);
static void finish (struct kcp_http_call *call, CURLcode code);
static void
set_invalid_status (struct kcp_http_call *call, struct kcp_http_result *result);
static void record_limit (struct kcp_http_call *call);
static void record_cut_head (struct kcp_http_call *call);
static enum kcp_http_end classify_end (const struct kcp_http_call *call, CURLcode code);
static void set_up (struct kcp_http_call *call, const struct kcp_http_spec *spec);
static void set_method (struct kcp_http_call *call, const struct kcp_http_spec *spec);
static void set_timeouts (struct kcp_http_call *call, const struct kcp_http_spec *spec);
static CURL *take_handle (struct kcp_http_client *client);
static void release_call (struct kcp_http_call *call);
static int
on_connected (void *user, char *address, char *own_address, int port, int own_port);
static bool
is_usable (struct kcp_http_call *call, const struct kcp_http_connection *connection);
static int on_socket_created (void *user, curl_socket_t fd, curlsocktype purpose);
static size_t on_header (char *data, size_t size, size_t count, void *user);
static size_t on_data (char *data, size_t size, size_t count, void *user);
static size_t on_read_body (char *out, size_t size, size_t count, void *user);

/* Creates a client on the loop, which must outlive it. */
struct kcp_http_client *
kcp_http_client_new (struct kcp_loop *loop)
{
  struct kcp_http_client *client = g_new0 (struct kcp_http_client, 1);

  client->loop = loop;
  client->multi = kcp_poller_multi (kcp_loop_poller (loop));
  client->spare_handles = g_ptr_array_new ();
  client->calls = g_hash_table_new (NULL, NULL);
  client->sockets = kcp_http_sockets_new ();
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, CONNECTION_CACHE);
  curl_multi_setopt (client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  kcp_loop_add_step (loop, read_messages, client);
  return client;
}

/* Ends all calls without their done callbacks and frees the client. client may be
   NULL. */
void
kcp_http_client_free (struct kcp_http_client *client)
{
  GHashTableIter iter;
  gpointer call;

  if (client == NULL)
    return;
  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      g_hash_table_iter_steal (&iter);
      release_call (call);
    }
  for (guint i = 0; i < client->spare_handles->len; i++)
    curl_easy_cleanup (g_ptr_array_index (client->spare_handles, i));
  g_ptr_array_unref (client->spare_handles);
  g_hash_table_unref (client->calls);
  kcp_http_sockets_free (client->sockets);
  g_free (client);
}

/* Starts a call. Its done callback is called exactly once, unless the call is cancelled
   first. */
struct kcp_http_call *
kcp_http_start (struct kcp_http_client *client, const struct kcp_http_spec *spec)
{
  struct kcp_http_call *call = g_new0 (struct kcp_http_call, 1);

  call->client = client;
  call->new_fd = -1;
  call->headers = spec->headers;
  call->body = spec->body;
  call->ack_timeout_ms = spec->ack_timeout_ms;
  call->guard.may_repeat = spec->may_repeat;
  call->max_body_bytes = spec->max_body_bytes;
  call->head_began = spec->head_began;
  call->head_ended = spec->head_ended;
  call->header = spec->header;
  call->data = spec->data;
  call->done = spec->done;
  call->user = spec->user;
  call->curl = take_handle (client);
  set_up (call, spec);
  set_method (call, spec);
  set_timeouts (call, spec);
  g_hash_table_add (client->calls, call);
  curl_multi_add_handle (client->multi, call->curl);
  return call;
}

/* Ends a call and closes its connection, without calling the done callback. Must not be
   called from a header or data callback. */
void
kcp_http_cancel (struct kcp_http_call *call)
{
  g_hash_table_remove (call->client->calls, call);
  release_call (call);
}

/* Has the connection closed after this call, since what it brings next may belong to an
   earlier request. May be called from a header callback. */
void
kcp_http_forbid_reuse (struct kcp_http_call *call)
{
  curl_easy_setopt (call->curl, CURLOPT_FORBID_REUSE, 1L);
}

/* Delivers no more of the answer after the data callback returns, from which this may be
   called. The server is not read further. */
void
kcp_http_pause (struct kcp_http_call *call)
{
  curl_easy_pause (call->curl, CURLPAUSE_RECV);
}

/* Delivers the answer again. May call the data callback, and the done callback if that
   one ends the call, so it must not be called from a callback of this client. */
void
kcp_http_unpause (struct kcp_http_call *call)
{
  CURLcode code = curl_easy_pause (call->curl, CURLPAUSE_CONT);

  if (code != CURLE_OK)
    finish (call, code);
}

/* Returns the status of the answer that is being received, or 0 if none has begun. */
long
kcp_http_status (const struct kcp_http_call *call)
{
  long status = 0;

  curl_easy_getinfo (call->curl, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

/* Returns the name that the log uses for end. */
const char *
kcp_http_end_name (enum kcp_http_end end)
{
  return end_names[end];
}

static void
read_messages (void *user)
{
  struct kcp_http_client *client = user;
  CURLMsg *message;
  int queued;

  while ((message = curl_multi_info_read (client->multi, &queued)) != NULL)
    {
      struct kcp_http_call *call = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      if (call->unclean)
        move_to_new_connection (call);
      else
        finish (call, message->data.result);
    }
}

/* Starts a call again of which nothing was sent. */
static void
move_to_new_connection (struct kcp_http_call *call)
{
  char *address = NULL;

  curl_easy_getinfo (call->curl, CURLINFO_EFFECTIVE_URL, &address);
  kcp_counter_add (KCP_COUNT_UNCLEAN_CONNECTIONS, 1);
  KCP_LOG ("connection_unclean", KCP_LOG_TEXT ("peer", address));
  curl_multi_remove_handle (call->client->multi, call->curl);
  call->unclean = false;
  call->moved = true;
  call->error[0] = '\0';
  curl_easy_setopt (call->curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle (call->client->multi, call->curl);
}

static void
finish (struct kcp_http_call *call, CURLcode code)
{
  struct kcp_http_result result = { .end = classify_end (call, code) };
  char reason[CURL_ERROR_SIZE];
  long new_connections = 0;
  long error = 0;

  if (call->head.complete)
    {
      result.framing = call->head.framing;
      curl_easy_getinfo (call->curl, CURLINFO_RESPONSE_CODE, &result.status);
    }
  if (code == CURLE_OK && !call->head.complete)
    record_cut_head (call);
  curl_easy_getinfo (call->curl, CURLINFO_NUM_CONNECTS, &new_connections);
  curl_easy_getinfo (call->curl, CURLINFO_OS_ERRNO, &error);
  /* libcurl has opened another connection if it was about to repeat the request. */
  result.reused = call->guard.sent && (new_connections == 0 || call->guard.prevented);
  result.refused = code == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
  result.own_port = call->own_port;
  result.body_sent = call->body_sent;
  result.kept_from_repeating = call->guard.prevented;
  if (call->head.complete && !kcp_http_status_is_final (result.status))
    set_invalid_status (call, &result);
  if (call->limit != NULL)
    record_limit (call);
  g_strlcpy (reason, call->error[0] != '\0' ? call->error : curl_easy_strerror (code),
             sizeof reason);
  result.reason = reason;
  g_hash_table_remove (call->client->calls, call);
  curl_multi_remove_handle (call->client->multi, call->curl);
  call->done (call->user, &result);
  release_call (call);
}

/* Makes an answer whose status does not exist an answer that is not complete. */
static void
set_invalid_status (struct kcp_http_call *call, struct kcp_http_result *result)
{
  (void)g_snprintf (call->error, sizeof call->error, "the answer has the status %ld",
                    result->status);
  result->status = 0;
  if (result->end == KCP_HTTP_COMPLETE)
    result->end = KCP_HTTP_INTERRUPTED;
}

/* Reports an answer that was ended because it exceeds a limit. */
static void
record_limit (struct kcp_http_call *call)
{
  char *address = NULL;

  curl_easy_getinfo (call->curl, CURLINFO_EFFECTIVE_URL, &address);
  kcp_counter_add (KCP_COUNT_ANSWERS_TOO_LARGE, 1);
  KCP_LOG ("answer_too_large", KCP_LOG_TEXT ("limit", call->limit),
           KCP_LOG_TEXT ("peer", address), KCP_LOG_INT ("head_bytes", call->head.bytes),
           KCP_LOG_INT ("body_bytes", call->body_bytes));
  (void)g_snprintf (call->error, sizeof call->error, "the %s of the answer is too large",
                    call->limit);
}

/* Reports an answer whose connection ended, in order, within the head. libcurl reports it
   as a success. */
static void
record_cut_head (struct kcp_http_call *call)
{
  char *address = NULL;

  curl_easy_getinfo (call->curl, CURLINFO_EFFECTIVE_URL, &address);
  kcp_counter_add (KCP_COUNT_CUT_HEADS, 1);
  KCP_LOG ("head_cut", KCP_LOG_TEXT ("peer", address),
           KCP_LOG_INT ("head_bytes", call->head.bytes));
  (void)g_strlcpy (call->error, "the connection ended within the head",
                   sizeof call->error);
}

static enum kcp_http_end
classify_end (const struct kcp_http_call *call, CURLcode code)
{
  if (code == CURLE_OK && call->head.complete)
    return KCP_HTTP_COMPLETE;
  if (!call->guard.sent)
    return KCP_HTTP_UNSENT;
  return code == CURLE_OPERATION_TIMEDOUT ? KCP_HTTP_TIMED_OUT : KCP_HTTP_INTERRUPTED;
}

static void
set_up (struct kcp_http_call *call, const struct kcp_http_spec *spec)
{
  CURL *curl = call->curl;
  char url[64];

  (void)g_snprintf (url, sizeof url, "http://%s/", spec->address);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_REQUEST_TARGET, spec->target);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, call);
  curl_easy_setopt (curl, CURLOPT_ERRORBUFFER, call->error);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (curl, CURLOPT_BUFFERSIZE, READ_BUFFER);
  curl_easy_setopt (curl, CURLOPT_UPLOAD_BUFFERSIZE, UPLOAD_BUFFER);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, on_connected);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTDATA, call);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, call);
}

/* libcurl retries a request by itself if a reused connection closes before the answer;
   on_connected() prevents this. It cannot retry one whose body it reads with a callback
   that cannot be rewound. */
static void
set_method (struct kcp_http_call *call, const struct kcp_http_spec *spec)
{
  CURL *curl = call->curl;
  bool without_body
      = strcmp (spec->method, "GET") == 0 || strcmp (spec->method, "DELETE") == 0;

  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, spec->method);
  if (strcmp (spec->method, "HEAD") == 0)
    curl_easy_setopt (curl, CURLOPT_NOBODY, 1L);
  else if (spec->body.len > 0 || !without_body)
    {
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)spec->body.len);
      curl_easy_setopt (curl, CURLOPT_READFUNCTION, on_read_body);
      curl_easy_setopt (curl, CURLOPT_READDATA, call);
    }
}

static void
set_timeouts (struct kcp_http_call *call, const struct kcp_http_spec *spec)
{
  CURL *curl = call->curl;

  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)spec->connect_ms);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)spec->total_ms);
  curl_easy_setopt (curl, CURLOPT_MAXAGE_CONN, (long)spec->max_idle_s);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, spec->new_connection ? 1L : 0L);
}

static CURL *
take_handle (struct kcp_http_client *client)
{
  if (client->spare_handles->len == 0)
    return curl_easy_init ();
  return g_ptr_array_steal_index_fast (client->spare_handles,
                                       client->spare_handles->len - 1);
}

static void
release_call (struct kcp_http_call *call)
{
  struct kcp_http_client *client = call->client;

  curl_multi_remove_handle (client->multi, call->curl);
  curl_slist_free_all (call->headers);
  if (client->spare_handles->len < SPARE_HANDLES_MAX)
    {
      curl_easy_reset (call->curl);
      g_ptr_array_add (client->spare_handles, call->curl);
    }
  else
    curl_easy_cleanup (call->curl);
  g_free (call);
}

/* Called each time before the first byte of the request is sent. */
static int
on_connected (void *user, char *address, char *own_address, int port, int own_port)
{
  struct kcp_http_call *call = user;
  struct kcp_http_connection connection
      = { .address = address, .port = port, .own_port = own_port };

  (void)own_address;
  if (!kcp_send_guard_allows (&call->guard))
    return CURL_PREREQFUNC_ABORT;
  if (!is_usable (call, &connection))
    {
      call->unclean = true;
      return CURL_PREREQFUNC_ABORT;
    }
  call->guard.sent = true;
  call->own_port = own_port;
  return CURL_PREREQFUNC_OK;
}

/* Returns false if the connection was used before and has bytes that no request has asked
   for, such as an answer too many. The request on it would get these as its answer. A
   call is moved to another connection once at most; one that libcurl repeats is not
   checked. */
static bool
is_usable (struct kcp_http_call *call, const struct kcp_http_connection *connection)
{
  struct kcp_http_sockets *sockets = call->client->sockets;

  if (call->new_fd >= 0)
    {
      kcp_http_sockets_add (sockets, connection, call->new_fd);
      call->new_fd = -1;
      return true;
    }
  return call->moved || call->guard.sent
         || kcp_http_sockets_are_quiet (sockets, connection);
}

/* Makes the kernel close a connection whose peer no longer acknowledges data or keepalive
   probes. */
static int
on_socket_created (void *user, curl_socket_t fd, curlsocktype purpose)
{
  struct kcp_http_call *call = user;
  unsigned ack_timeout_ms = (unsigned)call->ack_timeout_ms;
  int on = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int count = KEEPALIVE_COUNT;

  (void)purpose;
  call->new_fd = fd;
  if (ack_timeout_ms == 0)
    return CURL_SOCKOPT_OK;
  (void)setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle_s, sizeof idle_s);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
                    sizeof ack_timeout_ms);
  return CURL_SOCKOPT_OK;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct kcp_http_call *call = user;
  struct kcp_str text = { .data = data, .len = size * count };
  struct kcp_http_line line = kcp_http_head_read (&call->head, text);

  switch (line.kind)
    {
    case KCP_HTTP_LINE_TOO_LONG:
      call->limit = "head";
      return 0;
    case KCP_HTTP_LINE_BEGIN:
      if (call->head_began != NULL)
        call->head_began (call->user);
      break;
    case KCP_HTTP_LINE_HEADER:
      if (call->header != NULL)
        call->header (call->user, line.name, line.value);
      break;
    case KCP_HTTP_LINE_END:
      if (call->head_ended != NULL)
        call->head_ended (call->user);
      break;
    case KCP_HTTP_LINE_IGNORED:
      break;
    }
  return text.len;
}

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct kcp_http_call *call = user;
  struct kcp_str bytes = { .data = data, .len = size * count };

  call->body_bytes += bytes.len;
  if (call->max_body_bytes > 0 && call->body_bytes > call->max_body_bytes)
    {
      call->limit = "body";
      return 0;
    }
  if (call->data != NULL && !call->data (call->user, bytes))
    return 0;
  return bytes.len;
}

static size_t
on_read_body (char *out, size_t size, size_t count, void *user)
{
  struct kcp_http_call *call = user;
  size_t len = MIN (size * count, call->body.len - call->body_sent);

  memcpy (out, call->body.data + call->body_sent, len);
  call->body_sent += len;
  return len;
}
