#include "bench/fake_engine.h"

#include <string.h>

#include "policy/prefix.h"

#define EVENTS_MAX 4096 /* unsent events; later ones are dropped and leave a gap */

struct cached
{
  uint64_t block;
  unsigned pins; /* number of requests in the batch that use it */
  GList *link;   /* in unpinned; NULL while pinned */
};

static struct engine_report make_report (const struct fake_engine *engine);
static void step (void *user, void *arg);
static void end_step (void *user, void *arg);
static void fill_batch (struct fake_engine *engine);
static int compare_jobs (gconstpointer a, gconstpointer b);
static void admit (struct fake_engine *engine, struct job *job);
static int64_t prefill (struct fake_engine *engine);
static void prefill_job (struct fake_engine *engine, struct job *job, int64_t tokens);
static void pin (struct fake_engine *engine, uint64_t block);
static void unpin_all (struct fake_engine *engine, struct job *job);
static void store (struct fake_engine *engine, uint64_t block);
static void evict (struct fake_engine *engine);
static void add_event (struct fake_engine *engine, uint64_t block, bool stored);
static void advance_job (struct fake_engine *engine, struct job *job);
static void remove_job (struct fake_engine *engine, struct job *job);

/* Creates an engine that is up, with an empty cache. */
struct fake_engine *
fake_engine_new (struct sim *sim, unsigned index, unsigned data_center,
                 size_t cache_blocks, const struct fake_engine_hooks *hooks)
{
  struct fake_engine *engine = g_new0 (struct fake_engine, 1);

  engine->index = index;
  engine->data_center = data_center;
  engine->hash = (index + 1) * 0x9E3779B97F4A7C15u;
  engine->incarnation = engine->hash + 1;
  engine->up = true;
  engine->sim = sim;
  engine->hooks = hooks;
  engine->cache_blocks = cache_blocks;
  engine->cache = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  engine->unpinned = g_queue_new ();
  engine->waiting = g_ptr_array_new ();
  engine->batch = g_ptr_array_new ();
  engine->events = g_array_new (FALSE, FALSE, sizeof (struct cache_event));
  return engine;
}

/* Frees the engine. */
void
fake_engine_free (struct fake_engine *engine)
{
  g_hash_table_unref (engine->cache);
  g_queue_free (engine->unpinned);
  g_ptr_array_unref (engine->waiting);
  g_ptr_array_unref (engine->batch);
  g_array_unref (engine->events);
  g_free (engine);
}

/* Queues a request. The engine must be up. */
void
fake_engine_send (struct fake_engine *engine, struct job *job)
{
  job->engine = engine;
  job->epoch = engine->epoch;
  job->at_engine = true;
  job->admitted = false;
  job->arrival_number = engine->arrivals++;
  job->stored_blocks = 0;
  job->prefill_tokens_pending
      = job->prompt_tokens - fake_engine_count_cached_tokens (engine, job);
  g_ptr_array_add (engine->waiting, job);
  if (!engine->step_scheduled)
    {
      engine->step_scheduled = true;
      sim_schedule (engine->sim, 0, step, engine, GSIZE_TO_POINTER (engine->epoch));
    }
}

/* Cancels a request if it is queued or in the batch. */
void
fake_engine_cancel (struct fake_engine *engine, struct job *job)
{
  if (job->at_engine)
    remove_job (engine, job);
}

/* Crashes the engine: all its requests fail and its cache is lost. */
void
fake_engine_crash (struct fake_engine *engine)
{
  g_autoptr (GPtrArray) failed = g_ptr_array_new ();

  for (guint i = 0; i < engine->batch->len; i++)
    g_ptr_array_add (failed, g_ptr_array_index (engine->batch, i));
  for (guint i = 0; i < engine->waiting->len; i++)
    g_ptr_array_add (failed, g_ptr_array_index (engine->waiting, i));
  g_ptr_array_set_size (engine->batch, 0);
  g_ptr_array_set_size (engine->waiting, 0);
  g_hash_table_remove_all (engine->cache);
  g_queue_clear (engine->unpinned);
  g_array_set_size (engine->events, 0);
  engine->up = false;
  engine->step_scheduled = false;
  engine->epoch++;
  for (guint i = 0; i < failed->len; i++)
    {
      struct job *job = g_ptr_array_index (failed, i);

      job->at_engine = false;
      engine->hooks->finished (job, false);
    }
}

