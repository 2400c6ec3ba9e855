#include "bench/world.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "bench/fake_vm.h"
#include "policy/prefix.h"

#define ARRIVALS_END_NS              (40 * KCP_NS_PER_S)
#define RUN_END_NS                   (75 * KCP_NS_PER_S)
#define FAULT_START_NS               (20 * KCP_NS_PER_S)
#define FAULT_DURATION_NS            (10 * KCP_NS_PER_S)
#define AFTER_SURGE_LOAD             0.5 /* relative to the capacity */
#define REPORT_INTERVAL_NS           (200 * KCP_NS_PER_MS)
#define REPORT_DELAY_MIN_MS          50
#define REPORT_DELAY_MAX_MS          250
#define EVENTS_INTERVAL_NS           (200 * KCP_NS_PER_MS)
#define EVENTS_DELAY_MIN_MS          100
#define EVENTS_DELAY_MAX_MS          600
#define TICK_INTERVAL_NS             (50 * KCP_NS_PER_MS)
#define GOSSIP_INTERVAL_NS           (200 * KCP_NS_PER_MS)
#define UPDATE_DELAY_NS              (2 * KCP_NS_PER_MS)
#define RESTART_DELAY_NS             (5 * KCP_NS_PER_S)
#define CRASHING_REQUEST_INTERVAL_NS (1 * KCP_NS_PER_S)
#define CRASHING_REQUEST_TOKENS      800
#define RESUBMISSIONS_MAX            3
#define RESUBMIT_DELAY_MAX_MS        200   /* maximum delay after the Retry-After time */
#define EVENT_LOSS_NORMAL            0.002 /* fraction of the cache events */
#define EVENT_LOSS_FAULT             0.1   /* fraction of the cache events */

/* A load report or a batch of cache events on its way to a VM. */
struct message
{
  struct fake_engine *engine;
  uint64_t incarnation;
  struct engine_report report;
  GArray *events;
};

static void arrive (void *user, void *arg);
static void assign_to_vm (struct world *world, struct job *job);
static void resubmit_job (void *user, void *arg);
static void send_reports (void *user, void *arg);
static void send_report (struct world *world, struct fake_engine *engine);
static void deliver_report (void *user, void *arg);
static void send_events (void *user, void *arg);
static GArray *copy_with_loss (struct world *world, const GArray *events);
static void deliver_events (void *user, void *arg);
static void broadcast_quarantine (void *user, void *arg);
static void tick (void *user, void *arg);
static void gossip (void *user, void *arg);
static void merge_fact (void *user, const struct kcp_quarantine_fact *fact);
static void start_fault (void *user, void *arg);
static void end_fault (void *user, void *arg);
static void send_crashing_request (void *user, void *arg);
static void restart_crashed_engines (void *user, void *arg);
static void restart_engine (void *user, void *arg);
static void record_computed_block (void *user, uint64_t block);
static int64_t random_delay_ns (struct world *world, int64_t min_ms, int64_t max_ms);

/* Runs one simulation to its end. Returns its results, to be freed with world_free(). */
struct world *
world_run (const struct run *run)
{
  struct world *world = g_new0 (struct world, 1);
  struct fake_engine_hooks hooks = {
    .first_token = fake_vm_on_first_token,
    .finished = fake_vm_on_attempt_end,
    .computed = record_computed_block,
    .user = world,
  };

  world->run = *run;
  world->sim = sim_new (run->seed);
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  world->computed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->vm_count = run->policy == BENCH_ORACLE ? 1 : WORKLOAD_VMS;
  for (unsigned i = 0; i < run->deployment->engines; i++)
    world->engines[i] = fake_engine_new (world->sim, i, i % DATA_CENTERS,
                                         run->deployment->cache_blocks, &hooks);
  for (unsigned i = 0; i < world->vm_count; i++)
    world->vms[i] = fake_vm_new (world, i, i % DATA_CENTERS);
  sim_schedule (world->sim, 0, arrive, world, NULL);
  sim_schedule (world->sim, 0, send_reports, world, NULL);
  sim_schedule (world->sim, 0, send_events, world, NULL);
  sim_schedule (world->sim, 0, tick, world, NULL);
  sim_schedule (world->sim, 0, gossip, world, NULL);
  sim_schedule (world->sim, 0, restart_crashed_engines, world, NULL);
  sim_schedule (world->sim, FAULT_START_NS, start_fault, world, NULL);
  sim_schedule (world->sim, FAULT_START_NS + FAULT_DURATION_NS, end_fault, world, NULL);
  sim_run (world->sim, RUN_END_NS);
  for (unsigned i = 0; i < world->vm_count; i++)
    fake_vm_free (world->vms[i]);
  for (unsigned i = 0; i < run->deployment->engines; i++)
    fake_engine_free (world->engines[i]);
  return world;
}

