#include <microhttpd.h>
#include <string.h>
#include <unistd.h>

#include "base/str.h"
#include "tests/harness/fake_parts.h"

#define CRASH_DELAY_MS 20 /* from the head or event until the server crashes */

/* Prepares for a platform on which no request crashes servers. */
void
fake_crashes_init (struct fake_crashes *crashes)
{
  crashes->times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  crashes->arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
  crashes->threads = g_ptr_array_new ();
}

/* Waits until no server is ending or starting again. */
void
fake_crashes_join (struct fake_crashes *crashes)
{
  for (guint i = 0; i < crashes->threads->len; i++)
    g_thread_join (g_ptr_array_index (crashes->threads, i));
}

/* Frees the members, once no server runs. */
void
fake_crashes_clear (struct fake_crashes *crashes)
{
  g_ptr_array_unref (crashes->threads);
  g_array_unref (crashes->times);
  g_array_unref (crashes->arrivals);
  g_free (crashes->body_text);
  g_free (crashes->part_text);
}

/* Ends a server's process: closes its port and connections, and starts another
   incarnation after crashes.down_ms. */
static void *
crash_server (void *user)
{
  struct fake_server *server = user;
  struct fake_platform *platform = server->platform;
  unsigned index = (unsigned)(server - platform->servers);
  unsigned down_ms = platform->crashes.down_ms;

  if (platform->crashes.error != FAKE_CRASH_NO_ERROR)
    g_usleep (CRASH_DELAY_MS * G_TIME_SPAN_MILLISECOND);
  (void)close (MHD_quiesce_daemon (server->daemon));
  MHD_stop_daemon (server->daemon);
  for (unsigned waited = 0; waited < down_ms && !platform->stopping;
       waited += FAKE_POLL_MS)
    g_usleep (FAKE_POLL_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_put_server_entry (platform, server->id, "");
  server->starts++;
  server->entries = 0;
  (void)g_snprintf (server->id, sizeof server->id, "i-%u.%u", index, server->starts);
  fake_server_listen (server);
  server->crashing = false;
  fake_platform_put_server (platform, index, "ready");
  return NULL;
}

/* Begins to crash a server unless it is crashing already. Returns false then. */
static bool
begin_crash (struct fake_server *server)
{
  struct fake_platform *platform = server->platform;
  bool begins;

  pthread_mutex_lock (&platform->lock);
  begins = !server->crashing && !platform->stopping;
  server->crashing = true;
  if (begins)
    g_ptr_array_add (platform->crashes.threads,
                     g_thread_new ("crash", crash_server, server));
  pthread_mutex_unlock (&platform->lock);
  return begins;
}

/* Makes each request whose body contains text crash the server that runs it. The server
   is back after down_ms, as a new incarnation at the same address. */
void
fake_platform_crash_on (struct fake_platform *platform, const char *text,
                        unsigned down_ms)
{
  platform->crashes.body_text = g_strdup (text);
  platform->crashes.down_ms = down_ms;
}

/* Makes each request whose Prompt-Prefix header contains text crash the server that runs
   it, once it has sent what progress says. */
void
fake_platform_crash_on_part (struct fake_platform *platform, const char *text,
                             unsigned down_ms, enum fake_crash_progress progress)
{
  platform->crashes.part_text = g_strdup (text);
  platform->crashes.progress = progress;
  platform->crashes.down_ms = down_ms;
}

/* Has every nth of the requests set with fake_platform_crash_on() answered with a status,
   before it is run, in place of crashing the server. */
void
fake_platform_answer_every (struct fake_platform *platform, unsigned nth, unsigned status)
{
  platform->crashes.answer_status = status;
  platform->crashes.answered_every = nth;
}

/* Has servers answer each request set with fake_platform_crash_on() with an error just
   before they crash on it. */
void
fake_platform_crash_with_error (struct fake_platform *platform,
                                enum fake_crash_error error)
{
  platform->crashes.error = error;
}

/* Crashes a server without the help of a request. */
void
fake_platform_crash_server (struct fake_platform *platform, unsigned index)
{
  (void)begin_crash (&platform->servers[index]);
}

/* Returns the number of crashes by requests. */
unsigned
fake_platform_crash_count (struct fake_platform *platform)
{
  unsigned count;

  pthread_mutex_lock (&platform->lock);
  count = platform->crashes.times->len;
  pthread_mutex_unlock (&platform->lock);
  return count;
}

/* Returns the monotonic time of a crash by a request, counted from 0, in microseconds. */
int64_t
fake_platform_crash_us (struct fake_platform *platform, unsigned number)
{
  int64_t time_us;

  pthread_mutex_lock (&platform->lock);
  time_us = g_array_index (platform->crashes.times, int64_t, number);
  pthread_mutex_unlock (&platform->lock);
  return time_us;
}

/* Returns how many requests that crash servers reached servers after time_us, a monotonic
   time in microseconds. */
unsigned
fake_platform_sent_after (struct fake_platform *platform, int64_t time_us)
{
  unsigned count = 0;

  pthread_mutex_lock (&platform->lock);
  for (guint i = 0; i < platform->crashes.arrivals->len; i++)
    count += g_array_index (platform->crashes.arrivals, int64_t, i) > time_us;
  pthread_mutex_unlock (&platform->lock);
  return count;
}

/* Counts a request that crashes servers. Returns how many there have been. */
static unsigned
count_crash_request (struct fake_platform *platform)
{
  int64_t now_us = g_get_monotonic_time ();
  unsigned count;

  pthread_mutex_lock (&platform->lock);
  g_array_append_val (platform->crashes.arrivals, now_us);
  count = platform->crashes.arrivals->len;
  pthread_mutex_unlock (&platform->lock);
  return count;
}

/* Crashes a server by a request. */
static void
crash_by_request (struct fake_server *server)
{
  struct fake_platform *platform = server->platform;
  int64_t now_us = g_get_monotonic_time ();

  if (!begin_crash (server))
    return;
  pthread_mutex_lock (&platform->lock);
  g_array_append_val (platform->crashes.times, now_us);
  pthread_mutex_unlock (&platform->lock);
}

/* Returns true if a request with this body crashes servers. */
bool
fake_crash_by_body (const struct fake_platform *platform, const GString *body)
{
  return platform->crashes.body_text != NULL
         && strstr (body->str, platform->crashes.body_text) != NULL;
}

/* Returns true if a request with the prompt part of this one crashes servers. */
bool
fake_crash_by_part (const struct fake_platform *platform,
                    struct MHD_Connection *connection)
{
  const char *parts
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Prompt-Prefix");

  return platform->crashes.part_text != NULL && parts != NULL
         && strstr (parts, platform->crashes.part_text) != NULL;
}

/* Sends what comes before the crash, and then crashes the server. */
static ssize_t
read_crashing (void *user, uint64_t position, char *out, size_t max)
{
  const struct kcp_str event = KCP_STR ("id: 1\ndata: a\n\n");
  struct fake_server *server = user;

  if (position == 0 && server->platform->crashes.progress >= FAKE_CRASH_AFTER_EVENT
      && max >= event.len)
    {
      memcpy (out, event.data, event.len);
      return (ssize_t)event.len;
    }
  g_usleep (CRASH_DELAY_MS * G_TIME_SPAN_MILLISECOND);
  crash_by_request (server);
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Begins to answer a request that holds a part on which the server crashes. */
enum MHD_Result
fake_crash_stream (struct fake_server *server, struct MHD_Connection *connection,
                   const char *id)
{
  struct MHD_Response *response;

  (void)count_crash_request (server->platform);
  if (server->platform->crashes.progress == FAKE_CRASH_AT_ONCE)
    {
      crash_by_request (server);
      return MHD_NO;
    }
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 64, read_crashing,
                                                server, NULL);
  if (server->platform->crashes.progress == FAKE_CRASH_AFTER_UNFRAMED_EVENT)
    MHD_set_response_options (response, MHD_RF_HTTP_VERSION_1_0_RESPONSE, MHD_RO_END);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  MHD_add_response_header (response, "Request-Id", id);
  MHD_add_response_header (response, "Server-Seal", server->id);
  return fake_http_queue (connection, 200, response);
}

/* Crashes the server on a request, or answers it without running it. */
enum MHD_Result
fake_crash_answer (struct fake_server *server, struct MHD_Connection *connection,
                   const char *const *headers)
{
  const struct fake_platform *platform = server->platform;
  unsigned number = count_crash_request (server->platform);
  const char *unsigned_headers[] = { headers[0], headers[1], NULL };

  if (platform->crashes.answered_every > 0
      && number % platform->crashes.answered_every == 0)
    return fake_http_send (connection, platform->crashes.answer_status, "", 0, headers);
  crash_by_request (server);
  switch (platform->crashes.error)
    {
    case FAKE_CRASH_ERROR:
      return fake_http_send (connection, 500, "", 0, headers);
    case FAKE_CRASH_ERROR_WITHOUT_ID:
      return fake_http_send (connection, 500, "", 0, NULL);
    case FAKE_CRASH_UNSIGNED:
      return fake_http_send (connection, 200, "", 0, unsigned_headers);
    case FAKE_CRASH_NO_ERROR:
      break;
    }
  return MHD_NO;
}
