/* Explores the order lease exhaustively within bounds. Guards against orders of two VMs
   that arrive less than the minimum gap apart, and against fencing tokens that decrease.
   Two VMs stop at any moment, append late, lose answers and restart, and log records are
   trimmed; all sequences of these events are tried. With one safeguard removed, the same
   search must find a violation. */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "policy/order_lease.h"
#include "tests/harness/run_suite.h"

/* Times in ticks. ORDER_GAP is the minimum time between the orders of two VMs. An order
   may be in transit for MARGIN. */
#define VALID          1
#define RENEW          0
#define READ_INTERVAL  1
#define ORDER_GAP      1
#define MARGIN         1
#define TAKEOVER_DELAY (VALID + ORDER_GAP + MARGIN)
#define VMS            2
#define LOG_MAX        3

/* The safeguard that is removed, to verify that the search detects its absence. */
enum mutation
{
  MUTATION_NONE,
  /* The delay is shorter by the transit time of an order and by the tick that rounding to
     whole ticks hides. */
  MUTATION_SHORT_TAKEOVER_DELAY,
  /* A lease record is valid from the answer to its append, not from the time at which the
     append was sent. */
  MUTATION_VALID_FROM_ANSWER,
  /* Validity is not checked again right before an order is sent. */
  MUTATION_NO_FINAL_CHECK,
  /* A lease record is appended regardless of the end of the log. */
  MUTATION_NO_CONDITION,
  /* A log whose lease records were trimmed counts as empty. */
  MUTATION_TRIMMED_IS_FREE
};

enum call_kind
{
  CALL_NONE,
  CALL_READ,
  CALL_APPEND
};

struct model_vm
{
  struct kcp_order_lease lease;
  enum call_kind call; /* in progress */
  bool executed;       /* the append is in the log */
  int64_t offset;      /* offset of the executed append */
  int64_t delayed_end; /* end expected by an unanswered append that may still execute; -1:
                          none */
  bool held_at_last_step; /* held the lease at its last step */
};

struct model
{
  int64_t now;
  struct model_vm vms[VMS];
  int64_t first; /* offset of the first record kept */
  int64_t end;
  int64_t holders[LOG_MAX]; /* VM of each lease record */
  int64_t last_vm;          /* VM that sent the last order; -1: none recently */
  int64_t last_sent;
  int64_t last_fence;
  int64_t last_fence_vm;
  int64_t restarts;
  int64_t trims;
};

struct search
{
  enum mutation mutation;
  int64_t ticks;    /* end of the search */
  int64_t restarts; /* maximum number of restarts */
  int64_t trims;    /* maximum number of trims */
  bool watches;     /* VMs read the log also when they need no orders */
  GHashTable *seen; /* hashes of models */
  uint64_t orders;
  const char *violation; /* NULL: none found */
};

static const char *const names[VMS] = { "a", "b" };

static void explore (struct search *search, const struct model *model);

static void
init_lease (struct model_vm *vm, int index, enum mutation mutation)
{
  const struct kcp_order_lease_times times = {
    .valid_ns = VALID,
    .renew_ns = RENEW,
    .takeover_delay_ns = mutation == MUTATION_SHORT_TAKEOVER_DELAY
                             ? TAKEOVER_DELAY - MARGIN - 1
                             : TAKEOVER_DELAY,
    .read_interval_ns = READ_INTERVAL,
  };

  kcp_order_lease_init (&vm->lease, names[index], &times);
}

static void
deliver_read (struct model *model, struct model_vm *vm, enum mutation mutation)
{
  struct kcp_order_lease *lease = &vm->lease;

  vm->call = CALL_NONE;
  if (lease->end < model->first)
    {
      if (mutation == MUTATION_TRIMMED_IS_FREE)
        kcp_order_lease_on_read (lease, model->end, NULL, 0, model->now);
      else
        kcp_order_lease_on_trimmed (lease, model->first, model->now);
    }
  else if (lease->end < model->end)
    kcp_order_lease_on_read (lease, model->end, names[model->holders[model->end - 1]],
                             model->end - 1, model->now);
  else
    {
      char known[KCP_ORDER_LEASE_HOLDER_MAX];

      g_strlcpy (known, lease->holder, sizeof known);
      kcp_order_lease_on_read (lease, model->end, known[0] != '\0' ? known : NULL,
                               lease->offset, model->now);
    }
}

