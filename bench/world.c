#include "bench/world.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "bench/fake_vm.h"
#include "policy/prefix.h"

#define ARRIVALS_NS       (40 * KCP_NS_PER_S)
#define END_NS            (75 * KCP_NS_PER_S)
#define FAULT_NS          (20 * KCP_NS_PER_S)
#define FAULT_LASTS_NS    (10 * KCP_NS_PER_S)
#define AFTER_SURGE_LOAD  0.5
#define REPORT_EVERY_NS   (200 * KCP_NS_PER_MS)
#define REPORT_LAG_MIN_MS 50
#define REPORT_LAG_MAX_MS 250
#define EVENTS_EVERY_NS   (200 * KCP_NS_PER_MS)
#define EVENTS_LAG_MIN_MS 100
#define EVENTS_LAG_MAX_MS 600
#define TICK_NS           (50 * KCP_NS_PER_MS)
#define GOSSIP_NS         (200 * KCP_NS_PER_MS)
#define SPREAD_NS         (2 * KCP_NS_PER_MS)
#define RESTART_NS        (5 * KCP_NS_PER_S)
#define POISON_EVERY_NS   (1 * KCP_NS_PER_S)
#define POISON_TOKENS     800
#define RETURNS_MAX       3
#define CALLER_DELAY_MS   200 /* by which a caller comes back late at most */
#define LOST_USUALLY      0.002
#define LOST_IN_FAULT     0.1

/* A load report or a batch of cache events on its way to a VM. */
struct message
{
  struct fake_engine *engine;
  uint64_t incarnation;
  struct engine_report report;
  GArray *events;
};

static void arrive (void *user, void *subject);
static void give_to_vm (struct world *world, struct job *job);
static void return_now (void *user, void *subject);
static void send_reports (void *user, void *subject);
static void send_report (struct world *world, struct fake_engine *engine);
static void deliver_report (void *user, void *subject);
static void send_events (void *user, void *subject);
static GArray *lose_some (struct world *world, const GArray *events);
static void deliver_events (void *user, void *subject);
static void spread (void *user, void *subject);
static void tick (void *user, void *subject);
static void gossip (void *user, void *subject);
static void merge_fact (void *user, const struct kcp_quarantine_fact *fact);
static void start_fault (void *user, void *subject);
static void end_fault (void *user, void *subject);
static void send_poison (void *user, void *subject);
static void watch_engines (void *user, void *subject);
static void restart_engine (void *user, void *subject);
static void note_computed (void *user, uint64_t block);
static int64_t lag_ns (struct world *world, int64_t min_ms, int64_t max_ms);

/* Runs one world to its end. */
struct world *
world_run (const struct run *run)
{
  struct world *world = g_new0 (struct world, 1);
  struct fake_engine_hooks hooks = {
    .first_token = fake_vm_first_token,
    .finished = fake_vm_finished,
    .computed = note_computed,
    .user = world,
  };

  world->run = *run;
  world->sim = sim_new (run->seed);
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  world->computed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->vm_count = run->policy == BENCH_ALL_KNOWING ? 1 : WORKLOAD_VMS;
  for (unsigned i = 0; i < run->deployment->engines; i++)
    world->engines[i] = fake_engine_new (world->sim, i, i % DATA_CENTERS,
                                         run->deployment->cache_blocks, &hooks);
  for (unsigned i = 0; i < world->vm_count; i++)
    world->vms[i] = fake_vm_new (world, i, i % DATA_CENTERS);
  sim_after (world->sim, 0, arrive, world, NULL);
  sim_after (world->sim, 0, send_reports, world, NULL);
  sim_after (world->sim, 0, send_events, world, NULL);
  sim_after (world->sim, 0, tick, world, NULL);
  sim_after (world->sim, 0, gossip, world, NULL);
  sim_after (world->sim, 0, watch_engines, world, NULL);
  sim_after (world->sim, FAULT_NS, start_fault, world, NULL);
  sim_after (world->sim, FAULT_NS + FAULT_LASTS_NS, end_fault, world, NULL);
  sim_run (world->sim, END_NS);
  for (unsigned i = 0; i < world->vm_count; i++)
    fake_vm_free (world->vms[i]);
  for (unsigned i = 0; i < run->deployment->engines; i++)
    fake_engine_free (world->engines[i]);
  return world;
}

/* Frees what a run left: its requests and figures. */
void
world_free (struct world *world)
{
  g_ptr_array_unref (world->jobs);
  g_hash_table_unref (world->computed);
  sim_free (world->sim);
  g_free (world);
}

/* Tells whether two data centers reach each other; in a cut the last one is alone. */
bool
world_reaches (const struct world *world, unsigned a, unsigned b)
{
  return !world->cut || a == b || (a != DATA_CENTERS - 1 && b != DATA_CENTERS - 1);
}

/* Returns the time to another data center and back. */
int64_t
world_transfer_ns (const struct world *world, unsigned a, unsigned b)
{
  return a == b ? 0 : world->run.deployment->transfer_ns;
}

