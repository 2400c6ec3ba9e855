#include "forward/cache_reader.h"

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/cache_space.h"
#include "forward/prompt_levels.h"

#define CHECK_INTERVAL_NS  (500 * KCP_NS_PER_MS) /* between checks of what to read */
#define LONG_POLL_MS       1000 /* time for which a server may delay an empty answer */
#define POLL_PAUSE_NS      (250 * KCP_NS_PER_MS) /* between two successful calls */
#define LIMITED_PAUSE_NS   (2000 * KCP_NS_PER_MS)
#define RETRY_DELAY_NS     (1000 * KCP_NS_PER_MS)
#define CONNECT_TIMEOUT_MS 250
#define ANSWER_TIMEOUT_MS  600 /* in addition to LONG_POLL_MS */
#define IDLE_CONNECTION_S  5
#define EVENTS_MAX_BYTES   (4u << 20) /* bytes of one answer with cache events */
#define FAILURES_MAX       3u /* consecutive failures that make cached parts unknown */

/* A server or store whose cache events are read. */
struct source
{
  struct kcp_cache_reader *reader;
  struct kcp_server *server; /* a reference */
  int64_t start;             /* the server's start, from its events; 0: not known */
  int64_t next;              /* position of the next event to request */
  /* kcp_part_key() -> whether the part alone is long enough to be fetched */
  GHashTable *parts;
  struct kcp_http_call *call;
  char *path;
  GString *body;
  struct kcp_loop_timer timer;
  unsigned failures;
};

struct kcp_cache_reader
{
  struct kcp_gateway *gateway;
  struct kcp_mesh *mesh;
  GPtrArray *sources;
  struct kcp_loop_timer check;
};

static void check (void *user);
static void
add_sources (struct kcp_cache_reader *reader, const GPtrArray *servers, bool stores);
static bool
should_read (const struct kcp_cache_reader *reader, const struct kcp_server *server);
static bool
has_source (const struct kcp_cache_reader *reader, const struct kcp_server *server);
static void add_source (struct kcp_cache_reader *reader, struct kcp_server *server);
static void request_events (void *user);
static bool on_data (void *user, struct kcp_str bytes);
static int64_t pause_ns (const struct source *source, bool valid);
static void on_done (void *user, const struct kcp_http_result *result);
static void apply_events (struct source *source, const struct kcp_cache_events *events);
static void set_cached_parts (struct source *source);
static void clear_source (struct source *source);
static void source_free (gpointer data);

/* Starts the reader; gateway and mesh must outlive it. */
struct kcp_cache_reader *
kcp_cache_reader_start (struct kcp_gateway *gateway, struct kcp_mesh *mesh)
{
  struct kcp_cache_reader *reader = g_new0 (struct kcp_cache_reader, 1);

  reader->gateway = gateway;
  reader->mesh = mesh;
  reader->sources = g_ptr_array_new_with_free_func (source_free);
  check (reader);
  return reader;
}

/* Cancels all calls and frees the reader; NULL is allowed. */
void
kcp_cache_reader_stop (struct kcp_cache_reader *reader)
{
  if (reader == NULL)
    return;
  kcp_loop_timer_cancel (&reader->check);
  g_ptr_array_unref (reader->sources);
  g_free (reader);
}

/* Starts to read the servers for which this VM has become the reader, and stops reading
   those for which it no longer is. */
static void
check (void *user)
{
  struct kcp_cache_reader *reader = user;
  struct kcp_loop *loop = reader->gateway->loop;

  for (guint i = reader->sources->len; i > 0; i--)
    {
      struct source *source = g_ptr_array_index (reader->sources, i - 1);

      if (source->server->removed || !should_read (reader, source->server))
        g_ptr_array_remove_index_fast (reader->sources, i - 1);
    }
  add_sources (reader, kcp_servers_all (reader->gateway->servers), false);
  add_sources (reader, kcp_servers_stores (reader->gateway->servers), true);
  kcp_loop_timer_set (loop, &reader->check, kcp_loop_now (loop) + CHECK_INTERVAL_NS,
                      check, reader);
}

static void
add_sources (struct kcp_cache_reader *reader, const GPtrArray *servers, bool stores)
{
  for (guint i = 0; i < servers->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers, i);

      if ((stores || server->entry.weights->len > 0) && should_read (reader, server)
          && !has_source (reader, server))
        add_source (reader, server);
    }
}

static bool
should_read (const struct kcp_cache_reader *reader, const struct kcp_server *server)
{
  return !kcp_server_is_leaving (server)
         && kcp_mesh_reads_cache_events (reader->mesh, server);
}

static bool
has_source (const struct kcp_cache_reader *reader, const struct kcp_server *server)
{
  for (guint i = 0; i < reader->sources->len; i++)
    if (((const struct source *)g_ptr_array_index (reader->sources, i))->server == server)
      return true;
  return false;
}

static void
add_source (struct kcp_cache_reader *reader, struct kcp_server *server)
{
  struct source *source = g_new0 (struct source, 1);

  source->reader = reader;
  source->server = kcp_server_ref (server);
  source->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  source->body = g_string_new (NULL);
  g_ptr_array_add (reader->sources, source);
  KCP_LOG ("cache_events", KCP_LOG_TEXT ("change", "reading"),
           KCP_LOG_TEXT ("server", server->entry.id));
  request_events (source);
}

