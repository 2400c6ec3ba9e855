#include "bench/fake_vm.h"

#include <string.h>

#include "base/clock.h"
#include "policy/prefix.h"

#define CACHE_INDEX_ENTRIES 65536
#define QUARANTINE_ENTRIES  4096
#define QUARANTINE_NS       (3600 * KCP_NS_PER_S)
#define RETRY_PERCENT       10
#define RUN_MEAN_DIVISOR    8 /* the weight of a new value in the running mean is 1/8 */
#define INITIAL_RUN_NS      KCP_NS_PER_S
#define URGENT_EXTRA_SLOTS  4       /* above the limit, for urgent requests only */
#define UNLIMITED           1000000 /* requests in flight */
#define IMPORTANCE_COST_NS  (5 * KCP_NS_PER_MS) /* per point, if prefer_less_important */
#define ANSWER_WORK_TOKENS  500 /* work of generating an answer, in prompt tokens */

static const struct kcp_concurrency_limit_settings limit_settings = {
  .min = 4,
  .max = 64,
};

/* Argument of find_engine(): the VM, and the engine that was found. */
struct search
{
  struct fake_vm *vm;
  int engine;
};

static void init_state (struct fake_vm *vm);
static void free_state (struct fake_vm *vm);
static void queue_job (struct fake_vm *vm, struct job *job);
static void dispatch_waiting (struct fake_vm *vm);
static bool find_engine (void *user, struct kcp_admission_item *item);
static int choose_engine (struct fake_vm *vm, const struct job *job);
static int choose_by_placement (struct fake_vm *vm, const struct job *job);
static size_t
list_eligible (const struct fake_vm *vm, const struct job *job, unsigned *engines);
static bool may_run_suspect (const struct fake_vm *vm, const struct fake_engine *engine);
static struct kcp_placement_candidate
make_candidate (struct fake_vm *vm, const struct job *job, unsigned index,
                int64_t leading_blocks);
static void
count_leading_blocks (struct fake_vm *vm, const struct job *job, const unsigned *engines,
                      size_t count, int64_t *leading_blocks);
static int64_t count_in_flight (const struct fake_vm *vm, unsigned index);
static void dispatch (struct fake_vm *vm, struct job *job, unsigned index);
static void deliver_to_engine (void *user, void *arg);
static void end_attempt (struct job *job);
static void fail_attempt (struct job *job, enum kcp_retry_progress progress);
static void end_job (struct job *job, enum job_outcome outcome);
static void refuse (struct fake_vm *vm, struct job *job, int64_t retry_after_s);
static void preempt (struct fake_vm *vm, const struct job *urgent);
static void shed_less_important (struct fake_vm *vm, const struct job *job);
static struct kcp_admission_now current_times (const struct fake_vm *vm);
static struct job *job_from_item (struct kcp_admission_item *item);

/* Creates a VM that has received no report or cache event yet. */
struct fake_vm *
fake_vm_new (struct world *world, unsigned index, unsigned data_center)
{
  struct fake_vm *vm = g_new0 (struct fake_vm, 1);

  vm->world = world;
  vm->index = index;
  vm->data_center = data_center;
  vm->jobs = g_ptr_array_new ();
  vm->admission = kcp_admission_new ();
  vm->quarantine = kcp_quarantine_new (QUARANTINE_ENTRIES, QUARANTINE_NS);
  init_state (vm);
  return vm;
}

/* Frees the VM. */
void
fake_vm_free (struct fake_vm *vm)
{
  free_state (vm);
  kcp_admission_free (vm->admission);
  kcp_quarantine_free (vm->quarantine);
  g_ptr_array_unref (vm->jobs);
  g_free (vm);
}

/* Restarts the VM: it loses its cache index, load reports, concurrency limits, retry
   budgets and mean run times. Requests that it has accepted are still completed. */
void
fake_vm_restart (struct fake_vm *vm)
{
  free_state (vm);
  init_state (vm);
}

