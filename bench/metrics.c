#include "bench/metrics.h"

#include "base/clock.h"

#define WINDOW_START_NS (8 * KCP_NS_PER_S)
#define WINDOW_END_NS   (40 * KCP_NS_PER_S)
#define PERCENT         100.0

static const char *const names[METRIC_COUNT] = {
  [METRIC_HIT] = "hit%",          [METRIC_WASTE] = "waste%",
  [METRIC_U_P50] = "u50",         [METRIC_U_P95] = "u95",
  [METRIC_U_P99] = "u99",         [METRIC_U_IN_TIME] = "u-ok%",
  [METRIC_U_REFUSED] = "u-ref%",  [METRIC_N_P50] = "n50",
  [METRIC_N_P95] = "n95",         [METRIC_N_P99] = "n99",
  [METRIC_N_IN_TIME] = "n-ok%",   [METRIC_N_REFUSED] = "n-ref%",
  [METRIC_GOODPUT] = "good%",     [METRIC_IMPORTANCE] = "imp%",
  [METRIC_FAIRNESS] = "fair",     [METRIC_RETRIES] = "retry%",
  [METRIC_CRASHES] = "crash",     [METRIC_BLOCKED] = "block",
  [METRIC_RESUBMITTED] = "back%",
};

/* Totals over the requests of one class. */
struct totals
{
  GArray *first_token_ms; /* double; the deadline if there was no token */
  double offered;
  double in_time;
  double refused;
};

static bool is_in_window (const struct job *job);
static void add_class_metrics (const struct world *world, enum kcp_class class,
                               struct metrics *metrics, enum metric first);
static void add_to_totals (struct totals *totals, const struct job *job);
static double percentile (const GArray *sorted, double fraction);
static int compare (gconstpointer a, gconstpointer b);
static double percent_of (double part, double total);
static void add_cache_metrics (const struct world *world, struct metrics *metrics);
static void add_goodput (const struct world *world, struct metrics *metrics);
static double jain_fairness (const struct world *world);
static void
max_min_shares (const double *demand, double total, double *fair_shares, unsigned count);
static void add_resubmissions (const struct world *world, struct metrics *metrics);

/* Computes the metrics of one run. */
struct metrics
metrics_compute (const struct world *world)
{
  struct metrics metrics = { 0 };

  add_class_metrics (world, KCP_CLASS_URGENT, &metrics, METRIC_U_P50);
  add_class_metrics (world, KCP_CLASS_NORMAL, &metrics, METRIC_N_P50);
  add_cache_metrics (world, &metrics);
  add_goodput (world, &metrics);
  add_resubmissions (world, &metrics);
  metrics.values[METRIC_FAIRNESS] = jain_fairness (world);
  metrics.values[METRIC_RETRIES] = percent_of (
      (double)world->retries, (double)(world->attempts_sent - world->retries));
  metrics.values[METRIC_CRASHES] = world->engine_crashes;
  return metrics;
}

/* Returns the column title of a metric. */
const char *
metric_name (enum metric metric)
{
  return names[metric];
}

static bool
is_in_window (const struct job *job)
{
  return job->arrived_ns >= WINDOW_START_NS && job->arrived_ns < WINDOW_END_NS
         && !job->crashes_engine;
}

/* Sets the five metrics of a class of requests, which begin with first. */
static void
add_class_metrics (const struct world *world, enum kcp_class class,
                   struct metrics *metrics, enum metric first)
{
  struct totals totals
      = { .first_token_ms = g_array_new (FALSE, FALSE, sizeof (double)) };

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (is_in_window (job) && job->class == class)
        add_to_totals (&totals, job);
    }
  g_array_sort (totals.first_token_ms, compare);
  metrics->values[first] = percentile (totals.first_token_ms, 0.50);
  metrics->values[first + 1] = percentile (totals.first_token_ms, 0.95);
  metrics->values[first + 2] = percentile (totals.first_token_ms, 0.99);
  metrics->values[first + 3] = percent_of (totals.in_time, totals.offered);
  metrics->values[first + 4] = percent_of (totals.refused, totals.offered);
  g_array_unref (totals.first_token_ms);
}

static void
add_to_totals (struct totals *totals, const struct job *job)
{
  int64_t first_ns = job->first_token_ns > 0 ? job->first_token_ns : job->deadline_ns;
  double ms = (double)(first_ns - job->arrived_ns) / KCP_NS_PER_MS;

  totals->offered++;
  totals->in_time += job->outcome == JOB_ANSWERED;
  totals->refused += job->outcome == JOB_REFUSED;
  if (job->outcome != JOB_REFUSED && job->outcome != JOB_BLOCKED)
    g_array_append_val (totals->first_token_ms, ms);
}

