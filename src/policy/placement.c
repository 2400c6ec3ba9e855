#include "policy/placement.h"

#include <xxhash.h>

#include "base/clock.h"

#define PERCENT 100

/* Costs used by the router. */
const struct kcp_placement_costs kcp_placement_standard_costs = {
  .ns_per_prompt_token = 50 * KCP_NS_PER_US,
  .ns_per_running = 2 * KCP_NS_PER_MS,
  .tolerance_ns = 20 * KCP_NS_PER_MS,
  .waste_percent = 600,
  .waste_rise_ns = 30 * KCP_NS_PER_MS,
  .waste_percent_max = 3000,
};

/* Inputs of one decision, and the extra cost of uncached tokens in it. */
struct decision
{
  const struct kcp_placement_request *request;
  const struct kcp_placement_costs *costs;
  int64_t waste_percent;
};

static int64_t waste_percent (const struct kcp_placement_request *request,
                              const struct kcp_placement_candidate *candidates,
                              size_t count, const struct kcp_placement_costs *costs);
static int64_t
min_expected_ns (const struct decision *decision,
                 const struct kcp_placement_candidate *candidates, size_t count);
static int64_t expected_ns (const struct decision *decision,
                            const struct kcp_placement_candidate *candidate);
static int64_t queue_ns (const struct kcp_placement_candidate *candidate,
                         const struct kcp_placement_costs *costs);

/* Returns the index of the candidate with the lowest expected time to the first token, or
   KCP_PLACEMENT_NONE if there is no candidate. A candidate without a free slot may be the
   best one: waiting for it can be faster than computing the prompt again elsewhere. Among
   candidates within the tolerance of the lowest time, the first in rendezvous order over
   the last block of the prompt is selected (Thaler and Ravishankar, 1998), so that VMs
   send equal prompts to the same server without coordination. */
int
kcp_placement_choose (const struct kcp_placement_request *request,
                      const struct kcp_placement_candidate *candidates, size_t count,
                      const struct kcp_placement_costs *costs)
{
  struct decision decision = {
    .request = request,
    .costs = costs,
    .waste_percent = waste_percent (request, candidates, count, costs),
  };
  int64_t limit_ns = min_expected_ns (&decision, candidates, count) + costs->tolerance_ns;
  int best = KCP_PLACEMENT_NONE;
  uint64_t best_rank = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t rank = kcp_placement_rank (request->prefix_head, candidates[i].hash);

      if (expected_ns (&decision, &candidates[i]) > limit_ns)
        continue;
      if (best == KCP_PLACEMENT_NONE || rank > best_rank)
        {
          best = (int)i;
          best_rank = rank;
        }
    }
  return best;
}

/* Returns the rendezvous weight of a server for a prompt. The server with the highest
   weight comes first. */
uint64_t
kcp_placement_rank (uint64_t prefix_head, uint64_t server)
{
  uint64_t pair[2] = { prefix_head, server };

  return XXH3_64bits (pair, sizeof pair);
}

/* Returns true if the candidate has a free slot. */
bool
kcp_placement_has_slot (const struct kcp_placement_candidate *candidate)
{
  return candidate->in_flight < candidate->limit;
}

/* Returns the extra cost of uncached tokens in percent. It rises with the queues of the
   servers, since each computed token then delays more requests. */
static int64_t
waste_percent (const struct kcp_placement_request *request,
               const struct kcp_placement_candidate *candidates, size_t count,
               const struct kcp_placement_costs *costs)
{
  int64_t sum_ns = 0;
  int64_t percent;

  if (request->urgent || costs->waste_rise_ns == 0 || count == 0)
    return costs->waste_percent;
  for (size_t i = 0; i < count; i++)
    sum_ns += queue_ns (&candidates[i], costs);
  percent = costs->waste_percent
            + costs->waste_percent * (sum_ns / (int64_t)count) / costs->waste_rise_ns;
  return percent < costs->waste_percent_max ? percent : costs->waste_percent_max;
}

static int64_t
min_expected_ns (const struct decision *decision,
                 const struct kcp_placement_candidate *candidates, size_t count)
{
  int64_t min = INT64_MAX / 2;

  for (size_t i = 0; i < count; i++)
    {
      int64_t ns = expected_ns (decision, &candidates[i]);

      if (ns < min)
        min = ns;
    }
  return min;
}

/* Returns the expected time to the first token plus the extra cost of uncached tokens. */
static int64_t
expected_ns (const struct decision *decision,
             const struct kcp_placement_candidate *candidate)
{
  const struct kcp_placement_costs *costs = decision->costs;
  int64_t uncached = decision->request->prompt_tokens - candidate->cached_tokens;
  int64_t compute_ns = uncached * costs->ns_per_prompt_token;
  int64_t queued_ns = decision->request->urgent ? 0 : queue_ns (candidate, costs);

  return candidate->transfer_ns + candidate->slot_wait_ns + queued_ns
         + candidate->in_flight * costs->ns_per_running
         + compute_ns * (PERCENT + decision->waste_percent) / PERCENT;
}

/* Returns the time to compute the tokens queued at the server. The server is assumed to
   have worked on its queue since its last report. */
static int64_t
queue_ns (const struct kcp_placement_candidate *candidate,
          const struct kcp_placement_costs *costs)
{
  int64_t tokens = candidate->queued_tokens + candidate->sent_tokens;
  int64_t ns = tokens * costs->ns_per_prompt_token - candidate->report_age_ns;

  return ns > 0 ? ns : 0;
}
