/* One run of the bench: engines, VMs, callers and faults in virtual time. */
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
  BENCH_ALL_KNOWING, /* one VM that sees everything at once */
  BENCH_POLICIES
};

enum fault
{
  FAULT_NONE,
  FAULT_ENGINE_CRASH,
  FAULT_PREFIX_SHIFT,
  FAULT_HERD_RESTART,
  FAULT_REPORTS_STOP,
  FAULT_EVENTS_LOST,
  FAULT_DATA_CENTER_CUT,
  FAULT_POISON, /* one request that crashes engines, sent again and again */
  FAULT_SURGE,  /* the load given lasts until the fault's time only; callers return */
  FAULTS
};

/* Deviations from what kingcuppoint does, to be compared with it. Zero: none. */
struct variant
{
  const char *name;
  bool no_waste;         /* placement ignores the delay that a miss causes others */
  int64_t waste_percent; /* another weight of that delay */
  int64_t waste_rise_ms;
  bool flat_waste;       /* that weight is the same at every load */
  bool limit_others;     /* assume that the other VMs send as much */
  bool no_tolerance;     /* no rendezvous order among close candidates */
  bool no_beliefs;       /* prompts are placed by load alone */
  bool reset_on_gap;     /* lost events end what is believed of their engine */
  bool no_learning;      /* beliefs come from events alone */
  bool no_limit;         /* engines get all work at once */
  bool fixed_limit;      /* the limit does not follow the delay */
  bool one_queue;        /* first come, first served, whatever the team */
  bool shed_importance;  /* refuse the least important waiting request first */
  bool place_importance; /* prefer the engine with the least important work */
  bool abort_unstarted;  /* urgent work displaces a sent request without a token */
  bool abort_any;        /* urgent work displaces any normal request */
  bool fifo_promises;    /* returns are not told from new requests */
  bool unlimited_retries;
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
  GHashTable *computed; /* every block computed so far */
  int64_t recomputed_tokens;
  int64_t prefilled_tokens;
  uint64_t generation;
  bool reports_stopped;
  bool cut;
  unsigned crashes;
  int64_t sent;    /* attempts */
  int64_t retried; /* attempts after the first of a request */
};

struct world *world_run (const struct run *run);
void world_free (struct world *world);
bool world_reaches (const struct world *world, unsigned a, unsigned b);
int64_t world_transfer_ns (const struct world *world, unsigned a, unsigned b);
void world_caller_returns (struct world *world, const struct job *refused,
                           int64_t retry_after_s);

#endif
