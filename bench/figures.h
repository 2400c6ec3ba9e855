/* The figures of runs, summed over seeds. */
#ifndef KCP_BENCH_FIGURES_H
#define KCP_BENCH_FIGURES_H

#include "bench/world.h"

#define FIGURES_SEEDS_MAX 8

/* All shares are in hundredths, all times in milliseconds. */
enum figure
{
  FIGURE_HIT,   /* prompt tokens found in caches */
  FIGURE_WASTE, /* tokens computed that had been computed before, of the prompts */
  FIGURE_U_P50, /* time to first token of urgent requests */
  FIGURE_U_P95,
  FIGURE_U_P99,
  FIGURE_U_IN_TIME,
  FIGURE_U_REFUSED,
  FIGURE_N_P50,
  FIGURE_N_P95,
  FIGURE_N_P99,
  FIGURE_N_IN_TIME,
  FIGURE_N_REFUSED,
  FIGURE_GOODPUT,    /* standard engine time answered in time, of all engine time */
  FIGURE_IMPORTANCE, /* of the requests, by importance, answered in time */
  FIGURE_FAIRNESS,   /* Jain's index over what teams got of their fair share */
  FIGURE_RETRIES,    /* attempts after the first, of the first */
  FIGURE_CRASHES,    /* engines */
  FIGURE_BLOCKED,    /* innocent requests blocked */
  FIGURE_RETURNED,   /* callers that came back when told to and got in */
  FIGURES
};

struct figures
{
  double values[FIGURES];
};

struct figures figures_of (const struct world *world);
const char *figure_name (enum figure figure);

#endif