static double
percentile (const GArray *sorted, double fraction)
{
  if (sorted->len == 0)
    return 0.0;
  return g_array_index (sorted, double, (guint)(fraction * (sorted->len - 1)));
}

static int
compare (gconstpointer a, gconstpointer b)
{
  double one = *(const double *)a;
  double other = *(const double *)b;

  return (one > other) - (one < other);
}

static double
percent_of (double part, double total)
{
  return total > 0.0 ? PERCENT * part / total : 0.0;
}

static void
add_cache_metrics (const struct world *world, struct metrics *metrics)
{
  double prompt = 0.0;
  double cached = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (!is_in_window (job) || !job->started)
        continue;
      prompt += (double)job->prompt_tokens;
      cached += (double)job->cached_tokens;
    }
  metrics->values[METRIC_HIT] = percent_of (cached, prompt);
  prompt = 0.0;
  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      prompt += job->started ? (double)job->prompt_tokens : 0.0;
    }
  metrics->values[METRIC_WASTE] = percent_of ((double)world->recomputed_tokens, prompt);
}

static void
add_goodput (const struct world *world, struct metrics *metrics)
{
  double answered_ns = 0.0;
  double offered = 0.0;
  double in_time = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (job->outcome == JOB_ANSWERED && job->ended_ns >= WINDOW_START_NS
          && job->ended_ns < WINDOW_END_NS)
        answered_ns += workload_cached_cost_ns (job);
      if (!is_in_window (job))
        continue;
      offered += job->importance;
      in_time += job->outcome == JOB_ANSWERED ? job->importance : 0;
      metrics->values[METRIC_BLOCKED] += job->outcome == JOB_BLOCKED;
    }
  metrics->values[METRIC_GOODPUT]
      = percent_of (answered_ns, (double)world->run.deployment->engines
                                     * (WINDOW_END_NS - WINDOW_START_NS));
  metrics->values[METRIC_IMPORTANCE] = percent_of (in_time, offered);
}

/* Returns Jain's fairness index of the ratios between the engine time that each team was
   served and its max-min fair share of the total served. */
static double
jain_fairness (const struct world *world)
{
  double demand[WORKLOAD_TEAMS] = { 0 };
  double served[WORKLOAD_TEAMS] = { 0 };
  double fair_shares[WORKLOAD_TEAMS];
  double total = 0.0;
  double sum = 0.0;
  double squares = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);
      double ns = workload_cached_cost_ns (job);

      if (!is_in_window (job))
        continue;
      demand[job->team] += ns;
      served[job->team] += job->outcome == JOB_ANSWERED ? ns : 0.0;
      total += job->outcome == JOB_ANSWERED ? ns : 0.0;
    }
  max_min_shares (demand, total, fair_shares, WORKLOAD_TEAMS);
  for (unsigned i = 0; i < WORKLOAD_TEAMS; i++)
    {
      double ratio = fair_shares[i] > 0.0 ? served[i] / fair_shares[i] : 1.0;

      sum += ratio;
      squares += ratio * ratio;
    }
  return squares > 0.0 ? sum * sum / (WORKLOAD_TEAMS * squares) : 1.0;
}

/* Computes the max-min fair shares of total for count demands. */
static void
max_min_shares (const double *demand, double total, double *fair_shares, unsigned count)
{
  double level = 0.0;

  for (unsigned round = 0; round < count; round++)
    {
      double remaining = total;
      unsigned unsatisfied = 0;

      for (unsigned i = 0; i < count; i++)
        if (round > 0 && demand[i] <= level)
          remaining -= demand[i];
        else
          unsatisfied++;
      level = unsatisfied > 0 ? remaining / unsatisfied : level;
    }
  for (unsigned i = 0; i < count; i++)
    fair_shares[i] = MIN (demand[i], level);
}

/* Adds the percentage of resubmitted requests that were not refused again. */
static void
add_resubmissions (const struct world *world, struct metrics *metrics)
{
  double resubmitted = 0.0;
  double accepted = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (job->resubmissions == 0)
        continue;
      resubmitted++;
      accepted += job->outcome != JOB_REFUSED;
    }
  metrics->values[METRIC_RESUBMITTED] = percent_of (accepted, resubmitted);
}