/* Has a VM that saw a crash tell all others at once, and not only in its turn. */
void
world_spread_quarantine (struct world *world, struct fake_vm *vm)
{
  if (!world->run.variant.slow_quarantine)
    sim_after (world->sim, SPREAD_NS, spread, world, vm);
}

static void
spread (void *user, void *subject)
{
  struct world *world = user;
  struct fake_vm *vm = subject;

  for (unsigned i = 0; i < world->vm_count; i++)
    if (world->vms[i] != vm
        && world_reaches (world, vm->data_center, world->vms[i]->data_center))
      {
        kcp_quarantine_visit (vm->quarantine, sim_now (world->sim), merge_fact,
                              world->vms[i]);
        fake_vm_withdraw (world->vms[i]);
      }
}

/* In a surge, has a refused caller come back when it was told to. */
void
world_caller_returns (struct world *world, const struct job *refused,
                      int64_t retry_after_s)
{
  struct job *job;

  if (world->run.fault != FAULT_SURGE || refused->returns >= RETURNS_MAX)
    return;
  job = g_new0 (struct job, 1);
  job->class = refused->class;
  job->team = refused->team;
  job->data_centers = refused->data_centers;
  job->importance = refused->importance;
  memcpy (job->chain, refused->chain, sizeof job->chain);
  job->blocks = refused->blocks;
  job->prompt_tokens = refused->prompt_tokens;
  job->answer_tokens = refused->answer_tokens;
  job->deadline_ns = refused->deadline_ns - refused->arrived_ns;
  job->fingerprint = refused->fingerprint;
  job->returns = refused->returns + 1;
  sim_after (world->sim,
             retry_after_s * KCP_NS_PER_S + lag_ns (world, 1, CALLER_DELAY_MS),
             return_now, world, job);
}

static void
return_now (void *user, void *subject)
{
  struct world *world = user;
  struct job *job = subject;

  job->arrived_ns = sim_now (world->sim);
  job->deadline_ns += job->arrived_ns;
  g_ptr_array_add (world->jobs, job);
  give_to_vm (world, job);
}

static void
arrive (void *user, void *subject)
{
  struct world *world = user;
  const struct deployment *deployment = world->run.deployment;
  bool surge_over = world->run.fault == FAULT_SURGE && sim_now (world->sim) >= FAULT_NS;
  double load = surge_over ? AFTER_SURGE_LOAD : world->run.load;
  double u = g_rand_double (sim_random (world->sim));
  struct job *job = workload_job (deployment, world->sim, world->generation);

  (void)subject;
  g_ptr_array_add (world->jobs, job);
  give_to_vm (world, job);
  if (sim_now (world->sim) < ARRIVALS_NS)
    sim_after (world->sim,
               (int64_t)(-log (1.0 - u) / (load * deployment->capacity) * KCP_NS_PER_S),
               arrive, world, NULL);
}

static void
give_to_vm (struct world *world, struct job *job)
{
  gint32 at = g_rand_int_range (sim_noise (world->sim), 0, (gint32)world->vm_count);

  fake_vm_take (world->vms[at], job);
}

static void
send_reports (void *user, void *subject)
{
  struct world *world = user;

  (void)subject;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    if (world->engines[i]->up && !world->reports_stopped)
      send_report (world, world->engines[i]);
  sim_after (world->sim, REPORT_EVERY_NS, send_reports, world, NULL);
}

static void
send_report (struct world *world, struct fake_engine *engine)
{
  struct engine_report report = fake_engine_report (engine);

  for (unsigned i = 0; i < world->vm_count; i++)
    {
      struct message *message;

      if (!world_reaches (world, engine->data_center, world->vms[i]->data_center))
        continue;
      message = g_new0 (struct message, 1);
      message->engine = engine;
      message->incarnation = engine->incarnation;
      message->report = report;
      sim_after (world->sim, lag_ns (world, REPORT_LAG_MIN_MS, REPORT_LAG_MAX_MS),
                 deliver_report, world->vms[i], message);
    }
}

static void
deliver_report (void *user, void *subject)
{
  struct message *message = subject;

  if (message->engine->incarnation == message->incarnation)
    fake_vm_report (user, message->engine, &message->report);
  g_free (message);
}

static void
send_events (void *user, void *subject)
{
  struct world *world = user;

  (void)subject;
  if (world->run.policy != BENCH_KINGCUPPOINT)
    return;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    {
      struct fake_engine *engine = world->engines[i];

      for (unsigned j = 0; j < world->vm_count && engine->events->len > 0; j++)
        {
          struct message *message;

          if (!world_reaches (world, engine->data_center, world->vms[j]->data_center))
            continue;
          message = g_new0 (struct message, 1);
          message->engine = engine;
          message->incarnation = engine->incarnation;
          message->events = lose_some (world, engine->events);
          sim_after (world->sim, lag_ns (world, EVENTS_LAG_MIN_MS, EVENTS_LAG_MAX_MS),
                     deliver_events, world->vms[j], message);
        }
      g_array_set_size (engine->events, 0);
    }
  sim_after (world->sim, EVENTS_EVERY_NS, send_events, world, NULL);
}

