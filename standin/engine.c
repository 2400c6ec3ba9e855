/* A model engine: streamed completions with a prefix cache of limited blocks. The answer
   to a prompt is a fixed function of the prompt, so that callers can check it. */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/id.h"
#include "policy/prefix.h"
#include "standin/engine_orders.h"
#include "standin/standin.h"

#define TOKENS_DEFAULT 16
#define CHUNK_MAX      512

/* One stream being written. */
struct generation
{
  int64_t next;   /* the next event's id */
  int64_t tokens; /* content events in all */
  int64_t prompt_tokens;
  int64_t cached_tokens;
  bool chat;
  size_t held; /* bytes of chunk not yet sent */
  size_t sent;
  char chunk[CHUNK_MAX];
};

static void start (const struct standin_options *options);
static enum MHD_Result handle (const struct standin_request *request);
static void empty_cache (void);
static enum MHD_Result report_load (const struct standin_request *request);
static enum MHD_Result complete (const struct standin_request *request);
static bool refuses (const struct standin_request *request);
static int64_t take_blocks (json_t *blocks);
static int64_t count_prompt_tokens (json_t *body);
static ssize_t write_stream (void *user, uint64_t position, char *out, size_t max);
static void make_chunk (struct generation *generation);
static void end_generation (void *user);

const struct standin_role standin_engine_role = { "engine", start, handle };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct standin_options own;
static char incarnation[KCP_ID_LEN + 1];
static GHashTable *cached;  /* block identity, as text */
static GQueue *cache_order; /* the same texts, oldest first */
static int64_t running;

static void
start (const struct standin_options *options)
{
  own = *options;
  kcp_id_random (incarnation);
  cached = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cache_order = g_queue_new ();
  engine_orders_start (options, empty_cache);
}

/* New weights make every cached block useless. */
static void
empty_cache (void)
{
  pthread_mutex_lock (&lock);
  g_queue_clear (cache_order);
  g_hash_table_remove_all (cached);
  pthread_mutex_unlock (&lock);
}

static enum MHD_Result
handle (const struct standin_request *request)
{
  if (strcmp (request->path, "/load") == 0)
    return report_load (request);
  if (strcmp (request->path, "/orders") == 0)
    return engine_orders_handle (request);
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
  report = json_pack ("{sssIsIsI}", "incarnation", incarnation, "running",
                      (json_int_t)running, "waiting", (json_int_t)0, "waiting_tokens",
                      (json_int_t)0);
  pthread_mutex_unlock (&lock);
  engine_orders_report (report);
  return standin_answer (request, 200, report);
}

static enum MHD_Result
complete (const struct standin_request *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  json_t *wanted = json_object_get (body, "max_tokens");
  struct generation *generation;
  struct MHD_Response *response;
  const char *echo = standin_header (request, "Kingcuppoint-Request");
  enum MHD_Result result;

  if (refuses (request))
    {
      json_decref (body);
      return standin_answer (request, 409,
                             json_pack ("{ss}", "incarnation", incarnation));
    }
  generation = g_new0 (struct generation, 1);
  generation->chat = strcmp (request->path, "/v1/chat/completions") == 0;
  generation->tokens = wanted != NULL ? json_integer_value (wanted) : TOKENS_DEFAULT;
  generation->prompt_tokens = count_prompt_tokens (body);
  generation->cached_tokens = take_blocks (json_object_get (body, "blocks"));
  generation->cached_tokens = MIN (generation->cached_tokens, generation->prompt_tokens);
  json_decref (body);
  pthread_mutex_lock (&lock);
  running++;
  pthread_mutex_unlock (&lock);
  g_usleep (
      (gulong)((generation->prompt_tokens - generation->cached_tokens) * own.prefill_us));
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, CHUNK_MAX, write_stream,
                                                generation, end_generation);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  if (echo != NULL)
    MHD_add_response_header (response, "Kingcuppoint-Request", echo);
  result = MHD_queue_response (request->connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

/* Tells whether the request expects another incarnation or other weights. */
static bool
refuses (const struct standin_request *request)
{
  const char *expected = standin_header (request, "Kingcuppoint-Expect-Incarnation");
  const char *weights = standin_header (request, "Kingcuppoint-Expect-Weights");

  return (expected != NULL && strcmp (expected, incarnation) != 0)
         || (weights != NULL && strcmp (weights, engine_orders_weights ()) != 0);
}

/* Returns the tokens of the leading blocks that were cached, and caches all of them. */
static int64_t
take_blocks (json_t *blocks)
{
  int64_t hits = 0;
  json_t *block;
  size_t i;

  pthread_mutex_lock (&lock);
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
    if (g_hash_table_size (cached) >= (guint)own.cache_blocks)
      g_hash_table_remove (cached, g_queue_pop_head (cache_order));
    g_hash_table_add (cached, g_strdup (identity));
    g_queue_push_tail (cache_order, g_hash_table_lookup (cached, identity));
  }
  pthread_mutex_unlock (&lock);
  return hits * KCP_BLOCK_TOKENS;
}

