/* Simulates, from a seed, several VMs that claim keys in an in-memory log. The log loses
   answers, applies appends late or twice, trims records and has outages; VMs pause and
   restart. Usage: test_partition [SEED]; with SEED, only that run. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "booking/entry.h"
#include "booking/partition.h"
#include "tests/harness/run_suite.h"
#include "tests/history/history.h"

#define RUNS                300
#define STEPS               8000
#define VMS                 4
#define KEYS                6
#define READ_MAX            20 /* records */
#define WINDOW_MS           30000
#define PLAIN_KEY_ROUNDS    6 /* windows until a key without creation time is reused */
#define CHECKPOINT_MS       15000
#define DEADLINE_MS         4000
#define DECISION_TIMEOUT_MS 1000
#define CLOCK_SKEW_MS       20000
#define START_MS            1700000000000LL

enum call_state
{
  CALL_CLAIMED, /* waiting for the answer to the claim */
  CALL_WON,     /* ready to be dispatched */
  CALL_SENT,    /* dispatched; the service has not answered */
  CALL_ENDED
};

struct sim;

struct call
{
  struct sim *sim;
  struct vm *vm;
  int id;
  char key[KCP_HASH_HEX_LEN + 1];
  char claim[KCP_ID_LEN + 1];
  char answer[HISTORY_TEXT_MAX];
  int64_t deadline_ms; /* according to the VM's clock */
  enum call_state state;
  bool executed;
};

/* A request to the log whose result has not been delivered to the VM. */
struct exchange
{
  enum kcp_partition_step step;
  bool failed;
  struct kcp_error error;
  uint64_t offset;
  struct kcp_log_batch batch;
};

struct vm
{
  struct sim *sim;
  char name[16];
  char writer[KCP_ID_LEN + 1];
  int64_t skew_ms;
  int64_t paused_until_ms;
  bool crashing;
  struct kcp_partition *partition;
  struct exchange exchange;
};

/* An append that has not taken effect yet. */
struct late_append
{
  int64_t at_ms;
  json_t *record;
};

struct sim
{
  GRand *rand;
  int64_t now_ms;
  uint64_t first;      /* offset of the first record kept */
  GPtrArray *records;  /* json_t */
  GArray *late_append; /* struct late_append */
  uint64_t hint;       /* offset of the last checkpoint recorded */
  int64_t outage_until_ms;
  int key_round; /* advances once per window; part of every key */
  struct vm vms[VMS];
  GPtrArray *calls; /* struct call */
  struct history *history;
  int results[HISTORY_RAN + 1];
  int repeats;
};

static int first_seed;
static int runs = RUNS;

static bool
chance (struct sim *sim, int percent)
{
  return g_rand_int_range (sim->rand, 0, 100) < percent;
}

static int64_t
vm_now (const struct vm *vm)
{
  return vm->sim->now_ms + vm->skew_ms;
}

static void
vm_start (struct vm *vm)
{
  (void)snprintf (vm->writer, sizeof vm->writer, "%s-%08x", vm->name,
                  g_rand_int (vm->sim->rand));
  vm->partition = kcp_partition_new (
      &(struct kcp_partition_options){
          .vm = vm->name,
          .writer = vm->writer,
          .window_ms = WINDOW_MS,
          .checkpoint_ms = CHECKPOINT_MS,
          .outcome_retry_ms = WINDOW_MS,
          .decision_timeout_ms = DECISION_TIMEOUT_MS,
      },
      vm_now (vm));
  if (chance (vm->sim, 70))
    kcp_partition_start_at (vm->partition, vm->sim->hint);
}

static void
exchange_clear (struct exchange *exchange)
{
  kcp_log_batch_clear (&exchange->batch);
  *exchange = (struct exchange){ .step = KCP_PARTITION_WAIT };
}

static void
call_end (struct call *call, enum history_result result, const char *answer)
{
  struct sim *sim = call->sim;

  call->state = CALL_ENDED;
  sim->results[result]++;
  history_return (sim->history, sim->now_ms, call->id, call->key, result, answer);
}

static void
on_claimed (void *user, const struct kcp_claim_answer *answer)
{
  struct call *call = user;

  if (call->vm->crashing)
    {
      call->state = CALL_ENDED;
      return;
    }
  switch (answer->result)
    {
    case KCP_CLAIM_WON:
      call->state = CALL_WON;
      g_strlcpy (call->claim, answer->claim, sizeof call->claim);
      break;
    case KCP_CLAIM_REPEAT:
      call->sim->repeats++;
      call_end (call, HISTORY_RAN, answer->sealed);
      break;
    case KCP_CLAIM_REFUSED:
      call_end (call,
                answer->error.execution == KCP_EXECUTION_NOT_RUN ? HISTORY_NOT_RUN
                                                                 : HISTORY_UNKNOWN,
                "");
      break;
    }
}

