#include "policy/placement.h"

#include <xxhash.h>

#include "base/clock.h"

#define PERCENT 100

/* The costs that the router uses. */
const struct kcp_placement_costs kcp_placement_standard_costs = {
  .ns_per_prompt_token = 50 * KCP_NS_PER_US,
  .ns_per_running = 2 * KCP_NS_PER_MS,
  .tolerance_ns = 20 * KCP_NS_PER_MS,
  .waste_percent = 600,
  .waste_rise_ns = 30 * KCP_NS_PER_MS,
  .waste_percent_max = 3000,
};

/* One decision: what it is about, and the weight of waste in it. */
struct decision
{
  const struct kcp_placement_request *request;
  const struct kcp_placement_costs *costs;
  int64_t waste_percent;
};

static int64_t waste_percent (const struct kcp_placement_request *request,
                              const struct kcp_placement_candidate *candidates,
                              size_t count, const struct kcp_placement_costs *costs);
static int64_t least_ns (const struct decision *decision,
                         const struct kcp_placement_candidate *candidates, size_t count);
static int64_t expected_ns (const struct decision *decision,
                            const struct kcp_placement_candidate *candidate);
static int64_t queue_ns (const struct kcp_placement_candidate *candidate,
                         const struct kcp_placement_costs *costs);

/* Returns the index of the candidate with the least expected time to first token, or
   KCP_PLACEMENT_NONE if there are none. One without a free place may be the best: the
   request then does better to wait for it than to be computed anew elsewhere. Candidates
   within the tolerance of the least are taken in rendezvous order over the last block of
   the prompt (Thaler and Ravishankar, 1998), so that VMs that know nothing of each other
   send equal prompts to one server. */
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
  int64_t limit_ns = least_ns (&decision, candidates, count) + costs->tolerance_ns;
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

/* Returns the rendezvous weight of a server for a prompt; the greatest comes first. */
uint64_t
kcp_placement_rank (uint64_t prefix_head, uint64_t server)
{
  uint64_t pair[2] = { prefix_head, server };

  return XXH3_64bits (pair, sizeof pair);
}

/* Tells whether the candidate can take a request now. */
bool
kcp_placement_has_slot (const struct kcp_placement_candidate *candidate)
{
  return candidate->in_flight < candidate->limit;
}

/* The busier the servers are, the more requests each computed token delays. */
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
least_ns (const struct decision *decision,
          const struct kcp_placement_candidate *candidates, size_t count)
{
  int64_t least = INT64_MAX / 2;

  for (size_t i = 0; i < count; i++)
    {
      int64_t ns = expected_ns (decision, &candidates[i]);

      if (ns < least)
        least = ns;
    }
  return least;
}

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

/* The queue of the last report has been worked off since then, as far as time allowed. */
static int64_t
queue_ns (const struct kcp_placement_candidate *candidate,
          const struct kcp_placement_costs *costs)
{
  int64_t tokens = candidate->queued_tokens + candidate->sent_tokens;
  int64_t ns = tokens * costs->ns_per_prompt_token - candidate->report_age_ns;

  return ns > 0 ? ns : 0;
}
