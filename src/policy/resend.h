/* Decides how the route command proceeds after an attempt that did not yield a complete
   answer. The result depends on the arguments alone.

   Load pattern: servers refuse briefly, crash with requests in flight, or lose answers,
   while callers retry on their own. A request that certainly did not run goes to another
   server at once. A request that may have run does so only where its route allows this,
   and not if copies of it were in flight at servers that crashed: it may be their cause.
   Both are limited by a budget that covers all VMs, and that an attempt does not draw on
   that reached no server: it protects the servers. */
#ifndef KCP_POLICY_RESEND_H
#define KCP_POLICY_RESEND_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/reach.h"
#include "route/routes.h"

/* How the attempt ended. The log has the numbers. */
enum kcp_attempt_end
{
  KCP_ATTEMPT_UNSENT,      /* no connection was established, so no byte was sent */
  KCP_ATTEMPT_REFUSED,     /* the server reported that it did not run */
  KCP_ATTEMPT_UNKNOWN,     /* sent; it may have run */
  KCP_ATTEMPT_ERROR,       /* the server answered with an error of its own */
  KCP_ATTEMPT_INTERRUPTED, /* the stream was interrupted after its first event */
  KCP_ATTEMPT_DECLINED     /* another VM did not accept the request; it did not run */
};

enum kcp_resend_decision
{
  KCP_RESEND_OTHER,     /* send it to another server */
  KCP_RESEND_PASS_ON,   /* have another VM send it to a server */
  KCP_RESEND_RESUME,    /* have another server continue after the last event */
  KCP_RESEND_REFUSE,    /* report to the caller that it did not run, and when to retry */
  KCP_RESEND_FAIL,      /* report to the caller that the outcome is unknown */
  KCP_RESEND_PASS_ERROR /* forward the server's own answer */
};

struct kcp_resend_facts
{
  enum kcp_repeat repeat;
  enum kcp_attempt_end end;
  unsigned runs;     /* attempts that may have run, including this one */
  unsigned refusals; /* attempts that did not run, including this one */
  unsigned unsent;   /* those of them that reached no server */
  unsigned declines; /* other VMs that declined the request, including this one */
  unsigned max_runs;
  bool suspect;      /* copies of the request were in flight at servers that crashed */
  bool may_have_run; /* an earlier attempt of this request may have run */
  bool server_available; /* another usable server is known */
  bool vm_available;     /* another VM may send it to a server */
  enum kcp_paths paths;  /* from this VM to the servers */
  int64_t remaining_ms;  /* time until the caller's deadline */
};

#define KCP_RESEND_SLOTS 20u /* time slots per window */

/* Limits the retries that this VM may send to a service in any time window to a fraction
   of the requests of that window plus a constant. The requests of a quiet period thus
   allow for the retries of a moment in which many servers refuse together. */
struct kcp_resend_budget
{
  int64_t window_ns;
  double ratio;                            /* retries allowed per request */
  double burst;                            /* further retries allowed in a window */
  int64_t newest;                          /* number of the newest slot */
  unsigned requests[KCP_RESEND_SLOTS + 1]; /* by slot, for one window and one slot more */
  unsigned retries[KCP_RESEND_SLOTS + 1];
};

bool kcp_resend_passes_on (enum kcp_paths paths, unsigned unsent);
unsigned kcp_resend_sharing_vms (unsigned alive, unsigned known);
void kcp_resend_budget_init (struct kcp_resend_budget *budget, double ratio, double burst,
                             int64_t window_ns, int64_t now_ns);
void kcp_resend_budget_add_request (struct kcp_resend_budget *budget, int64_t now_ns);
unsigned kcp_resend_budget_requests (struct kcp_resend_budget *budget, int64_t now_ns);
bool kcp_resend_budget_take (struct kcp_resend_budget *budget, int64_t now_ns);
enum kcp_resend_decision
kcp_resend_decide (const struct kcp_resend_facts *facts, struct kcp_resend_budget *budget,
                   int64_t now_ns);

#endif
