/* Decides what follows a failed attempt, within a budget. Pure: facts in, decision out.
 */
#ifndef KCP_POLICY_RETRY_H
#define KCP_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_RETRY_ATTEMPTS_MAX 4  /* attempts of one request, the first one counted */
#define KCP_RETRY_BURST        32 /* retries that a full budget allows at once */

/* How far the failed attempt got. */
enum kcp_retry_progress
{
  KCP_RETRY_UNSENT,   /* no connection, so the server never got a byte */
  KCP_RETRY_REFUSED,  /* the server said that it refused before running */
  KCP_RETRY_SENT,     /* the server may have run it; the caller has nothing */
  KCP_RETRY_FORWARDED /* the caller has part of the answer */
};

enum kcp_retry_decision
{
  KCP_RETRY_GIVE_UP,
  KCP_RETRY_RESUME_SAME,  /* take up the stream where it broke, at the same server */
  KCP_RETRY_RESUME_OTHER, /* continue the answer at another server */
  KCP_RETRY_OTHER         /* run again from the start, at another server */
};

struct kcp_retry_facts
{
  bool repeatable;
  bool server_holds_stream; /* alive, same incarnation, and can resume */
  enum kcp_retry_progress progress;
  unsigned attempts;    /* so far, the failed one counted */
  int64_t remaining_ns; /* until the deadline */
};

/* A token bucket in hundredths of a retry. Not thread-safe: the caller holds a lock. */
struct kcp_retry_budget
{
  int64_t percent; /* retries allowed for 100 requests */
  int64_t balance;
};

void kcp_retry_budget_init (struct kcp_retry_budget *budget, int64_t percent);
void kcp_retry_budget_add_request (struct kcp_retry_budget *budget);
enum kcp_retry_decision
kcp_retry_decide (const struct kcp_retry_facts *facts, struct kcp_retry_budget *budget);

#endif