/* Accepts a request from a caller. */
void
fake_vm_submit (struct fake_vm *vm, struct job *job)
{
  job->vm = vm;
  g_ptr_array_add (vm->jobs, job);
  for (unsigned i = 0; i < DATA_CENTERS; i++)
    kcp_retry_budget_add_request (&vm->budgets[i]);
  if (kcp_quarantine_state (vm->quarantine, job->fingerprint, sim_now (vm->world->sim))
      == KCP_QUARANTINE_BLOCKED)
    end_job (job, JOB_BLOCKED);
  else
    queue_job (vm, job);
}

/* Ends requests whose deadline has passed and dispatches waiting ones. */
void
fake_vm_tick (struct fake_vm *vm)
{
  int64_t now_ns = sim_now (vm->world->sim);

  for (guint i = vm->jobs->len; i > 0; i--)
    {
      struct job *job = g_ptr_array_index (vm->jobs, i - 1);

      if (job->deadline_ns >= now_ns)
        continue;
      if (job->engine != NULL && job->epoch == job->engine->epoch)
        fake_engine_cancel (job->engine, job);
      end_job (job, JOB_TIMED_OUT);
    }
  dispatch_waiting (vm);
}

/* Applies new quarantine facts to the requests of the VM: cancels those that are blocked
   now, and cancels and queues again those that have to wait because another copy of a
   suspect runs, unless they have produced a token. */
void
fake_vm_apply_quarantine (struct fake_vm *vm)
{
  int64_t now_ns = sim_now (vm->world->sim);

  for (guint i = vm->jobs->len; i > 0; i--)
    {
      struct job *job = g_ptr_array_index (vm->jobs, i - 1);
      bool blocked = kcp_quarantine_state (vm->quarantine, job->fingerprint, now_ns)
                     == KCP_QUARANTINE_BLOCKED;

      if (!blocked
          && (job->engine_reserved || !job->in_flight || job->first_token_ns > 0
              || !kcp_quarantine_must_wait (vm->quarantine, job->fingerprint, now_ns)))
        continue;
      if (job->engine != NULL && job->epoch == job->engine->epoch)
        fake_engine_cancel (job->engine, job);
      end_attempt (job);
      if (blocked)
        end_job (job, JOB_BLOCKED);
      else
        queue_job (vm, job);
    }
}

/* Processes a load report. */
void
fake_vm_on_report (struct fake_vm *vm, const struct fake_engine *engine,
                   const struct engine_report *report)
{
  struct engine_view *view = &vm->views[engine->index];

  view->report = *report;
  view->report_ns = sim_now (vm->world->sim);
  view->sent_tokens = 0;
  view->started_since_report = 0;
  view->ended_since_report = 0;
  view->dead = false;
  if (!vm->world->run.variant.fixed_limit)
    kcp_concurrency_limit_observe (&view->limit, &limit_settings,
                                   &(struct kcp_concurrency_limit_report){
                                       .in_flight = report->running + report->waiting,
                                       .waiting = report->waiting,
                                   });
  dispatch_waiting (vm);
}

/* Applies cache events to the cache index. A gap in the sequence numbers, which shows
   that events were lost, clears the engine's entries only if reset_on_gap is set. */
void
fake_vm_on_events (struct fake_vm *vm, const struct fake_engine *engine,
                   uint64_t incarnation, const GArray *events)
{
  struct engine_view *view = &vm->views[engine->index];
  kcp_cache_index_slot slot;

  if (incarnation != engine->incarnation)
    return;
  if (view->incarnation != incarnation)
    {
      view->incarnation = incarnation;
      view->next_seq = 0;
    }
  if (!kcp_cache_index_find_slot (vm->cache_index, engine->hash, incarnation, &slot))
    return;
  for (guint i = 0; i < events->len; i++)
    {
      const struct cache_event *event = &g_array_index (events, struct cache_event, i);

      if (event->seq < view->next_seq)
        continue;
      if (event->seq != view->next_seq && vm->world->run.variant.reset_on_gap)
        kcp_cache_index_reset (vm->cache_index, slot);
      view->next_seq = event->seq + 1;
      if (event->stored)
        kcp_cache_index_add (vm->cache_index, slot, event->block);
      else
        kcp_cache_index_remove (vm->cache_index, slot, event->block);
    }
}

