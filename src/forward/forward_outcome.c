/* What follows from an attempt that has ended: its answer is relayed, or the request goes
   on without it. */
#include <microhttpd.h>
#include <string.h>

#include "base/decision_log.h"
#include "forward/forward_private.h"
#include "forward/mesh_outcomes.h"

/* Why an attempt counts as not run. */
enum not_run_evidence
{
  EVIDENCE_NONE,           /* it may have run */
  EVIDENCE_UNSENT,         /* no connection was established */
  EVIDENCE_REQUEST_ID,     /* the server says so in an answer with the request's id */
  EVIDENCE_NEW_CONNECTION, /* likewise, without an id, but on a connection of its own */
  EVIDENCE_COUNT
};

static const char *const evidence_names[EVIDENCE_COUNT] = {
  [EVIDENCE_NONE] = "none",
  [EVIDENCE_UNSENT] = "unsent",
  [EVIDENCE_REQUEST_ID] = "request_id",
  [EVIDENCE_NEW_CONNECTION] = "new_connection",
};

static bool
finish_complete (struct kcp_forward *forward, const struct kcp_http_result *result);
static enum kcp_attempt_end
classify (const struct kcp_forward *forward, const struct kcp_http_result *result);
static bool
reports_not_run (const struct kcp_forward *forward, const struct kcp_http_result *result);
static enum not_run_evidence not_run_evidence (const struct kcp_forward *forward,
                                               const struct kcp_http_result *result);
static void record_attempt_end (struct kcp_forward *forward, enum kcp_attempt_end end);

/* Acts on an attempt that has ended: relays its answer, or goes on without it. */
void
kcp_forward_conclude (struct kcp_forward *forward, const struct kcp_http_result *ended)
{
  const struct kcp_attempt *attempt = &forward->attempt;
  struct kcp_http_result result = *ended;
  enum kcp_attempt_end end;

  if (finish_complete (forward, &result))
    return;
  end = classify (forward, &result);
  KCP_LOG (
      "attempt_failed", KCP_LOG_TEXT ("request", forward->inbound->id),
      KCP_LOG_TEXT ("server", attempt->server->entry.id),
      KCP_LOG_TEXT ("end", kcp_http_end_name (result.end)), KCP_LOG_INT ("class", end),
      KCP_LOG_INT ("status", result.status), KCP_LOG_INT ("kept", result.reused),
      KCP_LOG_TEXT ("framing", kcp_http_framing_name (attempt->framing)),
      KCP_LOG_INT ("partial_event", attempt->partial_event_len),
      KCP_LOG_TEXT ("last_event", forward->framer.last_id->str),
      KCP_LOG_TEXT ("id_seen",
                    attempt->head.request_id ? attempt->head.request_id : "none"),
      KCP_LOG_INT ("not_run", attempt->head.not_run),
      KCP_LOG_TEXT ("evidence", evidence_names[not_run_evidence (forward, &result)]),
      KCP_LOG_INT ("port", result.own_port), KCP_LOG_INT ("body_sent", result.body_sent),
      KCP_LOG_INT ("repeat_prevented", result.kept_from_repeating),
      KCP_LOG_INT ("ms", (kcp_loop_now (forward->gateway->loop) - attempt->sent_ns)
                             / KCP_NS_PER_MS),
      KCP_LOG_TEXT ("reason", attempt->limit != NULL ? attempt->limit : result.reason));
  record_attempt_end (forward, end);
  kcp_forward_watch_for_crash (forward, end, &result);
  kcp_forward_after_attempt (forward, end, result.status);
}

/* Relays the answer if it is complete, comes from the server and belongs to this request.
   Returns false if one of these does not hold, or if the answer is an error that another
   attempt may avoid. */
