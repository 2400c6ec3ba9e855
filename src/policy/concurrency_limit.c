#include "policy/concurrency_limit.h"

#include <math.h>

#define REDUCTION 0.95 /* factor on a report that shows a queue */
#define INCREASE  0.5  /* requests, on a report without one */

/* Starts at the greatest limit, so that a VM that has just started refuses nothing that
   its servers could do. */
void
kcp_concurrency_limit_init (struct kcp_concurrency_limit *limit,
                            const struct kcp_concurrency_limit_settings *settings)
{
  *limit = (struct kcp_concurrency_limit){ .value = (double)settings->max };
}

/* Takes in one load report: additive increase while the delay is within the target and
   the limit is in use, multiplicative decrease from what is in flight otherwise. Every VM
   sees the same reports, so that their limits agree without being shared. */
void
kcp_concurrency_limit_observe (struct kcp_concurrency_limit *limit,
                               const struct kcp_concurrency_limit_settings *settings,
                               const struct kcp_concurrency_limit_report *facts)
{
  double in_flight = (double)facts->in_flight;

  if (facts->waiting > 0)
    limit->value = fmin (limit->value, in_flight) * REDUCTION;
  else if (in_flight >= limit->value - 1.0)
    limit->value += INCREASE;
  limit->value = fmin (limit->value, (double)settings->max);
  limit->value = fmax (limit->value, (double)settings->min);
}
