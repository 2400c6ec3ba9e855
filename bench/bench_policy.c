/* Compares the policies of src/policy/ with simpler ones on simulated engines and prints
   metrics averaged over several seeds. The output is deterministic for a given seed. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench/metrics.h"

#define SEEDS        3
#define DEFAULT_SEED 1
#define FAULT_LOAD   0.8 /* relative to the capacity of the deployment */
#define SURGE_LOAD   2.0 /* relative to the capacity of the deployment */

static const char *const policy_names[BENCH_POLICY_COUNT] = {
  [BENCH_RANDOM] = "random",           [BENCH_LEAST_LOADED] = "least-loaded",
  [BENCH_PREFIX_HASH] = "prefix-hash", [BENCH_KINGCUPPOINT] = "kingcuppoint",
  [BENCH_ORACLE] = "all-knowing",
};

static const char *const fault_names[FAULT_COUNT] = {
  [FAULT_NONE] = "none",
  [FAULT_ENGINE_CRASH] = "engine crash",
  [FAULT_PREFIX_SHIFT] = "prefix shift",
  [FAULT_ALL_VMS_RESTART] = "VM herd restart",
  [FAULT_REPORTS_STOP] = "reports stop",
  [FAULT_EVENTS_LOST] = "events lost",
  [FAULT_PARTITION] = "data center cut",
  [FAULT_CRASHING_REQUEST] = "crashing request",
  [FAULT_SURGE] = "surge, returns",
};

static const double loads[] = { 0.7, 0.95, 1.3, 2.0 };

static const struct variant variants[] = {
  { .name = "as is" },
  { .name = "no_waste", .no_waste = true },
  { .name = "waste_flat", .flat_waste = true },
  { .name = "waste_flat3", .flat_waste = true, .waste_percent = 3000 },
  { .name = "waste_rise_30", .waste_rise_ms = 30 },
  { .name = "waste_rise_300", .waste_rise_ms = 300 },
  { .name = "limit_others", .assume_equal_peers = true },
  { .name = "no_tolerance", .no_tolerance = true },
  { .name = "hit_base_300", .waste_percent = 300 },
  { .name = "hit_base_1000", .waste_percent = 1000, .max_waste_percent = 10000 },
  { .name = "hit_learn_late", .index_at_first_token = true },
  { .name = "hit_head_first", .rank_by_first_block = true },
  { .name = "no_beliefs", .no_cache_index = true },
  { .name = "reset_on_gap", .reset_on_gap = true },
  { .name = "no_learning", .no_index_at_first_token = true },
  { .name = "no_limit", .no_limit = true },
  { .name = "fixed_limit", .fixed_limit = true },
  { .name = "one_queue", .single_queue = true },
  { .name = "shed_importance", .shed_least_important = true },
  { .name = "place_importance", .prefer_less_important = true },
  { .name = "abort_unstarted", .preempt_unstarted = true },
  { .name = "abort_any", .preempt_any = true },
  { .name = "fifo_promises", .no_reservations = true },
  { .name = "unlimited_retries", .unlimited_retries = true },
  { .name = "shared_suspects", .suspects_on_any_engine = true },
  { .name = "copies_run", .run_suspect_copies = true },
  { .name = "slow_quarantine", .quarantine_gossip_only = true },
  { .name = "old_quarantine",
    .quarantine_gossip_only = true,
    .suspects_on_any_engine = true,
    .run_suspect_copies = true },
};

static void print_heading (const char *title);
static void print_row (const char *name, struct run run, guint32 seed);
static void print_loads (const struct deployment *deployment, guint32 seed);
static void
print_faults (const struct deployment *deployment, guint32 seed, const char *name);
static void print_variants (const char *name, guint32 seed);

/* Usage, with SEED the first of SEEDS consecutive seeds:

   - bench_policy [SEED]: all policies under load, and kingcuppoint under faults;
   - bench_policy variants [SEED]: all variants of kingcuppoint;
   - bench_policy PREFIX [SEED]: "as is" and the variants whose names begin with PREFIX;
   - bench_policy faults [SEED [VARIANT]]: one variant under faults. */