/* Frees the results of a run. */
void
world_free (struct world *world)
{
  g_ptr_array_unref (world->jobs);
  g_hash_table_unref (world->computed);
  sim_free (world->sim);
  g_free (world);
}

/* Returns true if two data centers can reach each other. A partition isolates the last
   data center. */
bool
world_can_reach (const struct world *world, unsigned a, unsigned b)
{
  return !world->partitioned || a == b
         || (a != DATA_CENTERS - 1 && b != DATA_CENTERS - 1);
}

/* Returns the round-trip time between two data centers in nanoseconds. */
int64_t
world_round_trip_ns (const struct world *world, unsigned a, unsigned b)
{
  return a == b ? 0 : world->run.deployment->round_trip_ns;
}

/* Sends the quarantine facts of a VM that saw a crash to all other VMs in an update
   message, ahead of its next gossip message. */
void
world_broadcast_quarantine (struct world *world, struct fake_vm *vm)
{
  if (!world->run.variant.quarantine_gossip_only)
    sim_schedule (world->sim, UPDATE_DELAY_NS, broadcast_quarantine, world, vm);
}

static void
broadcast_quarantine (void *user, void *arg)
{
  struct world *world = user;
  struct fake_vm *vm = arg;

  for (unsigned i = 0; i < world->vm_count; i++)
    if (world->vms[i] != vm
        && world_can_reach (world, vm->data_center, world->vms[i]->data_center))
      {
        kcp_quarantine_visit (vm->quarantine, sim_now (world->sim), merge_fact,
                              world->vms[i]);
        fake_vm_apply_quarantine (world->vms[i]);
      }
}

/* Has the caller of a refused request send it again after its Retry-After time. Only the
   callers of FAULT_SURGE do so, up to RESUBMISSIONS_MAX times. */
void
world_resubmit (struct world *world, const struct job *refused, int64_t retry_after_s)
{
  struct job *job;

  if (world->run.fault != FAULT_SURGE || refused->resubmissions >= RESUBMISSIONS_MAX)
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
  job->resubmissions = refused->resubmissions + 1;
  sim_schedule (world->sim,
                retry_after_s * KCP_NS_PER_S
                    + random_delay_ns (world, 1, RESUBMIT_DELAY_MAX_MS),
                resubmit_job, world, job);
}

static void
resubmit_job (void *user, void *arg)
{
  struct world *world = user;
  struct job *job = arg;

  job->arrived_ns = sim_now (world->sim);
  job->deadline_ns += job->arrived_ns;
  g_ptr_array_add (world->jobs, job);
  assign_to_vm (world, job);
}

static void
arrive (void *user, void *arg)
{
  struct world *world = user;
  const struct deployment *deployment = world->run.deployment;
  bool surge_over
      = world->run.fault == FAULT_SURGE && sim_now (world->sim) >= FAULT_START_NS;
  double load = surge_over ? AFTER_SURGE_LOAD : world->run.load;
  double u = g_rand_double (sim_workload_random (world->sim));
  struct job *job = workload_new_job (deployment, world->sim, world->generation);

  (void)arg;
  g_ptr_array_add (world->jobs, job);
  assign_to_vm (world, job);
  if (sim_now (world->sim) < ARRIVALS_END_NS)
    sim_schedule (
        world->sim,
        (int64_t)(-log (1.0 - u) / (load * deployment->capacity) * KCP_NS_PER_S), arrive,
        world, NULL);
}

