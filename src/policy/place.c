#include "policy/place.h"

#include "policy/server_speed.h"

/* Random part of the cost for each VM that chooses by the same view, in microseconds. */
#define SPREAD_PER_VM_US 200
#define SPREAD_MAX_US    40000

#define GOLDEN_GAMMA 0x9e3779b97f4a7c15u /* step of the sequence of random costs */

static int64_t at_speed (const struct kcp_place_candidate *candidate, int64_t time_us);
static int64_t
random_cost (const struct kcp_place_costs *costs, uint64_t random_value, size_t at);

/* Costs for model engines, which prefill about 48 prompt tokens per millisecond. */
const struct kcp_place_costs kcp_place_engine_costs = {
  .per_token = 21,
  .per_repeated = 40,
  .per_in_flight = 1500,
  .per_waiting = 20000,
  .remote = 30000,
  .old_weights = 250000,
  .suspected = 2000000,
  .loading = 1500000,
  .leaving = 60000000,
  .not_preferred = 20000,
};

/* Costs for servers of requests without a model. */
const struct kcp_place_costs kcp_place_plain_costs = {
  .per_token = 0,
  .per_in_flight = 6000,
  .per_waiting = 30000,
  .remote = 8000,
  .old_weights = 0,
  .suspected = 2000000,
  .loading = 0,
  .leaving = 60000000,
};

/* Returns the index of the usable candidate with the lowest cost, of which up to
   costs->spread is random, or KCP_PLACE_NONE if none is usable. random_value is a uniform
   random number, which also breaks ties. */
int
kcp_place_choose (const struct kcp_place_candidate *candidates, size_t count,
                  const struct kcp_place_costs *costs, uint64_t random_value)
{
  int best = KCP_PLACE_NONE;
  int64_t best_cost = 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t at = (i + random_value % count) % count;
      int64_t cost;

      if (!candidates[at].usable || candidates[at].weights == KCP_PLACE_WEIGHTS_REFUSED)
        continue;
      cost = kcp_place_cost (&candidates[at], costs)
             + random_cost (costs, random_value, at);
      if (best != KCP_PLACE_NONE && cost >= best_cost)
        continue;
      best = (int)at;
      best_cost = cost;
    }
  return best;
}

/* Returns the limit of the random part of the costs, in microseconds, where so many VMs
   choose among the same servers. */
int64_t
kcp_place_spread (unsigned vms)
{
  int64_t spread = (int64_t)vms * SPREAD_PER_VM_US;

  return spread < SPREAD_MAX_US ? spread : SPREAD_MAX_US;
}

/* Returns the random part of a candidate's cost in microseconds. The candidates' numbers
   are steps of one random sequence (SplitMix64). */
static int64_t
random_cost (const struct kcp_place_costs *costs, uint64_t random_value, size_t at)
{
  uint64_t mixed = random_value + (at + 1) * GOLDEN_GAMMA;

  if (costs->spread == 0)
    return 0;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
  mixed ^= mixed >> 31;
  return (int64_t)(mixed % (uint64_t)costs->spread);
}

/* Returns the expected time until the server can start on the request, in
   microseconds. */
int64_t
kcp_place_wait (const struct kcp_place_candidate *candidate,
                const struct kcp_place_costs *costs)
{
  int64_t wait = costs->per_token * candidate->prefill_tokens_pending;

  if (candidate->in_flight >= candidate->slots)
    wait += costs->per_waiting * (candidate->in_flight - candidate->slots + 1);
  wait = at_speed (candidate, wait);
  if (candidate->loading)
    wait += costs->loading;
  return wait;
}

/* Returns the expected time of the prefill of the request's prompt, in microseconds. */
int64_t
kcp_place_prefill (const struct kcp_place_candidate *candidate,
                   const struct kcp_place_costs *costs)
{
  return at_speed (candidate, costs->per_token * candidate->uncached_tokens);
}

/* Returns the time that the server takes for what takes the mean server time_us. */
static int64_t
at_speed (const struct kcp_place_candidate *candidate, int64_t time_us)
{
  if (candidate->slowness == 0)
    return time_us;
  return time_us * candidate->slowness / KCP_SLOWNESS_USUAL;
}

/* Returns the expected time to the first byte plus penalties, in microseconds. */
int64_t
kcp_place_cost (const struct kcp_place_candidate *candidate,
                const struct kcp_place_costs *costs)
{
  int64_t cost = kcp_place_wait (candidate, costs);

  cost += at_speed (candidate,
                    costs->per_token
                        * (candidate->uncached_tokens - candidate->discount_tokens));
  cost += costs->per_in_flight * candidate->in_flight;
  cost += costs->per_repeated * candidate->repeated_tokens;
  if (!candidate->local)
    cost += costs->remote;
  if (candidate->weights == KCP_PLACE_WEIGHTS_OLD)
    cost += costs->old_weights;
  if (!candidate->preferred)
    cost += costs->not_preferred;
  if (candidate->suspected)
    cost += costs->suspected;
  if (candidate->leaving)
    cost += costs->leaving;
  cost += candidate->failing_us;
  return cost;
}
