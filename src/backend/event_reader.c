#include "backend/event_reader.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "base/ref.h"

#define SCAN_INTERVAL_MS 100  /* between two scans for engines without an active poll */
#define POLL_WAIT_MS     1000 /* time for which an engine holds a poll without events */
#define BODY_MAX_BYTES   (8u << 20) /* maximum size of one response */
#define BLOCK_DIGITS     16
#define HTTP_STATUS_OK   200

/* The polling state of one engine. Guarded by the lock of the reader, except for body,
   which belongs to the active poll. */
struct source
{
  struct kcp_event_reader *reader;
  struct kcp_backend *backend;
  struct kcp_fetch *fetch; /* the active poll, or NULL */
  char incarnation[KCP_INCARNATION_MAX];
  uint64_t next; /* sequence number of the next event */
  bool listed;   /* the current scan found the engine in the registry */
  GString *body;
};

struct kcp_event_reader
{
  struct kcp_registry *registry;
  struct kcp_fetch_pool *pool;
  int64_t timeout_ms;
  kcp_cache_observer *observer;
  void *user;
  pthread_t thread;
  pthread_mutex_t lock; /* leaf lock; guards the members below */
  pthread_cond_t changed;
  bool stopping;
  size_t active_polls;
  GHashTable *sources; /* struct kcp_backend -> struct source */
};

static void *run (void *user);
static void scan (struct kcp_event_reader *reader);
static struct source *
get_source (struct kcp_event_reader *reader, struct kcp_backend *backend);
static gboolean is_unlisted (gpointer key, gpointer value, gpointer user);
static void poll_source (struct source *source);
static enum kcp_fetch_flow on_data (void *user, long status, struct kcp_str data);
static void on_done (void *user, enum kcp_fetch_result result, long status);
static bool parse_events (const struct source *source, json_t *body,
                          struct kcp_cache_events *events, uint64_t *next);
static void
parse_event (json_t *entry, uint64_t *expected, struct kcp_cache_events *events);
static void source_free (gpointer data);

static const struct kcp_fetch_events fetch_events = {
  .data = on_data,
  .done = on_done,
};

/* Starts reading the cache events of every engine in the registry. A poll times out
   timeout_ms milliseconds after the time for which the engine may hold it. The registry,
   the pool and user must outlive the reader. */
struct kcp_event_reader *
kcp_event_reader_start (struct kcp_registry *registry, struct kcp_fetch_pool *pool,
                        int64_t timeout_ms, kcp_cache_observer *observer, void *user)
{
  struct kcp_event_reader *reader = g_new0 (struct kcp_event_reader, 1);

  reader->registry = registry;
  reader->pool = pool;
  reader->timeout_ms = timeout_ms;
  reader->observer = observer;
  reader->user = user;
  reader->sources = g_hash_table_new_full (NULL, NULL, NULL, source_free);
  pthread_mutex_init (&reader->lock, NULL);
  pthread_cond_init (&reader->changed, NULL);
  pthread_create (&reader->thread, NULL, run, reader);
  return reader;
}

/* Cancels all polls, waits for them and frees the reader. Must be called before the pool
   is freed. NULL is allowed. */
void
kcp_event_reader_stop (struct kcp_event_reader *reader)
{
  GHashTableIter iter;
  gpointer value;

  if (reader == NULL)
    return;
  pthread_mutex_lock (&reader->lock);
  reader->stopping = true;
  pthread_cond_broadcast (&reader->changed);
  pthread_mutex_unlock (&reader->lock);
  pthread_join (reader->thread, NULL);
  pthread_mutex_lock (&reader->lock);
  g_hash_table_iter_init (&iter, reader->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct source *)value)->fetch != NULL)
      kcp_fetch_cancel (((struct source *)value)->fetch);
  while (reader->active_polls > 0)
    pthread_cond_wait (&reader->changed, &reader->lock);
  pthread_mutex_unlock (&reader->lock);
  g_hash_table_unref (reader->sources);
  pthread_cond_destroy (&reader->changed);
  pthread_mutex_destroy (&reader->lock);
  g_free (reader);
}

static void *
run (void *user)
{
  struct kcp_event_reader *reader = user;

  pthread_mutex_lock (&reader->lock);
  while (!reader->stopping)
    {
      struct timespec next_scan = kcp_clock_realtime (&kcp_clock_system);

      next_scan = kcp_timespec_from_ns (kcp_timespec_ns (next_scan)
                                        + SCAN_INTERVAL_MS * KCP_NS_PER_MS);
      pthread_mutex_unlock (&reader->lock);
      scan (reader);
      pthread_mutex_lock (&reader->lock);
      if (!reader->stopping)
        pthread_cond_timedwait (&reader->changed, &reader->lock, &next_scan);
    }
  pthread_mutex_unlock (&reader->lock);
  return NULL;
}

/* Starts a poll at every engine without an active poll and drops engines that are no
   longer in the registry. Polls are asynchronous: an engine that does not respond does
   not delay the others. */
static void
scan (struct kcp_event_reader *reader)
{
  g_autoptr (GArray) views = kcp_registry_view (reader->registry, KCP_MEMBER_ENGINE);
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&reader->lock);
  g_hash_table_iter_init (&iter, reader->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct source *)value)->listed = false;
  for (guint i = 0; i < views->len; i++)
    {
      const struct kcp_backend_view *view
          = &g_array_index (views, struct kcp_backend_view, i);
      struct source *source = get_source (reader, view->backend);

      source->listed = true;
      if (source->fetch == NULL)
        poll_source (source);
    }
  g_hash_table_foreach_remove (reader->sources, is_unlisted, NULL);
  pthread_mutex_unlock (&reader->lock);
}

