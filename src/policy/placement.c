#include "policy/placement.h"

#include <xxhash.h>

#define PERCENT 100

static bool has_place (const struct kcp_placement_candidate *candidate);
static int64_t least_ns (const struct kcp_placement_request *request,
                         const struct kcp_placement_candidate *candidates, size_t count,
                         const struct kcp_placement_costs *costs);
static int64_t expected_ns (const struct kcp_placement_request *request,
                            const struct kcp_placement_candidate *candidate,
                            const struct kcp_placement_costs *costs);
static int64_t queue_ns (const struct kcp_placement_candidate *candidate,
                         const struct kcp_placement_costs *costs);

/* Returns the index of the candidate with the least expected time to first token, or
   KCP_PLACEMENT_NONE if none has a free place. Candidates within the tolerance of the
   least are taken in rendezvous order over the head of the prompt (Thaler and
   Ravishankar, 1998), so that VMs that know nothing of each other send equal prompts to
   one server. */
int
kcp_placement_choose (const struct kcp_placement_request *request,
                      const struct kcp_placement_candidate *candidates, size_t count,
                      const struct kcp_placement_costs *costs)
{
  int64_t limit_ns = least_ns (request, candidates, count, costs) + costs->tolerance_ns;
  int best = KCP_PLACEMENT_NONE;
  uint64_t best_rank = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t rank = kcp_placement_rank (request->prefix_head, candidates[i].hash);

      if (!has_place (&candidates[i])
          || expected_ns (request, &candidates[i], costs) > limit_ns)
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

static bool
has_place (const struct kcp_placement_candidate *candidate)
{
  return candidate->in_flight < candidate->limit;
}

static int64_t
least_ns (const struct kcp_placement_request *request,
          const struct kcp_placement_candidate *candidates, size_t count,
          const struct kcp_placement_costs *costs)
{
  int64_t least = INT64_MAX / 2;

  for (size_t i = 0; i < count; i++)
    {
      int64_t ns = expected_ns (request, &candidates[i], costs);

      if (has_place (&candidates[i]) && ns < least)
        least = ns;
    }
  return least;
}

static int64_t
expected_ns (const struct kcp_placement_request *request,
             const struct kcp_placement_candidate *candidate,
             const struct kcp_placement_costs *costs)
{
  int64_t uncached = request->prompt_tokens - candidate->cached_tokens;
  int64_t compute_ns = uncached * costs->ns_per_prompt_token;

  return candidate->transfer_ns + queue_ns (candidate, costs)
         + candidate->in_flight * costs->ns_per_running
         + compute_ns * (PERCENT + costs->waste_percent) / PERCENT;
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