/* Records the first token of a request's current attempt. */
void
fake_vm_on_first_token (struct job *job)
{
  struct fake_vm *vm = job->vm;
  struct fake_engine *engine = job->engine;
  int64_t now_ns = sim_now (vm->world->sim);
  kcp_cache_index_slot slot;

  if (job->first_token_ns == 0)
    job->first_token_ns = now_ns;
  if (!vm->world->run.variant.no_index_at_first_token
      && kcp_cache_index_find_slot (vm->cache_index, engine->hash, engine->incarnation,
                                    &slot))
    kcp_cache_index_add_chain (vm->cache_index, slot, job->chain, job->blocks);
}

/* Handles the end of a request's current attempt. complete is false if the engine
   crashed. */
void
fake_vm_on_attempt_end (struct job *job, bool complete)
{
  struct fake_vm *vm = job->vm;
  int64_t now_ns = sim_now (vm->world->sim);

  if (job->outcome != JOB_IN_PROGRESS)
    return;
  if (complete)
    {
      int64_t *run_ns = &vm->run_ns[job->class];

      *run_ns += (now_ns - job->dispatched_ns - *run_ns) / RUN_MEAN_DIVISOR;
      kcp_quarantine_add_completion (vm->quarantine, job->fingerprint, now_ns);
      end_job (job, JOB_ANSWERED);
      return;
    }
  kcp_quarantine_add_crash (vm->quarantine, job->fingerprint, job->engine->incarnation,
                            now_ns);
  world_broadcast_quarantine (vm->world, vm);
  vm->views[job->engine->index].dead = true;
  fail_attempt (job, job->generated_tokens > 0 ? KCP_RETRY_FORWARDED : KCP_RETRY_SENT);
}

static void
init_state (struct fake_vm *vm)
{
  vm->cache_index = kcp_cache_index_new (CACHE_INDEX_ENTRIES);
  for (unsigned i = 0; i < WORLD_ENGINES_MAX; i++)
    {
      vm->views[i] = (struct engine_view){ .own_in_flight = vm->views[i].own_in_flight };
      kcp_concurrency_limit_init (&vm->views[i].limit, &limit_settings);
    }
  for (unsigned i = 0; i < DATA_CENTERS; i++)
    kcp_retry_budget_init (&vm->budgets[i], RETRY_PERCENT);
  for (int i = 0; i < KCP_CLASSES; i++)
    vm->run_ns[i] = INITIAL_RUN_NS;
}

static void
free_state (struct fake_vm *vm)
{
  kcp_cache_index_free (vm->cache_index);
}

static void
queue_job (struct fake_vm *vm, struct job *job)
{
  struct kcp_admission_now now = current_times (vm);
  struct kcp_admission_verdict verdict;
  enum bench_policy policy = vm->world->run.policy;

  if (policy != BENCH_KINGCUPPOINT && policy != BENCH_ORACLE)
    {
      int engine = choose_engine (vm, job);

      if (engine == KCP_PLACEMENT_NONE)
        end_job (job, JOB_FAILED);
      else
        dispatch (vm, job, (unsigned)engine);
      return;
    }
  job->item = (struct kcp_admission_item){
    .pool = job->data_centers,
    .class = job->class,
    .team = vm->world->run.variant.single_queue ? 0 : job->team,
    .share = 1,
    .importance = job->importance,
    .work
    = ANSWER_WORK_TOKENS + job->prompt_tokens - (int64_t)job->blocks * KCP_BLOCK_TOKENS,
    .deadline_ns = job->deadline_ns,
    .run_ns = vm->run_ns[job->class],
    .fingerprint = vm->world->run.variant.no_reservations ? 0 : job->fingerprint,
  };
  if (vm->world->run.variant.shed_least_important)
    shed_less_important (vm, job);
  verdict = kcp_admission_offer (vm->admission, &job->item, &now);
  if (!verdict.queued)
    refuse (vm, job, verdict.retry_after_s);
  else
    dispatch_waiting (vm);
  if (job->outcome == JOB_IN_PROGRESS && job->item.position != NULL
      && job->class == KCP_CLASS_URGENT)
    preempt (vm, job);
}

