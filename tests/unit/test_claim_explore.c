/* Explores the claims to orders exhaustively, within bounds: two VMs that stop at any
   moment, append late, lose answers, restart, and a log whose records are dropped. Every
   order of events is tried; orders of two VMs must arrive a turn apart, and fencing
   tokens must not fall. With a guard taken out the same search has to find a breach. */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "policy/order_lease.h"
#include "tests/harness/run_suite.h"

/* Times in ticks. An order may be on its way for MARGIN. */
#define VALID   1
#define RENEW   0
#define READ    1
#define TURN    1
#define MARGIN  1
#define PAUSE   (VALID + TURN + MARGIN)
#define VMS     2
#define LOG_MAX 3

/* What is taken out, to see that the search would find it. */
enum mutation
{
  MUTATION_NONE,
  MUTATION_SHORT_PAUSE, /* shorter by an order's way, and by the tick that whole ticks
                           hide */
  MUTATION_VALID_FROM_ANSWER, /* a claim counts from its answer, not from its sending */
  MUTATION_NO_LAST_CHECK,     /* what was held at the last look is not checked again */
  MUTATION_NO_CONDITION,      /* a claim is appended wherever the log ends */
  MUTATION_TRIMMED_IS_FREE    /* a log whose claims were dropped counts as never used */
};

enum call_kind
{
  CALL_NONE,
  CALL_READ,
  CALL_APPEND
};

struct model_vm
{
  struct kcp_order_lease claim;
  enum call_kind call; /* under way */
  bool executed;       /* the append lies in the log */
  int64_t offset;      /* of the executed append */
  int64_t late_end;    /* where an append without an answer may still go; -1: none */
  bool looked_held;    /* at its last step it held the right */
};

struct model
{
  int64_t now;
  struct model_vm vms[VMS];
  int64_t first; /* offset of the first record kept */
  int64_t end;
  int64_t holders[LOG_MAX]; /* VM of each claim */
  int64_t last_vm;          /* who gave the last order; -1: nobody of late */
  int64_t last_sent;
  int64_t last_fence;
  int64_t last_fence_vm;
  int64_t restarts;
  int64_t trims;
};

struct search
{
  enum mutation mutation;
  int64_t ticks;    /* until the end */
  int64_t restarts; /* that may happen */
  int64_t trims;
  GHashTable *seen; /* hashes of models */
  uint64_t orders;
  const char *breach; /* NULL: none was found */
};

static const char *const names[VMS] = { "a", "b" };

static void explore (struct search *search, const struct model *model);

static void
init_claim (struct model_vm *vm, int index, enum mutation mutation)
{
  const struct kcp_order_lease_times times = {
    .valid_ns = VALID,
    .renew_ns = RENEW,
    .takeover_delay_ns = mutation == MUTATION_SHORT_PAUSE ? PAUSE - MARGIN - 1 : PAUSE,
    .read_interval_ns = READ,
  };

  kcp_order_lease_init (&vm->claim, names[index], &times);
}

static void
deliver_read (struct model *model, struct model_vm *vm, enum mutation mutation)
{
  struct kcp_order_lease *claim = &vm->claim;

  vm->call = CALL_NONE;
  if (claim->end < model->first)
    {
      if (mutation == MUTATION_TRIMMED_IS_FREE)
        kcp_order_lease_on_read (claim, model->end, NULL, 0, model->now);
      else
        kcp_order_lease_on_trimmed (claim, model->first, model->now);
    }
  else if (claim->end < model->end)
    kcp_order_lease_on_read (claim, model->end, names[model->holders[model->end - 1]],
                             model->end - 1, model->now);
  else
    {
      char known[KCP_ORDER_LEASE_HOLDER_MAX];

      g_strlcpy (known, claim->holder, sizeof known);
      kcp_order_lease_on_read (claim, model->end, known[0] != '\0' ? known : NULL,
                               claim->offset, model->now);
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

/* A VM that may give an order gives it: the earliest and the latest are the worst. */
static void
give_order (struct search *search, struct model *model, int index)
{
  const struct model_vm *vm = &model->vms[index];
  bool held = search->mutation == MUTATION_NO_LAST_CHECK
                  ? vm->looked_held
                  : kcp_order_lease_is_held (&vm->claim, model->now);
  int64_t fence = kcp_order_lease_fencing_token (&vm->claim);

  if (!held)
    return;
  search->orders++;
  if (model->last_vm >= 0 && model->last_vm != index
      && model->now - model->last_sent < MARGIN + TURN)
    search->breach = "two VMs gave orders within a turn";
  if (model->last_fence_vm != index && fence < model->last_fence)
    search->breach = "a fencing token fell";
  model->last_vm = index;
  model->last_sent = model->now;
  model->last_fence = fence;
  model->last_fence_vm = index;
}

/* A VM that was stopped goes on from here at any later tick. */
static void
try_step (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];
  int64_t until;

  if (vm->call != CALL_NONE)
    return;
  switch (kcp_order_lease_step (&vm->claim, true, next.now, &until))
    {
    case KCP_ORDER_LEASE_WAIT:
      vm->looked_held = false;
      break;
    case KCP_ORDER_LEASE_HELD:
      vm->looked_held = search->mutation == MUTATION_NO_LAST_CHECK;
      break;
    case KCP_ORDER_LEASE_READ:
      kcp_order_lease_on_sent (&vm->claim, next.now);
      vm->call = CALL_READ;
      break;
    case KCP_ORDER_LEASE_APPEND:
      kcp_order_lease_on_sent (&vm->claim, next.now);
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
      vm->executed = execute_append (&next, index, vm->claim.end, search->mutation);
      if (!vm->executed)
        {
          vm->call = CALL_NONE;
          kcp_order_lease_on_failed (&vm->claim, 0, next.now);
        }
    }
  else if (vm->call == CALL_APPEND)
    {
      vm->call = CALL_NONE;
      if (search->mutation == MUTATION_VALID_FROM_ANSWER)
        kcp_order_lease_on_sent (&vm->claim, next.now);
      kcp_order_lease_on_appended (&vm->claim, vm->offset, next.now);
    }
  else
    return;
  explore (search, &next);
}

/* The answer is lost; an append may still be carried out. */
static void
try_loss (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];

  if (vm->call == CALL_NONE)
    return;
  if (vm->call == CALL_APPEND && !vm->executed && vm->late_end < 0)
    vm->late_end = vm->claim.end;
  vm->call = CALL_NONE;
  kcp_order_lease_on_failed (&vm->claim, 0, next.now);
  explore (search, &next);
}

