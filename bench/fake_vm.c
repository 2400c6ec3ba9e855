#include "bench/fake_vm.h"

#include <string.h>

#include "base/clock.h"
#include "policy/prefix.h"

#define BELIEF_ENTRIES     65536
#define QUARANTINE_ENTRIES 4096
#define QUARANTINE_NS      (3600 * KCP_NS_PER_S)
#define RETRY_PERCENT      10
#define RUN_WEIGHT         8 /* a new answer counts one part in so many */
#define RUN_FIRST_NS       KCP_NS_PER_S
#define URGENT_EXTRA       4 /* places above the limit that are kept for urgent work */
#define UNLIMITED          1000000
#define IMPORTANCE_NS      (5 * KCP_NS_PER_MS) /* for one point of it, in a variant */
#define WORK_PER_ANSWER    500 /* prompt tokens that an answer's work counts for */

static const struct kcp_concurrency_limit_settings limit_settings = {
  .min = 4,
  .max = 64,
};

/* One try to find a place: the VM, and the engine found. */
struct search
{
  struct fake_vm *vm;
  int engine;
};

static void init_facts (struct fake_vm *vm);
static void free_facts (struct fake_vm *vm);
static void queue_job (struct fake_vm *vm, struct job *job);
static void pump (struct fake_vm *vm);
static bool fits (void *user, struct kcp_admission_item *item);
static int choose (struct fake_vm *vm, const struct job *job);
static int choose_placed (struct fake_vm *vm, const struct job *job);
static size_t
list_usable (const struct fake_vm *vm, const struct job *job, unsigned *engines);
static bool may_run_suspect (const struct fake_vm *vm, const struct fake_engine *engine);
static struct kcp_placement_candidate
make_candidate (struct fake_vm *vm, const struct job *job, unsigned number,
                int64_t leading);
static void find_leading (struct fake_vm *vm, const struct job *job,
                          const unsigned *engines, size_t count, int64_t *leading);
static int64_t engine_in_flight (const struct fake_vm *vm, unsigned number);
static void dispatch (struct fake_vm *vm, struct job *job, unsigned number);
static void reach_engine (void *user, void *subject);
static void end_attempt (struct job *job);
static void fail_attempt (struct job *job, enum kcp_retry_progress progress);
static void end_job (struct job *job, enum job_end end);
static void refuse (struct fake_vm *vm, struct job *job, int64_t retry_after_s);
static void displace (struct fake_vm *vm, const struct job *urgent);
static void shed_for (struct fake_vm *vm, const struct job *job);
static struct kcp_admission_now now_of (const struct fake_vm *vm);
static struct job *job_of (struct kcp_admission_item *item);

/* Makes a VM that knows nothing yet. */
struct fake_vm *
fake_vm_new (struct world *world, unsigned number, unsigned data_center)
{
  struct fake_vm *vm = g_new0 (struct fake_vm, 1);

  vm->world = world;
  vm->number = number;
  vm->data_center = data_center;
  vm->open = g_ptr_array_new ();
  vm->admission = kcp_admission_new ();
  vm->quarantine = kcp_quarantine_new (QUARANTINE_ENTRIES, QUARANTINE_NS);
  init_facts (vm);
  return vm;
}

/* Frees the VM. */
void
fake_vm_free (struct fake_vm *vm)
{
  free_facts (vm);
  kcp_admission_free (vm->admission);
  kcp_quarantine_free (vm->quarantine);
  g_ptr_array_unref (vm->open);
  g_free (vm);
}

/* Replaces the process by a new one that knows nothing; the old one ends its requests. */
void
fake_vm_restart (struct fake_vm *vm)
{
  free_facts (vm);
  init_facts (vm);
}

/* Takes a caller's request. */
void
fake_vm_take (struct fake_vm *vm, struct job *job)
{
  job->vm = vm;
  g_ptr_array_add (vm->open, job);
  for (unsigned i = 0; i < DATA_CENTERS; i++)
    kcp_retry_budget_add_request (&vm->budgets[i]);
  if (kcp_quarantine_state (vm->quarantine, job->fingerprint, sim_now (vm->world->sim))
      == KCP_QUARANTINE_BLOCKED)
    end_job (job, JOB_BLOCKED);
  else
    queue_job (vm, job);
}

/* Ends what is past its deadline, and starts what has a place. */
void
fake_vm_tick (struct fake_vm *vm)
{
  int64_t now_ns = sim_now (vm->world->sim);

  for (guint i = vm->open->len; i > 0; i--)
    {
      struct job *job = g_ptr_array_index (vm->open, i - 1);

      if (job->deadline_ns >= now_ns)
        continue;
      if (job->engine != NULL && job->epoch == job->engine->epoch)
        fake_engine_cancel (job->engine, job);
      end_job (job, JOB_LATE);
    }
  pump (vm);
}

