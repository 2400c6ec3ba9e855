#include "logstore/checkpoint_plan.h"

enum reason
{
  REASON_NONE,
  REASON_ROUTINE, /* the newest checkpoint is too old in records or in time */
  REASON_URGENT,  /* the log alone no longer yields the entries in force */
  REASON_GAP      /* records are missing or unverified, with no checkpoint for them */
};

static enum reason
find_reason (struct kcp_checkpoint_plan *plan, const struct kcp_config_status *status,
             uint64_t first, int64_t now_ns);
static int64_t
delay_ns (const struct kcp_checkpoint_plan *plan, enum reason reason, double random);

/* Returns the kind of checkpoint that is to be appended now, or KCP_CHECKPOINT_NONE.
   Called after each read that reached the end of the log. first is the first offset that
   the log retains; random is from 0 to 1. After requesting a checkpoint, the function
   waits for a new delay before it requests another one. */
enum kcp_checkpoint_kind
kcp_checkpoint_plan_step (struct kcp_checkpoint_plan *plan,
                          const struct kcp_config_status *status, uint64_t first,
                          int64_t now_ns, double random)
{
  enum reason reason = find_reason (plan, status, first, now_ns);

  if (reason != (enum reason)plan->reason)
    {
      plan->reason = reason;
      plan->due_ns = now_ns + delay_ns (plan, reason, random);
    }
  if (reason == REASON_NONE || now_ns < plan->due_ns)
    return KCP_CHECKPOINT_NONE;
  plan->reason = REASON_NONE;
  return reason == REASON_GAP ? KCP_CHECKPOINT_ROOT : KCP_CHECKPOINT_ORDINARY;
}

/* Returns the reason for which a checkpoint is needed, if any. A VM without an entry in
   force appends no root or routine checkpoint, as it has nothing to write into one. */
static enum reason
find_reason (struct kcp_checkpoint_plan *plan, const struct kcp_config_status *status,
             uint64_t first, int64_t now_ns)
{
  bool usable = status->has_checkpoint && status->checkpoint_upto >= first;

  if (!plan->seen || plan->seen_upto != status->checkpoint_upto)
    {
      plan->seen = true;
      plan->seen_upto = status->checkpoint_upto;
      plan->seen_ns = now_ns;
    }
  if (status->gap || status->unverified)
    return status->empty ? REASON_NONE : REASON_GAP;
  if (status->ahead_of_log || (first > 0 && !usable))
    return REASON_URGENT;
  if (status->empty)
    return REASON_NONE;
  if (status->records_since_checkpoint >= plan->max_records
      || now_ns - plan->seen_ns >= plan->max_age_ns)
    return REASON_ROUTINE;
  return REASON_NONE;
}

static int64_t
delay_ns (const struct kcp_checkpoint_plan *plan, enum reason reason, double random)
{
  switch (reason)
    {
    case REASON_ROUTINE:
      return (int64_t)(random * (double)plan->max_routine_delay_ns);
    case REASON_URGENT:
      return (int64_t)(random * (double)plan->max_urgent_delay_ns);
    case REASON_GAP:
      return plan->gap_timeout_ns + (int64_t)(random * (double)plan->max_urgent_delay_ns);
    case REASON_NONE:
      break;
    }
  return 0;
}
