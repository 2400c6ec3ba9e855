/* How many requests a server may have in flight: a limit that follows the delay measured
   there. Pure: the time is passed in. */
#ifndef KCP_POLICY_LIMIT_H
#define KCP_POLICY_LIMIT_H

#include <stdint.h>

struct kcp_limit_settings
{
  int64_t least;
  int64_t greatest;
  int64_t target_ns;   /* delay by queueing up to which the limit may grow */
  int64_t interval_ns; /* between two reductions */
};

struct kcp_limit
{
  double value;
  int64_t reduced_ns; /* time of the last reduction */
};

void kcp_limit_init (struct kcp_limit *limit, const struct kcp_limit_settings *settings);
void
kcp_limit_observe (struct kcp_limit *limit, const struct kcp_limit_settings *settings,
                   int64_t in_flight, int64_t delay_ns, int64_t now_ns);

#endif
