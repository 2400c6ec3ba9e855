/* Generates the requests of two model deployments. Prompts are nested: requests share
   leading blocks, and some prefixes are more frequent than others. */
#ifndef KCP_BENCH_WORKLOAD_H
#define KCP_BENCH_WORKLOAD_H

#include "bench/job.h"
#include "bench/sim.h"

#define WORKLOAD_TEAMS    8
#define WORKLOAD_VMS      7
#define DATA_CENTERS      3
#define PROMPT_LEVELS_MAX 4

/* One level of nested prompts. The level has the same number of variants after each
   variant of the previous level. */
struct prompt_level
{
  size_t blocks; /* added to the prompt by this level */
  unsigned variants;
  bool skewed;       /* the frequency of variant k is proportional to 1/(k + 1) */
  int64_t period_ns; /* every variant is replaced once per period; 0: never */
};

struct request_kind
{
  struct prompt_level levels[PROMPT_LEVELS_MAX];
  size_t level_count;
  int64_t tail_tokens;   /* after the nested blocks, never cached */
  int64_t answer_tokens; /* mean */
  int64_t deadline_ns;
};

struct deployment
{
  const char *name;
  unsigned engines;
  size_t cache_blocks;   /* of each engine */
  double capacity;       /* requests per second at load 1 */
  double urgent_share;   /* fraction of requests that are urgent */
  int64_t round_trip_ns; /* between two data centers */
  struct request_kind urgent;
  struct request_kind normal;
};

extern const struct deployment deployments[];
extern const size_t deployment_count;

struct job *workload_new_job (const struct deployment *deployment, struct sim *sim,
                              uint64_t generation);
double workload_cached_cost_ns (const struct job *job);

#endif