static bool
execute_append (struct model *model, int index, int64_t end, enum mutation mutation)
{
  if ((end != model->end && mutation != MUTATION_NO_CONDITION) || model->end == LOG_MAX)
    return false;
  model->holders[model->end++] = index;
  return true;
}

/* A VM that may send an order does so in every state, since the earliest and the latest
   orders are the critical ones. */
static void
send_order (struct search *search, struct model *model, int index)
{
  const struct model_vm *vm = &model->vms[index];
  bool held = search->mutation == MUTATION_NO_FINAL_CHECK
                  ? vm->held_at_last_step
                  : kcp_order_lease_is_held (&vm->lease, model->now);
  int64_t fence = kcp_order_lease_fencing_token (&vm->lease);

  if (!held)
    return;
  search->orders++;
  if (model->last_vm >= 0 && model->last_vm != index
      && model->now - model->last_sent < MARGIN + ORDER_GAP)
    search->violation = "two VMs sent orders less than the minimum gap apart";
  if (model->last_fence_vm != index && fence < model->last_fence)
    search->violation = "a fencing token decreased";
  model->last_vm = index;
  model->last_sent = model->now;
  model->last_fence = fence;
  model->last_fence_vm = index;
}

/* A VM that was stopped can continue from here at any later tick. */
static void
try_step (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];
  int64_t until;

  if (vm->call != CALL_NONE)
    return;
  switch (kcp_order_lease_step (&vm->lease, true, next.now, &until))
    {
    case KCP_ORDER_LEASE_WAIT:
      vm->held_at_last_step = false;
      break;
    case KCP_ORDER_LEASE_HELD:
      vm->held_at_last_step = search->mutation == MUTATION_NO_FINAL_CHECK;
      break;
    case KCP_ORDER_LEASE_READ:
      kcp_order_lease_on_sent (&vm->lease, next.now);
      vm->call = CALL_READ;
      break;
    case KCP_ORDER_LEASE_APPEND:
      kcp_order_lease_on_sent (&vm->lease, next.now);
      vm->call = CALL_APPEND;
      vm->executed = false;
      break;
    }
  explore (search, &next);
}

static void
try_call (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];

  if (vm->call == CALL_READ)
    deliver_read (&next, vm, search->mutation);
  else if (vm->call == CALL_APPEND && !vm->executed)
    {
      vm->offset = next.end;
      vm->executed = execute_append (&next, index, vm->lease.end, search->mutation);
      if (!vm->executed)
        {
          vm->call = CALL_NONE;
          kcp_order_lease_on_failed (&vm->lease, 0, next.now);
        }
    }
  else if (vm->call == CALL_APPEND)
    {
      vm->call = CALL_NONE;
      if (search->mutation == MUTATION_VALID_FROM_ANSWER)
        kcp_order_lease_on_sent (&vm->lease, next.now);
      kcp_order_lease_on_appended (&vm->lease, vm->offset, next.now);
    }
  else
    return;
  explore (search, &next);
}

/* A VM that needs no orders reads the end of the log. */
static void
try_watch (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];

  if (!search->watches || vm->call != CALL_NONE
      || kcp_order_lease_watch (&vm->lease, next.now) != KCP_ORDER_LEASE_READ)
    return;
  vm->held_at_last_step = false;
  kcp_order_lease_on_sent (&vm->lease, next.now);
  vm->call = CALL_READ;
  explore (search, &next);
}

/* The answer is lost; an append may still execute. */
static void
try_loss (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];

  if (vm->call == CALL_NONE)
    return;
  if (vm->call == CALL_APPEND && !vm->executed && vm->delayed_end < 0)
    vm->delayed_end = vm->lease.end;
  vm->call = CALL_NONE;
  kcp_order_lease_on_failed (&vm->lease, 0, next.now);
  explore (search, &next);
}

static void
try_delayed_append (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];

  if (vm->delayed_end < 0)
    return;
  (void)execute_append (&next, index, vm->delayed_end, search->mutation);
  vm->delayed_end = -1;
  explore (search, &next);
}

static void
try_restart (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];

  if (next.restarts == search->restarts)
    return;
  next.restarts++;
  if (vm->call == CALL_APPEND && !vm->executed && vm->delayed_end < 0)
    vm->delayed_end = vm->lease.end;
  vm->call = CALL_NONE;
  vm->held_at_last_step = false;
  init_lease (vm, index, search->mutation);
  explore (search, &next);
}

