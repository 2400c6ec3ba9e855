#include "policy/server_health.h"

#include <math.h>

#include "base/clock.h"

/* Time in which evidence loses half of its weight. */
#define HALF_LIFE_NS (5 * KCP_NS_PER_S)
/* A server without evidence counts as this many attempts with the failures of its
   service: a single failure, also of the first attempt, stays below SHARE_IGNORED. */
#define PRIOR_ATTEMPTS 6.0
/* Failures up to this share of the attempts beyond the usual one change nothing: servers
   fail now and then, and moving their requests loses what they have cached. */
#define SHARE_IGNORED 0.15
/* Cost of an attempt that fails: about the time that its request loses. */
#define FAILURE_COST_US 2000000.0
/* Weights of outcomes. A refusal costs a request less time than a failure. A server that
   accepts no connections rarely accepts the next one. */
#define REFUSAL_WEIGHT   0.5
#define UNREACHED_WEIGHT 4.0

/* Adds the outcome of an attempt. */
void
kcp_outcome_counts_add (struct kcp_outcome_counts *counts,
                        enum kcp_server_outcome outcome)
{
  switch (outcome)
    {
    case KCP_OUTCOME_SUCCESS:
      counts->successes += 1;
      break;
    case KCP_OUTCOME_FAILURE:
      counts->failures += 1;
      break;
    case KCP_OUTCOME_REFUSAL:
      counts->failures += REFUSAL_WEIGHT;
      break;
    case KCP_OUTCOME_UNREACHED:
      counts->failures += UNREACHED_WEIGHT;
      break;
    }
}

/* Records the outcome of an attempt of this VM. */
void
kcp_server_health_record (struct kcp_server_health *health,
                          enum kcp_server_outcome outcome, int64_t now_ns)
{
  health->counts = kcp_server_health_counts (health, now_ns);
  health->counted_ns = now_ns;
  kcp_outcome_counts_add (&health->counts, outcome);
}

/* Adds outcomes of another VM. */
void
kcp_server_health_merge (struct kcp_server_health *health,
                         const struct kcp_outcome_counts *counts, int64_t now_ns)
{
  health->counts = kcp_server_health_counts (health, now_ns);
  health->counted_ns = now_ns;
  health->counts.successes += counts->successes;
  health->counts.failures += counts->failures;
}

/* Forgets the failures: the server is reached again after it was not. */
void
kcp_server_health_forgive (struct kcp_server_health *health, int64_t now_ns)
{
  health->counts = kcp_server_health_counts (health, now_ns);
  health->counted_ns = now_ns;
  health->counts.failures = 0;
}

/* Returns the evidence with its present weight. */
struct kcp_outcome_counts
kcp_server_health_counts (const struct kcp_server_health *health, int64_t now_ns)
{
  struct kcp_outcome_counts counts = health->counts;
  double weight;

  if (counts.successes == 0 && counts.failures == 0)
    return counts;
  weight = exp2 (-(double)(now_ns - health->counted_ns) / HALF_LIFE_NS);
  counts.successes *= weight;
  counts.failures *= weight;
  return counts;
}

/* Returns the cost of sending a request to a server, in microseconds: that of the share
   of its attempts that fail beyond the share at the other servers of its service.
   service is the sum over all servers, this one included. */
int64_t
kcp_server_health_cost_us (const struct kcp_outcome_counts *own,
                           const struct kcp_outcome_counts *service)
{
  double others_failures = fmax (service->failures - own->failures, 0);
  double others = others_failures + fmax (service->successes - own->successes, 0);
  double usual = others_failures / (others + PRIOR_ATTEMPTS);
  double share = (own->failures + usual * PRIOR_ATTEMPTS)
                 / (own->failures + own->successes + PRIOR_ATTEMPTS);

  return (int64_t)(fmax (share - usual - SHARE_IGNORED, 0) * FAILURE_COST_US);
}