static void
on_recorded (void *user)
{
  struct call *call = user;

  if (!call->vm->crashing)
    call_end (call, HISTORY_RAN, call->answer);
}

/* Odd keys carry their creation time and are never used again. Even keys do not, and are
   used again after they have expired. */
static void
sim_invoke (struct sim *sim)
{
  struct call *call = g_new0 (struct call, 1);
  int key = g_rand_int_range (sim->rand, 0, KEYS);
  struct kcp_pending *pending;

  call->sim = sim;
  call->vm = &sim->vms[g_rand_int_range (sim->rand, 0, VMS)];
  call->id = (int)sim->calls->len;
  (void)snprintf (call->key, sizeof call->key, "key-%d-%d",
                  key % 2 == 1 ? sim->key_round : sim->key_round % PLAIN_KEY_ROUNDS, key);
  call->deadline_ms = vm_now (call->vm) + DEADLINE_MS;
  g_ptr_array_add (sim->calls, call);
  history_invoke (sim->history, sim->now_ms, call->id, call->key);
  pending = kcp_pending_new_claim (call->key, "body", on_claimed, call);
  pending->deadline_ms = call->deadline_ms;
  if (key % 2 == 1)
    pending->key_created_ms = START_MS + (int64_t)sim->key_round * WINDOW_MS;
  kcp_partition_post (call->vm->partition, pending, vm_now (call->vm));
}

static void
call_release (struct call *call)
{
  kcp_partition_post (call->vm->partition,
                      kcp_pending_new_release (call->key, call->claim),
                      vm_now (call->vm));
  call_end (call, HISTORY_NOT_RUN, "");
}

/* Dispatches a call whose claim won, as the request layer does. Of the calls before their
   deadline, nine in ten reach the service. */
static void
call_dispatch (struct call *call)
{
  if (vm_now (call->vm) >= call->deadline_ms || chance (call->sim, 10))
    {
      call_release (call);
      return;
    }
  call->state = CALL_SENT;
  (void)snprintf (call->answer, sizeof call->answer, "answer-%d", call->id);
}

/* Executes a dispatched call at the service, even if the VM that sent it has crashed. */
static void
call_execute (struct call *call)
{
  call->executed = true;
  history_execute (call->sim->history, call->sim->now_ms, call->id, call->key,
                   call->answer);
}

/* Delivers the service's answer to the VM. One answer in ten is lost. */
static void
call_answered (struct call *call)
{
  if (chance (call->sim, 10))
    {
      call_end (call, HISTORY_UNKNOWN, "");
      return;
    }
  call->state = CALL_ENDED;
  kcp_partition_post (
      call->vm->partition,
      kcp_pending_new_outcome (call->key, call->claim, call->answer, on_recorded, call),
      vm_now (call->vm));
}

static uint64_t
log_append (struct sim *sim, json_t *record)
{
  g_ptr_array_add (sim->records, json_deep_copy (record));
  return sim->first + sim->records->len - 1;
}

static void
exchange_fail (struct exchange *exchange, enum kcp_error_code code,
               enum kcp_execution execution)
{
  exchange->failed = true;
  kcp_error_set (&exchange->error, code, "sim", NULL, "injected");
  exchange->error.execution = execution;
}

static void
log_append_late (struct sim *sim, json_t *record)
{
  struct late_append late_append = {
    .at_ms = sim->now_ms + g_rand_int_range (sim->rand, 1, 8000),
    .record = json_deep_copy (record),
  };

  g_array_append_val (sim->late_append, late_append);
}

/* Appends a record for a VM. The append may be applied twice, late or not at all, and its
   answer may be lost. */
static void
vm_append (struct vm *vm, json_t *record)
{
  struct sim *sim = vm->sim;
  int roll = g_rand_int_range (sim->rand, 0, 100);

  if (sim->now_ms < sim->outage_until_ms)
    exchange_fail (&vm->exchange, KCP_ERR_PLATFORM,
                   roll < 50 ? KCP_EXECUTION_NOT_RUN : KCP_EXECUTION_UNKNOWN);
  else if (roll < 85)
    vm->exchange.offset = log_append (sim, record);
  else if (roll < 88)
    {
      (void)log_append (sim, record);
      vm->exchange.offset = log_append (sim, record);
    }
  else if (roll < 92)
    {
      (void)log_append (sim, record);
      exchange_fail (&vm->exchange, KCP_ERR_PLATFORM, KCP_EXECUTION_UNKNOWN);
    }
  else if (roll < 97)
    {
      log_append_late (sim, record);
      exchange_fail (&vm->exchange, KCP_ERR_PLATFORM, KCP_EXECUTION_UNKNOWN);
    }
  else
    exchange_fail (&vm->exchange, KCP_ERR_PLATFORM,
                   roll < 99 ? KCP_EXECUTION_NOT_RUN : KCP_EXECUTION_UNKNOWN);
}