static struct source *
get_source (struct kcp_event_reader *reader, struct kcp_backend *backend)
{
  struct source *source = g_hash_table_lookup (reader->sources, backend);

  if (source != NULL)
    return source;
  source = g_new0 (struct source, 1);
  source->reader = reader;
  source->backend = kcp_backend_ref (backend);
  source->body = g_string_new (NULL);
  g_hash_table_insert (reader->sources, backend, source);
  return source;
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer user)
{
  const struct source *source = value;

  (void)key;
  (void)user;
  return !source->listed && source->fetch == NULL;
}

static void
poll_source (struct source *source)
{
  struct kcp_event_reader *reader = source->reader;
  g_autofree char *url
      = g_strdup_printf ("%s/events?from=%" G_GUINT64_FORMAT "&wait_ms=%d",
                         source->backend->url, source->next, POLL_WAIT_MS);
  const struct kcp_fetch_spec spec = {
    .method = "GET",
    .url = url,
    .connect_timeout_ms = reader->timeout_ms,
    .total_timeout_ms = POLL_WAIT_MS + reader->timeout_ms,
    .reuse = true,
    .may_repeat = true,
    .events = &fetch_events,
    .user = source,
  };

  g_string_truncate (source->body, 0);
  reader->active_polls++;
  source->fetch = kcp_fetch_start (reader->pool, &spec);
}

static enum kcp_fetch_flow
on_data (void *user, long status, struct kcp_str data)
{
  struct source *source = user;

  if (status != HTTP_STATUS_OK || source->body->len + data.len > BODY_MAX_BYTES)
    return KCP_FETCH_ABORT;
  g_string_append_len (source->body, data.data, (gssize)data.len);
  return KCP_FETCH_CONTINUE;
}

/* Starts the next poll immediately only if the response had events. Otherwise the next
   scan starts it, which limits the rate of polls at an engine that responds without
   waiting. */
static void
on_done (void *user, enum kcp_fetch_result result, long status)
{
  struct source *source = user;
  struct kcp_event_reader *reader = source->reader;
  struct kcp_cache_events events = { 0 };
  json_t *body = NULL;
  uint64_t next;
  bool had_events = false;
  bool parsed = false;

  events.list = g_array_new (FALSE, FALSE, sizeof (struct kcp_cache_event));
  if (result == KCP_FETCH_COMPLETE && status == HTTP_STATUS_OK)
    body = json_loadb (source->body->str, source->body->len, 0, NULL);
  pthread_mutex_lock (&reader->lock);
  parsed = body != NULL && parse_events (source, body, &events, &next);
  if (parsed)
    {
      memcpy (source->incarnation, events.incarnation, sizeof source->incarnation);
      source->next = next;
    }
  pthread_mutex_unlock (&reader->lock);
  if (parsed)
    reader->observer (reader->user, source->backend, &events);
  had_events = events.list->len > 0;
  g_array_unref (events.list);
  json_decref (body);
  pthread_mutex_lock (&reader->lock);
  kcp_fetch_unref (source->fetch);
  source->fetch = NULL;
  reader->active_polls--;
  if (had_events && !reader->stopping)
    poll_source (source);
  pthread_cond_broadcast (&reader->changed);
  pthread_mutex_unlock (&reader->lock);
}

/* Parses one response. Returns false if it is malformed. A restarted engine numbers its
   events from 0 again: the events of this response are skipped and *next is set to 0, so
   that the next poll reads from the first event. */
static bool
parse_events (const struct source *source, json_t *body, struct kcp_cache_events *events,
              uint64_t *next)
{
  const char *incarnation = json_string_value (json_object_get (body, "incarnation"));
  json_t *next_number = json_object_get (body, "next");
  uint64_t expected = source->next;
  json_t *entry;
  size_t i;

  if (incarnation == NULL || !json_is_integer (next_number))
    return false;
  g_strlcpy (events->incarnation, incarnation, sizeof events->incarnation);
  *next = (uint64_t)json_integer_value (next_number);
  if (strcmp (events->incarnation, source->incarnation) != 0 && source->next > 0)
    {
      *next = 0;
      return true;
    }
  json_array_foreach (json_object_get (body, "events"), i, entry)
      parse_event (entry, &expected, events);
  events->gaps += expected < *next;
  return true;
}

static void
parse_event (json_t *entry, uint64_t *expected, struct kcp_cache_events *events)
{
  const char *operation = json_string_value (json_object_get (entry, "op"));
  const char *block = json_string_value (json_object_get (entry, "block"));
  json_t *number = json_object_get (entry, "seq");
  struct kcp_cache_event event;

  if (operation == NULL || block == NULL || strlen (block) != BLOCK_DIGITS
      || !json_is_integer (number))
    return;
  events->gaps += (uint64_t)json_integer_value (number) != *expected;
  *expected = (uint64_t)json_integer_value (number) + 1;
  event.block = g_ascii_strtoull (block, NULL, 16);
  event.stored = strcmp (operation, "stored") == 0;
  g_array_append_val (events->list, event);
}

static void
source_free (gpointer data)
{
  struct source *source = data;

  kcp_backend_unref (source->backend);
  g_string_free (source->body, TRUE);
  g_free (source);
}
