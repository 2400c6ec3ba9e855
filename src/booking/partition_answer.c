/* Answers claims by the state that was read from the log. */
#include <string.h>

#include "booking/decide.h"
#include "booking/partition_private.h"

#define STEP        "booking"
#define WAITING_MAX 20000 /* entries that wait to be appended */

static bool
decide (struct kcp_partition *partition, struct kcp_pending *pending, int64_t now_ms);
static void answer_claim (struct kcp_partition *partition, struct kcp_pending *pending,
                          int64_t now_ms);
static struct kcp_decision_input
make_input (const struct kcp_partition *partition, const struct kcp_pending *pending,
            int64_t now_ms);

/* Answers a claim that can be decided without reading the log, and refuses one while the
   log is known to be unavailable or WAITING_MAX entries are waiting. Returns false if the
   claim has to wait. */
bool
kcp_partition_answer_early (struct kcp_partition *partition, struct kcp_pending *pending,
                            int64_t now_ms)
{
  struct kcp_decision_input input = make_input (partition, pending, now_ms);
  struct kcp_claim_answer result;

  input.covered = input.covered || !partition->caught_up;
  if (kcp_decide_early (&input, &result))
    {
      kcp_pending_answer (pending, &result);
      return true;
    }
  if (partition->waiting_count >= WAITING_MAX)
    kcp_error_set (&partition->last_error, KCP_ERR_OVERLOADED, STEP, NULL,
                   "too many entries wait for the booking log");
  else if (now_ms >= partition->retry_at_ms && !partition->in_doubt)
    return false;
  kcp_pending_refuse (pending, &partition->last_error);
  return true;
}

/* Answers the waiting claims whose key is held or decided, after the log was read to its
   end. */
void
kcp_partition_decide_waiting (struct kcp_partition *partition, int64_t now_ms)
{
  struct kcp_pending_queue remaining = CK_STAILQ_HEAD_INITIALIZER (remaining);
  struct kcp_pending *pending;

  partition->phase = PHASE_IDLE;
  partition->checked = true;
  while ((pending = CK_STAILQ_FIRST (&partition->waiting)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->waiting, link);
      if (pending->kind == KCP_PENDING_CLAIM && decide (partition, pending, now_ms))
        partition->waiting_count--;
      else
        CK_STAILQ_INSERT_TAIL (&remaining, pending, link);
    }
  CK_STAILQ_CONCAT (&partition->waiting, &remaining);
}

/* Answers the claims in flight. The state shows which of them won. */
void
kcp_partition_answer_in_flight (struct kcp_partition *partition, int64_t now_ms)
{
  struct kcp_pending *pending;

  partition->phase = PHASE_IDLE;
  while ((pending = CK_STAILQ_FIRST (&partition->in_flight)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->in_flight, link);
      if (pending->kind == KCP_PENDING_CLAIM)
        answer_claim (partition, pending, now_ms);
      else
        kcp_pending_free (pending);
    }
}

/* Answers a claim, and releases it if it is refused although it may hold its key. */
static void
answer_claim (struct kcp_partition *partition, struct kcp_pending *pending,
              int64_t now_ms)
{
  struct kcp_decision_input input = make_input (partition, pending, now_ms);
  bool may_hold = !input.covered || input.view.state == KCP_CLAIM_NONE
                  || strcmp (input.view.claim, pending->claim) == 0;
  struct kcp_claim_answer result;

  if (!kcp_decide (&input, &result))
    kcp_error_set (&result.error, KCP_ERR_PLATFORM, STEP, NULL,
                   "the claim did not take effect");
  if (may_hold && result.result == KCP_CLAIM_REFUSED)
    kcp_partition_enqueue (partition,
                           kcp_pending_new_release (pending->key, pending->claim));
  kcp_pending_answer (pending, &result);
}

/* Answers a claim after the log was read to its end. Returns false if no claim of the
   key has won. */
static bool
decide (struct kcp_partition *partition, struct kcp_pending *pending, int64_t now_ms)
{
  struct kcp_decision_input input = make_input (partition, pending, now_ms);
  struct kcp_claim_answer result;

  if (!kcp_decide (&input, &result))
    return false;
  kcp_pending_answer (pending, &result);
  return true;
}

static struct kcp_decision_input
make_input (const struct kcp_partition *partition, const struct kcp_pending *pending,
            int64_t now_ms)
{
  const struct kcp_partition_options *options = &partition->options;
  struct kcp_decision_input input = {
    .claim = pending->claim,
    .body_hash = pending->body_hash,
    .key_created_ms = pending->key_created_ms,
    .now_ms = now_ms,
    .window_ms = options->window_ms,
    .log_time_ms = kcp_claims_log_time_ms (partition->claims),
    .covered = kcp_claims_covers_key (partition->claims, pending->key_created_ms),
  };

  kcp_claims_lookup (partition->claims, pending->key, &input.view);
  input.holder_alive
      = options->is_alive == NULL || options->is_alive (options->user, input.view.vm);
  return input;
}