/* Restarts the engine after a crash, with a new incarnation. */
void
fake_engine_restart (struct fake_engine *engine)
{
  engine->up = true;
  engine->incarnation++;
  engine->seq = 0;
}

/* Returns the current load. The report is computed once per virtual time, so calls at the
   same time return the same report. */
struct engine_report
fake_engine_report (struct fake_engine *engine)
{
  if (engine->report_ns != sim_now (engine->sim) + 1)
    engine->report = make_report (engine);
  engine->report_ns = sim_now (engine->sim) + 1;
  return engine->report;
}

static struct engine_report
make_report (const struct fake_engine *engine)
{
  struct engine_report report
      = { .running = engine->batch->len, .waiting = engine->waiting->len };

  for (guint i = 0; i < engine->waiting->len; i++)
    {
      const struct job *job = g_ptr_array_index (engine->waiting, i);

      report.waiting_tokens += job->prefill_tokens_pending;
      report.importance = MAX (report.importance, job->importance);
    }
  for (guint i = 0; i < engine->batch->len; i++)
    {
      const struct job *job = g_ptr_array_index (engine->batch, i);

      report.waiting_tokens += job->prefill_tokens_pending;
      report.importance = MAX (report.importance, job->importance);
    }
  return report;
}

/* Returns the number of leading prompt tokens of a request that are in the cache. */
int64_t
fake_engine_count_cached_tokens (const struct fake_engine *engine, const struct job *job)
{
  size_t leading_blocks = 0;

  while (leading_blocks < job->blocks
         && g_hash_table_contains (engine->cache, &job->chain[leading_blocks]))
    leading_blocks++;
  return (int64_t)leading_blocks * KCP_BLOCK_TOKENS;
}

static void
step (void *user, void *arg)
{
  struct fake_engine *engine = user;
  int64_t duration_ns;
  int64_t decoding = 0;

  if (GPOINTER_TO_SIZE (arg) != engine->epoch)
    return;
  fill_batch (engine);
  if (engine->batch->len == 0)
    {
      engine->step_scheduled = false;
      return;
    }
  for (guint i = 0; i < engine->batch->len; i++)
    decoding
        += ((struct job *)g_ptr_array_index (engine->batch, i))->prefill_tokens_pending
           == 0;
  duration_ns = ENGINE_NS_PER_STEP + decoding * ENGINE_NS_PER_ANSWER
                + prefill (engine) * ENGINE_NS_PER_TOKEN;
  engine->busy_ns += duration_ns;
  sim_schedule (engine->sim, duration_ns, end_step, engine, arg);
}

static void
end_step (void *user, void *arg)
{
  struct fake_engine *engine = user;
  g_autoptr (GPtrArray) batch = NULL;

  if (GPOINTER_TO_SIZE (arg) != engine->epoch)
    return;
  batch = g_ptr_array_copy (engine->batch, NULL, NULL);
  for (guint i = 0; i < batch->len && GPOINTER_TO_SIZE (arg) == engine->epoch; i++)
    advance_job (engine, g_ptr_array_index (batch, i));
  if (GPOINTER_TO_SIZE (arg) == engine->epoch)
    step (engine, arg);
}

static void
advance_job (struct fake_engine *engine, struct job *job)
{
  if (!job->at_engine || job->prefill_tokens_pending > 0)
    return;
  if (job->crashes_engine)
    {
      fake_engine_crash (engine);
      return;
    }
  if (job->generated_tokens++ == 0)
    engine->hooks->first_token (job);
  if (job->generated_tokens < job->answer_tokens)
    return;
  remove_job (engine, job);
  engine->hooks->finished (job, true);
}

static void
fill_batch (struct fake_engine *engine)
{
  if (engine->waiting->len == 0 || engine->batch->len >= ENGINE_BATCH)
    return;
  g_ptr_array_sort (engine->waiting, compare_jobs);
  while (engine->waiting->len > 0 && engine->batch->len < ENGINE_BATCH)
    admit (engine, g_ptr_array_steal_index (engine->waiting, 0));
  g_ptr_array_sort (engine->batch, compare_jobs);
}

