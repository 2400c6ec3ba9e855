/* Admits requests by the quotas of their teams. */
#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/forward_private.h"

static int64_t cost_of (const struct kcp_forward *forward);
static void on_decided (void *user, bool admitted, int64_t return_ns);

/* Begins the request, now or when its team's quota allows it, or refuses it. A request
   that another VM passed on was counted there. */
void
kcp_forward_admit_by_quota (struct kcp_forward *forward)
{
  struct kcp_gateway *gateway = forward->gateway;
  const struct kcp_team_access *team = forward->choice.team;
  int64_t return_ns = 0;

  if (team == NULL || team->quota.limit.per_s == 0 || kcp_forward_is_from_vm (forward))
    {
      kcp_forward_begin (forward);
      return;
    }
  forward->quota_wait = (struct kcp_quota_wait){
    .cost = cost_of (forward),
    .decided = on_decided,
    .user = forward,
  };
  switch (kcp_quotas_admit (gateway->quotas, team->name, &team->quota.limit,
                            &forward->quota_wait, &return_ns, forward->arrived_ns))
    {
    case KCP_QUOTA_ADMITTED:
      on_decided (forward, true, 0);
      break;
    case KCP_QUOTA_REFUSED:
      on_decided (forward, false, return_ns);
      break;
    case KCP_QUOTA_WAITS:
      break;
    }
}

/* Ends the wait for the quota, if there is one. */
void
kcp_forward_cancel_quota (struct kcp_forward *forward)
{
  kcp_quotas_cancel (forward->gateway->quotas, &forward->quota_wait);
}

/* Gives the cost of an admitted request that has not run back to its team. */
void
kcp_forward_give_back_quota (struct kcp_forward *forward)
{
  if (forward->quota_cost > 0 && forward->runs == 0)
    kcp_quotas_give_back (forward->gateway->quotas, forward->choice.team->name,
                          forward->quota_cost, kcp_loop_now (forward->gateway->loop));
  forward->quota_cost = 0;
}

/* Returns the cost of the request in the unit of its team's quota. */
static int64_t
cost_of (const struct kcp_forward *forward)
{
  const struct kcp_team_quota *quota = &forward->choice.team->quota;
  const struct kcp_inbound *inbound = forward->inbound;
  int64_t tokens = MAX (inbound->prompt_tokens, 0) + MAX (inbound->output_tokens, 0);

  if (!quota->counts_tokens)
    return 1;
  return MAX (tokens > 0 ? tokens : quota->default_tokens, 1);
}

static void
on_decided (void *user, bool admitted, int64_t return_ns)
{
  struct kcp_forward *forward = user;

  if (admitted)
    forward->quota_cost = forward->quota_wait.cost;
  if (forward->answer->end != KCP_ANSWER_IN_PROGRESS)
    {
      kcp_forward_give_back_quota (forward);
      return;
    }
  if (admitted)
    {
      kcp_forward_begin (forward);
      return;
    }
  KCP_LOG ("over_quota", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("team", forward->choice.team->name),
           KCP_LOG_INT ("cost", forward->quota_wait.cost),
           KCP_LOG_INT ("per_s", forward->choice.team->quota.limit.per_s),
           KCP_LOG_INT ("return_ms", (return_ns - kcp_loop_now (forward->gateway->loop))
                                         / KCP_NS_PER_MS));
  kcp_counter_add (KCP_COUNT_OVER_QUOTA, 1);
  kcp_forward_refuse_over_quota (forward, return_ns);
}
