/* Stand-in for a model engine: streams completions and has a prefix cache with a limited
   number of blocks. The answer is a fixed function of the prompt, so that callers can
   check it. A stream whose connection is lost is kept for RESUME_WINDOW_MS and can be
   resumed by its request id. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/id.h"
#include "policy/prefix.h"
#include "standin/answer_text.h"
#include "standin/engine_events.h"
#include "standin/engine_orders.h"
#include "standin/faults.h"
#include "standin/standin.h"

#define TOKENS_DEFAULT   16
#define CHUNK_MAX        512  /* bytes of one event */
#define RESUME_WINDOW_MS 2000 /* for a stream that has lost its connection */
#define FREEZE_POLL_MS   5
#define FREEZE_MAX_MS    20000
#define STREAMS_PATH     "/v1/streams/"
#define WRONG_ID         "00000000000000000000000000000000"

/* An answer in progress. Guarded by the lock. */
struct stream
{
  char *id;
  struct standin_answer_text text;
  int64_t tokens; /* total number of content events */
  int64_t cached_tokens;
  bool chat;
  bool prefilled;
  int64_t owner; /* serial of the connection that it is written to; 0: none */
  int64_t detached_ns;
};

/* A connection that a stream is written to. Only the connection's own thread uses it;
   the stream is shared. */
struct writer
{
  const struct stream *stream; /* only compared, never read: it may have been freed */
  char *id;
  int64_t serial;
  struct standin_faults faults;
  int64_t next;     /* id of the next event */
  int64_t count;    /* events sent */
  bool done;        /* the end marker has been written to chunk */
  size_t chunk_len; /* bytes in chunk */
  size_t sent;      /* bytes of chunk that have been sent */
  char chunk[2 * CHUNK_MAX];
};

static void start (const struct standin_options *options);
static enum MHD_Result handle (const struct standin_request *request);
static void clear_stale_cache (void);
static enum MHD_Result report_load (const struct standin_request *request);
static enum MHD_Result change_faults (const struct standin_request *request);
static enum MHD_Result cancel (const struct standin_request *request);
static enum MHD_Result complete (const struct standin_request *request);
static struct stream *
start_stream (const struct standin_request *request, const char *id);
static enum MHD_Result
send_stream (const struct standin_request *request, struct writer *writer);
static bool has_unmet_expectation (const struct standin_request *request);
static int64_t cache_prompt_blocks (json_t *blocks);
static void stream_free (gpointer data);
static void expire_streams (void);
static ssize_t write_stream (void *user, uint64_t position, char *out, size_t max);
static bool wait_for_next_event (struct writer *writer);
static bool writer_owns (const struct writer *writer, struct stream *copy);
static void mark_prefilled (const struct writer *writer);
static bool write_chunk (struct writer *writer);
static size_t
write_event (const struct writer *writer, const struct stream *stream, char *out);
static void end_writer (void *user);

const struct standin_role standin_engine_role = { "engine", start, handle };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct standin_options settings;
static char incarnation[KCP_ID_LEN + 1];
static GHashTable *cached;                      /* block identities, as strings */
static char cached_weights[ENGINE_WEIGHTS_MAX]; /* weights version of the cached blocks */
static GQueue *cache_order;                     /* the same strings, oldest first */
static GHashTable *streams;                     /* request id -> struct stream */
static struct standin_faults faults;
static int64_t last_serial;
static int64_t cancelled; /* streams cancelled or expired before their end */
static int64_t started;   /* streams started */
static int64_t resumed;   /* streams resumed on a new connection */

static void
start (const struct standin_options *options)
{
  settings = *options;
  kcp_id_random (incarnation);
  cached = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cache_order = g_queue_new ();
  streams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, stream_free);
  (void)standin_faults_parse (&faults, KCP_STR ("{}"));
  engine_orders_start (options);
  engine_orders_copy_weights (cached_weights);
}

/* Clears the cache if the weights have changed, which makes every cached block invalid.
   The lock must be held. */
static void
clear_stale_cache (void)
{
  char weights[ENGINE_WEIGHTS_MAX];

  engine_orders_copy_weights (weights);
  if (strcmp (weights, cached_weights) == 0)
    return;
  memcpy (cached_weights, weights, sizeof weights);
  g_queue_clear (cache_order);
  g_hash_table_remove_all (cached);
}