static void
dispatch_waiting (struct fake_vm *vm)
{
  struct search search = { .vm = vm };
  int64_t now_ns = sim_now (vm->world->sim);
  struct kcp_admission_now now = current_times (vm);
  struct kcp_admission_item *item;

  for (unsigned i = 0; i < WORLD_ENGINES_MAX; i++)
    vm->views[i].waiting_requests = 0;
  while ((item = kcp_admission_expired (vm->admission, now_ns)) != NULL)
    refuse (vm, job_from_item (item),
            kcp_admission_retry_after_s (vm->admission, item, &now));
  while ((item = kcp_admission_next (vm->admission, find_engine, &search, now_ns))
         != NULL)
    dispatch (vm, job_from_item (item), (unsigned)search.engine);
}

static bool
find_engine (void *user, struct kcp_admission_item *item)
{
  struct search *search = user;

  search->engine = choose_engine (search->vm, job_from_item (item));
  return search->engine != KCP_PLACEMENT_NONE;
}

static int
choose_engine (struct fake_vm *vm, const struct job *job)
{
  unsigned engines[WORLD_ENGINES_MAX];
  size_t count = list_eligible (vm, job, engines);
  unsigned best = 0;

  if (count == 0)
    return KCP_PLACEMENT_NONE;
  switch (vm->world->run.policy)
    {
    case BENCH_RANDOM:
      return (
          int)engines[g_rand_int_range (sim_noise (vm->world->sim), 0, (gint32)count)];
    case BENCH_LEAST_LOADED:
      for (unsigned i = 1; i < count; i++)
        if (count_in_flight (vm, engines[i]) < count_in_flight (vm, engines[best]))
          best = i;
      return (int)engines[best];
    case BENCH_PREFIX_HASH:
      for (unsigned i = 1; i < count; i++)
        if (kcp_placement_rank (job->chain[job->blocks - 1],
                                vm->world->engines[engines[i]]->hash)
            > kcp_placement_rank (job->chain[job->blocks - 1],
                                  vm->world->engines[engines[best]]->hash))
          best = i;
      return (int)engines[best];
    case BENCH_KINGCUPPOINT:
    case BENCH_ORACLE:
    case BENCH_POLICY_COUNT:
      break;
    }
  return choose_by_placement (vm, job);
}

static int
choose_by_placement (struct fake_vm *vm, const struct job *job)
{
  const struct variant *variant = &vm->world->run.variant;
  struct kcp_placement_costs costs = kcp_placement_standard_costs;
  struct kcp_placement_candidate candidates[WORLD_ENGINES_MAX];
  unsigned engines[WORLD_ENGINES_MAX];
  int64_t leading_blocks[WORLD_ENGINES_MAX];
  size_t count = list_eligible (vm, job, engines);
  struct kcp_placement_request request = {
    .prefix_head = job->blocks > 0 ? job->chain[job->blocks - 1] : job->fingerprint,
    .prompt_tokens = job->prompt_tokens,
    .urgent = job->class == KCP_CLASS_URGENT,
  };
  int best;

  if (variant->no_waste)
    costs.waste_percent = 0;
  if (variant->waste_rise_ms > 0)
    costs.waste_rise_ns = variant->waste_rise_ms * KCP_NS_PER_MS;
  if (variant->flat_waste)
    costs.waste_rise_ns = 0;
  if (variant->waste_percent > 0)
    costs.waste_percent = variant->waste_percent;
  if (variant->no_tolerance)
    costs.tolerance_ns = 0;
  if (variant->tolerance_ms > 0)
    costs.tolerance_ns = variant->tolerance_ms * KCP_NS_PER_MS;
  if (variant->rank_by_first_block && job->blocks > 0)
    request.prefix_head = job->chain[0];
  if (variant->max_waste_percent > 0)
    costs.waste_percent_max = variant->max_waste_percent;
  count_leading_blocks (vm, job, engines, count, leading_blocks);
  for (size_t i = 0; i < count; i++)
    candidates[i] = make_candidate (vm, job, engines[i], leading_blocks[i]);
  best = kcp_placement_choose (&request, candidates, count, &costs);
  if (best == KCP_PLACEMENT_NONE)
    return best;
  if (!kcp_placement_has_slot (&candidates[best]))
    {
      vm->views[engines[best]].waiting_requests++;
      return KCP_PLACEMENT_NONE;
    }
  return (int)engines[best];
}