static GArray *
lose_some (struct world *world, const GArray *events)
{
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (struct cache_event));
  double lost = world->run.fault == FAULT_EVENTS_LOST ? LOST_IN_FAULT : LOST_USUALLY;

  for (guint i = 0; i < events->len; i++)
    if (g_rand_double (sim_noise (world->sim)) >= lost)
      g_array_append_val (kept, g_array_index (events, struct cache_event, i));
  return kept;
}

static void
deliver_events (void *user, void *subject)
{
  struct message *message = subject;

  fake_vm_events (user, message->engine, message->incarnation, message->events);
  g_array_unref (message->events);
  g_free (message);
}

static void
tick (void *user, void *subject)
{
  struct world *world = user;

  (void)subject;
  for (unsigned i = 0; i < world->vm_count; i++)
    fake_vm_tick (world->vms[i]);
  sim_after (world->sim, TICK_NS, tick, world, NULL);
}

/* Each VM tells one random other VM the quarantine facts that it holds. */
static void
gossip (void *user, void *subject)
{
  struct world *world = user;

  (void)subject;
  for (unsigned i = 0; i < world->vm_count; i++)
    {
      unsigned other = (unsigned)g_rand_int_range (sim_noise (world->sim), 0,
                                                   (gint32)world->vm_count);

      if (other != i
          && world_reaches (world, world->vms[i]->data_center,
                            world->vms[other]->data_center))
        kcp_quarantine_visit (world->vms[i]->quarantine, sim_now (world->sim), merge_fact,
                              world->vms[other]);
    }
  sim_after (world->sim, GOSSIP_NS, gossip, world, NULL);
}

static void
merge_fact (void *user, const struct kcp_quarantine_fact *fact)
{
  struct fake_vm *vm = user;

  kcp_quarantine_merge (vm->quarantine, fact, sim_now (vm->world->sim));
}

static void
start_fault (void *user, void *subject)
{
  struct world *world = user;

  (void)subject;
  switch (world->run.fault)
    {
    case FAULT_ENGINE_CRASH:
      fake_engine_crash (world->engines[0]);
      break;
    case FAULT_PREFIX_SHIFT:
      world->generation++;
      break;
    case FAULT_HERD_RESTART:
      for (unsigned i = 0; i < world->vm_count; i++)
        fake_vm_restart (world->vms[i]);
      break;
    case FAULT_REPORTS_STOP:
      world->reports_stopped = true;
      break;
    case FAULT_DATA_CENTER_CUT:
      world->cut = true;
      break;
    case FAULT_POISON:
      send_poison (world, NULL);
      break;
    case FAULT_NONE:
    case FAULT_EVENTS_LOST:
    case FAULT_SURGE:
    case FAULTS:
      break;
    }
}

static void
end_fault (void *user, void *subject)
{
  struct world *world = user;

  (void)subject;
  world->reports_stopped = false;
  world->cut = false;
}

static void
send_poison (void *user, void *subject)
{
  struct world *world = user;
  struct job *job = workload_job (world->run.deployment, world->sim, world->generation);

  (void)subject;
  job->crashes = true;
  job->class = KCP_CLASS_NORMAL;
  job->team = 0;
  job->data_centers = (1u << DATA_CENTERS) - 1;
  job->blocks = 0;
  job->prompt_tokens = POISON_TOKENS;
  job->fingerprint = 1;
  g_ptr_array_add (world->jobs, job);
  give_to_vm (world, job);
  if (sim_now (world->sim) < ARRIVALS_NS)
    sim_after (world->sim, POISON_EVERY_NS, send_poison, world, NULL);
}

/* Starts crashed engines again, some time after. */
static void
watch_engines (void *user, void *subject)
{
  struct world *world = user;

  (void)subject;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    if (!world->engines[i]->up && !world->engines[i]->restarting)
      {
        world->engines[i]->restarting = true;
        world->crashes++;
        sim_after (world->sim, RESTART_NS, restart_engine, world->engines[i], NULL);
      }
  sim_after (world->sim, TICK_NS, watch_engines, world, NULL);
}

static void
restart_engine (void *user, void *subject)
{
  struct fake_engine *engine = user;

  (void)subject;
  engine->restarting = false;
  fake_engine_restart (engine);
}

static void
note_computed (void *user, uint64_t block)
{
  struct world *world = user;

  world->prefilled_tokens += KCP_BLOCK_TOKENS;
  if (g_hash_table_contains (world->computed, &block))
    world->recomputed_tokens += KCP_BLOCK_TOKENS;
  else
    g_hash_table_add (world->computed, g_memdup2 (&block, sizeof block));
}

static int64_t
lag_ns (struct world *world, int64_t min_ms, int64_t max_ms)
{
  return g_rand_int_range (sim_noise (world->sim), (gint32)min_ms, (gint32)max_ms)
         * KCP_NS_PER_MS;
}
