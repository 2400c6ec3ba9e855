#include "policy/retry.h"

#define RETRY_COST 100 /* in hundredths of a retry */

static enum kcp_retry_decision unbudgeted_decision (const struct kcp_retry_facts *facts);
static bool
is_charged (const struct kcp_retry_facts *facts, enum kcp_retry_decision decision);
static bool withdraw (struct kcp_retry_budget *budget);

/* Initializes a full budget, so that a VM that has just started can retry too. percent
   is the number of retries per 100 requests; 0 allows none. */
void
kcp_retry_budget_init (struct kcp_retry_budget *budget, int64_t percent)
{
  budget->percent = percent;
  budget->balance = percent > 0 ? KCP_RETRY_BURST * RETRY_COST : 0;
}

/* Counts the first attempt of a request. In any period, the budget allows at most
   percent retries per 100 requests plus KCP_RETRY_BURST. */
void
kcp_retry_budget_add_request (struct kcp_retry_budget *budget)
{
  budget->balance += budget->percent;
  if (budget->balance > KCP_RETRY_BURST * RETRY_COST)
    budget->balance = KCP_RETRY_BURST * RETRY_COST;
}

/* Decides how to proceed after a failed attempt. budget is that of the data center in
   which the attempt failed. It is charged only if work may be computed twice. */
enum kcp_retry_decision
kcp_retry_decide (const struct kcp_retry_facts *facts, struct kcp_retry_budget *budget)
{
  enum kcp_retry_decision decision;

  if (facts->remaining_ns <= 0 || facts->attempts >= KCP_RETRY_ATTEMPTS_MAX)
    return KCP_RETRY_GIVE_UP;
  decision = unbudgeted_decision (facts);
  if (is_charged (facts, decision) && !withdraw (budget))
    return KCP_RETRY_GIVE_UP;
  return decision;
}

/* Returns the decision regardless of the budget. A request that must not be repeated is
   sent again only if no server received a byte of it. Resuming an interrupted stream only
   reads the rest of it and runs nothing again. */
static enum kcp_retry_decision
unbudgeted_decision (const struct kcp_retry_facts *facts)
{
  switch (facts->progress)
    {
    case KCP_RETRY_UNSENT:
      return KCP_RETRY_OTHER;
    case KCP_RETRY_REFUSED:
    case KCP_RETRY_SENT:
      return facts->repeatable ? KCP_RETRY_OTHER : KCP_RETRY_GIVE_UP;
    case KCP_RETRY_FORWARDED:
      if (facts->server_holds_stream)
        return KCP_RETRY_RESUME_SAME;
      return facts->repeatable ? KCP_RETRY_RESUME_OTHER : KCP_RETRY_GIVE_UP;
    }
  return KCP_RETRY_GIVE_UP;
}

static bool
is_charged (const struct kcp_retry_facts *facts, enum kcp_retry_decision decision)
{
  bool ran = facts->progress == KCP_RETRY_SENT || facts->progress == KCP_RETRY_FORWARDED;

  return ran && (decision == KCP_RETRY_OTHER || decision == KCP_RETRY_RESUME_OTHER);
}

static bool
withdraw (struct kcp_retry_budget *budget)
{
  if (budget->balance < RETRY_COST)
    return false;
  budget->balance -= RETRY_COST;
  return true;
}
