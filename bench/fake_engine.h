/* A model engine in virtual time: continuous batching with chunks of prompts, a prefix
   cache of limited blocks, priorities, and cache events. */
#ifndef KCP_BENCH_FAKE_ENGINE_H
#define KCP_BENCH_FAKE_ENGINE_H

#include "bench/job.h"
#include "bench/sim.h"

#define ENGINE_NS_PER_TOKEN  50000   /* of a prompt */
#define ENGINE_NS_PER_STEP   8000000 /* of the whole batch */
#define ENGINE_NS_PER_ANSWER 400000  /* of each answer in the batch, a step */
#define ENGINE_CHUNK_TOKENS  512     /* of prompts, a step */
#define ENGINE_BATCH         24      /* requests computed together */

/* One change of the cache. */
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
  int64_t importance; /* greatest of the requests there */
};

struct fake_engine_hooks
{
  void (*first_token) (struct job *job);
  void (*finished) (struct job *job, bool whole);
  void (*computed) (void *user, uint64_t block); /* a block's tokens were computed */
  void *user;
};

struct fake_engine
{
  unsigned number;
  unsigned data_center;
  uint64_t hash;
  uint64_t incarnation;
  bool up;
  bool restarting;
  struct sim *sim;
  const struct fake_engine_hooks *hooks;
  size_t cache_blocks;
  GHashTable *cache; /* block, struct cached */
  GQueue *unpinned;  /* least recently used first */
  GPtrArray *waiting;
  GPtrArray *batch;
  GArray *events; /* struct cache_event, since they were last read */
  uint64_t seq;
  uint64_t epoch;
  int64_t arrivals;
  bool stepping;
  int64_t busy_ns;
  struct engine_report report; /* of the time report_ns */
  int64_t report_ns;
};

struct fake_engine *
fake_engine_new (struct sim *sim, unsigned number, unsigned data_center,
                 size_t cache_blocks, const struct fake_engine_hooks *hooks);
void fake_engine_free (struct fake_engine *engine);
void fake_engine_send (struct fake_engine *engine, struct job *job);
void fake_engine_cancel (struct fake_engine *engine, struct job *job);
void fake_engine_crash (struct fake_engine *engine);
void fake_engine_restart (struct fake_engine *engine);
struct engine_report fake_engine_report (struct fake_engine *engine);
int64_t fake_engine_leading (const struct fake_engine *engine, const struct job *job);

#endif
