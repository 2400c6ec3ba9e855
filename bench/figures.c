#include "bench/figures.h"

#include "base/clock.h"

#define MEASURED_FROM_NS (8 * KCP_NS_PER_S)
#define MEASURED_TO_NS   (40 * KCP_NS_PER_S)
#define PERCENT          100.0

static const char *const names[FIGURES] = {
  [FIGURE_HIT] = "hit%",         [FIGURE_WASTE] = "waste%",
  [FIGURE_U_P50] = "u50",        [FIGURE_U_P95] = "u95",
  [FIGURE_U_P99] = "u99",        [FIGURE_U_IN_TIME] = "u-ok%",
  [FIGURE_U_REFUSED] = "u-ref%", [FIGURE_N_P50] = "n50",
  [FIGURE_N_P95] = "n95",        [FIGURE_N_P99] = "n99",
  [FIGURE_N_IN_TIME] = "n-ok%",  [FIGURE_N_REFUSED] = "n-ref%",
  [FIGURE_GOODPUT] = "good%",    [FIGURE_IMPORTANCE] = "imp%",
  [FIGURE_FAIRNESS] = "fair",    [FIGURE_RETRIES] = "retry%",
  [FIGURE_CRASHES] = "crash",    [FIGURE_BLOCKED] = "block",
  [FIGURE_RETURNED] = "back%",
};

/* What the requests of one class did. */
struct tally
{
  GArray *first_token_ms; /* double; the deadline where there was none */
  double offered;
  double in_time;
  double refused;
};

static bool is_measured (const struct job *job);
static void add_class (const struct world *world, enum kcp_class class,
                       struct figures *figures, enum figure first);
static void tally_job (struct tally *tally, const struct job *job);
static double percentile (const GArray *sorted, double share);
static int compare (gconstpointer a, gconstpointer b);
static double share_of (double part, double whole);
static void add_caches (const struct world *world, struct figures *figures);
static void add_goodput (const struct world *world, struct figures *figures);
static double fairness (const struct world *world);
static void
share_out (const double *wanted, double total, double *shares, unsigned count);
static void add_returns (const struct world *world, struct figures *figures);

/* Works out the figures of one run. */
struct figures
figures_of (const struct world *world)
{
  struct figures figures = { 0 };

  add_class (world, KCP_CLASS_URGENT, &figures, FIGURE_U_P50);
  add_class (world, KCP_CLASS_NORMAL, &figures, FIGURE_N_P50);
  add_caches (world, &figures);
  add_goodput (world, &figures);
  add_returns (world, &figures);
  figures.values[FIGURE_FAIRNESS] = fairness (world);
  figures.values[FIGURE_RETRIES]
      = share_of ((double)world->retried, (double)(world->sent - world->retried));
  figures.values[FIGURE_CRASHES] = world->crashes;
  return figures;
}

/* Returns the heading of a figure's column. */
const char *
figure_name (enum figure figure)
{
  return names[figure];
}

static bool
is_measured (const struct job *job)
{
  return job->arrived_ns >= MEASURED_FROM_NS && job->arrived_ns < MEASURED_TO_NS
         && !job->crashes;
}

static void
add_class (const struct world *world, enum kcp_class class, struct figures *figures,
           enum figure first)
{
  struct tally tally = { .first_token_ms = g_array_new (FALSE, FALSE, sizeof (double)) };

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (is_measured (job) && job->class == class)
        tally_job (&tally, job);
    }
  g_array_sort (tally.first_token_ms, compare);
  figures->values[first] = percentile (tally.first_token_ms, 0.50);
  figures->values[first + 1] = percentile (tally.first_token_ms, 0.95);
  figures->values[first + 2] = percentile (tally.first_token_ms, 0.99);
  figures->values[first + 3] = share_of (tally.in_time, tally.offered);
  figures->values[first + 4] = share_of (tally.refused, tally.offered);
  g_array_unref (tally.first_token_ms);
}

static void
tally_job (struct tally *tally, const struct job *job)
{
  int64_t first_ns = job->first_token_ns > 0 ? job->first_token_ns : job->deadline_ns;
  double ms = (double)(first_ns - job->arrived_ns) / KCP_NS_PER_MS;

  tally->offered++;
  tally->in_time += job->end == JOB_ANSWERED;
  tally->refused += job->end == JOB_REFUSED;
  if (job->end != JOB_REFUSED && job->end != JOB_BLOCKED)
    g_array_append_val (tally->first_token_ms, ms);
}