static void
vm_read (struct vm *vm, uint64_t from)
{
  struct sim *sim = vm->sim;
  struct kcp_log_batch *batch = &vm->exchange.batch;
  uint64_t next = sim->first + sim->records->len;

  batch->first = sim->first;
  batch->next = next;
  if (sim->now_ms < sim->outage_until_ms || chance (sim, 5))
    exchange_fail (&vm->exchange, KCP_ERR_PLATFORM, KCP_EXECUTION_UNKNOWN);
  else if (from < sim->first)
    exchange_fail (&vm->exchange, KCP_ERR_TRIMMED, KCP_EXECUTION_NOT_RUN);
  else
    {
      batch->records = json_array ();
      for (uint64_t at = from; at < next && at < from + READ_MAX; at++)
        json_array_append_new (
            batch->records,
            json_pack ("{sIsO}", "offset", (json_int_t)at, "record",
                       g_ptr_array_index (sim->records, (guint)(at - sim->first))));
    }
}

static void
vm_begin (struct vm *vm)
{
  struct kcp_partition_action action = kcp_partition_next (vm->partition, vm_now (vm));

  vm->exchange.step = action.step;
  if (action.step == KCP_PARTITION_APPEND)
    vm_append (vm, action.record);
  else if (action.step == KCP_PARTITION_READ)
    vm_read (vm, action.from);
}

static void
vm_deliver (struct vm *vm)
{
  struct exchange exchange = vm->exchange;
  uint64_t as_of;
  int64_t now = vm_now (vm);

  vm->exchange = (struct exchange){ .step = KCP_PARTITION_WAIT };
  if (exchange.step == KCP_PARTITION_APPEND && exchange.failed)
    kcp_partition_append_failed (vm->partition, &exchange.error, now);
  else if (exchange.step == KCP_PARTITION_APPEND)
    {
      kcp_partition_append_done (vm->partition, exchange.offset);
      if (kcp_partition_take_hint (vm->partition, &as_of))
        vm->sim->hint = as_of;
    }
  else if (exchange.failed)
    kcp_partition_read_failed (vm->partition, &exchange.batch, &exchange.error, now);
  else
    kcp_partition_read_done (vm->partition, &exchange.batch, now);
  exchange_clear (&exchange);
}

/* Restarts a VM without a shutdown. The calls that it had not dispatched are never
   dispatched. */
static void
vm_crash (struct vm *vm)
{
  vm->crashing = true;
  kcp_partition_free (vm->partition);
  vm->crashing = false;
  exchange_clear (&vm->exchange);
  for (guint i = 0; i < vm->sim->calls->len; i++)
    {
      struct call *call = g_ptr_array_index (vm->sim->calls, i);

      if (call->vm != vm)
        continue;
      if (call->state == CALL_SENT && !call->executed)
        call->vm = NULL;
      else
        call->state = CALL_ENDED;
    }
  vm_start (vm);
}

static void
sim_step_call (struct sim *sim)
{
  struct call *call;

  if (sim->calls->len == 0)
    return;
  call = g_ptr_array_index (
      sim->calls, g_rand_int_range (sim->rand, MAX (0, (int)sim->calls->len - 20),
                                    (int)sim->calls->len));
  if (call->state == CALL_SENT && !call->executed)
    call_execute (call);
  else if (call->vm == NULL || sim->now_ms < call->vm->paused_until_ms)
    return;
  else if (call->state == CALL_SENT)
    call_answered (call);
  else if (call->state == CALL_WON)
    call_dispatch (call);
}

static void
sim_step_vm (struct sim *sim)
{
  struct vm *vm = &sim->vms[g_rand_int_range (sim->rand, 0, VMS)];

  if (sim->now_ms < vm->paused_until_ms)
    return;
  if (vm->exchange.step != KCP_PARTITION_WAIT)
    vm_deliver (vm);
  else
    vm_begin (vm);
}

static void
sim_apply_late_appends (struct sim *sim)
{
  for (guint i = 0; i < sim->late_append->len; i++)
    {
      struct late_append *late_append
          = &g_array_index (sim->late_append, struct late_append, i);

      if (late_append->at_ms > sim->now_ms)
        continue;
      (void)log_append (sim, late_append->record);
      json_decref (late_append->record);
      g_array_remove_index_fast (sim->late_append, i--);
    }
}

static void
sim_trim (struct sim *sim)
{
  guint count = (guint)g_rand_int_range (sim->rand, 0, (gint)sim->records->len + 1);

  if (count == 0)
    return;
  g_ptr_array_remove_range (sim->records, 0, count);
  sim->first += count;
}

/* Rarely injects a fault: a crash or a pause of a VM, an outage of the log, a trim, or a
   crash of all VMs. */
