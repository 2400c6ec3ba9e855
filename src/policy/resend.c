#include "policy/resend.h"

#include <glib.h>
#include <string.h>

#define SLOTS_KEPT (KCP_RESEND_SLOTS + 1)
/* Refusals of one request before the caller is asked to retry later. */
#define REFUSALS_MAX 4
/* VMs that a request is offered to. */
#define DECLINES_MAX 4
/* Servers that a request tries in vain before another VM is to send it. */
#define UNSENT_MAX 2
/* With less time left, another attempt cannot yield an answer. */
#define REMAINING_MIN_MS 20

static enum kcp_resend_decision after_unreached (const struct kcp_resend_facts *facts);
static enum kcp_resend_decision give_up (const struct kcp_resend_facts *facts);
static int64_t slot_of (const struct kcp_resend_budget *budget, int64_t now_ns);
static void advance_slots (struct kcp_resend_budget *budget, int64_t now_ns);
static bool may_send_again (const struct kcp_resend_facts *facts);

/* Returns by how many VMs the burst is divided. alive VMs are known to be alive, known
   ones were within the last minute; both include this VM. VMs that are out of touch may
   still be sending retries of their own, so at least half of those known are counted: all
   groups together then send at most twice what they would send in touch. */
unsigned
kcp_resend_sharing_vms (unsigned alive, unsigned known)
{
  return MAX (MAX (alive, (known + 1) / 2), 1u);
}

/* Initializes a budget in which no requests and no retries are counted. */
void
kcp_resend_budget_init (struct kcp_resend_budget *budget, double ratio, double burst,
                        int64_t window_ns, int64_t now_ns)
{
  memset (budget, 0, sizeof *budget);
  budget->ratio = ratio;
  budget->burst = burst;
  budget->window_ns = window_ns;
  budget->newest = slot_of (budget, now_ns);
}

/* Counts a request of a caller, which adds ratio to the retries allowed. */
void
kcp_resend_budget_add_request (struct kcp_resend_budget *budget, int64_t now_ns)
{
  advance_slots (budget, now_ns);
  budget->requests[budget->newest % SLOTS_KEPT]++;
}

/* Returns the number of requests of callers in the window that ends now. */
unsigned
kcp_resend_budget_requests (struct kcp_resend_budget *budget, int64_t now_ns)
{
  unsigned requests = 0;

  advance_slots (budget, now_ns);
  for (unsigned i = 0; i < SLOTS_KEPT; i++)
    requests += budget->requests[i];
  return requests;
}

/* Takes one retry from the budget. Returns false if none is left. */
bool
kcp_resend_budget_take (struct kcp_resend_budget *budget, int64_t now_ns)
{
  unsigned requests = kcp_resend_budget_requests (budget, now_ns);
  unsigned retries = 0;

  for (unsigned i = 0; i < SLOTS_KEPT; i++)
    retries += budget->retries[i];
  if (retries + 1 > budget->ratio * requests + budget->burst)
    return false;
  budget->retries[budget->newest % SLOTS_KEPT]++;
  return true;
}

static int64_t
slot_of (const struct kcp_resend_budget *budget, int64_t now_ns)
{
  return now_ns / (budget->window_ns / KCP_RESEND_SLOTS);
}

/* Clears the slots that began since the last call. */
static void
advance_slots (struct kcp_resend_budget *budget, int64_t now_ns)
{
  int64_t newest = slot_of (budget, now_ns);

  for (int64_t slot = MAX (budget->newest + 1, newest - KCP_RESEND_SLOTS); slot <= newest;
       slot++)
    {
      budget->requests[slot % SLOTS_KEPT] = 0;
      budget->retries[slot % SLOTS_KEPT] = 0;
    }
  budget->newest = MAX (budget->newest, newest);
}

/* Decides how to proceed. Takes a retry from the budget if the request is to be sent
   again after it reached a server. */
enum kcp_resend_decision
kcp_resend_decide (const struct kcp_resend_facts *facts, struct kcp_resend_budget *budget,
                   int64_t now_ns)
{
  if (!may_send_again (facts))
    return give_up (facts);
  if (facts->end == KCP_ATTEMPT_UNSENT || facts->end == KCP_ATTEMPT_DECLINED)
    return after_unreached (facts);
  if (!kcp_resend_budget_take (budget, now_ns))
    return give_up (facts);
  return facts->end == KCP_ATTEMPT_INTERRUPTED ? KCP_RESEND_RESUME : KCP_RESEND_OTHER;
}

/* Returns true if a request, of which so many attempts reached no server, should be sent
   by another VM where there is one. */
bool
kcp_resend_passes_on (enum kcp_paths paths, unsigned unsent)
{
  return paths != KCP_PATHS_SOUND || unsent >= UNSENT_MAX;
}

/* Decides after an attempt that reached no server. Servers that this VM does not reach
   are not tried once more; they are probed. */
static enum kcp_resend_decision
after_unreached (const struct kcp_resend_facts *facts)
{
  if (facts->vm_available && kcp_resend_passes_on (facts->paths, facts->unsent))
    return KCP_RESEND_PASS_ON;
  return facts->paths == KCP_PATHS_NONE ? give_up (facts) : KCP_RESEND_OTHER;
}

static bool
may_send_again (const struct kcp_resend_facts *facts)
{
  if (!facts->server_available || facts->remaining_ms < REMAINING_MIN_MS)
    return false;
  switch (facts->end)
    {
    case KCP_ATTEMPT_UNSENT:
    case KCP_ATTEMPT_REFUSED:
      return facts->refusals < REFUSALS_MAX;
    case KCP_ATTEMPT_DECLINED:
      return facts->declines < DECLINES_MAX;
    case KCP_ATTEMPT_UNKNOWN:
    case KCP_ATTEMPT_ERROR:
      return facts->repeat != KCP_REPEAT_ONCE && facts->runs < facts->max_runs
             && !facts->suspect;
    case KCP_ATTEMPT_INTERRUPTED:
      return facts->repeat == KCP_REPEAT_RESUMABLE && facts->runs < facts->max_runs
             && !facts->suspect;
    }
  return false;
}

static enum kcp_resend_decision
give_up (const struct kcp_resend_facts *facts)
{
  switch (facts->end)
    {
    case KCP_ATTEMPT_UNSENT:
    case KCP_ATTEMPT_DECLINED:
    case KCP_ATTEMPT_REFUSED:
      return facts->may_have_run ? KCP_RESEND_FAIL : KCP_RESEND_REFUSE;
    case KCP_ATTEMPT_ERROR:
      return KCP_RESEND_PASS_ERROR;
    case KCP_ATTEMPT_UNKNOWN:
    case KCP_ATTEMPT_INTERRUPTED:
      break;
    }
  return KCP_RESEND_FAIL;
}
