/* Limit on the requests in flight at a server. It adapts to the queue that the load
   reports of the server show. */
#ifndef KCP_POLICY_CONCURRENCY_LIMIT_H
#define KCP_POLICY_CONCURRENCY_LIMIT_H

#include <stdint.h>

struct kcp_concurrency_limit_settings
{
  int64_t min;
  int64_t max;
};

/* Load report of a server. */
struct kcp_concurrency_limit_report
{
  int64_t in_flight;
  int64_t waiting; /* requests of in_flight without a slot in the batch */
};

struct kcp_concurrency_limit
{
  double value;
};

void kcp_concurrency_limit_init (struct kcp_concurrency_limit *limit,
                                 const struct kcp_concurrency_limit_settings *settings);
void kcp_concurrency_limit_observe (struct kcp_concurrency_limit *limit,
                                    const struct kcp_concurrency_limit_settings *settings,
                                    const struct kcp_concurrency_limit_report *report);

#endif
