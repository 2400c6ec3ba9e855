/* Decides how the serve command proceeds after a failed attempt, within a budget. The
   result depends on the arguments alone. */
#ifndef KCP_POLICY_RETRY_H
#define KCP_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_RETRY_ATTEMPTS_MAX 4  /* attempts per request, including the first */
#define KCP_RETRY_BURST        32 /* retries that a full budget allows in a row */

/* Progress of the failed attempt. */
enum kcp_retry_progress
{
  KCP_RETRY_UNSENT,   /* no connection; the server received nothing */
  KCP_RETRY_REFUSED,  /* the server reported that it did not run the request */
  KCP_RETRY_SENT,     /* the server may have run it; the caller received nothing */
  KCP_RETRY_FORWARDED /* the caller received a part of the answer */
};

enum kcp_retry_decision
{
  KCP_RETRY_GIVE_UP,
  KCP_RETRY_RESUME_SAME,  /* resume the interrupted stream at the same server */
  KCP_RETRY_RESUME_OTHER, /* continue the answer at another server */
  KCP_RETRY_OTHER         /* run from the start at another server */
};

struct kcp_retry_facts
{
  bool repeatable;
  bool server_holds_stream; /* alive, in the same incarnation, and able to resume */
  enum kcp_retry_progress progress;
  unsigned attempts;    /* including the failed one */
  int64_t remaining_ns; /* time until the deadline */
};

/* Token bucket in hundredths of a retry. Not thread-safe: the caller holds a lock. */
struct kcp_retry_budget
{
  int64_t percent; /* retries allowed per 100 requests */
  int64_t balance;
};

void kcp_retry_budget_init (struct kcp_retry_budget *budget, int64_t percent);
void kcp_retry_budget_add_request (struct kcp_retry_budget *budget);
enum kcp_retry_decision
kcp_retry_decide (const struct kcp_retry_facts *facts, struct kcp_retry_budget *budget);

#endif