static void
assign_to_vm (struct world *world, struct job *job)
{
  gint32 index = g_rand_int_range (sim_noise (world->sim), 0, (gint32)world->vm_count);

  fake_vm_submit (world->vms[index], job);
}

static void
send_reports (void *user, void *arg)
{
  struct world *world = user;

  (void)arg;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    if (world->engines[i]->up && !world->reports_stopped)
      send_report (world, world->engines[i]);
  sim_schedule (world->sim, REPORT_INTERVAL_NS, send_reports, world, NULL);
}

static void
send_report (struct world *world, struct fake_engine *engine)
{
  struct engine_report report = fake_engine_report (engine);

  for (unsigned i = 0; i < world->vm_count; i++)
    {
      struct message *message;

      if (!world_can_reach (world, engine->data_center, world->vms[i]->data_center))
        continue;
      message = g_new0 (struct message, 1);
      message->engine = engine;
      message->incarnation = engine->incarnation;
      message->report = report;
      sim_schedule (world->sim,
                    random_delay_ns (world, REPORT_DELAY_MIN_MS, REPORT_DELAY_MAX_MS),
                    deliver_report, world->vms[i], message);
    }
}

static void
deliver_report (void *user, void *arg)
{
  struct message *message = arg;

  if (message->engine->incarnation == message->incarnation)
    fake_vm_on_report (user, message->engine, &message->report);
  g_free (message);
}

static void
send_events (void *user, void *arg)
{
  struct world *world = user;

  (void)arg;
  if (world->run.policy != BENCH_KINGCUPPOINT)
    return;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    {
      struct fake_engine *engine = world->engines[i];

      for (unsigned j = 0; j < world->vm_count && engine->events->len > 0; j++)
        {
          struct message *message;

          if (!world_can_reach (world, engine->data_center, world->vms[j]->data_center))
            continue;
          message = g_new0 (struct message, 1);
          message->engine = engine;
          message->incarnation = engine->incarnation;
          message->events = copy_with_loss (world, engine->events);
          sim_schedule (world->sim,
                        random_delay_ns (world, EVENTS_DELAY_MIN_MS, EVENTS_DELAY_MAX_MS),
                        deliver_events, world->vms[j], message);
        }
      g_array_set_size (engine->events, 0);
    }
  sim_schedule (world->sim, EVENTS_INTERVAL_NS, send_events, world, NULL);
}

static GArray *
copy_with_loss (struct world *world, const GArray *events)
{
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (struct cache_event));
  double loss_rate
      = world->run.fault == FAULT_EVENTS_LOST ? EVENT_LOSS_FAULT : EVENT_LOSS_NORMAL;

  for (guint i = 0; i < events->len; i++)
    if (g_rand_double (sim_noise (world->sim)) >= loss_rate)
      g_array_append_val (kept, g_array_index (events, struct cache_event, i));
  return kept;
}

static void
deliver_events (void *user, void *arg)
{
  struct message *message = arg;

  fake_vm_on_events (user, message->engine, message->incarnation, message->events);
  g_array_unref (message->events);
  g_free (message);
}

static void
tick (void *user, void *arg)
{
  struct world *world = user;

  (void)arg;
  for (unsigned i = 0; i < world->vm_count; i++)
    fake_vm_tick (world->vms[i]);
  sim_schedule (world->sim, TICK_INTERVAL_NS, tick, world, NULL);
}

