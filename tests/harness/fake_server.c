#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/fake_parts.h"

#define SLOW_MS      500
#define VERSION_BASE 10

/* The event stream of a server's answer. */
struct stream
{
  struct fake_server *server;
  GString *text;
  size_t sent;
  bool interrupted;
  bool begun; /* its first event was sent */
};

static void
add_limit (const struct fake_server *server, struct MHD_Response *response)
{
  if (server->limit != NULL)
    MHD_add_response_header (response, "Server-Limit", server->limit);
}

/* As fake_http_send(), for an answer to a request, which names the server's limit. */
static enum MHD_Result
send_run_answer (const struct fake_server *server, struct MHD_Connection *connection,
                 unsigned status, const char *text, const char *const *headers)
{
  struct MHD_Response *response = fake_http_make (text, strlen (text), headers);

  add_limit (server, response);
  return fake_http_queue (connection, status, response);
}

static void
record_arrival (struct fake_server *server)
{
  int64_t now_us = g_get_monotonic_time ();

  pthread_mutex_lock (&server->platform->lock);
  g_array_append_val (server->arrivals, now_us);
  pthread_mutex_unlock (&server->platform->lock);
}

/* Returns a header of the last request that the server executed, to be freed with
   g_free(), or NULL. */
char *
fake_server_header (struct fake_server *server, const char *name)
{
  g_autofree char *lower = g_ascii_strdown (name, -1);
  char *value;

  pthread_mutex_lock (&server->platform->lock);
  value = g_strdup (g_hash_table_lookup (server->headers, lower));
  pthread_mutex_unlock (&server->platform->lock);
  return value;
}

static enum MHD_Result
record_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value)
{
  struct fake_server *server = user;

  (void)kind;
  g_hash_table_insert (server->headers, g_ascii_strdown (key, -1), g_strdup (value));
  return MHD_YES;
}

static enum MHD_Result
server_report (struct fake_server *server, struct MHD_Connection *connection)
{
  g_autofree char *text = g_strdup_printf (
      "{\"models\":[{\"name\":\"m\",\"version\":%" G_GINT64_FORMAT "}],\"busy\":false,"
      "\"seq-no\":%" G_GINT64_FORMAT ",\"queued\":0,\"active\":0}",
      server->version, server->orders_taken);

  return fake_http_send (connection, 200, text, strlen (text), NULL);
}

static enum MHD_Result
server_order (struct fake_server *server, struct MHD_Connection *connection,
              const GString *body)
{
  json_t *json = json_loads (body->str, 0, NULL);
  json_t *expected = json_object_get (json, "expected");
  int64_t fence = json_integer_value (json_object_get (json, "fence"));
  unsigned status = 202;

  pthread_mutex_lock (&server->platform->lock);
  server->lower_fences += fence < server->fence;
  server->fence = MAX (server->fence, fence);
  if (json_is_integer (expected) && json_integer_value (expected) != server->orders_taken)
    {
      status = 409;
      server->order_conflicts++;
    }
  else if (!server->ignores_orders)
    {
      server->orders_taken++;
      server->version = json_integer_value (json_object_get (json, "version"));
    }
  pthread_mutex_unlock (&server->platform->lock);
  json_decref (json);
  return fake_http_send (connection, status, "", 0, NULL);
}

/* Returns true if the last count bytes that were sent have the end of an event. */
static bool
ends_event (const struct stream *stream, size_t count)
{
  const char *text = stream->text->str;

  for (size_t i = stream->sent - count; i < stream->sent; i++)
    if (i > 0 && text[i] == '\n' && text[i - 1] == '\n')
      return true;
  return false;
}

/* Counts the stream among those that have begun, once. */
static void
note_begun (struct stream *stream)
{
  pthread_mutex_lock (&stream->server->platform->lock);
  stream->server->streams_begun += !stream->begun;
  pthread_mutex_unlock (&stream->server->platform->lock);
  stream->begun = true;
}

/* Returns the number of streams whose first event the server has sent. */
unsigned
fake_server_streams_begun (struct fake_server *server)
{
  unsigned begun;

  pthread_mutex_lock (&server->platform->lock);
  begun = server->streams_begun;
  pthread_mutex_unlock (&server->platform->lock);
  return begun;
}

