/* Decides the answer to a claim of a key. Reads no clock and does no I/O. */
#ifndef KCP_BOOKING_DECIDE_H
#define KCP_BOOKING_DECIDE_H

#include "booking/claims.h"
#include "booking/pending.h"

struct kcp_decision_input
{
  const char *claim; /* id of the claim to answer */
  const char *body_hash;
  int64_t key_created_ms; /* creation time of the key, or 0 if unknown */
  int64_t now_ms;         /* time of day */
  int64_t window_ms;      /* time for which a key is kept */
  int64_t log_time_ms;
  bool covered;      /* every claim of the key is known */
  bool holder_alive; /* the VM in view is presumed alive */
  struct kcp_claim_view view;
};

bool
kcp_decide_early (const struct kcp_decision_input *input, struct kcp_claim_answer *out);
bool kcp_decide (const struct kcp_decision_input *input, struct kcp_claim_answer *out);

#endif
