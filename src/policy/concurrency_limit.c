#include "policy/concurrency_limit.h"

#include <math.h>

#define REDUCTION 0.95 /* factor applied on a report that shows a queue */
#define INCREASE  0.5  /* requests added on a report without a queue */

/* Initializes the limit to its maximum, so a VM that has just started refuses nothing
   that its servers could process. */
void
kcp_concurrency_limit_init (struct kcp_concurrency_limit *limit,
                            const struct kcp_concurrency_limit_settings *settings)
{
  *limit = (struct kcp_concurrency_limit){ .value = (double)settings->max };
}

/* Updates the limit from a load report. While requests queue, it decreases
   multiplicatively from the limit or the number of requests in flight, whichever is
   lower. While no request queues and the limit is in use, it increases additively.
   Otherwise it stays the same. All VMs receive the same reports, so their limits agree
   without being exchanged. */
void
kcp_concurrency_limit_observe (struct kcp_concurrency_limit *limit,
                               const struct kcp_concurrency_limit_settings *settings,
                               const struct kcp_concurrency_limit_report *report)
{
  double in_flight = (double)report->in_flight;

  if (report->waiting > 0)
    limit->value = fmin (limit->value, in_flight) * REDUCTION;
  else if (in_flight >= limit->value - 1.0)
    limit->value += INCREASE;
  limit->value = fmin (limit->value, (double)settings->max);
  limit->value = fmax (limit->value, (double)settings->min);
}
