/* The end of an answer that has neither a length nor chunks: it counts as whole only once
   its server has shown that it lives on. */
#include <microhttpd.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/forward_private.h"

static bool
needs_check (const struct kcp_forward *forward, const struct kcp_http_result *result);
static void on_checked (void *user, const struct kcp_end_check_result *check);

/* Returns true if the attempt's end is being checked. kcp_forward_conclude() is called
   with its result then, unless the attempt is ended before. */
bool
kcp_forward_check_end (struct kcp_forward *forward, const struct kcp_http_result *result)
{
  struct kcp_attempt *attempt = &forward->attempt;

  if (!needs_check (forward, result))
    return false;
  attempt->unchecked = *result;
  attempt->unchecked.reason = NULL; /* not valid after the call */
  attempt->end_check = kcp_end_check_start (
      forward->gateway, attempt->server,
      &(struct kcp_end_check_sent){ .sent_ns = attempt->sent_ns,
                                    .server_start_ms = attempt->server_start_ms },
      on_checked, forward);
  kcp_counter_add (KCP_COUNT_ENDS_CHECKED, 1);
  return true;
}

/* Returns true if the answer has ended with its connection and would be relayed as whole.
   An answer without a body ends with its head. */
static bool
needs_check (const struct kcp_forward *forward, const struct kcp_http_result *result)
{
  const struct kcp_answer_head *head = &forward->attempt.head;
  bool success = result->status < MHD_HTTP_MULTIPLE_CHOICES;

  if (result->end != KCP_HTTP_COMPLETE || result->framing != KCP_HTTP_FRAMING_CLOSE
      || result->status == MHD_HTTP_NO_CONTENT || result->status == MHD_HTTP_NOT_MODIFIED
      || strcmp (forward->inbound->method, MHD_HTTP_METHOD_HEAD) == 0)
    return false;
  return kcp_forward_answer_matches (forward) && !head->not_run
         && result->status < MHD_HTTP_INTERNAL_SERVER_ERROR
         && (success ? head->signed_ : kcp_forward_may_relay_status (result->status));
}

static void
on_checked (void *user, const struct kcp_end_check_result *check)
{
  struct kcp_forward *forward = user;
  struct kcp_attempt *attempt = &forward->attempt;
  struct kcp_http_result result = attempt->unchecked;
  bool whole = check->end.decision == KCP_ANSWER_END_WHOLE;

  attempt->end_check = NULL;
  KCP_LOG ("end_checked", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("server", attempt->server->entry.id),
           KCP_LOG_TEXT ("framing", kcp_http_framing_name (result.framing)),
           KCP_LOG_TEXT ("outcome", kcp_answer_end_decision_name (check->end.decision)),
           KCP_LOG_TEXT ("evidence", kcp_answer_end_evidence_name (check->end.evidence)),
           KCP_LOG_INT ("evidence_ms", check->evidence_ms),
           KCP_LOG_INT ("calls", check->calls), KCP_LOG_INT ("ms", check->waited_ms));
  if (!whole)
    {
      kcp_counter_add (KCP_COUNT_ENDS_NOT_BELIEVED, 1);
      result.end = KCP_HTTP_INTERRUPTED;
      result.reason = "its server has not outlived the answer";
    }
  kcp_forward_conclude (forward, &result);
}