int
main (int argc, char **argv)
{
  guint32 seed = DEFAULT_SEED;

  if (argc > 2)
    seed = (guint32)g_ascii_strtoull (argv[2], NULL, 10);
  else if (argc > 1 && g_ascii_isdigit (argv[1][0]))
    seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
  if (argc > 1 && strcmp (argv[1], "faults") == 0)
    {
      for (size_t i = 0; i < deployment_count; i++)
        print_faults (&deployments[i], seed, argc > 3 ? argv[3] : "as is");
      return 0;
    }
  if (argc > 1 && !g_ascii_isdigit (argv[1][0]))
    {
      print_variants (argv[1], seed);
      return 0;
    }
  (void)printf ("seeds %u to %u; mean and, below it, spread (maximum minus minimum)\n",
                seed, seed + SEEDS - 1);
  for (size_t i = 0; i < deployment_count; i++)
    {
      print_loads (&deployments[i], seed);
      print_faults (&deployments[i], seed, "as is");
    }
  return 0;
}

static void
print_heading (const char *title)
{
  (void)printf ("%-18s", title);
  for (int i = 0; i < METRIC_COUNT; i++)
    (void)printf ("%7s", metric_name (i));
  (void)printf ("\n");
}

static void
print_row (const char *name, struct run run, guint32 seed)
{
  double sum[METRIC_COUNT] = { 0 };
  double min[METRIC_COUNT] = { 0 };
  double max[METRIC_COUNT] = { 0 };

  for (guint32 i = 0; i < SEEDS; i++)
    {
      struct world *world;
      struct metrics metrics;

      run.seed = seed + i;
      world = world_run (&run);
      metrics = metrics_compute (world);
      world_free (world);
      for (int metric = 0; metric < METRIC_COUNT; metric++)
        {
          sum[metric] += metrics.values[metric];
          min[metric] = i == 0 ? metrics.values[metric]
                               : fmin (min[metric], metrics.values[metric]);
          max[metric] = i == 0 ? metrics.values[metric]
                               : fmax (max[metric], metrics.values[metric]);
        }
    }
  (void)printf ("%-18s", name);
  for (int metric = 0; metric < METRIC_COUNT; metric++)
    (void)printf (metric == METRIC_FAIRNESS ? "%7.2f" : "%7.1f", sum[metric] / SEEDS);
  (void)printf ("\n%-18s", "");
  for (int metric = 0; metric < METRIC_COUNT; metric++)
    (void)printf (metric == METRIC_FAIRNESS ? "%7.2f" : "%7.1f",
                  max[metric] - min[metric]);
  (void)printf ("\n");
}

static void
print_loads (const struct deployment *deployment, guint32 seed)
{
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      g_autofree char *title = g_strdup_printf ("%s %.2f", deployment->name, loads[i]);

      print_heading (title);
      for (int policy = 0; policy < BENCH_POLICY_COUNT; policy++)
        print_row (policy_names[policy],
                   (struct run){ .deployment = deployment,
                                 .policy = (enum bench_policy)policy,
                                 .load = loads[i] },
                   seed);
    }
}

static void
print_faults (const struct deployment *deployment, guint32 seed, const char *name)
{
  const struct variant *variant = &variants[0];
  g_autofree char *title = g_strdup_printf ("%s faults", deployment->name);

  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    if (strcmp (variants[i].name, name) == 0)
      variant = &variants[i];
  print_heading (title);
  for (int fault = FAULT_ENGINE_CRASH; fault < FAULT_COUNT; fault++)
    print_row (fault_names[fault],
               (struct run){ .deployment = deployment,
                             .policy = BENCH_KINGCUPPOINT,
                             .variant = *variant,
                             .fault = (enum fault)fault,
                             .load = fault == FAULT_SURGE ? SURGE_LOAD : FAULT_LOAD },
               seed);
}

static const double variant_loads[] = { 0.95, 2.0 };

/* Prints the results of the selected variants of kingcuppoint, each after those of the
   oracle with the same changes. */
static void
print_variants (const char *name, guint32 seed)
{
  for (size_t d = 0; d < deployment_count; d++)
    for (size_t i = 0; i < G_N_ELEMENTS (variant_loads); i++)
      {
        double load = variant_loads[i];
        g_autofree char *title = g_strdup_printf ("%s %.2f", deployments[d].name, load);

        print_heading (title);
        for (size_t v = 0; v < G_N_ELEMENTS (variants); v++)
          if (v == 0 || strcmp (name, "variants") == 0
              || g_str_has_prefix (variants[v].name, name))
            {
              struct run run = { .deployment = &deployments[d],
                                 .policy = BENCH_ORACLE,
                                 .variant = variants[v],
                                 .load = load };

              print_row ("(all-knowing)", run, seed);
              run.policy = BENCH_KINGCUPPOINT;
              print_row (variants[v].name, run, seed);
            }
      }
}