static void
sim_inject (struct sim *sim)
{
  struct vm *vm = &sim->vms[g_rand_int_range (sim->rand, 0, VMS)];
  int roll = g_rand_int_range (sim->rand, 0, 5000);

  if (roll < 5)
    vm_crash (vm);
  else if (roll < 15)
    vm->paused_until_ms = sim->now_ms + g_rand_int_range (sim->rand, 1, 15000);
  else if (roll < 18)
    sim->outage_until_ms = sim->now_ms + g_rand_int_range (sim->rand, 1, 3000);
  else if (roll < 21)
    sim_trim (sim);
  else if (roll < 22)
    for (int i = 0; i < VMS; i++)
      vm_crash (&sim->vms[i]);
}

static void
sim_step (struct sim *sim)
{
  sim->now_ms += g_rand_int_range (sim->rand, 0, 20);
  if (chance (sim, 1))
    sim->now_ms += g_rand_int_range (sim->rand, 0, 4000);
  sim->key_round = (int)((sim->now_ms - START_MS) / WINDOW_MS);
  sim_apply_late_appends (sim);
  if (chance (sim, 10))
    sim_invoke (sim);
  sim_step_call (sim);
  sim_step_vm (sim);
  sim_inject (sim);
}

static void
record_free (gpointer data)
{
  json_decref (data);
}

static struct sim *
sim_new (int seed)
{
  struct sim *sim = g_new0 (struct sim, 1);

  sim->rand = g_rand_new_with_seed ((guint32)seed);
  sim->now_ms = START_MS;
  sim->records = g_ptr_array_new_with_free_func (record_free);
  sim->late_append = g_array_new (FALSE, FALSE, sizeof (struct late_append));
  sim->calls = g_ptr_array_new_with_free_func (g_free);
  sim->history = history_new ();
  for (int i = 0; i < VMS; i++)
    {
      struct vm *vm = &sim->vms[i];

      vm->sim = sim;
      vm->skew_ms = g_rand_int_range (sim->rand, -CLOCK_SKEW_MS, CLOCK_SKEW_MS);
      (void)snprintf (vm->name, sizeof vm->name, "vm-%d", i);
      vm_start (vm);
    }
  return sim;
}

static void
sim_free (struct sim *sim)
{
  for (int i = 0; i < VMS; i++)
    {
      sim->vms[i].crashing = true;
      kcp_partition_free (sim->vms[i].partition);
      exchange_clear (&sim->vms[i].exchange);
    }
  for (guint i = 0; i < sim->late_append->len; i++)
    json_decref (g_array_index (sim->late_append, struct late_append, i).record);
  g_array_unref (sim->late_append);
  g_ptr_array_unref (sim->records);
  g_ptr_array_unref (sim->calls);
  history_free (sim->history);
  g_rand_free (sim->rand);
  g_free (sim);
}

/* Returns a description of the first violated invariant of a run, or NULL. */
static char *
run_seed (int seed, int *results, int *repeats)
{
  struct sim *sim = sim_new (seed);
  char *violation;

  for (int i = 0; i < STEPS; i++)
    sim_step (sim);
  violation = history_check_once (sim->history, WINDOW_MS);
  if (violation == NULL)
    violation = history_check_not_run (sim->history);
  if (violation == NULL)
    violation = history_check_answers (sim->history);
  for (int i = 0; i <= HISTORY_RAN; i++)
    results[i] += sim->results[i];
  *repeats += sim->repeats;
  sim_free (sim);
  return violation;
}

START_TEST (test_random_runs_keep_every_invariant)
{
  int results[HISTORY_RAN + 1] = { 0 };
  int repeats = 0;
  int violations = 0;

  for (int i = 0; i < runs; i++)
    {
      char *violation = run_seed (first_seed + i, results, &repeats);

      if (violation != NULL)
        (void)printf ("seed %d: %s\n", first_seed + i, violation);
      violations += violation != NULL;
      g_free (violation);
    }
  (void)printf ("seeds %d to %d: %d ran, %d of them repeats, %d not run, %d unknown, "
                "%d runs with a violation\n",
                first_seed, first_seed + runs - 1, results[HISTORY_RAN], repeats,
                results[HISTORY_NOT_RUN], results[HISTORY_UNKNOWN], violations);
  (void)fflush (stdout);
  ck_assert_int_eq (violations, 0);
  if (runs == RUNS)
    {
      ck_assert_int_gt (repeats, runs);
      ck_assert_int_gt (results[HISTORY_RAN] - repeats, runs);
    }
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("partition");

  if (argc > 1)
    {
      first_seed = atoi (argv[1]);
      runs = 1;
    }
  tcase_set_timeout (tests, 300);
  tcase_add_test (tests, test_random_runs_keep_every_invariant);
  return run_started_suite ();
}
