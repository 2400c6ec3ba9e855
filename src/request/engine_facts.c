#include "request/engine_facts.h"

#include <pthread.h>
#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "policy/cache_index.h"
#include "policy/concurrency_limit.h"

#define LIMIT_MIN 4 /* lower bound of an engine's concurrency limit, in requests */

/* State of one engine. */
struct engine
{
  uint64_t server; /* hash of the server's id */
  struct kcp_concurrency_limit limit;
  int64_t last_report_ns; /* arrival of the last report that the limit was updated from */
  int64_t waiting; /* requests left waiting for it in the current scan of the queue */
};

struct kcp_engine_facts
{
  pthread_mutex_t lock; /* no other lock is taken while it is held */
  struct kcp_cache_index *cache_index;
  struct kcp_concurrency_limit_settings limit_settings;
  GHashTable *engines; /* hash of the server's id to struct engine */
};

static struct engine *find_or_add (struct kcp_engine_facts *facts, uint64_t server);

/* Returns an empty table. index_entries is the number of blocks that the cache index has
   room for; concurrency is the upper bound of an engine's concurrency limit. */
struct kcp_engine_facts *
kcp_engine_facts_new (int64_t index_entries, int64_t concurrency)
{
  struct kcp_engine_facts *facts = g_new0 (struct kcp_engine_facts, 1);

  pthread_mutex_init (&facts->lock, NULL);
  facts->cache_index = kcp_cache_index_new ((size_t)index_entries);
  facts->limit_settings = (struct kcp_concurrency_limit_settings){
    .min = MIN (LIMIT_MIN, concurrency),
    .max = concurrency,
  };
  facts->engines = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return facts;
}

/* Frees the table; NULL is allowed. */
void
kcp_engine_facts_free (struct kcp_engine_facts *facts)
{
  if (facts == NULL)
    return;
  kcp_cache_index_free (facts->cache_index);
  g_hash_table_unref (facts->engines);
  pthread_mutex_destroy (&facts->lock);
  g_free (facts);
}

/* Returns the hash that identifies an incarnation. */
uint64_t
kcp_engine_facts_hash_incarnation (const char *incarnation)
{
  return XXH3_64bits (incarnation, strlen (incarnation));
}

/* Returns the engine's concurrency limit, the maximum number of its requests in flight,
   after updating it from the last report. */
int64_t
kcp_engine_facts_limit (struct kcp_engine_facts *facts,
                        const struct kcp_backend_view *view)
{
  const struct kcp_backend_report *report = &view->report;
  struct engine *engine;
  int64_t limit;

  pthread_mutex_lock (&facts->lock);
  engine = find_or_add (facts, view->backend->hash);
  if (report->arrived_ns > engine->last_report_ns)
    {
      struct kcp_concurrency_limit_report observed = {
        .in_flight = report->running + report->waiting,
        .waiting = report->waiting,
      };

      engine->last_report_ns = report->arrived_ns;
      kcp_concurrency_limit_observe (&engine->limit, &facts->limit_settings, &observed);
    }
  limit = (int64_t)engine->limit.value;
  pthread_mutex_unlock (&facts->lock);
  return limit;
}

/* Returns the number of leading blocks of a prompt that the engine has cached according
   to the index. Entries of an earlier incarnation are dropped. */
int64_t
kcp_engine_facts_count_leading (struct kcp_engine_facts *facts,
                                const struct kcp_backend_view *view, const GArray *chain)
{
  uint64_t incarnation = kcp_engine_facts_hash_incarnation (view->report.incarnation);
  kcp_cache_index_slot slot;
  int64_t cached_blocks = 0;

  pthread_mutex_lock (&facts->lock);
  if (kcp_cache_index_find_slot (facts->cache_index, view->backend->hash, incarnation,
                                 &slot))
    kcp_cache_index_count_leading (facts->cache_index,
                                   (const uint64_t *)(const void *)chain->data,
                                   chain->len, &slot, 1, &cached_blocks);
  pthread_mutex_unlock (&facts->lock);
  return cached_blocks;
}

/* Records all blocks of a prompt as cached at the engine that computes it, unless a
   later incarnation has replaced the given one. */
void
kcp_engine_facts_add_chain (struct kcp_engine_facts *facts, uint64_t server,
                            uint64_t incarnation, const GArray *chain)
{
  kcp_cache_index_slot slot;

  pthread_mutex_lock (&facts->lock);
  if (kcp_cache_index_find_slot (facts->cache_index, server, incarnation, &slot))
    kcp_cache_index_add_chain (facts->cache_index, slot,
                               (const uint64_t *)(const void *)chain->data, chain->len);
  pthread_mutex_unlock (&facts->lock);
}

/* Applies cache events of an engine to the index. Events of an incarnation that is known
   to be dead are dropped. A gap before the events invalidates no entries. An entry is
   only a hint: if it is wrong, the engine computes the block, and the entry is right
   after the answer. user is the table. */
void
kcp_engine_facts_apply_events (void *user, const struct kcp_backend *backend,
                               const struct kcp_cache_events *events)
{
  struct kcp_engine_facts *facts = user;
  uint64_t incarnation = kcp_engine_facts_hash_incarnation (events->incarnation);
  kcp_cache_index_slot slot;

  kcp_counter_add (KCP_COUNT_CACHE_EVENTS, events->list->len);
  kcp_counter_add (KCP_COUNT_CACHE_GAPS, events->gaps);
  pthread_mutex_lock (&facts->lock);
  if (kcp_cache_index_find_slot (facts->cache_index, backend->hash, incarnation, &slot))
    for (guint i = 0; i < events->list->len; i++)
      {
        const struct kcp_cache_event *event
            = &g_array_index (events->list, struct kcp_cache_event, i);

        if (event->stored)
          kcp_cache_index_add (facts->cache_index, slot, event->block);
        else
          kcp_cache_index_remove (facts->cache_index, slot, event->block);
      }
  pthread_mutex_unlock (&facts->lock);
}

/* Resets the number of waiting requests of all engines. Called at the start of each scan
   of the queue. */
void
kcp_engine_facts_clear_waiting (struct kcp_engine_facts *facts)
{
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&facts->lock);
  g_hash_table_iter_init (&iter, facts->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct engine *)value)->waiting = 0;
  pthread_mutex_unlock (&facts->lock);
}

/* Counts a request that keeps waiting for the engine in the current scan. */
void
kcp_engine_facts_add_waiting (struct kcp_engine_facts *facts, uint64_t server)
{
  pthread_mutex_lock (&facts->lock);
  find_or_add (facts, server)->waiting++;
  pthread_mutex_unlock (&facts->lock);
}

/* Returns the number of requests left waiting for the engine in the current scan. */
int64_t
kcp_engine_facts_waiting (struct kcp_engine_facts *facts, uint64_t server)
{
  int64_t waiting;

  pthread_mutex_lock (&facts->lock);
  waiting = find_or_add (facts, server)->waiting;
  pthread_mutex_unlock (&facts->lock);
  return waiting;
}

static struct engine *
find_or_add (struct kcp_engine_facts *facts, uint64_t server)
{
  struct engine *engine = g_hash_table_lookup (facts->engines, &server);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct engine, 1);
  engine->server = server;
  kcp_concurrency_limit_init (&engine->limit, &facts->limit_settings);
  g_hash_table_insert (facts->engines, &engine->server, engine);
  return engine;
}
