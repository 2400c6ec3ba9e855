#include "backend/load_poller.h"

#include <pthread.h>
#include <string.h>

#define HTTP_STATUS_OK 200
#define BODY_MAX_BYTES (64u << 10) /* maximum size of one report */

/* An active poll. */
struct poll
{
  struct kcp_load_poller *poller;
  struct kcp_backend *backend;
  struct kcp_fetch *fetch;
  GString *body;
};

struct kcp_load_poller
{
  struct kcp_registry *registry;
  struct kcp_fetch_pool *pool;
  int64_t timeout_ms;
  int64_t poll_ms;
  pthread_t thread;
  pthread_mutex_t lock; /* leaf lock; guards the members below */
  pthread_cond_t changed;
  bool stopping;
  GHashTable *polls; /* struct kcp_backend -> struct poll */
};

static void *run (void *user);
static void start_polls (struct kcp_load_poller *poller);
static void start_poll (struct kcp_load_poller *poller, struct kcp_backend *backend);
static enum kcp_fetch_flow on_data (void *user, long status, struct kcp_str data);
static void on_done (void *user, enum kcp_fetch_result result, long status);
static void parse_report (json_t *body, struct kcp_backend_report *report);
static void poll_free (gpointer data);

static const struct kcp_fetch_events events = {
  .data = on_data,
  .done = on_done,
};

/* Starts polling every engine in the registry every poll_ms milliseconds. Polls are
   asynchronous: an engine that does not respond does not delay the others, and is polled
   again once its poll has timed out after timeout_ms. The registry and the pool must
   outlive the poller. */
struct kcp_load_poller *
kcp_load_poller_start (struct kcp_registry *registry, struct kcp_fetch_pool *pool,
                       int64_t timeout_ms, int64_t poll_ms)
{
  struct kcp_load_poller *poller = g_new0 (struct kcp_load_poller, 1);

  poller->registry = registry;
  poller->pool = pool;
  poller->timeout_ms = timeout_ms;
  poller->poll_ms = poll_ms;
  poller->polls = g_hash_table_new_full (NULL, NULL, NULL, poll_free);
  pthread_mutex_init (&poller->lock, NULL);
  pthread_cond_init (&poller->changed, NULL);
  pthread_create (&poller->thread, NULL, run, poller);
  return poller;
}

/* Cancels all polls, waits for them and frees the poller. Must be called before the pool
   is freed. NULL is allowed. */
void
kcp_load_poller_stop (struct kcp_load_poller *poller)
{
  GHashTableIter iter;
  gpointer value;

  if (poller == NULL)
    return;
  pthread_mutex_lock (&poller->lock);
  poller->stopping = true;
  pthread_cond_broadcast (&poller->changed);
  pthread_mutex_unlock (&poller->lock);
  pthread_join (poller->thread, NULL);
  pthread_mutex_lock (&poller->lock);
  g_hash_table_iter_init (&iter, poller->polls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    kcp_fetch_cancel (((struct poll *)value)->fetch);
  while (g_hash_table_size (poller->polls) > 0)
    pthread_cond_wait (&poller->changed, &poller->lock);
  pthread_mutex_unlock (&poller->lock);
  g_hash_table_unref (poller->polls);
  pthread_cond_destroy (&poller->changed);
  pthread_mutex_destroy (&poller->lock);
  g_free (poller);
}

static void *
run (void *user)
{
  struct kcp_load_poller *poller = user;

  pthread_mutex_lock (&poller->lock);
  while (!poller->stopping)
    {
      struct timespec now = kcp_clock_realtime (&kcp_clock_system);
      int64_t next_poll_ns = kcp_timespec_ns (now) + poller->poll_ms * KCP_NS_PER_MS;
      struct timespec next_poll = kcp_timespec_from_ns (next_poll_ns);
      int rc = 0;

      pthread_mutex_unlock (&poller->lock);
      start_polls (poller);
      pthread_mutex_lock (&poller->lock);
      while (!poller->stopping && rc == 0)
        rc = pthread_cond_timedwait (&poller->changed, &poller->lock, &next_poll);
    }
  pthread_mutex_unlock (&poller->lock);
  return NULL;
}

static void
start_polls (struct kcp_load_poller *poller)
{
  g_autoptr (GArray) views = kcp_registry_view (poller->registry, KCP_MEMBER_ENGINE);

  pthread_mutex_lock (&poller->lock);
  for (guint i = 0; i < views->len; i++)
    {
      struct kcp_backend *backend
          = g_array_index (views, struct kcp_backend_view, i).backend;

      if (!g_hash_table_contains (poller->polls, backend))
        start_poll (poller, backend);
    }
  pthread_mutex_unlock (&poller->lock);
}

static void
start_poll (struct kcp_load_poller *poller, struct kcp_backend *backend)
{
  g_autofree char *url = g_strconcat (backend->url, "/load", NULL);
  struct poll *poll = g_new0 (struct poll, 1);
  const struct kcp_fetch_spec spec = {
    .method = "GET",
    .url = url,
    .connect_timeout_ms = poller->timeout_ms,
    .total_timeout_ms = poller->timeout_ms,
    .reuse = true,
    .may_repeat = true,
    .events = &events,
    .user = poll,
  };

  poll->poller = poller;
  poll->backend = kcp_backend_ref (backend);
  poll->body = g_string_new (NULL);
  g_hash_table_insert (poller->polls, backend, poll);
  poll->fetch = kcp_fetch_start (poller->pool, &spec);
}

static enum kcp_fetch_flow
on_data (void *user, long status, struct kcp_str data)
{
  struct poll *poll = user;

  if (status != HTTP_STATUS_OK || poll->body->len + data.len > BODY_MAX_BYTES)
    return KCP_FETCH_ABORT;
  g_string_append_len (poll->body, data.data, (gssize)data.len);
  return KCP_FETCH_CONTINUE;
}

static void
on_done (void *user, enum kcp_fetch_result result, long status)
{
  struct poll *poll = user;
  struct kcp_load_poller *poller = poll->poller;
  struct kcp_backend_report report = { 0 };
  json_t *body = NULL;

  if (result == KCP_FETCH_COMPLETE && status == HTTP_STATUS_OK)
    body = json_loadb (poll->body->str, poll->body->len, 0, NULL);
  if (json_is_object (body))
    {
      parse_report (body, &report);
      kcp_registry_record_report (poller->registry, poll->backend, &report);
    }
  json_decref (body);
  pthread_mutex_lock (&poller->lock);
  g_hash_table_remove (poller->polls, poll->backend);
  if (poller->stopping)
    pthread_cond_broadcast (&poller->changed);
  pthread_mutex_unlock (&poller->lock);
}

static void
parse_report (json_t *body, struct kcp_backend_report *report)
{
  const char *incarnation = json_string_value (json_object_get (body, "incarnation"));
  const char *weights = json_string_value (json_object_get (body, "weights"));

  g_strlcpy (report->incarnation, incarnation ? incarnation : "",
             sizeof report->incarnation);
  g_strlcpy (report->weights, weights ? weights : "", sizeof report->weights);
  report->running = json_integer_value (json_object_get (body, "running"));
  report->waiting = json_integer_value (json_object_get (body, "waiting"));
  report->waiting_tokens = json_integer_value (json_object_get (body, "waiting_tokens"));
}

static void
poll_free (gpointer data)
{
  struct poll *poll = data;

  kcp_backend_unref (poll->backend);
  kcp_fetch_unref (poll->fetch);
  g_string_free (poll->body, TRUE);
  g_free (poll);
}