static double
percentile (const GArray *sorted, double share)
{
  if (sorted->len == 0)
    return 0.0;
  return g_array_index (sorted, double, (guint)(share * (sorted->len - 1)));
}

static int
compare (gconstpointer a, gconstpointer b)
{
  double one = *(const double *)a;
  double other = *(const double *)b;

  return (one > other) - (one < other);
}

static double
share_of (double part, double whole)
{
  return whole > 0.0 ? PERCENT * part / whole : 0.0;
}

static void
add_caches (const struct world *world, struct figures *figures)
{
  double prompt = 0.0;
  double cached = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (!is_measured (job) || !job->started)
        continue;
      prompt += (double)job->prompt_tokens;
      cached += (double)job->cached_tokens;
    }
  figures->values[FIGURE_HIT] = share_of (cached, prompt);
  prompt = 0.0;
  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      prompt += job->started ? (double)job->prompt_tokens : 0.0;
    }
  figures->values[FIGURE_WASTE] = share_of ((double)world->recomputed_tokens, prompt);
}

static void
add_goodput (const struct world *world, struct figures *figures)
{
  double answered_ns = 0.0;
  double offered = 0.0;
  double in_time = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (job->end == JOB_ANSWERED && job->ended_ns >= MEASURED_FROM_NS
          && job->ended_ns < MEASURED_TO_NS)
        answered_ns += workload_standard_ns (job);
      if (!is_measured (job))
        continue;
      offered += job->importance;
      in_time += job->end == JOB_ANSWERED ? job->importance : 0;
      figures->values[FIGURE_BLOCKED] += job->end == JOB_BLOCKED;
    }
  figures->values[FIGURE_GOODPUT]
      = share_of (answered_ns, (double)world->run.deployment->engines
                                   * (MEASURED_TO_NS - MEASURED_FROM_NS));
  figures->values[FIGURE_IMPORTANCE] = share_of (in_time, offered);
}

/* Compares what each team got with what equal shares of all that was got would be, a team
   that wants less leaving the rest to the others. */
static double
fairness (const struct world *world)
{
  double wanted[WORKLOAD_TEAMS] = { 0 };
  double got[WORKLOAD_TEAMS] = { 0 };
  double shares[WORKLOAD_TEAMS];
  double total = 0.0;
  double sum = 0.0;
  double squares = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);
      double ns = workload_standard_ns (job);

      if (!is_measured (job))
        continue;
      wanted[job->team] += ns;
      got[job->team] += job->end == JOB_ANSWERED ? ns : 0.0;
      total += job->end == JOB_ANSWERED ? ns : 0.0;
    }
  share_out (wanted, total, shares, WORKLOAD_TEAMS);
  for (unsigned i = 0; i < WORKLOAD_TEAMS; i++)
    {
      double part = shares[i] > 0.0 ? got[i] / shares[i] : 1.0;

      sum += part;
      squares += part * part;
    }
  return squares > 0.0 ? sum * sum / (WORKLOAD_TEAMS * squares) : 1.0;
}

/* Max-min fair shares of total among those that want so much. */
static void
share_out (const double *wanted, double total, double *shares, unsigned count)
{
  double level = 0.0;

  for (unsigned round = 0; round < count; round++)
    {
      double left = total;
      unsigned greedy = 0;

      for (unsigned i = 0; i < count; i++)
        if (round > 0 && wanted[i] <= level)
          left -= wanted[i];
        else
          greedy++;
      level = greedy > 0 ? left / greedy : level;
    }
  for (unsigned i = 0; i < count; i++)
    shares[i] = MIN (wanted[i], level);
}

/* Of the callers that came back at the time given, how many got in at that try. */
static void
add_returns (const struct world *world, struct figures *figures)
{
  double returned = 0.0;
  double taken = 0.0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (world->jobs, i);

      if (job->returns == 0)
        continue;
      returned++;
      taken += job->end != JOB_REFUSED;
    }
  figures->values[FIGURE_RETURNED] = share_of (taken, returned);
}
