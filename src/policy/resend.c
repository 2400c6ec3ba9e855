#include "policy/resend.h"

#include <glib.h>

#define REFUSALS_MAX 4  /* of one request, before the caller is told to come back */
#define LEFT_MIN_MS  20 /* under which another attempt cannot bring an answer */

static enum kcp_resend_decision give_up (const struct kcp_resend_facts *facts);
static double most_balance (const struct kcp_resend_budget *budget);
static bool may_send_again (const struct kcp_resend_facts *facts);

/* A small share of the burst still allows one retry. */
static double
most_balance (const struct kcp_resend_budget *budget)
{
  return MAX (budget->burst, 1.0);
}

/* Starts a full budget of ratio x requests + burst retries a window. */
void
kcp_resend_budget_init (struct kcp_resend_budget *budget, double ratio, double burst,
                        int64_t window_ns, int64_t now_ns)
{
  budget->ratio = ratio;
  budget->burst = burst;
  budget->window_ns = window_ns;
  budget->balance = burst;
  budget->refilled_ns = now_ns;
}

/* Counts a request of a caller, which allows a share of a retry. */
void
kcp_resend_budget_add_request (struct kcp_resend_budget *budget, int64_t now_ns)
{
  (void)now_ns;
  budget->balance = MIN (budget->balance + budget->ratio, most_balance (budget));
}

/* Takes one retry; false if none is left. */
bool
kcp_resend_budget_take (struct kcp_resend_budget *budget, int64_t now_ns)
{
  double passed = (double)(now_ns - budget->refilled_ns) / (double)budget->window_ns;

  budget->refilled_ns = now_ns;
  budget->balance = MIN (budget->balance + passed * budget->burst, most_balance (budget));
  if (budget->balance < 1)
    return false;
  budget->balance -= 1;
  return true;
}

/* Decides, and takes from the budget if the request is to be sent again. */
enum kcp_resend_decision
kcp_resend_decide (const struct kcp_resend_facts *facts, struct kcp_resend_budget *budget,
                   int64_t now_ns)
{
  if (!may_send_again (facts) || !kcp_resend_budget_take (budget, now_ns))
    return give_up (facts);
  return facts->end == KCP_ATTEMPT_INTERRUPTED ? KCP_RESEND_RESUME : KCP_RESEND_OTHER;
}

static bool
may_send_again (const struct kcp_resend_facts *facts)
{
  if (!facts->server_left || facts->left_ms < LEFT_MIN_MS)
    return false;
  switch (facts->end)
    {
    case KCP_ATTEMPT_UNSENT:
    case KCP_ATTEMPT_REFUSED:
      return facts->refusals < REFUSALS_MAX;
    case KCP_ATTEMPT_UNKNOWN:
    case KCP_ATTEMPT_ERROR:
      return facts->repeat != KCP_REPEAT_ONCE && facts->runs < facts->max_runs;
    case KCP_ATTEMPT_INTERRUPTED:
      return facts->repeat == KCP_REPEAT_RESUMABLE && facts->runs < facts->max_runs;
    }
  return false;
}

static enum kcp_resend_decision
give_up (const struct kcp_resend_facts *facts)
{
  switch (facts->end)
    {
    case KCP_ATTEMPT_UNSENT:
    case KCP_ATTEMPT_REFUSED:
      return facts->once_sent ? KCP_RESEND_FAIL : KCP_RESEND_REFUSE;
    case KCP_ATTEMPT_ERROR:
      return KCP_RESEND_PASS_ERROR;
    case KCP_ATTEMPT_UNKNOWN:
    case KCP_ATTEMPT_INTERRUPTED:
      break;
    }
  return KCP_RESEND_FAIL;
}
