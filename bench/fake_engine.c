#include "bench/fake_engine.h"

#include <string.h>

#include "policy/prefix.h"

struct cached
{
  uint64_t block;
  unsigned pins; /* requests in the batch that use it */
  GList *link;   /* in unpinned, while there are no pins */
};

static struct engine_report make_report (const struct fake_engine *engine);
static void step (void *user, void *subject);
static void end_step (void *user, void *subject);
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
static void leave (struct fake_engine *engine, struct job *job);

/* Makes an engine that is up and empty. */
struct fake_engine *
fake_engine_new (struct sim *sim, unsigned number, unsigned data_center,
                 size_t cache_blocks, const struct fake_engine_hooks *hooks)
{
  struct fake_engine *engine = g_new0 (struct fake_engine, 1);

  engine->number = number;
  engine->data_center = data_center;
  engine->hash = (number + 1) * 0x9E3779B97F4A7C15u;
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

/* Queues a request at an engine that is up. */
void
fake_engine_send (struct fake_engine *engine, struct job *job)
{
  job->engine = engine;
  job->epoch = engine->epoch;
  job->at_engine = true;
  job->admitted = false;
  job->order = engine->arrivals++;
  job->stored = 0;
  job->prefill_left = job->prompt_tokens - fake_engine_leading (engine, job);
  g_ptr_array_add (engine->waiting, job);
  if (!engine->stepping)
    {
      engine->stepping = true;
      sim_after (engine->sim, 0, step, engine, GSIZE_TO_POINTER (engine->epoch));
    }
}

/* Drops a request whose caller has gone. */
void
fake_engine_cancel (struct fake_engine *engine, struct job *job)
{
  if (job->at_engine)
    leave (engine, job);
}

/* Ends the engine's life: all its requests fail and its cache is lost. */
void
fake_engine_crash (struct fake_engine *engine)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();

  for (guint i = 0; i < engine->batch->len; i++)
    g_ptr_array_add (lost, g_ptr_array_index (engine->batch, i));
  for (guint i = 0; i < engine->waiting->len; i++)
    g_ptr_array_add (lost, g_ptr_array_index (engine->waiting, i));
  g_ptr_array_set_size (engine->batch, 0);
  g_ptr_array_set_size (engine->waiting, 0);
  g_hash_table_remove_all (engine->cache);
  g_queue_clear (engine->unpinned);
  g_array_set_size (engine->events, 0);
  engine->up = false;
  engine->stepping = false;
  engine->epoch++;
  for (guint i = 0; i < lost->len; i++)
    {
      struct job *job = g_ptr_array_index (lost, i);

      job->at_engine = false;
      engine->hooks->finished (job, false);
    }
}

/* Starts the engine again, empty and as a new incarnation. */
void
fake_engine_restart (struct fake_engine *engine)
{
  engine->up = true;
  engine->incarnation++;
  engine->seq = 0;
}

/* Returns the load of the present moment, worked out once for each time. */
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

      report.waiting_tokens += job->prefill_left;
      report.importance = MAX (report.importance, job->importance);
    }
  for (guint i = 0; i < engine->batch->len; i++)
    {
      const struct job *job = g_ptr_array_index (engine->batch, i);

      report.waiting_tokens += job->prefill_left;
      report.importance = MAX (report.importance, job->importance);
    }
  return report;
}

/* Returns the tokens of the request's prompt that are cached now. */
int64_t
fake_engine_leading (const struct fake_engine *engine, const struct job *job)
{
  size_t held = 0;

  while (held < job->blocks && g_hash_table_contains (engine->cache, &job->chain[held]))
    held++;
  return (int64_t)held * KCP_BLOCK_TOKENS;
}

