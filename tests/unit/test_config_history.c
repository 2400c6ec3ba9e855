/* Tests the configuration code of several VMs that share one log in memory. The steps run
   in random order and include VMs that are frozen or replaced, trimming of the log, and a
   log that is restored to an earlier state. A VM learns the outcome of its publication
   only by reading the log, as if the answer to each append were lost. The test checks
   that versions never decrease, that all VMs agree in the end and that no accepted change
   is lost. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logstore/config_reader.h"
#include "tests/harness/run_suite.h"

#define VMS           5
#define KEYS          3
#define STEPS         300
#define RUNS          200
#define POLL_NS       (100 * KCP_NS_PER_MS)
#define SETTLE_ROUNDS 200 /* rounds of reads after the last fault */
#define READ_MAX      7   /* records of one read */
#define MAX_AGE_S     20

enum count
{
  READS,
  PUBLICATIONS,
  FREEZES,
  RESTARTS,
  TRIMS,
  RESTORES,
  SETTLING,
  COUNTS
};

struct vm
{
  struct kcp_config *config;
  struct kcp_config_reader reader;
  int frozen_steps;
  uint64_t versions[KEYS]; /* maximum seen in force */
};

/* A publication that its VM read back and reported as accepted. */
struct accepted
{
  int key;
  uint64_t version;
  char id[KCP_ID_LEN + 1];
};

struct pending
{
  int vm;
  int key;
  char id[KCP_ID_LEN + 1];
};

struct world
{
  GRand *random;
  struct kcp_clock clock;
  GPtrArray *records;
  uint64_t first;
  struct vm vms[VMS];
  GArray *accepted;
  GArray *pending;
  unsigned counts[COUNTS];
};

static unsigned first_seed = 1;

static char *
key_of (int key)
{
  return g_strdup_printf ("profiles/k%d", key);
}

static void
start_vm (struct world *world, int i, bool from_peer)
{
  struct vm *vm = &world->vms[i];

  *vm = (struct vm){ .config = kcp_config_new (&world->clock) };
  kcp_config_reader_init (&vm->reader, vm->config, NULL, POLL_NS);
  vm->reader.plan.max_records = 20;
  vm->reader.plan.max_age_ns = MAX_AGE_S * KCP_NS_PER_S;
  for (int peer = 0; from_peer && peer < VMS; peer++)
    if (peer != i)
      {
        json_t *snapshot = kcp_config_snapshot (world->vms[peer].config);

        ck_assert (kcp_config_adopt (vm->config, snapshot, NULL));
        json_decref (snapshot);
      }
}

static void
append (struct world *world, json_t *record)
{
  g_ptr_array_add (world->records, record);
}

static void
read_log (struct world *world, struct vm *vm)
{
  int64_t now_ns = kcp_clock_monotonic_ns (&world->clock);
  uint64_t from = kcp_config_reader_begin_read (&vm->reader, now_ns);
  struct kcp_log_batch batch = { .records = json_array (),
                                 .first = world->first,
                                 .next = world->first + world->records->len };
  enum kcp_checkpoint_kind kind = KCP_CHECKPOINT_NONE;

  for (uint64_t at = from; at >= world->first && at < batch.next && at < from + READ_MAX;
       at++)
    json_array_append_new (
        batch.records,
        json_pack ("{sIsO}", "offset", (json_int_t)at, "record",
                   g_ptr_array_index (world->records, (guint)(at - world->first))));
  if (from < world->first)
    kcp_config_reader_on_trimmed (&vm->reader, world->first);
  else
    kind = kcp_config_reader_on_batch (&vm->reader, &batch, now_ns, now_ns,
                                       g_rand_double (world->random));
  json_decref (batch.records);
  if (kind != KCP_CHECKPOINT_NONE)
    {
      json_t *record = kcp_config_checkpoint (vm->config, kind == KCP_CHECKPOINT_ROOT);

      if (record != NULL)
        append (world, record);
    }
}

/* Checks that the versions in force on a VM never decrease. */
static void
check_versions (struct vm *vm)
{
  for (int i = 0; i < KEYS; i++)
    {
      g_autofree char *key = key_of (i);
      struct kcp_config_base base;

      (void)kcp_config_base (vm->config, key, &base);
      ck_assert_uint_ge (base.version, vm->versions[i]);
      vm->versions[i] = base.version;
    }
}