static size_t
list_eligible (const struct fake_vm *vm, const struct job *job, unsigned *engines)
{
  const struct world *world = vm->world;
  bool suspect
      = kcp_quarantine_state (vm->quarantine, job->fingerprint, sim_now (world->sim))
        == KCP_QUARANTINE_SUSPECT;
  size_t count = 0;

  if (!world->run.variant.run_suspect_copies
      && kcp_quarantine_must_wait (vm->quarantine, job->fingerprint,
                                   sim_now (world->sim)))
    return 0;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    {
      const struct fake_engine *engine = world->engines[i];

      if (((job->data_centers >> engine->data_center) & 1u) == 0 || vm->views[i].dead
          || !world_can_reach (world, vm->data_center, engine->data_center))
        continue;
      if (suspect && !may_run_suspect (vm, engine))
        continue;
      engines[count++] = i;
    }
  return count;
}

/* Returns true if this VM may run a suspect on the engine. At most one suspect runs on an
   engine at a time, and only the VM that is responsible for the engine runs it there,
   unless suspects_on_any_engine is set. Unlike in the router, a VM that is responsible
   for no engine runs no suspects. */
static bool
may_run_suspect (const struct fake_vm *vm, const struct fake_engine *engine)
{
  const struct world *world = vm->world;
  uint64_t vms[WORKLOAD_VMS];

  for (unsigned i = 0; i < world->vm_count; i++)
    vms[i] = i + 1;
  return !kcp_quarantine_has_suspect (vm->quarantine, engine->hash)
         && (world->run.variant.suspects_on_any_engine
             || kcp_quarantine_is_responsible (engine->hash, vms, world->vm_count,
                                               vm->index));
}

static struct kcp_placement_candidate
make_candidate (struct fake_vm *vm, const struct job *job, unsigned index,
                int64_t leading_blocks)
{
  const struct world *world = vm->world;
  const struct engine_view *view = &vm->views[index];
  struct fake_engine *engine = world->engines[index];
  bool oracle = world->run.policy == BENCH_ORACLE;
  struct engine_report report = oracle ? fake_engine_report (engine) : view->report;
  int64_t limit = (int64_t)view->limit.value
                  + (job->class == KCP_CLASS_URGENT ? URGENT_EXTRA_SLOTS : 0);
  int64_t in_flight = count_in_flight (vm, index);
  int64_t importance_ns = 0;
  int64_t slot_ns = vm->run_ns[job->class] / (view->own_in_flight + 1);

  if (world->run.variant.prefer_less_important)
    importance_ns = report.importance * IMPORTANCE_COST_NS;
  if (world->run.variant.no_limit)
    limit = UNLIMITED;
  return (struct kcp_placement_candidate){
    .hash = engine->hash,
    .queued_tokens = report.waiting_tokens,
    .report_age_ns = oracle ? 0 : sim_now (world->sim) - view->report_ns,
    .sent_tokens = oracle ? 0 : view->sent_tokens,
    .in_flight = in_flight,
    .limit = limit,
    .slot_wait_ns
    = (in_flight < limit ? 0 : (view->waiting_requests + 1) * slot_ns) + importance_ns,
    .cached_tokens = MIN (leading_blocks * KCP_BLOCK_TOKENS, job->prompt_tokens),
    .transfer_ns = world_round_trip_ns (world, vm->data_center, engine->data_center),
  };
}

