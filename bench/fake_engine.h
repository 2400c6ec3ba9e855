/* Simulated inference engine: continuous batching with chunked prefill, request
   priorities, a prefix cache with a limited number of blocks, and cache events. */
#ifndef KCP_BENCH_FAKE_ENGINE_H
#define KCP_BENCH_FAKE_ENGINE_H

#include "bench/job.h"
#include "bench/sim.h"

#define ENGINE_NS_PER_TOKEN  50000   /* prefill of one token */
#define ENGINE_NS_PER_STEP   8000000 /* fixed cost of a step */
#define ENGINE_NS_PER_ANSWER 400000  /* per step, for each answer in progress */
#define ENGINE_CHUNK_TOKENS  512     /* prompt tokens that one step prefills */
#define ENGINE_BATCH         24      /* maximum requests in the batch */

/* A block was stored in the cache or evicted from it. */
struct cache_event
{
  uint64_t seq;
  uint64_t block;
  bool stored;
};

struct engine_report
{
  int64_t running;
  int64_t waiting;
  int64_t waiting_tokens;
  int64_t importance; /* maximum over the requests at the engine */
};

struct fake_engine_hooks
{
  void (*first_token) (struct job *job);
  void (*finished) (struct job *job, bool complete); /* false: the engine crashed */
  void (*computed) (void *user, uint64_t block);     /* a block was prefilled */
  void *user;
};

struct fake_engine
{
  unsigned index;
  unsigned data_center;
  uint64_t hash;
  uint64_t incarnation;
  bool up;
  bool restarting;
  struct sim *sim;
  const struct fake_engine_hooks *hooks;
  size_t cache_blocks;
  GHashTable *cache; /* maps a block's hash to its struct cached */
  GQueue *unpinned;  /* struct cached, least recently used first */
  GPtrArray *waiting;
  GPtrArray *batch;
  GArray *events;      /* struct cache_event, not yet sent to the VMs */
  uint64_t seq;        /* of the next event */
  uint64_t epoch;      /* number of crashes so far */
  int64_t arrivals;    /* requests received so far */
  bool step_scheduled; /* false while the engine is idle */
  int64_t busy_ns;
  struct engine_report report; /* the last one */
  int64_t report_ns;           /* time of report plus 1, 0 if there is none */
};

struct fake_engine *
fake_engine_new (struct sim *sim, unsigned index, unsigned data_center,
                 size_t cache_blocks, const struct fake_engine_hooks *hooks);
void fake_engine_free (struct fake_engine *engine);
void fake_engine_send (struct fake_engine *engine, struct job *job);
void fake_engine_cancel (struct fake_engine *engine, struct job *job);
void fake_engine_crash (struct fake_engine *engine);
void fake_engine_restart (struct fake_engine *engine);
struct engine_report fake_engine_report (struct fake_engine *engine);
int64_t
fake_engine_count_cached_tokens (const struct fake_engine *engine, const struct job *job);

#endif
