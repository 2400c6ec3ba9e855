/* Simulates one deployment in virtual time: engines, VMs, callers and a fault. */
#ifndef KCP_BENCH_WORLD_H
#define KCP_BENCH_WORLD_H

#include "bench/fake_engine.h"
#include "bench/sim.h"
#include "bench/workload.h"

#define WORLD_ENGINES_MAX 16

enum bench_policy
{
  BENCH_RANDOM,
  BENCH_LEAST_LOADED,
  BENCH_PREFIX_HASH,
  BENCH_KINGCUPPOINT,
  BENCH_ORACLE, /* upper bound: a single VM that knows the state of all engines */
  BENCH_POLICY_COUNT
};

enum fault
{
  FAULT_NONE,
  FAULT_ENGINE_CRASH,
  FAULT_PREFIX_SHIFT, /* every prompt changes except in its first level */
  FAULT_ALL_VMS_RESTART,
  FAULT_REPORTS_STOP,
  FAULT_EVENTS_LOST,
  FAULT_PARTITION,        /* one data center cannot reach the others */
  FAULT_CRASHING_REQUEST, /* a request that crashes engines is sent every second */
  FAULT_SURGE,            /* load drops at FAULT_START_NS; refusals are resubmitted */
  FAULT_COUNT
};

/* Changes to the policy of kingcuppoint, for comparison with it. A member that is 0 or
   false changes nothing. "Waste" is the delay that the prefill of uncached tokens causes
   for other requests. */
struct variant
{
  const char *name;
  bool no_waste;                /* placement ignores waste */
  int64_t waste_percent;        /* weight of waste */
  int64_t waste_rise_ms;        /* mean queue delay at which the weight doubles */
  bool flat_waste;              /* the weight of waste is the same at every load */
  int64_t max_waste_percent;    /* upper bound of the weight of waste */
  bool index_at_first_token;    /* do not add prompts to the cache index at dispatch */
  int64_t tolerance_ms;         /* expected times that differ by less count as equal */
  bool rank_by_first_block;     /* rendezvous hashing by the first block of the prompt */
  bool assume_equal_peers;      /* assume that peers send as many requests as this VM */
  bool no_tolerance;            /* no rendezvous hashing among similar candidates */
  bool no_cache_index;          /* place requests by load alone */
  bool reset_on_gap;            /* clear an engine's cache index on a gap in its events */
  bool no_index_at_first_token; /* do not add prompts to the cache index at first token */
  bool no_limit;                /* no concurrency limit */
  bool fixed_limit;             /* load reports do not change the concurrency limit */
  bool single_queue;            /* one queue for all teams instead of fair shares */
  bool shed_least_important;    /* may refuse a waiting request instead of a new one */
  bool prefer_less_important;   /* prefer engines whose requests are less important */
  bool preempt_unstarted;       /* urgent requests preempt normal ones without a token */
  bool preempt_any;             /* urgent requests preempt any normal ones */
  bool no_reservations;         /* resubmitted requests get no reserved capacity */
  bool unlimited_retries;
  bool suspects_on_any_engine; /* every VM may run suspects on every engine */
  bool run_suspect_copies;     /* run a suspect while another copy of it runs */
  bool quarantine_gossip_only; /* report crashes by gossip, not by update messages */
};

struct run
{
  const struct deployment *deployment;
  enum bench_policy policy;
  struct variant variant;
  enum fault fault;
  double load;
  guint32 seed;
};

struct fake_vm;

struct world
{
  struct run run;
  struct sim *sim;
  struct fake_engine *engines[WORLD_ENGINES_MAX];
  struct fake_vm *vms[WORKLOAD_VMS];
  unsigned vm_count;
  GPtrArray *jobs;
  GHashTable *computed; /* set of the hashes of all blocks computed so far */
  int64_t recomputed_tokens;
  int64_t prefilled_tokens;
  uint64_t generation;
  bool reports_stopped;
  bool partitioned;
  unsigned engine_crashes;
  int64_t attempts_sent; /* attempts, the first one of each request included */
  int64_t retries;       /* attempts after the first of a request */
};

struct world *world_run (const struct run *run);
void world_free (struct world *world);
bool world_can_reach (const struct world *world, unsigned a, unsigned b);
int64_t world_round_trip_ns (const struct world *world, unsigned a, unsigned b);
void world_broadcast_quarantine (struct world *world, struct fake_vm *vm);
void
world_resubmit (struct world *world, const struct job *refused, int64_t retry_after_s);

#endif