static enum MHD_Result
handle (const struct standin_request *request)
{
  if (engine_events_handles (request))
    return engine_events_handle (request, incarnation);
  if (strcmp (request->path, "/load") == 0)
    return report_load (request);
  if (strcmp (request->path, "/orders") == 0)
    return engine_orders_handle (request);
  if (strcmp (request->path, "/faults") == 0)
    return change_faults (request);
  if (g_str_has_prefix (request->path, STREAMS_PATH))
    return cancel (request);
  if (strcmp (request->path, "/v1/chat/completions") == 0
      || strcmp (request->path, "/v1/completions") == 0)
    return complete (request);
  return standin_answer (request, 404, json_object ());
}

static enum MHD_Result
report_load (const struct standin_request *request)
{
  json_t *report;

  pthread_mutex_lock (&lock);
  expire_streams ();
  report = json_pack ("{sssIsIsIsIsIsI}", "incarnation", incarnation, "running",
                      (json_int_t)g_hash_table_size (streams), "waiting", (json_int_t)0,
                      "waiting_tokens", (json_int_t)0, "cancelled", (json_int_t)cancelled,
                      "started", (json_int_t)started, "resumed", (json_int_t)resumed);
  pthread_mutex_unlock (&lock);
  engine_orders_report (report);
  return standin_answer (request, 200, report);
}

static enum MHD_Result
change_faults (const struct standin_request *request)
{
  bool valid;

  pthread_mutex_lock (&lock);
  valid = standin_faults_parse (&faults, request->body);
  pthread_mutex_unlock (&lock);
  return standin_answer (request, valid ? 200 : 400, json_object ());
}

/* Handles DELETE /v1/streams/ID, which cancels a stream. */
static enum MHD_Result
cancel (const struct standin_request *request)
{
  bool known;

  pthread_mutex_lock (&lock);
  known = g_hash_table_remove (streams, request->path + strlen (STREAMS_PATH));
  cancelled += known;
  pthread_mutex_unlock (&lock);
  return standin_answer (request, known ? 200 : 404, json_object ());
}

/* Starts a stream, or resumes one after the event that the header Last-Event-ID names; -1
   resumes it at its first event. */
static enum MHD_Result
complete (const struct standin_request *request)
{
  const char *id = standin_header (request, "Kingcuppoint-Request");
  const char *last = standin_header (request, "Last-Event-ID");
  struct writer *writer = g_new0 (struct writer, 1);
  struct stream *stream;

  if (settings.crash_on != NULL
      && memmem (request->body.data, request->body.len, settings.crash_on,
                 strlen (settings.crash_on))
             != NULL)
    _exit (EXIT_FAILURE);
  writer->id = g_strdup (id != NULL ? id : "");
  pthread_mutex_lock (&lock);
  expire_streams ();
  if (last != NULL)
    stream = g_hash_table_lookup (streams, writer->id);
  else
    stream = has_unmet_expectation (request) ? NULL : start_stream (request, writer->id);
  if (stream != NULL)
    writer->faults = standin_faults_next (&faults, stream->tokens);
  if (stream != NULL && writer->faults.values[STANDIN_FAULT_REFUSE] > 0)
    {
      if (last == NULL && g_hash_table_remove (streams, writer->id))
        started--;
      pthread_mutex_unlock (&lock);
      end_writer (writer);
      return standin_answer (request, 503, json_object ());
    }
  if (stream == NULL)
    {
      pthread_mutex_unlock (&lock);
      end_writer (writer);
      return standin_answer (
          request, last != NULL ? 404 : 409,
          json_pack ("{ssss}", "incarnation", incarnation, "weights", cached_weights));
    }
  writer->stream = stream;
  writer->serial = ++last_serial;
  writer->next = last != NULL ? g_ascii_strtoll (last, NULL, 10) + 1 : 0;
  resumed += last != NULL;
  stream->owner = writer->serial;
  pthread_mutex_unlock (&lock);
  return send_stream (request, writer);
}

static struct stream *
start_stream (const struct standin_request *request, const char *id)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  json_t *max_tokens = json_object_get (body, "max_tokens");
  struct stream *stream = g_new0 (struct stream, 1);

  stream->id = g_strdup (id);
  stream->chat = strcmp (request->path, "/v1/chat/completions") == 0;
  standin_answer_text_init (&stream->text, body);
  stream->tokens = max_tokens != NULL ? json_integer_value (max_tokens)
                                      : MAX (TOKENS_DEFAULT - stream->text.next_token, 0);
  stream->cached_tokens = cache_prompt_blocks (json_object_get (body, "blocks"));
  stream->cached_tokens = MIN (stream->cached_tokens, stream->text.prompt_tokens);
  json_decref (body);
  g_hash_table_replace (streams, stream->id, stream);
  started++;
  return stream;
}