/* Every VM sends its quarantine facts to one other VM, selected at random. */
static void
gossip (void *user, void *arg)
{
  struct world *world = user;

  (void)arg;
  for (unsigned i = 0; i < world->vm_count; i++)
    {
      unsigned other = (unsigned)g_rand_int_range (sim_noise (world->sim), 0,
                                                   (gint32)world->vm_count);

      if (other != i
          && world_can_reach (world, world->vms[i]->data_center,
                              world->vms[other]->data_center))
        kcp_quarantine_visit (world->vms[i]->quarantine, sim_now (world->sim), merge_fact,
                              world->vms[other]);
    }
  sim_schedule (world->sim, GOSSIP_INTERVAL_NS, gossip, world, NULL);
}

static void
merge_fact (void *user, const struct kcp_quarantine_fact *fact)
{
  struct fake_vm *vm = user;

  kcp_quarantine_merge (vm->quarantine, fact, sim_now (vm->world->sim));
}

static void
start_fault (void *user, void *arg)
{
  struct world *world = user;

  (void)arg;
  switch (world->run.fault)
    {
    case FAULT_ENGINE_CRASH:
      fake_engine_crash (world->engines[0]);
      break;
    case FAULT_PREFIX_SHIFT:
      world->generation++;
      break;
    case FAULT_ALL_VMS_RESTART:
      for (unsigned i = 0; i < world->vm_count; i++)
        fake_vm_restart (world->vms[i]);
      break;
    case FAULT_REPORTS_STOP:
      world->reports_stopped = true;
      break;
    case FAULT_PARTITION:
      world->partitioned = true;
      break;
    case FAULT_CRASHING_REQUEST:
      send_crashing_request (world, NULL);
      break;
    case FAULT_NONE:
    case FAULT_EVENTS_LOST:
    case FAULT_SURGE:
    case FAULT_COUNT:
      break;
    }
}

static void
end_fault (void *user, void *arg)
{
  struct world *world = user;

  (void)arg;
  world->reports_stopped = false;
  world->partitioned = false;
}

static void
send_crashing_request (void *user, void *arg)
{
  struct world *world = user;
  struct job *job
      = workload_new_job (world->run.deployment, world->sim, world->generation);

  (void)arg;
  job->crashes_engine = true;
  job->class = KCP_CLASS_NORMAL;
  job->team = 0;
  job->data_centers = (1u << DATA_CENTERS) - 1;
  job->blocks = 0;
  job->prompt_tokens = CRASHING_REQUEST_TOKENS;
  job->fingerprint = 1;
  g_ptr_array_add (world->jobs, job);
  assign_to_vm (world, job);
  if (sim_now (world->sim) < ARRIVALS_END_NS)
    sim_schedule (world->sim, CRASHING_REQUEST_INTERVAL_NS, send_crashing_request, world,
                  NULL);
}

/* Schedules the restart of engines that have crashed since the last check. */
static void
restart_crashed_engines (void *user, void *arg)
{
  struct world *world = user;

  (void)arg;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    if (!world->engines[i]->up && !world->engines[i]->restarting)
      {
        world->engines[i]->restarting = true;
        world->engine_crashes++;
        sim_schedule (world->sim, RESTART_DELAY_NS, restart_engine, world->engines[i],
                      NULL);
      }
  sim_schedule (world->sim, TICK_INTERVAL_NS, restart_crashed_engines, world, NULL);
}

static void
restart_engine (void *user, void *arg)
{
  struct fake_engine *engine = user;

  (void)arg;
  engine->restarting = false;
  fake_engine_restart (engine);
}

static void
record_computed_block (void *user, uint64_t block)
{
  struct world *world = user;

  world->prefilled_tokens += KCP_BLOCK_TOKENS;
  if (g_hash_table_contains (world->computed, &block))
    world->recomputed_tokens += KCP_BLOCK_TOKENS;
  else
    g_hash_table_add (world->computed, g_memdup2 (&block, sizeof block));
}

static int64_t
random_delay_ns (struct world *world, int64_t min_ms, int64_t max_ms)
{
  return g_rand_int_range (sim_noise (world->sim), (gint32)min_ms, (gint32)max_ms)
         * KCP_NS_PER_MS;
}
