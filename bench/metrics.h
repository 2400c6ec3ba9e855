/* Computes the metrics of a simulation run. */
#ifndef KCP_BENCH_METRICS_H
#define KCP_BENCH_METRICS_H

#include "bench/world.h"

#define METRICS_SEEDS_MAX 8

/* Ratios are in percent, except METRIC_FAIRNESS; times are in milliseconds. "U" stands
   for urgent requests, "N" for normal ones. */
enum metric
{
  METRIC_HIT,   /* prompt tokens that were cached */
  METRIC_WASTE, /* tokens computed again, of all prompt tokens */
  METRIC_U_P50, /* percentiles of the time to the first token */
  METRIC_U_P95,
  METRIC_U_P99,
  METRIC_U_IN_TIME,
  METRIC_U_REFUSED,
  METRIC_N_P50,
  METRIC_N_P95,
  METRIC_N_P99,
  METRIC_N_IN_TIME,
  METRIC_N_REFUSED,
  METRIC_GOODPUT,     /* cached cost of answered requests, of all engine time */
  METRIC_IMPORTANCE,  /* requests answered in time, weighted by importance */
  METRIC_FAIRNESS,    /* Jain's fairness index over the teams, at most 1 */
  METRIC_RETRIES,     /* retries, of first attempts */
  METRIC_CRASHES,     /* number of engine crashes */
  METRIC_BLOCKED,     /* number of harmless requests that were blocked */
  METRIC_RESUBMITTED, /* resubmitted requests that were not refused again */
  METRIC_COUNT
};

struct metrics
{
  double values[METRIC_COUNT];
};

struct metrics metrics_compute (const struct world *world);
const char *metric_name (enum metric metric);

#endif