static void
count_leading_blocks (struct fake_vm *vm, const struct job *job, const unsigned *engines,
                      size_t count, int64_t *leading_blocks)
{
  kcp_cache_index_slot slots[WORLD_ENGINES_MAX];

  memset (leading_blocks, 0, count * sizeof *leading_blocks);
  if (vm->world->run.variant.no_cache_index)
    return;
  for (size_t i = 0; i < count; i++)
    {
      const struct fake_engine *engine = vm->world->engines[engines[i]];

      if (vm->world->run.policy == BENCH_ORACLE)
        leading_blocks[i]
            = fake_engine_count_cached_tokens (engine, job) / KCP_BLOCK_TOKENS;
      else
        (void)kcp_cache_index_find_slot (vm->cache_index, engine->hash,
                                         engine->incarnation, &slots[i]);
    }
  if (vm->world->run.policy != BENCH_ORACLE)
    kcp_cache_index_count_leading (vm->cache_index, job->chain, job->blocks, slots, count,
                                   leading_blocks);
}

static int64_t
count_in_flight (const struct fake_vm *vm, unsigned index)
{
  const struct engine_view *view = &vm->views[index];
  int64_t own_since_report = view->started_since_report - view->ended_since_report;
  int64_t total = view->report.running + view->report.waiting
                  + (own_since_report > 0 && vm->world->run.variant.assume_equal_peers
                         ? own_since_report * WORKLOAD_VMS
                         : own_since_report);

  if (vm->world->run.policy == BENCH_ORACLE)
    return (int64_t)vm->world->engines[index]->batch->len
           + vm->world->engines[index]->waiting->len;
  return MAX (total, 0);
}

static void
dispatch (struct fake_vm *vm, struct job *job, unsigned index)
{
  struct world *world = vm->world;
  struct fake_engine *engine = world->engines[index];
  struct engine_view *view = &vm->views[index];
  kcp_cache_index_slot slot;
  int64_t leading_blocks;

  count_leading_blocks (vm, job, &index, 1, &leading_blocks);
  job->engine = engine;
  job->epoch = engine->epoch;
  job->dispatched_ns = sim_now (world->sim);
  job->sent_tokens = job->prompt_tokens - leading_blocks * KCP_BLOCK_TOKENS;
  world->attempts_sent++;
  world->retries += job->attempts > 0;
  job->attempts++;
  job->in_flight = true;
  view->sent_tokens += job->sent_tokens;
  if (!world->run.variant.index_at_first_token
      && kcp_cache_index_find_slot (vm->cache_index, engine->hash, engine->incarnation,
                                    &slot))
    kcp_cache_index_add_chain (vm->cache_index, slot, job->chain, job->blocks);
  view->started_since_report++;
  view->own_in_flight++;
  job->engine_reserved
      = kcp_quarantine_state (vm->quarantine, job->fingerprint, job->dispatched_ns)
            == KCP_QUARANTINE_SUSPECT
        && kcp_quarantine_reserve_server (vm->quarantine, engine->hash);
  sim_schedule (world->sim,
                world_round_trip_ns (world, vm->data_center, engine->data_center),
                deliver_to_engine, engine, job);
}

static void
deliver_to_engine (void *user, void *arg)
{
  struct fake_engine *engine = user;
  struct job *job = arg;

  if (job->outcome != JOB_IN_PROGRESS || !job->in_flight)
    return;
  if (engine->up)
    {
      fake_engine_send (engine, job);
      return;
    }
  job->vm->views[engine->index].dead = true;
  fail_attempt (job, KCP_RETRY_UNSENT);
}

static void
end_attempt (struct job *job)
{
  struct fake_vm *vm = job->vm;

  if (!job->in_flight || job->engine == NULL)
    return;
  job->in_flight = false;
  vm->views[job->engine->index].ended_since_report++;
  vm->views[job->engine->index].own_in_flight--;
  if (job->engine_reserved)
    kcp_quarantine_release_server (vm->quarantine, job->engine->hash);
  job->engine_reserved = false;
}

