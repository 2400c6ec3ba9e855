#include <microhttpd.h>
#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/histogram.h"
#include "base/id.h"
#include "forward/forward_private.h"
#include "policy/retry_after.h"

static const char *const hop_by_hop_headers[] = {
  "Connection", "Keep-Alive", "Transfer-Encoding",  "Content-Length",   "Trailer",
  "TE",         "Upgrade",    "Proxy-Authenticate", "Proxy-Connection",
};

static void refuse (struct kcp_forward *forward, unsigned status, int64_t available_ns,
                    const char *reason);
static int64_t reserve_room (const struct kcp_choice *choice, int64_t now_ns);
static void copy_headers (struct kcp_forward *forward);
static bool is_hop_by_hop_header (const char *name);

/* Starts the caller's answer with the head of a server's stream. */
void
kcp_forward_begin_streaming (struct kcp_forward *forward, unsigned status)
{
  forward->answer->streaming = true;
  forward->answer->status = status;
  forward->answer->hop_end = KCP_HOP_ANSWERED;
  forward->answer->software = forward->attempt.software;
  copy_headers (forward);
  forward->answer->begun = true;
  kcp_forward_bind_version (forward);
}

/* Ends a server's complete stream, which may have had no event. */
void
kcp_forward_end_stream (struct kcp_forward *forward, unsigned status)
{
  kcp_event_framer_flush (&forward->framer, forward->answer->body);
  if (!forward->answer->begun)
    kcp_forward_begin_streaming (forward, status);
  kcp_forward_finish (forward, KCP_ANSWER_COMPLETE, "answered", NULL);
}

/* Relays a server's complete answer, which may be an error, to the caller. */
void
kcp_forward_relay_answer (struct kcp_forward *forward, unsigned status)
{
  struct kcp_answer *answer = forward->answer;
  GString *unused = answer->body;

  answer->status = status;
  answer->hop_end = KCP_HOP_ANSWERED;
  answer->software = forward->attempt.software;
  copy_headers (forward);
  answer->body = forward->attempt.buffered_body;
  forward->attempt.buffered_body = unused;
  forward->answer->begun = true;
  kcp_forward_finish (forward, KCP_ANSWER_COMPLETE, "answered", NULL);
}

static void
copy_headers (struct kcp_forward *forward)
{
  const GPtrArray *headers = forward->attempt.headers;

  for (guint i = 0; i + 1 < headers->len; i += 2)
    {
      const char *name = g_ptr_array_index (headers, i);

      if (!is_hop_by_hop_header (name) && !kcp_hop_is_header (name))
        kcp_answer_add_header (forward->answer, name, g_ptr_array_index (headers, i + 1));
    }
}

static bool
is_hop_by_hop_header (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop_headers); i++)
    if (g_ascii_strcasecmp (name, hop_by_hop_headers[i]) == 0)
      return true;
  return false;
}

/* Returns true if a server's answer with this status may be relayed. The excluded
   statuses state to the caller that the request did not run. A server's answer with one
   of them does not mean this unless the server also reports it. */
bool
kcp_forward_may_relay_status (long status)
{
  return status != MHD_HTTP_REQUEST_TIMEOUT && status != MHD_HTTP_MISDIRECTED_REQUEST
         && status != MHD_HTTP_TOO_MANY_REQUESTS
         && status != MHD_HTTP_SERVICE_UNAVAILABLE;
}

/* Ends a request that another VM passed on, and that this VM cannot send to a server: it
   has not run, and the other VM may try elsewhere. */
void
kcp_forward_decline (struct kcp_forward *forward, const char *reason)
{
  forward->answer->hop_end = KCP_HOP_DECLINED;
  kcp_forward_end_with_problem (forward, MHD_HTTP_SERVICE_UNAVAILABLE, "not_run", reason);
}

/* Refuses the request: answers at once with 503, the reason and a Retry-After time. The
   answer states that the request did not run. */
void
kcp_forward_refuse (struct kcp_forward *forward, const char *reason)
{
  kcp_forward_give_back_quota (forward);
  refuse (forward, MHD_HTTP_SERVICE_UNAVAILABLE,
          reserve_room (&forward->choice, kcp_loop_now (forward->gateway->loop)),
          forward->gateway->routes == NULL ? "no_configuration" : reason);
}

/* Refuses a request that exceeds the quota of its team, whose caller should return at
   return_ns: answers with 429, which states that the request did not run. */
void
kcp_forward_refuse_over_quota (struct kcp_forward *forward, int64_t return_ns)
{
  refuse (forward, MHD_HTTP_TOO_MANY_REQUESTS, return_ns, "over_quota");
}

static void
refuse (struct kcp_forward *forward, unsigned status, int64_t available_ns,
        const char *reason)
{
  int64_t now = kcp_loop_now (forward->gateway->loop);
  int64_t remaining_ms = forward->deadline_ns > 0 ? kcp_forward_remaining_ms (forward)
                                                  : forward->inbound->timeout_ms;
  int64_t wait_ms
      = kcp_retry_after_ms (available_ns > now ? (available_ns - now) / KCP_NS_PER_MS : 0,
                            remaining_ms, kcp_id_random_u64 ());
  char seconds[32];

  forward->answer->hop_end = KCP_HOP_REFUSED;
  (void)snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT ".%03d",
                  (gint64)(wait_ms / KCP_MS_PER_S), (int)(wait_ms % KCP_MS_PER_S));
  kcp_answer_add_header (forward->answer, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
  kcp_counter_add (KCP_COUNT_REFUSED, 1);
  kcp_forward_end_with_problem (forward, status, "not_run", reason);
}

