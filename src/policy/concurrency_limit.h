/* How many requests a server may have in flight: a limit that follows the queue that its
   load reports show. */
#ifndef KCP_POLICY_CONCURRENCY_LIMIT_H
#define KCP_POLICY_CONCURRENCY_LIMIT_H

#include <stdint.h>

struct kcp_concurrency_limit_settings
{
  int64_t min;
  int64_t max;
};

/* What a server's load report says. */
struct kcp_concurrency_limit_report
{
  int64_t in_flight;
  int64_t waiting; /* of in_flight, those that have no place in the server's batch */
};

struct kcp_concurrency_limit
{
  double value;
};

void kcp_concurrency_limit_init (struct kcp_concurrency_limit *limit,
                                 const struct kcp_concurrency_limit_settings *settings);
void kcp_concurrency_limit_observe (struct kcp_concurrency_limit *limit,
                                    const struct kcp_concurrency_limit_settings *settings,
                                    const struct kcp_concurrency_limit_report *facts);

#endif