static void
try_late_append (struct search *search, const struct model *model, int index)
{
  struct model next = *model;
  struct model_vm *vm = &next.vms[index];

  if (vm->late_end < 0)
    return;
  (void)execute_append (&next, index, vm->late_end, search->mutation);
  vm->late_end = -1;
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
  if (vm->call == CALL_APPEND && !vm->executed && vm->late_end < 0)
    vm->late_end = vm->claim.end;
  vm->call = CALL_NONE;
  vm->looked_held = false;
  init_claim (vm, index, search->mutation);
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

/* Clears what cannot matter any more, so that models that differ only there are one. */
static void
forget (struct model *model)
{
  if (model->last_vm >= 0 && model->now - model->last_sent >= MARGIN + TURN)
    {
      model->last_sent = 0;
      model->last_vm = -1;
    }
  for (int i = 0; i < VMS; i++)
    {
      struct model_vm *vm = &model->vms[i];

      if (vm->call == CALL_NONE)
        vm->claim.sent_ns = 0;
      if (vm->call == CALL_NONE || !vm->executed)
        vm->offset = 0;
      if (vm->call != CALL_APPEND)
        vm->executed = false;
      if (vm->claim.valid_until_ns <= model->now)
        vm->claim.valid_until_ns = 0;
      if (vm->claim.wait_until_ns <= model->now)
        vm->claim.wait_until_ns = 0;
      if (vm->claim.seen_ns + PAUSE <= model->now)
        vm->claim.seen_ns = -PAUSE;
    }
}

static void
explore (struct search *search, const struct model *reached)
{
  struct model copy = *reached;
  const struct model *model = &copy;
  uint64_t hash;

  for (int i = 0; i < VMS; i++)
    give_order (search, &copy, i);
  forget (&copy);
  hash = XXH3_64bits (model, sizeof *model);
  if (search->breach != NULL
      || !g_hash_table_add (search->seen, (gpointer)(uintptr_t)hash))
    return;
  for (int i = 0; i < VMS; i++)
    {
      try_step (search, model, i);
      try_call (search, model, i);
      try_loss (search, model, i);
      try_late_append (search, model, i);
      try_restart (search, model, i);
    }
  try_trim (search, model);
  try_tick (search, model);
}

static struct search
run_search (enum mutation mutation, int64_t ticks, int64_t restarts, int64_t trims)
{
  struct search search = { .mutation = mutation,
                           .ticks = ticks,
                           .restarts = restarts,
                           .trims = trims,
                           .seen = g_hash_table_new (NULL, NULL) };
  struct model model;

  memset (&model, 0, sizeof model);
  model.last_vm = -1;
  for (int i = 0; i < VMS; i++)
    {
      init_claim (&model.vms[i], i, mutation);
      model.vms[i].late_end = -1;
    }
  explore (&search, &model);
  printf ("mutation %d: %u states, %" G_GUINT64_FORMAT " orders, %s\n", (int)mutation,
          g_hash_table_size (search.seen), search.orders,
          search.breach != NULL ? search.breach : "no breach");
  g_hash_table_unref (search.seen);
  return search;
}

START_TEST (test_no_order_of_events_lets_two_vms_give_orders_within_a_turn)
{
  struct search restart = run_search (MUTATION_NONE, 4, 1, 0);
  struct search trim = run_search (MUTATION_NONE, 4, 0, 1);

  ck_assert_msg (restart.breach == NULL, "%s", restart.breach);
  ck_assert_msg (trim.breach == NULL, "%s", trim.breach);
}
END_TEST

START_TEST (test_the_search_finds_a_breach_when_a_guard_is_missing)
{
  enum mutation mutation = (enum mutation)_i;
  bool needs_trim = mutation == MUTATION_TRIMMED_IS_FREE;

  ck_assert_ptr_nonnull (run_search (mutation, 4, 0, needs_trim).breach);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claim explore");
  TCase *cases = tcase_create ("claim explore");

  tcase_set_timeout (cases, 120);
  tcase_add_test (cases, test_no_order_of_events_lets_two_vms_give_orders_within_a_turn);
  tcase_add_loop_test (cases, test_the_search_finds_a_breach_when_a_guard_is_missing,
                       MUTATION_SHORT_PAUSE, MUTATION_TRIMMED_IS_FREE + 1);
  suite_add_tcase (suite, cases);
  return run_suite (suite);
}
