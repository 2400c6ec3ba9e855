/* How many requests a server may have in flight: a limit that follows the queue that its
   load reports show. */
#ifndef KCP_POLICY_LIMIT_H
#define KCP_POLICY_LIMIT_H

#include <stdint.h>

struct kcp_limit_settings
{
  int64_t least;
  int64_t greatest;
};

/* What a server's load report says. */
struct kcp_limit_facts
{
  int64_t in_flight;
  int64_t waiting; /* of in_flight, those that have no place in the server's batch */
};

struct kcp_limit
{
  double value;
};

void kcp_limit_init (struct kcp_limit *limit, const struct kcp_limit_settings *settings);
void
kcp_limit_observe (struct kcp_limit *limit, const struct kcp_limit_settings *settings,
                   const struct kcp_limit_facts *facts);

#endif
