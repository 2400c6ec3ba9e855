#include "policy/limit.h"

#define REDUCTION 0.9 /* factor on too long a delay */

/* Starts at the greatest limit, so that a VM that has just started refuses nothing that
   its servers could do. */
void
kcp_limit_init (struct kcp_limit *limit, const struct kcp_limit_settings *settings)
{
  *limit = (struct kcp_limit){ .value = (double)settings->greatest };
}

/* Takes in one measured delay, beyond what computing the prompt takes, at a time when so
   many requests were in flight: additive increase while the delay is within the target
   and the limit is in use, multiplicative decrease otherwise, at most once an interval.
 */
void
kcp_limit_observe (struct kcp_limit *limit, const struct kcp_limit_settings *settings,
                   int64_t in_flight, int64_t delay_ns, int64_t now_ns)
{
  if (delay_ns <= settings->target_ns)
    {
      if ((double)in_flight >= limit->value - 1.0)
        limit->value += 1.0 / limit->value;
    }
  else if (now_ns - limit->reduced_ns >= settings->interval_ns)
    {
      limit->value *= REDUCTION;
      limit->reduced_ns = now_ns;
    }
  if (limit->value > (double)settings->greatest)
    limit->value = (double)settings->greatest;
  if (limit->value < (double)settings->least)
    limit->value = (double)settings->least;
}
