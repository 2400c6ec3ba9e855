#include "bench/workload.h"

#include <math.h>
#include <xxhash.h>

#include "base/clock.h"
#include "bench/fake_engine.h"
#include "policy/prefix.h"

#define ALL_DATA_CENTERS ((1u << DATA_CENTERS) - 1)
#define ANSWER_SPREAD    0.5 /* of the mean, either way */
#define BATCH_TYPICAL    12  /* answers that share a step */

const struct deployment deployments[] = {
  {
      .name = "Brolga",
      .engines = 10,
      .cache_blocks = 120,
      .capacity = 45.0,
      .urgent_share = 0.7,
      .transfer_ns = 4 * KCP_NS_PER_MS,
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
      .transfer_ns = 1 * KCP_NS_PER_MS,
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
    = { 7, 7, 7, 7, 7, 7, 3, 6 }; /* bit masks of those allowed */

static unsigned pick_team (GRand *random);
static unsigned pick_variant (const struct level *level, GRand *random);
static void add_level (struct job *job, const struct level *level, uint64_t *path,
                       struct sim *sim, uint64_t generation);
static uint64_t mix (uint64_t a, uint64_t b);

/* Makes the next request. A change of generation changes all prompts but their heads. */
struct job *
workload_job (const struct deployment *deployment, struct sim *sim, uint64_t generation)
{
  GRand *random = sim_random (sim);
  struct job *job = g_new0 (struct job, 1);
  bool urgent = g_rand_double (random) < deployment->urgent_share;
  const struct kind *kind = urgent ? &deployment->urgent : &deployment->normal;
  uint64_t path;

  job->class = urgent ? KCP_CLASS_URGENT : KCP_CLASS_NORMAL;
  job->team = pick_team (random);
  job->data_centers = team_data_centers[job->team] & ALL_DATA_CENTERS;
  job->importance = 20 + 30 * g_rand_int_range (random, 0, 3);
  job->fingerprint = mix (g_rand_int (random), g_rand_int (random));
  path = mix (job->team, urgent);
  for (size_t i = 0; i < kind->level_count; i++)
    add_level (job, &kind->levels[i], &path, sim, i > 0 ? generation : 0);
  job->prompt_tokens = (int64_t)job->blocks * KCP_BLOCK_TOKENS + kind->tail_tokens;
  job->answer_tokens = (int64_t)((double)kind->answer_tokens
                                 * g_rand_double_range (random, 1.0 - ANSWER_SPREAD,
                                                        1.0 + ANSWER_SPREAD));
  job->arrived_ns = sim_now (sim);
  job->deadline_ns = job->arrived_ns + kind->deadline_ns;
  return job;
}

/* Returns the engine time that a request takes when all its whole blocks are cached. */
double
workload_standard_ns (const struct job *job)
{
  int64_t tail = job->prompt_tokens - (int64_t)job->blocks * KCP_BLOCK_TOKENS;
  double step = (double)ENGINE_NS_PER_STEP / BATCH_TYPICAL + ENGINE_NS_PER_ANSWER;

  return (double)tail * ENGINE_NS_PER_TOKEN + (double)job->answer_tokens * step;
}

static unsigned
pick_team (GRand *random)
{
  double at = g_rand_double (random);
  unsigned team = 0;

  while (team < WORKLOAD_TEAMS - 1 && at >= team_weights[team])
    at -= team_weights[team++];
  return team;
}

static unsigned
pick_variant (const struct level *level, GRand *random)
{
  double total = 0.0;
  double at;

  if (!level->skewed)
    return (unsigned)g_rand_int_range (random, 0, (gint32)level->variants);
  for (unsigned i = 0; i < level->variants; i++)
    total += 1.0 / (i + 1);
  at = g_rand_double (random) * total;
  for (unsigned i = 0; i < level->variants; i++)
    {
      at -= 1.0 / (i + 1);
      if (at < 0.0)
        return i;
    }
  return level->variants - 1;
}

/* Variants are replaced one after the other, each once a period. */
static void
add_level (struct job *job, const struct level *level, uint64_t *path, struct sim *sim,
           uint64_t generation)
{
  unsigned variant = pick_variant (level, sim_random (sim));
  int64_t period = level->period_ns;
  int64_t age
      = period > 0 ? (sim_now (sim) + period * variant / level->variants) / period : 0;

  *path = mix (mix (*path, variant), mix ((uint64_t)age, generation));
  for (size_t i = 0; i < level->blocks; i++)
    {
      *path = mix (*path, i);
      job->chain[job->blocks++] = *path;
    }
}

static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };

  return XXH3_64bits (pair, sizeof pair);
}