static void
step (void *user, void *subject)
{
  struct fake_engine *engine = user;
  int64_t took_ns;
  int64_t answers = 0;

  if (GPOINTER_TO_SIZE (subject) != engine->epoch)
    return;
  fill_batch (engine);
  if (engine->batch->len == 0)
    {
      engine->stepping = false;
      return;
    }
  for (guint i = 0; i < engine->batch->len; i++)
    answers += ((struct job *)g_ptr_array_index (engine->batch, i))->prefill_left == 0;
  took_ns = ENGINE_NS_PER_STEP + answers * ENGINE_NS_PER_ANSWER
            + prefill (engine) * ENGINE_NS_PER_TOKEN;
  engine->busy_ns += took_ns;
  sim_after (engine->sim, took_ns, end_step, engine, subject);
}

static void
end_step (void *user, void *subject)
{
  struct fake_engine *engine = user;
  g_autoptr (GPtrArray) batch = NULL;

  if (GPOINTER_TO_SIZE (subject) != engine->epoch)
    return;
  batch = g_ptr_array_copy (engine->batch, NULL, NULL);
  for (guint i = 0; i < batch->len && GPOINTER_TO_SIZE (subject) == engine->epoch; i++)
    advance_job (engine, g_ptr_array_index (batch, i));
  if (GPOINTER_TO_SIZE (subject) == engine->epoch)
    step (engine, subject);
}

static void
advance_job (struct fake_engine *engine, struct job *job)
{
  if (!job->at_engine || job->prefill_left > 0)
    return;
  if (job->crashes)
    {
      fake_engine_crash (engine);
      return;
    }
  if (job->generated++ == 0)
    engine->hooks->first_token (job);
  if (job->generated < job->answer_tokens)
    return;
  leave (engine, job);
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

/* By class, then by arrival. */
static int
compare_jobs (gconstpointer a, gconstpointer b)
{
  const struct job *one = *(struct job *const *)a;
  const struct job *other = *(struct job *const *)b;

  if (one->class != other->class)
    return one->class < other->class ? -1 : 1;
  return (one->order > other->order) - (one->order < other->order);
}

static void
admit (struct fake_engine *engine, struct job *job)
{
  int64_t cached = fake_engine_leading (engine, job);

  job->admitted = true;
  job->started = true;
  job->cached_tokens = MIN (cached, job->prompt_tokens - 1);
  job->prefill_left = job->prompt_tokens - job->cached_tokens;
  job->generated = 0;
  job->stored = (size_t)(cached / KCP_BLOCK_TOKENS);
  for (size_t i = 0; i < job->stored; i++)
    pin (engine, job->chain[i]);
  g_ptr_array_add (engine->batch, job);
}

/* Computes one chunk of prompts, the most urgent first; returns its tokens. */
static int64_t
prefill (struct fake_engine *engine)
{
  int64_t left = ENGINE_CHUNK_TOKENS;

  for (guint i = 0; i < engine->batch->len && left > 0; i++)
    {
      struct job *job = g_ptr_array_index (engine->batch, i);
      int64_t tokens = MIN (left, job->prefill_left);

      prefill_job (engine, job, tokens);
      left -= tokens;
    }
  return ENGINE_CHUNK_TOKENS - left;
}

static void
prefill_job (struct fake_engine *engine, struct job *job, int64_t tokens)
{
  int64_t done;

  job->prefill_left -= tokens;
  done = job->prompt_tokens - job->prefill_left;
  while (job->stored < job->blocks
         && (int64_t)(job->stored + 1) * KCP_BLOCK_TOKENS <= done)
    {
      uint64_t block = job->chain[job->stored++];

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

/* The end of a prompt becomes evictable before its beginning. */
static void
unpin_all (struct fake_engine *engine, struct job *job)
{
  for (size_t i = job->stored; i > 0; i--)
    {
      struct cached *cached = g_hash_table_lookup (engine->cache, &job->chain[i - 1]);

      if (cached == NULL || --cached->pins > 0)
        continue;
      g_queue_push_tail (engine->unpinned, cached);
      cached->link = engine->unpinned->tail;
    }
  job->stored = 0;
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

  g_array_append_val (engine->events, event);
}

static void
leave (struct fake_engine *engine, struct job *job)
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