/* Does what kcp_publish() does, in one step: appends the entries that the log lacks, then
   the change. */
static void
publish (struct world *world, int i)
{
  struct vm *vm = &world->vms[i];
  struct pending pending = { .vm = i, .key = g_rand_int_range (world->random, 0, KEYS) };
  g_autofree char *key = key_of (pending.key);
  struct kcp_config_base base;
  struct kcp_config_status status;
  json_t *document;

  kcp_config_status (vm->config, &status);
  if (status.gap)
    return;
  if (status.ahead_of_log)
    append (world, kcp_config_checkpoint (vm->config, false));
  (void)kcp_config_base (vm->config, key, &base);
  (void)g_snprintf (pending.id, sizeof pending.id, "%08x", g_rand_int (world->random));
  document = json_pack ("{s[s]s[s]s[s]}", "prompt_in", "d", "cache_in", "d", "compute_in",
                        "d");
  if (status.next > world->first + world->records->len)
    kcp_config_request_log_check (vm->config);
  append (world, kcp_config_record_new_change (pending.id, key, &base, document));
  json_decref (document);
  g_array_append_val (world->pending, pending);
}

static void
collect_outcomes (struct world *world, int vm)
{
  for (guint i = 0; i < world->pending->len; i++)
    {
      struct pending *pending = &g_array_index (world->pending, struct pending, i);
      struct kcp_publish_outcome outcome;
      struct accepted accepted = { .key = pending->key };

      if (pending->vm != vm
          || !kcp_config_wait_outcome (world->vms[pending->vm].config, pending->id, 0,
                                       &outcome))
        continue;
      accepted.version = outcome.version;
      memcpy (accepted.id, pending->id, sizeof accepted.id);
      if (outcome.result == KCP_CONFIG_APPLIED)
        g_array_append_val (world->accepted, accepted);
      g_array_remove_index_fast (world->pending, i--);
    }
}

/* Returns true if a VM has an entry in force that no other VM has. If the log has lost
   that entry as well, the entry would be lost together with the VM. */
static bool
is_sole_holder (const struct world *world, int i)
{
  for (int key = 0; key < KEYS; key++)
    {
      g_autofree char *name = key_of (key);
      struct kcp_config_base own;
      bool is_sole = true;

      (void)kcp_config_base (world->vms[i].config, name, &own);
      for (int other = 0; other < VMS; other++)
        {
          struct kcp_config_base base;

          (void)kcp_config_base (world->vms[other].config, name, &base);
          is_sole = is_sole
                    && (other == i || base.version < own.version
                        || (base.version == own.version && strcmp (base.id, own.id) < 0));
        }
      if (is_sole && own.version > 0)
        return true;
    }
  return false;
}

static void
restart_vm (struct world *world, int i)
{
  if (is_sole_holder (world, i))
    return;
  for (guint at = 0; at < world->pending->len; at++)
    if (g_array_index (world->pending, struct pending, at).vm == i)
      g_array_remove_index_fast (world->pending, at--);
  kcp_config_free (world->vms[i].config);
  start_vm (world, i, true);
}

/* Trims the log, but only records that at least one VM has read: retention is far longer
   than the time after which the first VM has read a record. */
static void
trim (struct world *world)
{
  guint trimmed
      = (guint)g_rand_int_range (world->random, 0, (gint)world->records->len + 1);
  uint64_t read_upto = 0;

  for (int i = 0; i < VMS; i++)
    read_upto = MAX (read_upto, kcp_config_next_offset (world->vms[i].config));
  trimmed = MIN (trimmed, (guint)(MAX (read_upto, world->first) - world->first));
  if (trimmed > 0)
    g_ptr_array_remove_range (world->records, 0, trimmed);
  world->first += trimmed;
}

static void
restore_truncated (struct world *world)
{
  guint removed = (guint)g_rand_int_range (world->random, 0, 6);

  removed = MIN (removed, world->records->len);
  g_ptr_array_set_size (world->records, (gint)(world->records->len - removed));
}

