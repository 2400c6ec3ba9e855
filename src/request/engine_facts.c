#include "request/engine_facts.h"

#include <pthread.h>
#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "policy/beliefs.h"
#include "policy/limit.h"

#define LIMIT_MIN 4 /* requests in flight that every engine may have */

/* What is held of one engine. */
struct engine
{
  uint64_t server; /* hash of its id */
  struct kcp_limit limit;
  int64_t last_report_ns; /* arrival of the report that the limit took in last */
  int64_t waiting;        /* requests that the present search left waiting for it */
};

struct kcp_engine_facts
{
  pthread_mutex_t lock; /* no other lock is taken under it */
  struct kcp_beliefs *beliefs;
  struct kcp_limit_settings limit_settings;
  GHashTable *engines; /* hash of the id, struct engine */
};

static struct engine *find_or_add (struct kcp_engine_facts *facts, uint64_t server);

/* Makes an empty table, with room for so many believed blocks and with at most so many
   requests in flight at an engine. */
struct kcp_engine_facts *
kcp_engine_facts_new (int64_t index_entries, int64_t concurrency)
{
  struct kcp_engine_facts *facts = g_new0 (struct kcp_engine_facts, 1);

  pthread_mutex_init (&facts->lock, NULL);
  facts->beliefs = kcp_beliefs_new ((size_t)index_entries);
  facts->limit_settings = (struct kcp_limit_settings){
    .least = MIN (LIMIT_MIN, concurrency),
    .greatest = concurrency,
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
  kcp_beliefs_free (facts->beliefs);
  g_hash_table_unref (facts->engines);
  pthread_mutex_destroy (&facts->lock);
  g_free (facts);
}

/* Returns the hash that stands for an incarnation. */
uint64_t
kcp_engine_facts_hash_incarnation (const char *incarnation)
{
  return XXH3_64bits (incarnation, strlen (incarnation));
}

/* Returns how many requests the engine may have in flight, after taking in its last
   report. */
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
      struct kcp_limit_facts observed = {
        .in_flight = report->running + report->waiting,
        .waiting = report->waiting,
      };

      engine->last_report_ns = report->arrived_ns;
      kcp_limit_observe (&engine->limit, &facts->limit_settings, &observed);
    }
  limit = (int64_t)engine->limit.value;
  pthread_mutex_unlock (&facts->lock);
  return limit;
}

/* Returns how many leading blocks of a prompt the engine is believed to hold. Beliefs of
   an earlier incarnation are dropped. */
int64_t
kcp_engine_facts_count_leading (struct kcp_engine_facts *facts,
                                const struct kcp_backend_view *view, const GArray *chain)
{
  uint64_t incarnation = kcp_engine_facts_hash_incarnation (view->report.incarnation);
  kcp_belief_slot slot;
  int64_t cached_blocks = 0;

  pthread_mutex_lock (&facts->lock);
  if (kcp_beliefs_slot (facts->beliefs, view->backend->hash, incarnation, &slot))
    kcp_beliefs_leading (facts->beliefs, (const uint64_t *)(const void *)chain->data,
                         chain->len, &slot, 1, &cached_blocks);
  pthread_mutex_unlock (&facts->lock);
  return cached_blocks;
}

/* Records that an engine holds all blocks of a prompt that it has computed, unless a
   later incarnation has taken its place. */
void
kcp_engine_facts_add_chain (struct kcp_engine_facts *facts, uint64_t server,
                            uint64_t incarnation, const GArray *chain)
{
  kcp_belief_slot slot;

  pthread_mutex_lock (&facts->lock);
  if (kcp_beliefs_slot (facts->beliefs, server, incarnation, &slot))
    kcp_beliefs_learn (facts->beliefs, slot, (const uint64_t *)(const void *)chain->data,
                       chain->len);
  pthread_mutex_unlock (&facts->lock);
}

/* Takes in cache events. Those of an incarnation that is known to be dead are dropped.
   What was missed before them is not: beliefs are hints, and the answers correct them.
   user is the table. */
void
kcp_engine_facts_apply_events (void *user, const struct kcp_backend *backend,
                               const struct kcp_cache_events *events)
{
  struct kcp_engine_facts *facts = user;
  uint64_t incarnation = kcp_engine_facts_hash_incarnation (events->incarnation);
  kcp_belief_slot slot;

  kcp_counter_add (KCP_COUNT_CACHE_EVENTS, events->list->len);
  kcp_counter_add (KCP_COUNT_CACHE_GAPS, events->gaps);
  pthread_mutex_lock (&facts->lock);
  if (kcp_beliefs_slot (facts->beliefs, backend->hash, incarnation, &slot))
    for (guint i = 0; i < events->list->len; i++)
      {
        const struct kcp_cache_event *event
            = &g_array_index (events->list, struct kcp_cache_event, i);

        if (event->stored)
          kcp_beliefs_add (facts->beliefs, slot, event->block);
        else
          kcp_beliefs_remove (facts->beliefs, slot, event->block);
      }
  pthread_mutex_unlock (&facts->lock);
}

/* Starts a new search through the waiting requests. */
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

/* Counts a request that goes on waiting for the engine in the present search. */
void
kcp_engine_facts_add_waiting (struct kcp_engine_facts *facts, uint64_t server)
{
  pthread_mutex_lock (&facts->lock);
  find_or_add (facts, server)->waiting++;
  pthread_mutex_unlock (&facts->lock);
}

/* Returns how many requests were left waiting for the engine in the present search. */
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
  kcp_limit_init (&engine->limit, &facts->limit_settings);
  g_hash_table_insert (facts->engines, &engine->server, engine);
  return engine;
}
