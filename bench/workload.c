#include "bench/workload.h"

#include <math.h>
#include <xxhash.h>

#include "base/clock.h"
#include "bench/fake_engine.h"
#include "policy/prefix.h"

#define ALL_DATA_CENTERS ((1u << DATA_CENTERS) - 1)
#define ANSWER_DEVIATION 0.5 /* at most, as a fraction of the mean length */
#define TYPICAL_BATCH    12  /* assumed number of answers computed in one step */

const struct deployment deployments[] = {
  {
      .name = "Brolga",
      .engines = 10,
      .cache_blocks = 120,
      .capacity = 45.0,
      .urgent_share = 0.7,
      .round_trip_ns = 4 * KCP_NS_PER_MS,
      .urgent = {
          .levels = { { 1, 1, false, 0 }, { 1, 3, false, 0 } },
          .level_count = 2,
          .tail_tokens = 300,
          .answer_tokens = 40,
          .deadline_ns = 4 * KCP_NS_PER_S,
      },
      .normal = {
          .levels = { { 2, 1, false, 0 },
                      { 6, 4, true, 0 },
                      { 8, 12, false, 40 * KCP_NS_PER_S } },
          .level_count = 3,
          .tail_tokens = 400,
          .answer_tokens = 150,
          .deadline_ns = 30 * KCP_NS_PER_S,
      },
  },
  {
      .name = "Ulaanbaatar",
      .engines = 12,
      .cache_blocks = 160,
      .capacity = 25.0,
      .urgent_share = 0.35,
      .round_trip_ns = 1 * KCP_NS_PER_MS,
      .urgent = {
          .levels = { { 1, 1, false, 0 }, { 1, 2, false, 0 } },
          .level_count = 2,
          .tail_tokens = 300,
          .answer_tokens = 48,
          .deadline_ns = 4 * KCP_NS_PER_S,
      },
      .normal = {
          .levels = { { 2, 1, false, 0 },
                      { 8, 6, true, 20 * KCP_NS_PER_S },
                      { 6, 8, true, 0 },
                      { 4, 3, false, 0 } },
          .level_count = 4,
          .tail_tokens = 500,
          .answer_tokens = 200,
          .deadline_ns = 30 * KCP_NS_PER_S,
      },
  },
};
const size_t deployment_count = G_N_ELEMENTS (deployments);

static const double team_weights[WORKLOAD_TEAMS]
    = { 0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03 };
static const unsigned team_data_centers[WORKLOAD_TEAMS]
    = { 7, 7, 7, 7, 7, 7, 3, 6 }; /* bit masks of the allowed data centers */

static unsigned pick_team (GRand *random);
static unsigned pick_variant (const struct prompt_level *prompt_level, GRand *random);
static void add_level (struct job *job, const struct prompt_level *prompt_level,
                       uint64_t *prefix_hash, struct sim *sim, uint64_t generation);
static uint64_t hash_pair (uint64_t a, uint64_t b);

/* Creates a request that arrives now. A change of generation replaces all levels of the
   prompts except the first one. */
struct job *
workload_new_job (const struct deployment *deployment, struct sim *sim,
                  uint64_t generation)
{
  GRand *random = sim_workload_random (sim);
  struct job *job = g_new0 (struct job, 1);
  bool urgent = g_rand_double (random) < deployment->urgent_share;
  const struct request_kind *request_kind
      = urgent ? &deployment->urgent : &deployment->normal;
  uint64_t prefix_hash;

  job->class = urgent ? KCP_CLASS_URGENT : KCP_CLASS_NORMAL;
  job->team = pick_team (random);
  job->data_centers = team_data_centers[job->team] & ALL_DATA_CENTERS;
  job->importance = 20 + 30 * g_rand_int_range (random, 0, 3);
  job->fingerprint = hash_pair (g_rand_int (random), g_rand_int (random));
  prefix_hash = hash_pair (job->team, urgent);
  for (size_t i = 0; i < request_kind->level_count; i++)
    add_level (job, &request_kind->levels[i], &prefix_hash, sim, i > 0 ? generation : 0);
  job->prompt_tokens
      = (int64_t)job->blocks * KCP_BLOCK_TOKENS + request_kind->tail_tokens;
  job->answer_tokens = (int64_t)((double)request_kind->answer_tokens
                                 * g_rand_double_range (random, 1.0 - ANSWER_DEVIATION,
                                                        1.0 + ANSWER_DEVIATION));
  job->arrived_ns = sim_now (sim);
  job->deadline_ns = job->arrived_ns + request_kind->deadline_ns;
  return job;
}

/* Returns the engine time in nanoseconds that a request takes if all complete blocks of
   its prompt are cached. */
double
workload_cached_cost_ns (const struct job *job)
{
  int64_t tail = job->prompt_tokens - (int64_t)job->blocks * KCP_BLOCK_TOKENS;
  double step = (double)ENGINE_NS_PER_STEP / TYPICAL_BATCH + ENGINE_NS_PER_ANSWER;

  return (double)tail * ENGINE_NS_PER_TOKEN + (double)job->answer_tokens * step;
}

static unsigned
pick_team (GRand *random)
{
  double point = g_rand_double (random);
  unsigned team = 0;

  while (team < WORKLOAD_TEAMS - 1 && point >= team_weights[team])
    point -= team_weights[team++];
  return team;
}

static unsigned
pick_variant (const struct prompt_level *prompt_level, GRand *random)
{
  double total = 0.0;
  double point;

  if (!prompt_level->skewed)
    return (unsigned)g_rand_int_range (random, 0, (gint32)prompt_level->variants);
  for (unsigned i = 0; i < prompt_level->variants; i++)
    total += 1.0 / (i + 1);
  point = g_rand_double (random) * total;
  for (unsigned i = 0; i < prompt_level->variants; i++)
    {
      point -= 1.0 / (i + 1);
      if (point < 0.0)
        return i;
    }
  return prompt_level->variants - 1;
}

/* Appends the blocks of one level to the request's chain. The variants of a level with a
   period are replaced at evenly spaced times within the period. */
static void
add_level (struct job *job, const struct prompt_level *prompt_level,
           uint64_t *prefix_hash, struct sim *sim, uint64_t generation)
{
  unsigned variant = pick_variant (prompt_level, sim_workload_random (sim));
  int64_t period = prompt_level->period_ns;
  int64_t replacements
      = period > 0 ? (sim_now (sim) + period * variant / prompt_level->variants) / period
                   : 0;

  *prefix_hash = hash_pair (hash_pair (*prefix_hash, variant),
                            hash_pair ((uint64_t)replacements, generation));
  for (size_t i = 0; i < prompt_level->blocks; i++)
    {
      *prefix_hash = hash_pair (*prefix_hash, i);
      job->chain[job->blocks++] = *prefix_hash;
    }
}

static uint64_t
hash_pair (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };

  return XXH3_64bits (pair, sizeof pair);
}
