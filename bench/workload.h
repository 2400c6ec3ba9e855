/* The callers of the two deployments: teams, nested prompts and hot prefixes. */
#ifndef KCP_BENCH_WORKLOAD_H
#define KCP_BENCH_WORKLOAD_H

#include "bench/job.h"
#include "bench/sim.h"

#define WORKLOAD_TEAMS 8
#define WORKLOAD_VMS   7
#define DATA_CENTERS   3
#define LEVELS_MAX     4

/* One level of nested prompts: how many blocks it adds and how many variants of it there
   are below one variant of the level before. */
struct level
{
  size_t blocks;
  unsigned variants;
  bool skewed;       /* variant k is as frequent as 1/(k + 1) */
  int64_t period_ns; /* after which the variants are others; 0: never */
};

struct kind
{
  struct level levels[LEVELS_MAX];
  size_t level_count;
  int64_t tail_tokens;
  int64_t answer_tokens; /* mean */
  int64_t deadline_ns;
};

struct deployment
{
  const char *name;
  unsigned engines;
  size_t cache_blocks; /* of each engine */
  double capacity;     /* requests a second at load 1 */
  double urgent_share; /* of the requests */
  int64_t transfer_ns; /* between data centers, there and back */
  struct kind urgent;
  struct kind normal;
};

extern const struct deployment deployments[];
extern const size_t deployment_count;

struct job *
workload_job (const struct deployment *deployment, struct sim *sim, uint64_t generation);
double workload_standard_ns (const struct job *job);

#endif
