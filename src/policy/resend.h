/* Decides what follows an attempt that did not bring a whole answer. Pure: facts in,
   decision out.

   Load pattern: servers that refuse for a moment, die with requests in flight or lose
   answers, while callers retry on their own. Work that surely did not run goes elsewhere
   at once; work that may have run only where its route allows that, and within the budget
   that all VMs share. */
#ifndef KCP_POLICY_RESEND_H
#define KCP_POLICY_RESEND_H

#include <stdbool.h>
#include <stdint.h>

#include "route/routes.h"

/* How the attempt ended. */
enum kcp_attempt_end
{
  KCP_ATTEMPT_UNSENT,     /* no byte left this VM */
  KCP_ATTEMPT_REFUSED,    /* the server said that it did not run */
  KCP_ATTEMPT_UNKNOWN,    /* sent; it may have run */
  KCP_ATTEMPT_ERROR,      /* the server answered with an error of its own */
  KCP_ATTEMPT_INTERRUPTED /* a stream that broke off behind its first event */
};

enum kcp_resend_decision
{
  KCP_RESEND_OTHER,     /* send it to another server */
  KCP_RESEND_RESUME,    /* let another server go on behind the last event */
  KCP_RESEND_REFUSE,    /* tell the caller that it has not run, and when to come back */
  KCP_RESEND_FAIL,      /* tell the caller that the outcome is unknown */
  KCP_RESEND_PASS_ERROR /* pass on the server's own answer */
};

struct kcp_resend_facts
{
  enum kcp_repeat repeat;
  enum kcp_attempt_end end;
  unsigned runs;     /* attempts so far that may have run, this one counted */
  unsigned refusals; /* attempts so far that did not run, this one counted */
  unsigned max_runs;
  bool may_have_run;     /* an earlier attempt of this request may have run */
  bool server_available; /* another usable server is known */
  int64_t remaining_ms;
};

#define KCP_RESEND_SLOTS 20u /* of a window */

/* Retries that this VM may make towards a service in any window of time: a share of the
   requests of that window plus a constant. Requests of a calm time so pay for the retries
   of the moment in which many servers refuse at once. */
struct kcp_resend_budget
{
  int64_t window_ns;
  double ratio;                            /* retries allowed for each request */
  double burst;                            /* retries allowed beyond that in a window */
  int64_t newest;                          /* number of the newest slot */
  unsigned requests[KCP_RESEND_SLOTS + 1]; /* by slot, of the last window and one more */
  unsigned retries[KCP_RESEND_SLOTS + 1];
};

void kcp_resend_budget_init (struct kcp_resend_budget *budget, double ratio, double burst,
                             int64_t window_ns, int64_t now_ns);
void kcp_resend_budget_add_request (struct kcp_resend_budget *budget, int64_t now_ns);
bool kcp_resend_budget_take (struct kcp_resend_budget *budget, int64_t now_ns);
enum kcp_resend_decision
kcp_resend_decide (const struct kcp_resend_facts *facts, struct kcp_resend_budget *budget,
                   int64_t now_ns);

#endif