/* Orders requests by class, then by arrival. */
static int
compare_jobs (gconstpointer a, gconstpointer b)
{
  const struct job *one = *(struct job *const *)a;
  const struct job *other = *(struct job *const *)b;

  if (one->class != other->class)
    return one->class < other->class ? -1 : 1;
  return (one->arrival_number > other->arrival_number)
         - (one->arrival_number < other->arrival_number);
}

static void
admit (struct fake_engine *engine, struct job *job)
{
  int64_t cached = fake_engine_count_cached_tokens (engine, job);

  job->admitted = true;
  job->started = true;
  job->cached_tokens = MIN (cached, job->prompt_tokens - 1);
  job->prefill_tokens_pending = job->prompt_tokens - job->cached_tokens;
  job->generated_tokens = 0;
  job->stored_blocks = (size_t)(cached / KCP_BLOCK_TOKENS);
  for (size_t i = 0; i < job->stored_blocks; i++)
    pin (engine, job->chain[i]);
  g_ptr_array_add (engine->batch, job);
}

/* Prefills one chunk in batch order. Returns its size in tokens. */
static int64_t
prefill (struct fake_engine *engine)
{
  int64_t budget = ENGINE_CHUNK_TOKENS;

  for (guint i = 0; i < engine->batch->len && budget > 0; i++)
    {
      struct job *job = g_ptr_array_index (engine->batch, i);
      int64_t tokens = MIN (budget, job->prefill_tokens_pending);

      prefill_job (engine, job, tokens);
      budget -= tokens;
    }
  return ENGINE_CHUNK_TOKENS - budget;
}

static void
prefill_job (struct fake_engine *engine, struct job *job, int64_t tokens)
{
  int64_t done;

  job->prefill_tokens_pending -= tokens;
  done = job->prompt_tokens - job->prefill_tokens_pending;
  while (job->stored_blocks < job->blocks
         && (int64_t)(job->stored_blocks + 1) * KCP_BLOCK_TOKENS <= done)
    {
      uint64_t block = job->chain[job->stored_blocks++];

      if (engine->hooks->computed != NULL)
        engine->hooks->computed (engine->hooks->user, block);
      store (engine, block);
      pin (engine, block);
    }
}

static void
pin (struct fake_engine *engine, uint64_t block)
{
  struct cached *cached = g_hash_table_lookup (engine->cache, &block);

  if (cached->pins++ > 0)
    return;
  g_queue_delete_link (engine->unpinned, cached->link);
  cached->link = NULL;
}

/* Unpins the request's blocks in reverse order, so that the end of a prompt is evicted
   before its beginning. */
static void
unpin_all (struct fake_engine *engine, struct job *job)
{
  for (size_t i = job->stored_blocks; i > 0; i--)
    {
      struct cached *cached = g_hash_table_lookup (engine->cache, &job->chain[i - 1]);

      if (cached == NULL || --cached->pins > 0)
        continue;
      g_queue_push_tail (engine->unpinned, cached);
      cached->link = engine->unpinned->tail;
    }
  job->stored_blocks = 0;
}

static void
store (struct fake_engine *engine, uint64_t block)
{
  struct cached *cached;

  if (g_hash_table_contains (engine->cache, &block))
    return;
  if (g_hash_table_size (engine->cache) >= engine->cache_blocks)
    evict (engine);
  cached = g_new0 (struct cached, 1);
  cached->block = block;
  g_queue_push_tail (engine->unpinned, cached);
  cached->link = engine->unpinned->tail;
  g_hash_table_insert (engine->cache, &cached->block, cached);
  add_event (engine, block, true);
}

static void
evict (struct fake_engine *engine)
{
  struct cached *cached = g_queue_pop_head (engine->unpinned);

  if (cached == NULL)
    return;
  add_event (engine, cached->block, false);
  g_hash_table_remove (engine->cache, &cached->block);
}

static void
add_event (struct fake_engine *engine, uint64_t block, bool stored)
{
  struct cache_event event = { engine->seq++, block, stored };

  if (engine->events->len < EVENTS_MAX)
    g_array_append_val (engine->events, event);
}

static void
remove_job (struct fake_engine *engine, struct job *job)
{
  job->at_engine = false;
  if (job->admitted)
    {
      unpin_all (engine, job);
      g_ptr_array_remove (engine->batch, job);
    }
  else
    g_ptr_array_remove (engine->waiting, job);
}