/* Returns when a server is expected to be free. Where its limit decides that, the room is
   reserved for this caller. */
static int64_t
reserve_room (const struct kcp_choice *choice, int64_t now_ns)
{
  struct kcp_server *server = choice->earliest_server;

  if (server == NULL || !kcp_server_limit_is_in_force (&server->limit, now_ns))
    return choice->earliest_available_ns;
  return MAX (kcp_server_limit_reserve (&server->limit, now_ns),
              choice->earliest_available_ns);
}

/* Answers with a problem document. execution states whether the request ran. */
void
kcp_forward_end_with_problem (struct kcp_forward *forward, unsigned status,
                              const char *execution, const char *reason)
{
  struct kcp_answer *answer = forward->answer;

  answer->status = status;
  if (answer->hop_end == KCP_HOP_UNKNOWN)
    answer->hop_end = KCP_HOP_FAILED;
  kcp_answer_add_header (answer, MHD_HTTP_HEADER_CONTENT_TYPE,
                         "application/problem+json");
  g_string_append_printf (answer->body,
                          "{\"title\":\"%s\",\"status\":%u,\"execution\":\"%s\"}", reason,
                          status, execution);
  answer->begun = true;
  kcp_forward_finish (forward, KCP_ANSWER_COMPLETE,
                      status == MHD_HTTP_SERVICE_UNAVAILABLE ? "refused" : "failed",
                      reason);
}

/* Ends a stream so that the caller can detect that it is incomplete. */
void
kcp_forward_interrupt (struct kcp_forward *forward, const char *reason)
{
  kcp_forward_finish (forward, KCP_ANSWER_INTERRUPTED, "broken_off", reason);
}

/* Returns the time from the request's arrival to the first byte of the answer's body at
   the last attempt, or -1 if none came. */
static int64_t
first_byte_ms (const struct kcp_forward *forward)
{
  if (forward->attempt.first_byte_ns == 0)
    return -1;
  return (forward->attempt.first_byte_ns - forward->arrived_ns) / KCP_NS_PER_MS;
}

/* Ends the request: writes its log line, updates the counters, and ends the attempt in
   progress and the caller's answer. reason may be NULL. */
void
kcp_forward_finish (struct kcp_forward *forward, enum kcp_answer_end end,
                    const char *outcome, const char *reason)
{
  struct kcp_gateway *gateway = forward->gateway;
  int64_t now = kcp_loop_now (gateway->loop);
  const struct kcp_route *route = forward->choice.route;

  KCP_LOG ("request", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("outcome", outcome), KCP_LOG_TEXT ("why", reason),
           KCP_LOG_INT ("status", forward->answer->status),
           KCP_LOG_TEXT ("route", route != NULL ? route->name : NULL),
           KCP_LOG_TEXT ("team", forward->choice.team != NULL ? forward->choice.team->name
                                                              : NULL),
           KCP_LOG_INT ("routes_version",
                        forward->routes != NULL ? forward->routes->version : 0),
           KCP_LOG_INT ("from_vm", kcp_forward_is_from_vm (forward)),
           KCP_LOG_INT ("tries", forward->tried->len),
           KCP_LOG_INT ("runs", forward->runs),
           KCP_LOG_INT ("port", forward->attempt.own_port),
           KCP_LOG_INT ("kept", forward->attempt.reused),
           KCP_LOG_TEXT ("framing", kcp_http_framing_name (forward->attempt.framing)),
           KCP_LOG_INT ("partial_event", forward->attempt.partial_event_len),
           KCP_LOG_TEXT ("last_event", forward->framer.last_id->str),
           KCP_LOG_INT ("close_delimited",
                        forward->answer->streaming && forward->answer->close_delimited),
           KCP_LOG_INT ("first_byte_ms", first_byte_ms (forward)),
           KCP_LOG_INT ("ms", (now - forward->arrived_ns) / KCP_NS_PER_MS));
  kcp_histogram_add (KCP_HISTOGRAM_REQUEST, now - forward->arrived_ns);
  if (end == KCP_ANSWER_INTERRUPTED && strcmp (outcome, "caller_gone") == 0)
    kcp_counter_add (KCP_COUNT_CANCELLED, 1);
  else
    kcp_counter_add (end == KCP_ANSWER_COMPLETE && forward->answer->status < 300
                         ? KCP_COUNT_COMPLETED
                         : KCP_COUNT_FAILED,
                     1);
  kcp_loop_timer_cancel (&forward->deadline_timer);
  kcp_resume_lookup_cancel (&forward->lookup);
  kcp_forward_end_attempt (forward);
  forward->answer->end = end;
  forward->answer->changed (forward->answer->user);
}