/* Takes back the requests in flight that have become blocked, and copies of suspects that
   have no token yet. */
void
fake_vm_withdraw (struct fake_vm *vm)
{
  int64_t now_ns = sim_now (vm->world->sim);

  for (guint i = vm->open->len; i > 0; i--)
    {
      struct job *job = g_ptr_array_index (vm->open, i - 1);
      bool blocked = kcp_quarantine_state (vm->quarantine, job->fingerprint, now_ns)
                     == KCP_QUARANTINE_BLOCKED;

      if (!blocked
          && (job->held || !job->in_flight || job->first_token_ns > 0
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

/* Takes in a load report. */
void
fake_vm_report (struct fake_vm *vm, const struct fake_engine *engine,
                const struct engine_report *report)
{
  struct engine_view *view = &vm->views[engine->number];

  view->report = *report;
  view->report_ns = sim_now (vm->world->sim);
  view->sent_tokens = 0;
  view->begun = 0;
  view->ended = 0;
  view->dead = false;
  if (!vm->world->run.variant.fixed_limit)
    kcp_concurrency_limit_observe (&view->limit, &limit_settings,
                                   &(struct kcp_concurrency_limit_report){
                                       .in_flight = report->running + report->waiting,
                                       .waiting = report->waiting,
                                   });
  pump (vm);
}

/* Takes in cache events; what went missing before one of them is a gap. */
void
fake_vm_events (struct fake_vm *vm, const struct fake_engine *engine,
                uint64_t incarnation, const GArray *events)
{
  struct engine_view *view = &vm->views[engine->number];
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

/* Takes in the first token of a request's present attempt. */
void
fake_vm_first_token (struct job *job)
{
  struct fake_vm *vm = job->vm;
  struct fake_engine *engine = job->engine;
  int64_t now_ns = sim_now (vm->world->sim);
  kcp_cache_index_slot slot;

  if (job->first_token_ns == 0)
    job->first_token_ns = now_ns;
  if (!vm->world->run.variant.no_learning
      && kcp_cache_index_find_slot (vm->cache_index, engine->hash, engine->incarnation,
                                    &slot))
    kcp_cache_index_add_chain (vm->cache_index, slot, job->chain, job->blocks);
}

/* Takes in the end of a request's present attempt. */
void
fake_vm_finished (struct job *job, bool whole)
{
  struct fake_vm *vm = job->vm;
  int64_t now_ns = sim_now (vm->world->sim);

  if (job->end != JOB_OPEN)
    return;
  if (whole)
    {
      int64_t *run_ns = &vm->run_ns[job->class];

      *run_ns += (now_ns - job->dispatched_ns - *run_ns) / RUN_WEIGHT;
      kcp_quarantine_add_completion (vm->quarantine, job->fingerprint, now_ns);
      end_job (job, JOB_ANSWERED);
      return;
    }
  kcp_quarantine_add_crash (vm->quarantine, job->fingerprint, job->engine->incarnation,
                            now_ns);
  world_spread_quarantine (vm->world, vm);
  vm->views[job->engine->number].dead = true;
  fail_attempt (job, job->generated > 0 ? KCP_RETRY_FORWARDED : KCP_RETRY_SENT);
}

static void
init_facts (struct fake_vm *vm)
{
  vm->cache_index = kcp_cache_index_new (BELIEF_ENTRIES);
  for (unsigned i = 0; i < WORLD_ENGINES_MAX; i++)
    {
      vm->views[i] = (struct engine_view){ .own = vm->views[i].own };
      kcp_concurrency_limit_init (&vm->views[i].limit, &limit_settings);
    }
  for (unsigned i = 0; i < DATA_CENTERS; i++)
    kcp_retry_budget_init (&vm->budgets[i], RETRY_PERCENT);
  for (int i = 0; i < KCP_CLASSES; i++)
    vm->run_ns[i] = RUN_FIRST_NS;
}

static void
free_facts (struct fake_vm *vm)
{
  kcp_cache_index_free (vm->cache_index);
}

static void
queue_job (struct fake_vm *vm, struct job *job)
{
  struct kcp_admission_now now = now_of (vm);
  struct kcp_admission_verdict verdict;
  enum bench_policy policy = vm->world->run.policy;

  if (policy != BENCH_KINGCUPPOINT && policy != BENCH_ALL_KNOWING)
    {
      int engine = choose (vm, job);

      if (engine == KCP_PLACEMENT_NONE)
        end_job (job, JOB_FAILED);
      else
        dispatch (vm, job, (unsigned)engine);
      return;
    }
  job->item = (struct kcp_admission_item){
    .pool = job->data_centers,
    .class = job->class,
    .team = vm->world->run.variant.one_queue ? 0 : job->team,
    .share = 1,
    .importance = job->importance,
    .work
    = WORK_PER_ANSWER + job->prompt_tokens - (int64_t)job->blocks * KCP_BLOCK_TOKENS,
    .deadline_ns = job->deadline_ns,
    .run_ns = vm->run_ns[job->class],
    .fingerprint = vm->world->run.variant.fifo_promises ? 0 : job->fingerprint,
  };
  if (vm->world->run.variant.shed_importance)
    shed_for (vm, job);
  verdict = kcp_admission_offer (vm->admission, &job->item, &now);
  if (!verdict.queued)
    refuse (vm, job, verdict.retry_after_s);
  else
    pump (vm);
  if (job->end == JOB_OPEN && job->item.position != NULL
      && job->class == KCP_CLASS_URGENT)
    displace (vm, job);
}

static void
pump (struct fake_vm *vm)
{
  struct search search = { .vm = vm };
  int64_t now_ns = sim_now (vm->world->sim);
  struct kcp_admission_now now = now_of (vm);
  struct kcp_admission_item *item;

  for (unsigned i = 0; i < WORLD_ENGINES_MAX; i++)
    vm->views[i].held = 0;
  while ((item = kcp_admission_expired (vm->admission, now_ns)) != NULL)
    refuse (vm, job_of (item), kcp_admission_retry_after_s (vm->admission, item, &now));
  while ((item = kcp_admission_next (vm->admission, fits, &search, now_ns)) != NULL)
    dispatch (vm, job_of (item), (unsigned)search.engine);
}

static bool
fits (void *user, struct kcp_admission_item *item)
{
  struct search *search = user;

  search->engine = choose (search->vm, job_of (item));
  return search->engine != KCP_PLACEMENT_NONE;
}

static int
choose (struct fake_vm *vm, const struct job *job)
{
  unsigned engines[WORLD_ENGINES_MAX];
  size_t count = list_usable (vm, job, engines);
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
        if (engine_in_flight (vm, engines[i]) < engine_in_flight (vm, engines[best]))
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
    case BENCH_ALL_KNOWING:
    case BENCH_POLICIES:
      break;
    }
  return choose_placed (vm, job);
}

static int
choose_placed (struct fake_vm *vm, const struct job *job)
{
  const struct variant *variant = &vm->world->run.variant;
  struct kcp_placement_costs used = kcp_placement_standard_costs;
  struct kcp_placement_candidate candidates[WORLD_ENGINES_MAX];
  unsigned engines[WORLD_ENGINES_MAX];
  int64_t leading[WORLD_ENGINES_MAX];
  size_t count = list_usable (vm, job, engines);
  struct kcp_placement_request request = {
    .prefix_head = job->blocks > 0 ? job->chain[job->blocks - 1] : job->fingerprint,
    .prompt_tokens = job->prompt_tokens,
    .urgent = job->class == KCP_CLASS_URGENT,
  };
  int chosen;

  if (variant->no_waste)
    used.waste_percent = 0;
  if (variant->waste_rise_ms > 0)
    used.waste_rise_ns = variant->waste_rise_ms * KCP_NS_PER_MS;
  if (variant->flat_waste)
    used.waste_rise_ns = 0;
  if (variant->waste_percent > 0)
    used.waste_percent = variant->waste_percent;
  if (variant->no_tolerance)
    used.tolerance_ns = 0;
  if (variant->tolerance_ms > 0)
    used.tolerance_ns = variant->tolerance_ms * KCP_NS_PER_MS;
  if (variant->head_first && job->blocks > 0)
    request.prefix_head = job->chain[0];
  if (variant->waste_max > 0)
    used.waste_percent_max = variant->waste_max;
  find_leading (vm, job, engines, count, leading);
  for (size_t i = 0; i < count; i++)
    candidates[i] = make_candidate (vm, job, engines[i], leading[i]);
  chosen = kcp_placement_choose (&request, candidates, count, &used);
  if (chosen == KCP_PLACEMENT_NONE)
    return chosen;
  if (!kcp_placement_has_slot (&candidates[chosen]))
    {
      vm->views[engines[chosen]].held++;
      return KCP_PLACEMENT_NONE;
    }
  return (int)engines[chosen];
}

static size_t
list_usable (const struct fake_vm *vm, const struct job *job, unsigned *engines)
{
  const struct world *world = vm->world;
  bool suspect
      = kcp_quarantine_state (vm->quarantine, job->fingerprint, sim_now (world->sim))
        == KCP_QUARANTINE_SUSPECT;
  size_t count = 0;

  if (!world->run.variant.copies_run
      && kcp_quarantine_must_wait (vm->quarantine, job->fingerprint,
                                   sim_now (world->sim)))
    return 0;
  for (unsigned i = 0; i < world->run.deployment->engines; i++)
    {
      const struct fake_engine *engine = world->engines[i];

      if (((job->data_centers >> engine->data_center) & 1u) == 0 || vm->views[i].dead
          || !world_reaches (world, vm->data_center, engine->data_center))
        continue;
      if (suspect && !may_run_suspect (vm, engine))
        continue;
      engines[count++] = i;
    }
  return count;
}

/* Suspects run on the servers that this VM is home of; a VM that is home of none uses
   the one that its number names. */
static bool
may_run_suspect (const struct fake_vm *vm, const struct fake_engine *engine)
{
  const struct world *world = vm->world;
  uint64_t vms[WORKLOAD_VMS];

  for (unsigned i = 0; i < world->vm_count; i++)
    vms[i] = i + 1;
  return !kcp_quarantine_has_suspect (vm->quarantine, engine->hash)
         && (world->run.variant.shared_suspects
             || kcp_quarantine_is_responsible (engine->hash, vms, world->vm_count,
                                               vm->number));
}

static struct kcp_placement_candidate
make_candidate (struct fake_vm *vm, const struct job *job, unsigned number,
                int64_t leading)
{
  const struct world *world = vm->world;
  const struct engine_view *view = &vm->views[number];
  struct fake_engine *engine = world->engines[number];
  bool knows = world->run.policy == BENCH_ALL_KNOWING;
  struct engine_report report = knows ? fake_engine_report (engine) : view->report;
  int64_t limit
      = (int64_t)view->limit.value + (job->class == KCP_CLASS_URGENT ? URGENT_EXTRA : 0);
  int64_t in_flight = engine_in_flight (vm, number);
  int64_t importance_ns = 0;
  int64_t place_ns = vm->run_ns[job->class] / (view->own + 1);

  if (world->run.variant.place_importance)
    importance_ns = report.importance * IMPORTANCE_NS;
  if (world->run.variant.no_limit)
    limit = UNLIMITED;
  return (struct kcp_placement_candidate){
    .hash = engine->hash,
    .queued_tokens = report.waiting_tokens,
    .report_age_ns = knows ? 0 : sim_now (world->sim) - view->report_ns,
    .sent_tokens = knows ? 0 : view->sent_tokens,
    .in_flight = in_flight,
    .limit = limit,
    .slot_wait_ns = (in_flight < limit ? 0 : (view->held + 1) * place_ns) + importance_ns,
    .cached_tokens = MIN (leading * KCP_BLOCK_TOKENS, job->prompt_tokens),
    .transfer_ns = world_transfer_ns (world, vm->data_center, engine->data_center),
  };
}

static void
find_leading (struct fake_vm *vm, const struct job *job, const unsigned *engines,
              size_t count, int64_t *leading)
{
  kcp_cache_index_slot slots[WORLD_ENGINES_MAX];

  memset (leading, 0, count * sizeof *leading);
  if (vm->world->run.variant.no_beliefs)
    return;
  for (size_t i = 0; i < count; i++)
    {
      const struct fake_engine *engine = vm->world->engines[engines[i]];

      if (vm->world->run.policy == BENCH_ALL_KNOWING)
        leading[i] = fake_engine_leading (engine, job) / KCP_BLOCK_TOKENS;
      else
        (void)kcp_cache_index_find_slot (vm->cache_index, engine->hash,
                                         engine->incarnation, &slots[i]);
    }
  if (vm->world->run.policy != BENCH_ALL_KNOWING)
    kcp_cache_index_count_leading (vm->cache_index, job->chain, job->blocks, slots, count,
                                   leading);
}

static int64_t
engine_in_flight (const struct fake_vm *vm, unsigned number)
{
  const struct engine_view *view = &vm->views[number];
  int64_t own = view->begun - view->ended;
  int64_t known
      = view->report.running + view->report.waiting
        + (own > 0 && vm->world->run.variant.limit_others ? own * WORKLOAD_VMS : own);

  if (vm->world->run.policy == BENCH_ALL_KNOWING)
    return (int64_t)vm->world->engines[number]->batch->len
           + vm->world->engines[number]->waiting->len;
  return MAX (known, 0);
}

static void
dispatch (struct fake_vm *vm, struct job *job, unsigned number)
{
  struct world *world = vm->world;
  struct fake_engine *engine = world->engines[number];
  struct engine_view *view = &vm->views[number];
  kcp_cache_index_slot slot;
  int64_t leading;

  find_leading (vm, job, &number, 1, &leading);
  job->engine = engine;
  job->epoch = engine->epoch;
  job->dispatched_ns = sim_now (world->sim);
  job->sent_tokens = job->prompt_tokens - leading * KCP_BLOCK_TOKENS;
  world->sent++;
  world->retried += job->attempts > 0;
  job->attempts++;
  job->in_flight = true;
  view->sent_tokens += job->sent_tokens;
  if (!world->run.variant.learn_late
      && kcp_cache_index_find_slot (vm->cache_index, engine->hash, engine->incarnation,
                                    &slot))
    kcp_cache_index_add_chain (vm->cache_index, slot, job->chain, job->blocks);
  view->begun++;
  view->own++;
  job->held = kcp_quarantine_state (vm->quarantine, job->fingerprint, job->dispatched_ns)
                  == KCP_QUARANTINE_SUSPECT
              && kcp_quarantine_reserve_server (vm->quarantine, engine->hash);
  sim_after (world->sim, world_transfer_ns (world, vm->data_center, engine->data_center),
             reach_engine, engine, job);
}

static void
reach_engine (void *user, void *subject)
{
  struct fake_engine *engine = user;
  struct job *job = subject;

  if (job->end != JOB_OPEN || !job->in_flight)
    return;
  if (engine->up)
    {
      fake_engine_send (engine, job);
      return;
    }
  job->vm->views[engine->number].dead = true;
  fail_attempt (job, KCP_RETRY_UNSENT);
}

static void
end_attempt (struct job *job)
{
  struct fake_vm *vm = job->vm;

  if (!job->in_flight || job->engine == NULL)
    return;
  job->in_flight = false;
  vm->views[job->engine->number].ended++;
  vm->views[job->engine->number].own--;
  if (job->held)
    kcp_quarantine_release_server (vm->quarantine, job->engine->hash);
  job->held = false;
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
  struct kcp_retry_budget endless;

  kcp_retry_budget_init (&endless, 100);
  if (vm->world->run.variant.unlimited_retries)
    budget = &endless;
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
end_job (struct job *job, enum job_end end)
{
  struct fake_vm *vm = job->vm;
  int64_t now_ns = sim_now (vm->world->sim);

  job->end = end;
  job->ended_ns = now_ns;
  end_attempt (job);
  kcp_admission_remove (vm->admission, &job->item, now_ns);
  g_ptr_array_remove_fast (vm->open, job);
  if (end == JOB_ANSWERED || end == JOB_LATE)
    pump (vm);
}

static void
refuse (struct fake_vm *vm, struct job *job, int64_t retry_after_s)
{
  job->retry_after_s = retry_after_s;
  end_job (job, JOB_REFUSED);
  world_caller_returns (vm->world, job, retry_after_s);
}

/* Variants: urgent work that found no place takes that of normal work. */
static void
displace (struct fake_vm *vm, const struct job *urgent)
{
  const struct variant *variant = &vm->world->run.variant;
  struct job *victim = NULL;

  if (!variant->abort_unstarted && !variant->abort_any)
    return;
  for (guint i = 0; i < vm->open->len; i++)
    {
      struct job *job = g_ptr_array_index (vm->open, i);

      if (job->class == KCP_CLASS_URGENT || !job->at_engine
          || (job->first_token_ns > 0 && !variant->abort_any)
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
  pump (vm);
}

/* Variant: a request that would be refused takes the place of a waiting one that is less
   important. */
static void
shed_for (struct fake_vm *vm, const struct job *job)
{
  struct kcp_admission_now now = now_of (vm);
  struct job *victim = NULL;

  if (kcp_admission_would_queue (vm->admission, &job->item, &now))
    return;
  for (guint i = 0; i < vm->open->len; i++)
    {
      struct job *other = g_ptr_array_index (vm->open, i);

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
now_of (const struct fake_vm *vm)
{
  int64_t now_ns = sim_now (vm->world->sim);

  return (struct kcp_admission_now){ now_ns, now_ns / KCP_NS_PER_MS };
}

static struct job *
job_of (struct kcp_admission_item *item)
{
  return (struct job *)(void *)((char *)item - G_STRUCT_OFFSET (struct job, item));
}