static ssize_t
read_stream (void *user, uint64_t position, char *out, size_t max)
{
  struct stream *stream = user;
  size_t remaining = stream->text->len - stream->sent;
  size_t count = MIN (MIN (remaining, max), 12u);

  (void)position;
  if (remaining == 0)
    return stream->interrupted ? MHD_CONTENT_READER_END_WITH_ERROR
                               : MHD_CONTENT_READER_END_OF_STREAM;
  memcpy (out, stream->text->str + stream->sent, count);
  stream->sent += count;
  if (ends_event (stream, count))
    {
      g_usleep (stream->server->event_gap_ms * G_TIME_SPAN_MILLISECOND);
      note_begun (stream);
    }
  g_usleep (G_TIME_SPAN_MILLISECOND);
  return (ssize_t)count;
}

static void
stream_free (void *user)
{
  struct stream *stream = user;

  g_string_free (stream->text, TRUE);
  g_free (stream);
}

static enum MHD_Result
server_stream (struct fake_server *server, struct MHD_Connection *connection,
               const char *id, enum fake_mode mode)
{
  const char *after
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Last-Event-Id");
  struct stream *stream = g_new0 (struct stream, 1);
  int first = after != NULL ? atoi (after) + 1 : 1;
  struct MHD_Response *response;

  stream->server = server;
  stream->text = g_string_new (NULL);
  stream->interrupted = mode == FAKE_INTERRUPT;
  for (int i = first; i <= FAKE_STREAM_EVENTS; i++)
    g_string_append_printf (stream->text, "id: %d\ndata: piece %d%s%s\n\n", i, i,
                            server->software != NULL ? " of " : "",
                            server->software != NULL ? server->software : "");
  if (stream->interrupted)
    g_string_truncate (stream->text, 50);
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 64, read_stream, stream,
                                                stream_free);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  MHD_add_response_header (response, "Request-Id", id);
  MHD_add_response_header (response, "Server-Seal", server->id);
  add_limit (server, response);
  return fake_http_queue (connection, 200, response);
}

static ssize_t
read_truncated (void *user, uint64_t position, char *out, size_t max)
{
  (void)user;
  if (position > 0 || max == 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  out[0] = 'x';
  return 1;
}

static enum MHD_Result
server_truncated (struct fake_server *server, struct MHD_Connection *connection,
                  const char *id)
{
  struct MHD_Response *response
      = MHD_create_response_from_callback (100, 64, read_truncated, NULL, NULL);

  MHD_add_response_header (response, "Request-Id", id);
  MHD_add_response_header (response, "Server-Seal", server->id);
  return fake_http_queue (connection, 200, response);
}

/* Returns how many requests reached the server from a monotonic time in microseconds on.
 */
unsigned
fake_server_count_arrivals (struct fake_server *server, int64_t from_us)
{
  unsigned count = 0;

  pthread_mutex_lock (&server->platform->lock);
  for (guint i = 0; i < server->arrivals->len; i++)
    count += g_array_index (server->arrivals, int64_t, i) >= from_us;
  pthread_mutex_unlock (&server->platform->lock);
  return count;
}

/* Returns the greatest number of requests that reached the server within window_us, from
   a monotonic time in microseconds on. */
unsigned
fake_server_peak_arrivals (struct fake_server *server, int64_t from_us, int64_t window_us)
{
  unsigned peak = 0;
  guint first = 0;

  pthread_mutex_lock (&server->platform->lock);
  for (guint i = 0; i < server->arrivals->len; i++)
    {
      int64_t arrival_us = g_array_index (server->arrivals, int64_t, i);

      while (g_array_index (server->arrivals, int64_t, first)
             < MAX (from_us, arrival_us - window_us))
        if (++first > i)
          break;
      if (first <= i)
        peak = MAX (peak, i - first + 1);
    }
  pthread_mutex_unlock (&server->platform->lock);
  return peak;
}

/* Keeps what the test may ask about a request that is executed. */
static void
record_run (struct fake_server *server, struct MHD_Connection *connection, const char *id,
            const GString *body)
{
  GHashTable *runs = server->platform->runs;
  guint count;

  pthread_mutex_lock (&server->platform->lock);
  server->runs++;
  count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
  g_hash_table_replace (runs, g_strdup (id), GUINT_TO_POINTER (count + 1));
  g_hash_table_remove_all (server->headers);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, record_header, server);
  g_string_assign (server->body, body->str);
  pthread_mutex_unlock (&server->platform->lock);
}

