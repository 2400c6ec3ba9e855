#include "booking/decide.h"

#include <string.h>

#include "base/counter.h"

#define STEP          "booking"
#define RETRY_AFTER_S 1

static void decide_held (const struct kcp_decision_input *input, struct kcp_error *error);
static bool
check_key_age (const struct kcp_decision_input *input, struct kcp_error *error);
static bool check_state (const struct kcp_decision_input *input, struct kcp_error *error);

/* Decides a claim before it is appended, if that is possible without reading the log.
   Returns false otherwise. */
bool
kcp_decide_early (const struct kcp_decision_input *input, struct kcp_claim_answer *out)
{
  *out = (struct kcp_claim_answer){ .result = KCP_CLAIM_REFUSED };
  if (!check_key_age (input, &out->error) || !check_state (input, &out->error))
    return true;
  return input->view.state == KCP_CLAIM_DECIDED && kcp_decide (input, out);
}

/* Decides a claim from a state that was read after the claim was posted. Returns false if
   no claim of the key has won. */
bool
kcp_decide (const struct kcp_decision_input *input, struct kcp_claim_answer *out)
{
  const struct kcp_claim_view *view = &input->view;

  *out = (struct kcp_claim_answer){ .result = KCP_CLAIM_REFUSED };
  if (!check_state (input, &out->error))
    return true;
  if (view->state == KCP_CLAIM_NONE)
    return false;
  if (strcmp (view->body_hash, input->body_hash) != 0)
    kcp_error_set (&out->error, KCP_ERR_KEY_REUSED, STEP, NULL,
                   "the idempotency key was used with another body");
  else if (view->state == KCP_CLAIM_DECIDED)
    {
      out->result = KCP_CLAIM_REPEAT;
      out->sealed = view->outcome;
      kcp_counter_add (KCP_COUNT_BOOKING_REPEATS, 1);
    }
  else if (strcmp (view->claim, input->claim) == 0)
    {
      out->result = KCP_CLAIM_WON;
      memcpy (out->claim, view->claim, sizeof out->claim);
    }
  else
    decide_held (input, &out->error);
  return true;
}

/* Refuses a claim of a key that another claim holds. Until its deadline, the call that
   holds the key may still be running at a VM that is presumed alive. Otherwise its
   outcome is unknown. */
static void
decide_held (const struct kcp_decision_input *input, struct kcp_error *error)
{
  if (input->holder_alive && input->now_ms < input->view.deadline_ms)
    {
      kcp_error_set (error, KCP_ERR_IN_PROGRESS, STEP, input->view.vm,
                     "a call with this key is under way; repeat it for its outcome");
      error->retry_after_s = RETRY_AFTER_S;
    }
  else
    kcp_error_set (error, KCP_ERR_OUTCOME_UNKNOWN, STEP, input->view.vm,
                   "this call was started before and its outcome is not recorded; "
                   "look up its status before trying again with a new key");
  error->execution = KCP_EXECUTION_UNKNOWN;
}

/* Refuses a key whose creation time lies more than KCP_CLOCK_SKEW_MAX_MS in the future,
   and a key that is older than the window, because it may have been used and removed
   since. */
static bool
check_key_age (const struct kcp_decision_input *input, struct kcp_error *error)
{
  if (input->key_created_ms == 0)
    return true;
  if (input->key_created_ms > input->now_ms + KCP_CLOCK_SKEW_MAX_MS)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "Idempotency-Key: its time lies in the future");
      return false;
    }
  if (input->now_ms - input->key_created_ms <= input->window_ms)
    return true;
  kcp_error_set (error, KCP_ERR_KEY_EXPIRED, STEP, NULL,
                 "the key is older than keys are remembered; whether an earlier call "
                 "with it ran is not known: look up its status");
  error->execution = KCP_EXECUTION_UNKNOWN;
  return false;
}

/* Refuses a claim if the state cannot show whether the key was used before: the clock of
   this VM is more than KCP_CLOCK_SKEW_MAX_MS behind the log time, or records of the log
   are missing. */
static bool
check_state (const struct kcp_decision_input *input, struct kcp_error *error)
{
  if (input->log_time_ms > input->now_ms + KCP_CLOCK_SKEW_MAX_MS)
    kcp_error_set (error, KCP_ERR_INTERNAL, STEP, NULL,
                   "this VM's clock is behind the time in the booking log");
  else if (!input->covered)
    kcp_error_set (error, KCP_ERR_RECORDS_MISSING, STEP, NULL,
                   "records of earlier calls are no longer kept; a key that was made "
                   "later, as UUIDv7, can be used");
  else
    return true;
  error->retry_after_s = RETRY_AFTER_S;
  return false;
}