static void
fail_attempt (struct job *job, enum kcp_retry_progress progress)
{
  struct fake_vm *vm = job->vm;
  int64_t now_ns = sim_now (vm->world->sim);
  struct kcp_retry_facts facts = {
    .repeatable = true,
    .progress = progress,
    .attempts = job->attempts,
    .remaining_ns = job->deadline_ns - now_ns,
  };
  struct kcp_retry_budget *budget = &vm->budgets[job->engine->data_center];
  struct kcp_retry_budget unlimited;

  kcp_retry_budget_init (&unlimited, 100);
  if (vm->world->run.variant.unlimited_retries)
    budget = &unlimited;
  end_attempt (job);
  if (kcp_quarantine_state (vm->quarantine, job->fingerprint, now_ns)
      == KCP_QUARANTINE_BLOCKED)
    end_job (job, JOB_BLOCKED);
  else if (kcp_retry_decide (&facts, budget) == KCP_RETRY_GIVE_UP)
    end_job (job, JOB_FAILED);
  else
    queue_job (vm, job);
}

static void
end_job (struct job *job, enum job_outcome outcome)
{
  struct fake_vm *vm = job->vm;
  int64_t now_ns = sim_now (vm->world->sim);

  job->outcome = outcome;
  job->ended_ns = now_ns;
  end_attempt (job);
  kcp_admission_remove (vm->admission, &job->item, now_ns);
  g_ptr_array_remove_fast (vm->jobs, job);
  if (outcome == JOB_ANSWERED || outcome == JOB_TIMED_OUT)
    dispatch_waiting (vm);
}

static void
refuse (struct fake_vm *vm, struct job *job, int64_t retry_after_s)
{
  job->retry_after_s = retry_after_s;
  end_job (job, JOB_REFUSED);
  world_resubmit (vm->world, job, retry_after_s);
}

/* Preempts the least important normal request in flight, in favor of an urgent one that
   found no slot. Only for the variants preempt_unstarted and preempt_any. */
static void
preempt (struct fake_vm *vm, const struct job *urgent)
{
  const struct variant *variant = &vm->world->run.variant;
  struct job *victim = NULL;

  if (!variant->preempt_unstarted && !variant->preempt_any)
    return;
  for (guint i = 0; i < vm->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (vm->jobs, i);

      if (job->class == KCP_CLASS_URGENT || !job->at_engine
          || (job->first_token_ns > 0 && !variant->preempt_any)
          || ((urgent->data_centers >> job->engine->data_center) & 1u) == 0)
        continue;
      if (victim == NULL || job->importance < victim->importance)
        victim = job;
    }
  if (victim == NULL)
    return;
  fake_engine_cancel (victim->engine, victim);
  end_attempt (victim);
  queue_job (vm, victim);
  dispatch_waiting (vm);
}

/* If a request would be refused, refuses the least important waiting request of its class
   instead, provided that it is less important. For the variant shed_least_important. */
static void
shed_less_important (struct fake_vm *vm, const struct job *job)
{
  struct kcp_admission_now now = current_times (vm);
  struct job *victim = NULL;

  if (kcp_admission_would_queue (vm->admission, &job->item, &now))
    return;
  for (guint i = 0; i < vm->jobs->len; i++)
    {
      struct job *other = g_ptr_array_index (vm->jobs, i);

      if (other->item.position == NULL
          || other->class != job->class || other->importance >= job->importance)
        continue;
      if (victim == NULL || other->importance < victim->importance)
        victim = other;
    }
  if (victim == NULL)
    return;
  kcp_admission_remove (vm->admission, &victim->item, now.monotonic_ns);
  refuse (vm, victim, kcp_admission_retry_after_s (vm->admission, &victim->item, &now));
}

static struct kcp_admission_now
current_times (const struct fake_vm *vm)
{
  int64_t now_ns = sim_now (vm->world->sim);

  return (struct kcp_admission_now){ now_ns, now_ns / KCP_NS_PER_MS };
}

static struct job *
job_from_item (struct kcp_admission_item *item)
{
  return (struct job *)(void *)((char *)item - G_STRUCT_OFFSET (struct job, item));
}