static enum MHD_Result
server_run (struct fake_server *server, struct MHD_Connection *connection,
            const char *url, const GString *body)
{
  const char *id
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Request-Id");
  const char *wanted
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Expect-Instance");
  const char *version
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Expect-Version");
  enum fake_mode mode = server->mode;
  const char *refusal_headers[] = { "Request-Id", id, "Not-Executed", "1", NULL };
  const char *headers[]
      = { "Request-Id",  mode == FAKE_WRONG_ID ? "another" : id,    "X-Extra", "kept",
          "Server-Seal", mode == FAKE_UNSIGNED ? NULL : server->id, NULL };
  g_autofree char *text = g_strdup_printf ("%s ran %s for %s", server->id, url,
                                           mode == FAKE_WRONG_ID ? "another" : id);

  if (id == NULL)
    return fake_http_send (connection, 400, "", 0, NULL);
  if ((wanted != NULL && strcmp (wanted, server->id) != 0)
      || (version != NULL
          && g_ascii_strtoll (version, NULL, VERSION_BASE) != server->version))
    return fake_http_send (connection, 421, "", 0, NULL);
  record_arrival (server);
  if (server->crashing)
    return MHD_NO;
  if (fake_crash_by_body (server->platform, body))
    return fake_crash_answer (server, connection, headers);
  if (fake_crash_by_part (server->platform, connection))
    return fake_crash_stream (server, connection, id);
  if (mode == FAKE_UNSIGNED)
    headers[4] = NULL;
  if (mode == FAKE_REFUSE)
    return send_run_answer (server, connection, 503, "", refusal_headers);
  record_run (server, connection, id, body);
  if (mode == FAKE_SLOW || mode == FAKE_HANG_UP_LATE)
    g_usleep (SLOW_MS * G_TIME_SPAN_MILLISECOND);
  if (mode == FAKE_HANG_UP || mode == FAKE_HANG_UP_LATE)
    return MHD_NO;
  if (mode == FAKE_TRUNCATE)
    return server_truncated (server, connection, id);
  if (server->fails_every > 0 && server->runs % server->fails_every == 0)
    return fake_http_send (connection, 500, text, strlen (text), headers);
  if (mode == FAKE_FAIL)
    return send_run_answer (server, connection, 500, text, headers);
  if (g_str_has_prefix (url, "/stream/"))
    return server_stream (server, connection, id, mode);
  return send_run_answer (server, connection, 200, text, headers);
}

static enum MHD_Result
on_server (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state)
{
  struct fake_server *server = user;
  const GString *body;

  (void)method;
  (void)version;
  if (!fake_http_receive (state, data, size))
    return MHD_YES;
  body = fake_http_body (state);
  if (g_str_has_suffix (url, "/report"))
    return server_report (server, connection);
  if (g_str_has_suffix (url, "/order"))
    return server_order (server, connection, body);
  if (g_str_has_suffix (url, "/kv-events"))
    {
      const char *none = "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";

      if (server->counts_calls)
        record_arrival (server);
      g_usleep (200 * G_TIME_SPAN_MILLISECOND);
      return fake_http_send (connection, 200, none, strlen (none), NULL);
    }
  return server_run (server, connection, url, body);
}

/* Starts a server at a free port. */
void
fake_server_start (struct fake_server *server, struct fake_platform *platform,
                   unsigned index)
{
  server->platform = platform;
  (void)g_snprintf (server->id, sizeof server->id, "i-%u", index);
  server->version = 1;
  server->headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  server->body = g_string_new (NULL);
  server->arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
  fake_server_listen (server);
}

/* Listens at the server's port, or at a free one if it has none yet. */
void
fake_server_listen (struct fake_server *server)
{
  server->daemon = fake_http_start (on_server, NULL, server, &server->port);
}

/* Stops the server and frees its members. */
void
fake_server_stop (struct fake_server *server)
{
  MHD_stop_daemon (server->daemon);
  g_hash_table_unref (server->headers);
  g_string_free (server->body, TRUE);
  g_array_unref (server->arrivals);
}
