/* Runs the decisions of src/policy/ against engines in virtual time, beside plainer ones,
   and prints the means over the seeds. The same seed gives the same bytes. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench/figures.h"

#define SEEDS          3
#define SEED_FIRST     1
#define LOAD_OF_FAULTS 0.8
#define LOAD_OF_SURGE  2.0

static const char *const policy_names[BENCH_POLICIES] = {
  [BENCH_RANDOM] = "random",           [BENCH_LEAST_LOADED] = "least-loaded",
  [BENCH_PREFIX_HASH] = "prefix-hash", [BENCH_KINGCUPPOINT] = "kingcuppoint",
  [BENCH_ALL_KNOWING] = "all-knowing",
};

static const char *const fault_names[FAULTS] = {
  [FAULT_NONE] = "none",
  [FAULT_ENGINE_CRASH] = "engine crash",
  [FAULT_PREFIX_SHIFT] = "prefix shift",
  [FAULT_HERD_RESTART] = "VM herd restart",
  [FAULT_REPORTS_STOP] = "reports stop",
  [FAULT_EVENTS_LOST] = "events lost",
  [FAULT_DATA_CENTER_CUT] = "data center cut",
  [FAULT_POISON] = "crashing request",
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
  { .name = "limit_others", .limit_others = true },
  { .name = "no_tolerance", .no_tolerance = true },
  { .name = "no_beliefs", .no_beliefs = true },
  { .name = "reset_on_gap", .reset_on_gap = true },
  { .name = "no_learning", .no_learning = true },
  { .name = "no_limit", .no_limit = true },
  { .name = "fixed_limit", .fixed_limit = true },
  { .name = "one_queue", .one_queue = true },
  { .name = "shed_importance", .shed_importance = true },
  { .name = "place_importance", .place_importance = true },
  { .name = "abort_unstarted", .abort_unstarted = true },
  { .name = "abort_any", .abort_any = true },
  { .name = "fifo_promises", .fifo_promises = true },
  { .name = "unlimited_retries", .unlimited_retries = true },
};

static void print_heading (const char *what);
static void print_row (const char *name, struct run run, guint32 seed);
static void print_loads (const struct deployment *deployment, guint32 seed);
static void print_faults (const struct deployment *deployment, guint32 seed);
static void print_variants (const char *name, guint32 seed);

/* Arguments: nothing for the whole table; a number for the first seed; "variants" or a
   variant's name for the ways that were weighed. */
int
main (int argc, char **argv)
{
  guint32 seed = SEED_FIRST;

  if (argc > 2)
    seed = (guint32)g_ascii_strtoull (argv[2], NULL, 10);
  else if (argc > 1 && g_ascii_isdigit (argv[1][0]))
    seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
  if (argc > 1 && !g_ascii_isdigit (argv[1][0]))
    {
      print_variants (argv[1], seed);
      return 0;
    }
  (void)printf ("seeds %u to %u; mean and, below it, spread (greatest less least)\n",
                seed, seed + SEEDS - 1);
  for (size_t i = 0; i < deployment_count; i++)
    {
      print_loads (&deployments[i], seed);
      print_faults (&deployments[i], seed);
    }
  return 0;
}

static void
print_heading (const char *what)
{
  (void)printf ("%-18s", what);
  for (int i = 0; i < FIGURES; i++)
    (void)printf ("%7s", figure_name (i));
  (void)printf ("\n");
}

static void
print_row (const char *name, struct run run, guint32 seed)
{
  double sum[FIGURES] = { 0 };
  double least[FIGURES] = { 0 };
  double greatest[FIGURES] = { 0 };

  for (guint32 i = 0; i < SEEDS; i++)
    {
      struct world *world;
      struct figures figures;

      run.seed = seed + i;
      world = world_run (&run);
      figures = figures_of (world);
      world_free (world);
      for (int at = 0; at < FIGURES; at++)
        {
          sum[at] += figures.values[at];
          least[at] = i == 0 ? figures.values[at] : fmin (least[at], figures.values[at]);
          greatest[at]
              = i == 0 ? figures.values[at] : fmax (greatest[at], figures.values[at]);
        }
    }
  (void)printf ("%-18s", name);
  for (int at = 0; at < FIGURES; at++)
    (void)printf (at == FIGURE_FAIRNESS ? "%7.2f" : "%7.1f", sum[at] / SEEDS);
  (void)printf ("\n%-18s", "");
  for (int at = 0; at < FIGURES; at++)
    (void)printf (at == FIGURE_FAIRNESS ? "%7.2f" : "%7.1f", greatest[at] - least[at]);
  (void)printf ("\n");
}

static void
print_loads (const struct deployment *deployment, guint32 seed)
{
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      g_autofree char *what = g_strdup_printf ("%s %.2f", deployment->name, loads[i]);

      print_heading (what);
      for (int policy = 0; policy < BENCH_POLICIES; policy++)
        print_row (policy_names[policy],
                   (struct run){ .deployment = deployment,
                                 .policy = (enum bench_policy)policy,
                                 .load = loads[i] },
                   seed);
    }
}

static void
print_faults (const struct deployment *deployment, guint32 seed)
{
  g_autofree char *what = g_strdup_printf ("%s faults", deployment->name);

  print_heading (what);
  for (int fault = FAULT_ENGINE_CRASH; fault < FAULTS; fault++)
    print_row (
        fault_names[fault],
        (struct run){ .deployment = deployment,
                      .policy = BENCH_KINGCUPPOINT,
                      .fault = (enum fault)fault,
                      .load = fault == FAULT_SURGE ? LOAD_OF_SURGE : LOAD_OF_FAULTS },
        seed);
}

static const double weighed_loads[] = { 0.95, 2.0 };

/* Compares kingcuppoint with variants of it, and with the all-knowing bound. */
static void
print_variants (const char *name, guint32 seed)
{
  for (size_t d = 0; d < deployment_count; d++)
    for (size_t i = 0; i < G_N_ELEMENTS (weighed_loads); i++)
      {
        double load = weighed_loads[i];
        g_autofree char *what = g_strdup_printf ("%s %.2f", deployments[d].name, load);

        print_heading (what);
        for (size_t v = 0; v < G_N_ELEMENTS (variants); v++)
          if (v == 0 || strcmp (name, "variants") == 0
              || g_str_has_prefix (variants[v].name, name))
            {
              struct run run = { .deployment = &deployments[d],
                                 .policy = BENCH_ALL_KNOWING,
                                 .variant = variants[v],
                                 .load = load };

              print_row ("(all-knowing)", run, seed);
              run.policy = BENCH_KINGCUPPOINT;
              print_row (variants[v].name, run, seed);
            }
      }
}