static void
step (struct world *world, bool faults)
{
  int i = g_rand_int_range (world->random, 0, VMS);
  int percent = g_rand_int_range (world->random, 0, 100);
  struct vm *vm = &world->vms[i];

  kcp_clock_advance (&world->clock, POLL_NS / VMS);
  if (vm->frozen_steps > 0)
    {
      vm->frozen_steps--;
      return;
    }
  if (!faults || percent < 65)
    read_log (world, vm);
  else if (percent < 90)
    publish (world, i);
  else if (percent < 93)
    vm->frozen_steps = g_rand_int_range (world->random, 1, 60);
  else if (percent < 95)
    restart_vm (world, i);
  else if (percent < 97)
    trim (world);
  else
    restore_truncated (world);
  world->counts[!faults        ? SETTLING
                : percent < 65 ? READS
                : percent < 90 ? PUBLICATIONS
                : percent < 93 ? FREEZES
                : percent < 95 ? RESTARTS
                : percent < 97 ? TRIMS
                               : RESTORES]++;
  check_versions (vm);
  collect_outcomes (world, i);
}

static void
check_final_state (struct world *world, unsigned seed)
{
  struct kcp_config_position first;

  kcp_config_position (world->vms[0].config, &first);
  for (int i = 0; i < VMS; i++)
    {
      struct kcp_config_position position;
      struct kcp_config_status status;

      kcp_config_position (world->vms[i].config, &position);
      kcp_config_status (world->vms[i].config, &status);
      ck_assert_msg (position.digest == first.digest && !status.ahead_of_log
                         && !status.gap,
                     "seed %u: vm %d differs (ahead %d, gap %d)", seed, i,
                     status.ahead_of_log, status.gap);
    }
  for (guint i = 0; i < world->accepted->len; i++)
    {
      const struct accepted *accepted
          = &g_array_index (world->accepted, struct accepted, i);
      g_autofree char *key = key_of (accepted->key);
      struct kcp_config_base base;

      (void)kcp_config_base (world->vms[0].config, key, &base);
      ck_assert_msg (base.version > accepted->version
                         || (base.version == accepted->version
                             && strcmp (base.id, accepted->id) >= 0),
                     "seed %u: %s: accepted version %" G_GUINT64_FORMAT
                     " lost to %" G_GUINT64_FORMAT,
                     seed, key, accepted->version, base.version);
    }
}

static void
run (unsigned seed, unsigned counts[COUNTS], unsigned *accepted)
{
  struct world world = {
    .random = g_rand_new_with_seed (seed),
    .clock = { .kind = KCP_CLOCK_MANUAL, .monotonic = { 1000, 0 } },
    .records = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref),
    .accepted = g_array_new (FALSE, FALSE, sizeof (struct accepted)),
    .pending = g_array_new (FALSE, FALSE, sizeof (struct pending)),
  };

  for (int i = 0; i < VMS; i++)
    start_vm (&world, i, false);
  for (int i = 0; i < STEPS; i++)
    step (&world, true);
  for (int i = 0; i < VMS; i++)
    world.vms[i].frozen_steps = 0;
  for (int i = 0; i < SETTLE_ROUNDS * VMS; i++)
    step (&world, false);
  check_final_state (&world, seed);
  for (int i = 0; i < COUNTS; i++)
    counts[i] += world.counts[i];
  *accepted += world.accepted->len;
  for (int i = 0; i < VMS; i++)
    kcp_config_free (world.vms[i].config);
  g_ptr_array_unref (world.records);
  g_array_unref (world.accepted);
  g_array_unref (world.pending);
  g_rand_free (world.random);
}

START_TEST (test_vms_converge_and_keep_accepted_changes_despite_log_faults)
{
  unsigned counts[COUNTS] = { 0 };
  unsigned accepted = 0;

  for (unsigned i = 0; i < RUNS; i++)
    run (first_seed + i, counts, &accepted);
  (void)printf ("seeds %u to %u: %u publications, %u accepted, %u freezes, %u restarts, "
                "%u trims, %u restored logs\n",
                first_seed, first_seed + RUNS - 1, counts[PUBLICATIONS], accepted,
                counts[FREEZES], counts[RESTARTS], counts[TRIMS], counts[RESTORES]);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("config history");

  if (argc > 1)
    first_seed = (unsigned)atoi (argv[1]);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_vms_converge_and_keep_accepted_changes_despite_log_faults);
  return run_started_suite ();
}