static bool
finish_complete (struct kcp_forward *forward, const struct kcp_http_result *result)
{
  bool success = result->status >= 200 && result->status < 300;

  if (result->end != KCP_HTTP_COMPLETE || !kcp_forward_answer_matches (forward)
      || reports_not_run (forward, result))
    return false;
  if (success && !forward->attempt.head.signed_)
    return false;
  if (forward->answer->begun && !kcp_forward_is_streamed (forward, result->status))
    return false;
  if (!success
      && (forward->answer->begun || !kcp_forward_may_relay_status (result->status)))
    return false;
  if (!success)
    kcp_forward_record_error (forward, result->status);
  if (result->status >= MHD_HTTP_INTERNAL_SERVER_ERROR)
    return false;
  kcp_server_record_answer (forward->attempt.server);
  kcp_mesh_outcomes_record (forward->gateway, forward->attempt.server,
                            KCP_OUTCOME_SUCCESS);
  forward->attempt.server->last_answer_ns = kcp_loop_now (forward->gateway->loop);
  if (success)
    kcp_forward_record_success (forward, result->status);
  else
    kcp_forward_watch_server (forward, KCP_CRASH_WATCH_PASSIVE);
  if (kcp_forward_is_streamed (forward, result->status))
    {
      kcp_forward_end_stream (forward, (unsigned)result->status);
      return true;
    }
  kcp_forward_relay_answer (forward, (unsigned)result->status);
  return true;
}

static enum kcp_attempt_end
classify (const struct kcp_forward *forward, const struct kcp_http_result *result)
{
  if (result->end == KCP_HTTP_UNSENT)
    return KCP_ATTEMPT_UNSENT;
  if (reports_not_run (forward, result))
    return KCP_ATTEMPT_REFUSED;
  if (forward->answer->begun)
    return KCP_ATTEMPT_INTERRUPTED;
  if (result->end == KCP_HTTP_COMPLETE && kcp_forward_answer_matches (forward)
      && result->status >= MHD_HTTP_INTERNAL_SERVER_ERROR
      && kcp_forward_may_relay_status (result->status))
    return KCP_ATTEMPT_ERROR;
  return KCP_ATTEMPT_UNKNOWN;
}

/* Returns true if the server reports that it did not run this request. */
static bool
reports_not_run (const struct kcp_forward *forward, const struct kcp_http_result *result)
{
  switch (not_run_evidence (forward, result))
    {
    case EVIDENCE_REQUEST_ID:
    case EVIDENCE_NEW_CONNECTION:
      return true;
    case EVIDENCE_NONE:
    case EVIDENCE_UNSENT:
    case EVIDENCE_COUNT:
      break;
    }
  return false;
}

/* Returns what shows that the attempt did not run. An answer without a request id counts
   only on a new connection: on a reused connection it may belong to an earlier request.
 */
static enum not_run_evidence
not_run_evidence (const struct kcp_forward *forward, const struct kcp_http_result *result)
{
  const struct kcp_answer_head *head = &forward->attempt.head;
  bool reported
      = head->not_run || forward->gateway->dialect->status_is_not_run (result->status);

  if (result->end == KCP_HTTP_UNSENT)
    return EVIDENCE_UNSENT;
  if (!reported || result->status == 0)
    return EVIDENCE_NONE;
  if (head->request_id == NULL)
    return result->reused ? EVIDENCE_NONE : EVIDENCE_NEW_CONNECTION;
  return strcmp (head->request_id, forward->inbound->id) == 0 ? EVIDENCE_REQUEST_ID
                                                              : EVIDENCE_NONE;
}

static void
record_attempt_end (struct kcp_forward *forward, enum kcp_attempt_end end)
{
  struct kcp_gateway *gateway = forward->gateway;
  struct kcp_server *server = forward->attempt.server;
  int64_t now = kcp_loop_now (gateway->loop);

  switch (end)
    {
    case KCP_ATTEMPT_REFUSED:
      kcp_server_record_refusal (server, now);
      kcp_mesh_outcomes_record (gateway, server, KCP_OUTCOME_REFUSAL);
      break;
    case KCP_ATTEMPT_UNSENT:
      kcp_server_record_failure (server, now);
      kcp_reach_watch_on_failure (gateway->reach_watch, server);
      kcp_mesh_outcomes_record (gateway, server, KCP_OUTCOME_UNREACHED);
      break;
    case KCP_ATTEMPT_UNKNOWN:
    case KCP_ATTEMPT_INTERRUPTED:
      kcp_server_record_failure (server, now);
      kcp_mesh_outcomes_record (gateway, server, KCP_OUTCOME_FAILURE);
      break;
    case KCP_ATTEMPT_DECLINED:
      kcp_server_record_failure (server, now);
      break;
    case KCP_ATTEMPT_ERROR:
      kcp_mesh_outcomes_record (gateway, server, KCP_OUTCOME_FAILURE);
      break;
    }
}