static int64_t
count_prompt_tokens (json_t *body)
{
  json_t *messages = json_object_get (body, "messages");
  size_t bytes = json_string_length (json_object_get (body, "prompt"));
  json_t *message;
  size_t i;

  json_array_foreach (messages, i, message) bytes
      += json_string_length (json_object_get (message, "content"));
  return (int64_t)(bytes + KCP_BYTES_PER_TOKEN - 1) / KCP_BYTES_PER_TOKEN;
}

static ssize_t
write_stream (void *user, uint64_t position, char *out, size_t max)
{
  struct generation *generation = user;
  size_t count;

  (void)position;
  if (generation->sent == generation->held)
    {
      if (generation->next > generation->tokens + 1)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (generation->next > 0 && generation->next < generation->tokens
          && own.token_ms > 0)
        g_usleep ((gulong)(own.token_ms * G_TIME_SPAN_MILLISECOND));
      make_chunk (generation);
    }
  count = MIN (max, generation->held - generation->sent);
  memcpy (out, generation->chunk + generation->sent, count);
  generation->sent += count;
  return (ssize_t)count;
}

/* Content events have ids 0 to tokens - 1; then come one event with the finish reason and
   usage, and the end marker. */
static void
make_chunk (struct generation *generation)
{
  int64_t id = generation->next++;
  int len;

  if (id < generation->tokens)
    len = snprintf (
        generation->chunk, CHUNK_MAX,
        generation->chat
            ? "id: %" G_GINT64_FORMAT "\ndata: {\"choices\":[{\"index\":0,\"delta\":"
              "{\"content\":\"t%" G_GINT64_FORMAT " \"},\"finish_reason\":null}]}\n\n"
            : "id: %" G_GINT64_FORMAT "\ndata: {\"choices\":[{\"index\":0,\"text\":"
              "\"t%" G_GINT64_FORMAT " \",\"finish_reason\":null}]}\n\n",
        id, id);
  else if (id == generation->tokens)
    len = snprintf (
        generation->chunk, CHUNK_MAX,
        "id: %" G_GINT64_FORMAT "\ndata: {\"choices\":[{\"index\":0,\"delta\":{},"
        "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%" G_GINT64_FORMAT
        ",\"completion_tokens\":%" G_GINT64_FORMAT
        ",\"prompt_tokens_details\":{\"cached_tokens\":%" G_GINT64_FORMAT "}}}\n\n",
        id, generation->prompt_tokens, generation->tokens, generation->cached_tokens);
  else
    len = snprintf (generation->chunk, CHUNK_MAX, "data: [DONE]\n\n");
  generation->held = (size_t)len;
  generation->sent = 0;
}

static void
end_generation (void *user)
{
  pthread_mutex_lock (&lock);
  running--;
  pthread_mutex_unlock (&lock);
  g_free (user);
}