static void
try_trim (struct search *search, const struct model *model)
{
  struct model next = *model;

  if (next.trims == search->trims || next.first == next.end)
    return;
  next.trims++;
  next.first = next.end;
  explore (search, &next);
}

static void
try_tick (struct search *search, const struct model *model)
{
  struct model next = *model;

  if (next.now == search->ticks)
    return;
  next.now++;
  explore (search, &next);
}

/* Clears fields that no longer have an effect, so that models that differ only in them
   are treated as one. */
static void
normalize (struct model *model)
{
  if (model->last_vm >= 0 && model->now - model->last_sent >= MARGIN + ORDER_GAP)
    {
      model->last_sent = 0;
      model->last_vm = -1;
    }
  for (int i = 0; i < VMS; i++)
    {
      struct model_vm *vm = &model->vms[i];

      if (vm->call == CALL_NONE)
        vm->lease.sent_ns = 0;
      if (vm->call == CALL_NONE || !vm->executed)
        vm->offset = 0;
      if (vm->call != CALL_APPEND)
        vm->executed = false;
      if (vm->lease.valid_until_ns <= model->now)
        vm->lease.valid_until_ns = 0;
      if (vm->lease.wait_until_ns <= model->now)
        vm->lease.wait_until_ns = 0;
      if (vm->lease.seen_ns + TAKEOVER_DELAY <= model->now)
        vm->lease.seen_ns = -TAKEOVER_DELAY;
    }
}

static void
explore (struct search *search, const struct model *reached)
{
  struct model copy = *reached;
  const struct model *model = &copy;
  uint64_t hash;

  for (int i = 0; i < VMS; i++)
    send_order (search, &copy, i);
  normalize (&copy);
  hash = XXH3_64bits (model, sizeof *model);
  if (search->violation != NULL
      || !g_hash_table_add (search->seen, (gpointer)(uintptr_t)hash))
    return;
  for (int i = 0; i < VMS; i++)
    {
      try_step (search, model, i);
      try_watch (search, model, i);
      try_call (search, model, i);
      try_loss (search, model, i);
      try_delayed_append (search, model, i);
      try_restart (search, model, i);
    }
  try_trim (search, model);
  try_tick (search, model);
}

static struct search
run_search (enum mutation mutation, int64_t ticks, int64_t restarts, int64_t trims,
            bool watches)
{
  struct search search = { .mutation = mutation,
                           .ticks = ticks,
                           .restarts = restarts,
                           .trims = trims,
                           .watches = watches,
                           .seen = g_hash_table_new (NULL, NULL) };
  struct model model;

  memset (&model, 0, sizeof model);
  model.last_vm = -1;
  for (int i = 0; i < VMS; i++)
    {
      init_lease (&model.vms[i], i, mutation);
      model.vms[i].delayed_end = -1;
    }
  explore (&search, &model);
  printf ("mutation %d: %u states, %" G_GUINT64_FORMAT " orders, %s\n", (int)mutation,
          g_hash_table_size (search.seen), search.orders,
          search.violation != NULL ? search.violation : "no violation");
  g_hash_table_unref (search.seen);
  return search;
}

START_TEST (test_no_event_sequence_breaks_the_minimum_gap_between_orders_of_two_vms)
{
  struct search restart = run_search (MUTATION_NONE, 4, 1, 0, false);
  struct search trim = run_search (MUTATION_NONE, 4, 0, 1, false);
  struct search watch = run_search (MUTATION_NONE, 4, 0, 0, true);

  ck_assert_msg (restart.violation == NULL, "%s", restart.violation);
  ck_assert_msg (trim.violation == NULL, "%s", trim.violation);
  ck_assert_msg (watch.violation == NULL, "%s", watch.violation);
}
END_TEST

START_TEST (test_the_search_finds_a_violation_when_a_safeguard_is_missing)
{
  enum mutation mutation = (enum mutation)_i;
  bool needs_trim = mutation == MUTATION_TRIMMED_IS_FREE;

  ck_assert_ptr_nonnull (run_search (mutation, 4, 0, needs_trim, false).violation);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("claim explore");

  tcase_set_timeout (cases, 120);
  tcase_add_test (
      cases, test_no_event_sequence_breaks_the_minimum_gap_between_orders_of_two_vms);
  tcase_add_loop_test (cases,
                       test_the_search_finds_a_violation_when_a_safeguard_is_missing,
                       MUTATION_SHORT_TAKEOVER_DELAY, MUTATION_TRIMMED_IS_FREE + 1);
  return run_started_suite ();
}