static enum MHD_Result
send_stream (const struct standin_request *request, struct writer *writer)
{
  bool wrong_id = writer->faults.values[STANDIN_FAULT_CROSS] > 0;
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, CHUNK_MAX, write_stream, writer, end_writer);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  MHD_add_response_header (response, "Kingcuppoint-Request",
                           wrong_id ? WRONG_ID : writer->id);
  result = MHD_queue_response (request->connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

/* Returns true if the request expects another incarnation or other weights. */
static bool
has_unmet_expectation (const struct standin_request *request)
{
  const char *expected = standin_header (request, "Kingcuppoint-Expect-Incarnation");
  const char *weights = standin_header (request, "Kingcuppoint-Expect-Weights");

  clear_stale_cache ();
  return (expected != NULL && strcmp (expected, incarnation) != 0)
         || (weights != NULL && strcmp (weights, cached_weights) != 0);
}

/* Caches all blocks. Returns the number of tokens in the leading blocks that were already
   cached. */
static int64_t
cache_prompt_blocks (json_t *blocks)
{
  int64_t hits = 0;
  json_t *block;
  size_t i;

  json_array_foreach (blocks, i, block)
  {
    const char *identity = json_string_value (block);

    if (identity == NULL)
      break;
    if (g_hash_table_contains (cached, identity))
      {
        hits += (size_t)hits == i;
        continue;
      }
    if (g_hash_table_size (cached) >= (guint)settings.cache_blocks)
      {
        engine_events_add (g_queue_peek_head (cache_order), false);
        g_hash_table_remove (cached, g_queue_pop_head (cache_order));
      }
    g_hash_table_add (cached, g_strdup (identity));
    engine_events_add (identity, true);
    g_queue_push_tail (cache_order, g_hash_table_lookup (cached, identity));
  }
  return hits * KCP_BLOCK_TOKENS;
}

static void
stream_free (gpointer data)
{
  struct stream *stream = data;

  g_free (stream->id);
  g_free (stream);
}

/* Removes the streams that were not resumed within RESUME_WINDOW_MS. */
static void
expire_streams (void)
{
  int64_t limit_ns
      = kcp_clock_monotonic_ns (&kcp_clock_system) - RESUME_WINDOW_MS * KCP_NS_PER_MS;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct stream *stream = value;

      if (stream->owner != 0 || stream->detached_ns > limit_ns)
        continue;
      g_hash_table_iter_remove (&iter);
      cancelled++;
    }
}

