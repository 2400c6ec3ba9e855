/* What an attempt shows of the crashes of servers: which attempts may have crashed
   theirs, and which answers clear a suspect. */
#include "base/decision_log.h"
#include "forward/crash_suspects.h"
#include "forward/forward_private.h"
#include "policy/fingerprint.h"

/* Events of an answer that show that its server did not crash as it began to write. */
#define EVENTS_OF_SOUND_PARTS 4u

static bool has_several_events (const struct kcp_forward *forward);
static bool may_be_cut_off (const struct kcp_forward *forward);
static void log_suspect_answered (const struct kcp_forward *forward, long status);
static struct kcp_crash_causes possible_causes (const struct kcp_forward *forward);

/* Has the crash watch find out whether the server ended with the attempt. A server may
   still answer before it does, with an error of its own or with bytes that are no answer
   to this request. It is probed unless its answer is a valid error: servers that fail
   requests without ending are not burdened with probes for each of them. */
void
kcp_forward_watch_for_crash (struct kcp_forward *forward, enum kcp_attempt_end end,
                             const struct kcp_http_result *result)
{
  struct kcp_crash_watch *watch = forward->gateway->crash_watch;
  const struct kcp_attempt *attempt = &forward->attempt;
  bool valid_error = result->end == KCP_HTTP_COMPLETE && result->status >= 300
                     && kcp_forward_answer_matches (forward);

  if (result->refused)
    kcp_crash_watch_on_refused (watch, attempt->server);
  switch (end)
    {
    case KCP_ATTEMPT_UNSENT:
    case KCP_ATTEMPT_DECLINED:
    case KCP_ATTEMPT_REFUSED:
      break;
    case KCP_ATTEMPT_UNKNOWN:
    case KCP_ATTEMPT_ERROR:
    case KCP_ATTEMPT_INTERRUPTED:
      kcp_forward_watch_server (forward, valid_error ? KCP_CRASH_WATCH_PASSIVE
                                                     : KCP_CRASH_WATCH_PROBE);
      break;
    }
}

/* Has the crash watch find out whether the attempt's server has ended with it. */
void
kcp_forward_watch_server (const struct kcp_forward *forward,
                          enum kcp_crash_watch_probe probing)
{
  const struct kcp_attempt *attempt = &forward->attempt;
  struct kcp_crash_causes causes = possible_causes (forward);

  kcp_crash_watch_add (forward->gateway->crash_watch, attempt->server, &causes,
                       attempt->sent_ns, probing);
}

static bool
has_several_events (const struct kcp_forward *forward)
{
  return forward->framer.events >= forward->attempt.events_before + EVENTS_OF_SOUND_PARTS;
}

/* Returns true if a complete answer may be the beginning of one that a crash cut off: a
   stream of few events that ended with its connection. */
static bool
may_be_cut_off (const struct kcp_forward *forward)
{
  return forward->attempt.framing == KCP_HTTP_FRAMING_CLOSE && forward->answer->begun
         && !has_several_events (forward);
}

/* Records that a server answered the request with success: neither it nor one of its
   parts crashed the server, unless the answer may have been cut off. */
void
kcp_forward_record_success (const struct kcp_forward *forward, long status)
{
  if (may_be_cut_off (forward))
    {
      kcp_forward_watch_server (forward, KCP_CRASH_WATCH_PROBE);
      return;
    }
  log_suspect_answered (forward, status);
  kcp_crash_suspects_clear_request (forward->gateway, forward->causes.fingerprint);
  kcp_crash_suspects_clear_parts (forward->gateway, forward->causes.parts);
}

/* Records that a server answered the request with an error, perhaps before running it. */
void
kcp_forward_record_error (const struct kcp_forward *forward, long status)
{
  log_suspect_answered (forward, status);
  kcp_crash_suspects_add_error (forward->gateway, forward->causes.fingerprint);
}

/* Logs the answer if the request is a suspect. */
static void
log_suspect_answered (const struct kcp_forward *forward, long status)
{
  char fingerprint[KCP_FINGERPRINT_TEXT_SIZE];

  if (!kcp_crash_suspects_is_suspect (forward->gateway, &forward->causes))
    return;
  KCP_LOG ("suspect_answered", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("server", forward->attempt.server->entry.id),
           KCP_LOG_TEXT ("fingerprint",
                         kcp_fingerprint_text (forward->causes.fingerprint, fingerprint)),
           KCP_LOG_INT ("status", status));
}

/* Returns what may have crashed the attempt's server. A part that crashes servers does so
   as they begin to write, so once several events have come it is none of this request's.
 */
static struct kcp_crash_causes
possible_causes (const struct kcp_forward *forward)
{
  struct kcp_crash_causes causes = forward->causes;

  if (has_several_events (forward))
    {
      kcp_crash_suspects_clear_parts (forward->gateway, causes.parts);
      causes.parts = NULL;
    }
  return causes;
}