static void
request_events (void *user)
{
  struct source *source = user;
  struct kcp_gateway *gateway = source->reader->gateway;
  struct kcp_control_call control_call;

  kcp_server_limit_take (&source->server->limit, kcp_loop_now (gateway->loop));
  g_free (source->path);
  gateway->dialect->write_events_call (source->next, LONG_POLL_MS, &control_call,
                                       &source->path);
  g_string_truncate (source->body, 0);
  source->call
      = kcp_http_start (gateway->client, &(struct kcp_http_spec){
                                             .method = control_call.method,
                                             .address = source->server->entry.address,
                                             .target = source->path,
                                             .headers = control_call.headers,
                                             .connect_ms = CONNECT_TIMEOUT_MS,
                                             .total_ms = LONG_POLL_MS + ANSWER_TIMEOUT_MS,
                                             .may_repeat = true,
                                             .max_idle_s = IDLE_CONNECTION_S,
                                             .max_body_bytes = EVENTS_MAX_BYTES,
                                             .data = on_data,
                                             .done = on_done,
                                             .user = source,
                                         });
}

static bool
on_data (void *user, struct kcp_str bytes)
{
  struct source *source = user;

  g_string_append_len (source->body, bytes.data, (gssize)bytes.len);
  return true;
}

static void
on_done (void *user, const struct kcp_http_result *result)
{
  struct source *source = user;
  struct kcp_gateway *gateway = source->reader->gateway;
  struct kcp_cache_events events = { 0 };
  struct kcp_str body = { .data = source->body->str, .len = source->body->len };
  bool valid = result->end == KCP_HTTP_COMPLETE && result->status == 200
               && gateway->dialect->read_events (body, &events);

  source->call = NULL;
  if (valid)
    {
      source->failures = 0;
      apply_events (source, &events);
      g_array_unref (events.events);
    }
  else if (++source->failures == FAILURES_MAX)
    {
      KCP_LOG ("cache_events", KCP_LOG_TEXT ("change", "lost"),
               KCP_LOG_TEXT ("server", source->server->entry.id),
               KCP_LOG_INT ("status", result->status),
               KCP_LOG_TEXT ("reason", result->reason));
      clear_source (source);
    }
  kcp_loop_timer_set (gateway->loop, &source->timer,
                      kcp_loop_now (gateway->loop) + pause_ns (source, valid),
                      request_events, source);
}

/* Returns the time until the next call. A server with a limit is called less often, since
   each call takes the place of a request. */
static int64_t
pause_ns (const struct source *source, bool valid)
{
  int64_t now = kcp_loop_now (source->reader->gateway->loop);

  if (kcp_server_limit_is_in_force (&source->server->limit, now))
    return LIMITED_PAUSE_NS;
  return valid ? POLL_PAUSE_NS : RETRY_DELAY_NS;
}

/* Updates the cached parts from the events. Missing events may have reported the eviction
   of parts, so after a gap or a restart of the server all parts are dropped; later events
   report those that are cached again. */
static void
apply_events (struct source *source, const struct kcp_cache_events *events)
{
  if (events->lost || (source->start != 0 && events->start != source->start))
    {
      kcp_counter_add (KCP_COUNT_CACHE_GAPS, 1);
      g_hash_table_remove_all (source->parts);
    }
  source->start = events->start;
  source->next = events->next;
  kcp_counter_add (KCP_COUNT_CACHE_EVENTS, events->events->len);
  for (guint i = 0; i < events->events->len; i++)
    {
      const struct kcp_cache_event *event
          = &g_array_index (events->events, struct kcp_cache_event, i);
      uint64_t key;

      if (event->cache_space == NULL || event->part == NULL)
        continue;
      key = kcp_part_key (event->cache_space, event->part);
      if (event->tokens > 0)
        g_hash_table_replace (
            source->parts, g_memdup2 (&key, sizeof key),
            GINT_TO_POINTER (event->tokens >= KCP_FETCH_PREFIX_TOKENS_MIN));
      else
        g_hash_table_remove (source->parts, &key);
    }
  set_cached_parts (source);
}

/* Sets the server's cached parts: those that are long enough to be fetched by themselves,
   and shorter ones that end a prefix of that length in a prompt that this VM has sent. */
static void
set_cached_parts (struct source *source)
{
  struct kcp_prefix_index *prefixes = source->reader->gateway->prefixes;
  g_autoptr (GArray) parts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer key;
  gpointer is_long;

  g_hash_table_iter_init (&iter, source->parts);
  while (g_hash_table_iter_next (&iter, &key, &is_long))
    if (GPOINTER_TO_INT (is_long)
        || kcp_prefix_index_find (prefixes, *(uint64_t *)key) != NULL)
      g_array_append_val (parts, *(uint64_t *)key);
  source->server->reads_cache_events = true;
  kcp_server_set_cached_parts (source->server, parts,
                               kcp_loop_now (source->reader->gateway->loop));
}

static void
clear_source (struct source *source)
{
  g_hash_table_remove_all (source->parts);
  source->start = 0;
  source->next = 0;
  source->server->reads_cache_events = false;
  g_clear_pointer (&source->server->cached_parts, g_array_unref);
}

static void
source_free (gpointer data)
{
  struct source *source = data;

  if (source->call != NULL)
    kcp_http_cancel (source->call);
  kcp_loop_timer_cancel (&source->timer);
  clear_source (source);
  g_hash_table_unref (source->parts);
  g_string_free (source->body, TRUE);
  g_free (source->path);
  kcp_server_unref (source->server);
  g_free (source);
}