static ssize_t
write_stream (void *user, uint64_t position, char *out, size_t max)
{
  struct writer *writer = user;
  size_t count;

  (void)position;
  if (writer->sent == writer->chunk_len)
    {
      if (writer->done)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (!wait_for_next_event (writer) || !write_chunk (writer))
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  count = MIN (max, writer->chunk_len - writer->sent);
  memcpy (out, writer->chunk + writer->sent, count);
  writer->sent += count;
  return (ssize_t)count;
}

/* Sleeps for the time that the next event takes and injects the faults that are due.
   Returns false if the connection is to be closed. */
static bool
wait_for_next_event (struct writer *writer)
{
  const int64_t *values = writer->faults.values;
  struct stream stream;
  int64_t wait_us = 0;

  if (!writer_owns (writer, &stream))
    return false;
  if (writer->count == values[STANDIN_FAULT_BREAK_AFTER])
    return false;
  if (writer->count == values[STANDIN_FAULT_EXIT_AFTER])
    _exit (EXIT_FAILURE);
  if (writer->count == values[STANDIN_FAULT_FREEZE_AFTER])
    {
      for (int waited = 0; waited < FREEZE_MAX_MS && writer_owns (writer, &stream);
           waited += FREEZE_POLL_MS)
        g_usleep (FREEZE_POLL_MS * G_TIME_SPAN_MILLISECOND);
      return false;
    }
  if (writer->count == 0 && values[STANDIN_FAULT_DELAY_MS] > 0)
    wait_us = values[STANDIN_FAULT_DELAY_MS] * G_TIME_SPAN_MILLISECOND;
  if (!stream.prefilled)
    wait_us += (stream.text.prompt_tokens - stream.cached_tokens) * settings.prefill_us;
  if (writer->next > 0 && writer->next < stream.tokens)
    wait_us += settings.token_ms * G_TIME_SPAN_MILLISECOND;
  if (wait_us > 0)
    g_usleep ((gulong)wait_us);
  return true;
}

/* Copies the stream and returns true if it is still written to this connection. */
static bool
writer_owns (const struct writer *writer, struct stream *copy)
{
  struct stream *stream;
  bool owns;

  pthread_mutex_lock (&lock);
  stream = g_hash_table_lookup (streams, writer->id);
  owns = stream != NULL && stream == writer->stream && stream->owner == writer->serial;
  if (owns)
    *copy = *stream;
  pthread_mutex_unlock (&lock);
  return owns;
}

static void
mark_prefilled (const struct writer *writer)
{
  struct stream *stream;

  pthread_mutex_lock (&lock);
  stream = g_hash_table_lookup (streams, writer->id);
  if (stream != NULL)
    stream->prefilled = true;
  pthread_mutex_unlock (&lock);
}

/* Writes the next event, with its faults, to chunk. Returns false if the stream is no
   longer written to this connection. */
static bool
write_chunk (struct writer *writer)
{
  struct stream stream;
  bool skipped = writer->next == writer->faults.values[STANDIN_FAULT_SKIP_AT];
  bool twice = writer->next == writer->faults.values[STANDIN_FAULT_DUPLICATE_AT];

  if (!writer_owns (writer, &stream))
    return false;
  if (writer->faults.values[STANDIN_FAULT_CROSS] > 0)
    stream.text.hash++;
  mark_prefilled (writer);
  if (skipped && writer->next <= stream.tokens)
    writer->next++;
  writer->chunk_len = write_event (writer, &stream, writer->chunk);
  if (twice)
    writer->chunk_len += write_event (writer, &stream, writer->chunk + writer->chunk_len);
  writer->sent = 0;
  writer->done = writer->next > stream.tokens;
  writer->next++;
  writer->count++;
  return true;
}

/* Writes the next event to out and returns its length. Content events have ids 0 to
   tokens - 1. They are followed by one event with the finish reason and usage, and by the
   end marker. */
static size_t
write_event (const struct writer *writer, const struct stream *stream, char *out)
{
  int64_t id = writer->next;
  char token[STANDIN_TOKEN_MAX];

  (void)standin_answer_text_token (&stream->text, stream->text.next_token + id, token);
  if (id < stream->tokens)
    return (size_t)snprintf (
        out, CHUNK_MAX,
        stream->chat
            ? "id: %" G_GINT64_FORMAT "\ndata: {\"choices\":[{\"index\":0,\"delta\":"
              "{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n"
            : "id: %" G_GINT64_FORMAT "\ndata: {\"choices\":[{\"index\":0,\"text\":"
              "\"%s\",\"finish_reason\":null}]}\n\n",
        id, token);
  if (id > stream->tokens)
    return (size_t)snprintf (out, CHUNK_MAX, "data: [DONE]\n\n");
  return (size_t)snprintf (
      out, CHUNK_MAX,
      "id: %" G_GINT64_FORMAT "\ndata: {\"choices\":[{\"index\":0,\"delta\":{},"
      "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%" G_GINT64_FORMAT
      ",\"completion_tokens\":%" G_GINT64_FORMAT
      ",\"prompt_tokens_details\":{\"cached_tokens\":%" G_GINT64_FORMAT "}}}\n\n",
      id, stream->text.prompt_tokens, stream->tokens, stream->cached_tokens);
}

/* Ends a connection and frees its writer. The stream is removed if it is complete or has
   the fault "forget"; otherwise it is kept for RESUME_WINDOW_MS. */
static void
end_writer (void *user)
{
  struct writer *writer = user;
  struct stream *stream;

  pthread_mutex_lock (&lock);
  stream = g_hash_table_lookup (streams, writer->id);
  if (writer->serial > 0 && stream != NULL && stream == writer->stream
      && stream->owner == writer->serial)
    {
      stream->owner = 0;
      stream->detached_ns = kcp_clock_monotonic_ns (&kcp_clock_system);
      if (writer->done || writer->faults.values[STANDIN_FAULT_FORGET] > 0)
        g_hash_table_remove (streams, writer->id);
    }
  pthread_mutex_unlock (&lock);
  g_free (writer->id);
  g_free (writer);
}
