/* Receives the bytes of an answer and keeps the memory of the answers within limits. */
#include <microhttpd.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/forward_private.h"

static bool relay_events (struct kcp_forward *forward, struct kcp_str bytes, long status);
static void count_memory (struct kcp_forward *forward);
static bool is_within_limits (struct kcp_forward *forward);
static void pause_if_unread (struct kcp_forward *forward);
static size_t pause_at (const struct kcp_forward *forward);
static void on_taken (void *user);
static void unpause (void *user);
static void report_limit (struct kcp_forward *forward, const char *limit);

/* Takes bytes of the attempt's answer: relays the complete events of a stream and keeps
   everything else until the answer is complete. Returns false if the answer exceeds a
   limit and the attempt has to end. */
bool
kcp_forward_take_bytes (struct kcp_forward *forward, struct kcp_str bytes)
{
  struct kcp_attempt *attempt = &forward->attempt;
  long status = kcp_http_status (attempt->call);

  if (attempt->head.signed_ && kcp_forward_answer_matches (forward))
    attempt->server->last_answer_ns = kcp_loop_now (forward->gateway->loop);
  if (!kcp_forward_is_streamed (forward, status))
    g_string_append_len (attempt->buffered_body, bytes.data, (gssize)bytes.len);
  else if (!relay_events (forward, bytes, status))
    return false;
  count_memory (forward);
  return is_within_limits (forward);
}

/* Relays the events that the bytes complete. Returns false if the attempt has to end: an
   event is too long, or does not belong to the stream. */
static bool
relay_events (struct kcp_forward *forward, struct kcp_str bytes, long status)
{
  struct kcp_answer *answer = forward->answer;
  size_t before = answer->body->len;

  switch (kcp_event_framer_feed (&forward->framer, bytes, answer->body))
    {
    case KCP_EVENT_FRAMER_OK:
      break;
    case KCP_EVENT_FRAMER_TOO_LONG:
      report_limit (forward, "event");
      return false;
    case KCP_EVENT_FRAMER_FOREIGN:
      forward->attempt.limit = "foreign_event";
      return false;
    }
  if (answer->body->len == before)
    return true;
  if (!answer->begun)
    kcp_forward_begin_streaming (forward, (unsigned)status);
  answer->taken = on_taken;
  answer->taken_user = forward;
  answer->changed (answer->user);
  pause_if_unread (forward);
  return true;
}

/* Returns true if the answer is streamed to the caller as it arrives. This requires an
   answer that carries the server's signature and belongs to this request. */
bool
kcp_forward_is_streamed (const struct kcp_forward *forward, long status)
{
  return forward->choice.route->streaming && status == MHD_HTTP_OK
         && kcp_forward_answer_matches (forward) && forward->attempt.head.signed_;
}

/* Returns true if the answer belongs to this request and its body consists of the
   server's own bytes. */
bool
kcp_forward_answer_matches (const struct kcp_forward *forward)
{
  const struct kcp_answer_head *head = &forward->attempt.head;

  return head->request_id != NULL && strcmp (head->request_id, forward->inbound->id) == 0
         && !head->encoded;
}

/* Ends the count of the answer's memory, which has been freed. */
void
kcp_forward_release_answer (struct kcp_forward *forward)
{
  kcp_loop_timer_cancel (&forward->unpause_timer);
  forward->answer->taken = NULL;
  forward->gateway->answer_bytes -= forward->answer_bytes;
  forward->answer_bytes = 0;
}

/* Updates the counts of the memory that this answer and all answers hold. */
static void
count_memory (struct kcp_forward *forward)
{
  const GString *buffered = forward->attempt.buffered_body;
  size_t own = forward->framer.pending->allocated_len
               + forward->answer->body->allocated_len
               + (buffered != NULL ? buffered->allocated_len : 0);

  forward->gateway->answer_bytes += own - forward->answer_bytes;
  forward->answer_bytes = own;
}

static bool
is_within_limits (struct kcp_forward *forward)
{
  const struct kcp_gateway *gateway = forward->gateway;
  struct kcp_answer_limits limits
      = kcp_answer_limits_for (gateway->settings->vm_memory_mb << 20);

  switch (kcp_answer_limits_check (&limits, forward->answer_bytes, gateway->answer_bytes))
    {
    case KCP_ANSWER_LIMIT_NONE:
      return true;
    case KCP_ANSWER_LIMIT_ONE:
      report_limit (forward, "answer");
      return false;
    case KCP_ANSWER_LIMIT_ALL:
      report_limit (forward, "all_answers");
      return false;
    }
  return true;
}

/* Stops reading the server while the caller leaves too much of the stream unread. */
static void
pause_if_unread (struct kcp_forward *forward)
{
  struct kcp_attempt *attempt = &forward->attempt;

  if (attempt->paused || forward->answer->body->len < pause_at (forward))
    return;
  attempt->paused = true;
  kcp_counter_add (KCP_COUNT_STREAMS_PAUSED, 1);
  kcp_http_pause (attempt->call);
}

static size_t
pause_at (const struct kcp_forward *forward)
{
  const struct kcp_gateway *gateway = forward->gateway;
  struct kcp_answer_limits limits
      = kcp_answer_limits_for (gateway->settings->vm_memory_mb << 20);

  return kcp_answer_limits_pause_at (&limits, gateway->open_requests);
}

/* Has the server read again once the caller has read half of what was unread. This cannot
   be done here, while the caller's connection is being written. */
static void
on_taken (void *user)
{
  struct kcp_forward *forward = user;
  struct kcp_loop *loop = forward->gateway->loop;

  count_memory (forward);
  if (forward->attempt.paused && forward->answer->body->len <= pause_at (forward) / 2)
    kcp_loop_timer_set (loop, &forward->unpause_timer, kcp_loop_now (loop), unpause,
                        forward);
}

static void
unpause (void *user)
{
  struct kcp_forward *forward = user;
  struct kcp_attempt *attempt = &forward->attempt;

  if (attempt->call == NULL || !attempt->paused)
    return;
  attempt->paused = false;
  kcp_http_unpause (attempt->call);
}

static void
report_limit (struct kcp_forward *forward, const char *limit)
{
  forward->attempt.limit = limit;
  kcp_counter_add (KCP_COUNT_ANSWERS_TOO_LARGE, 1);
  KCP_LOG ("answer_too_large", KCP_LOG_TEXT ("limit", limit),
           KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("server", forward->attempt.server->entry.id),
           KCP_LOG_INT ("bytes", forward->answer_bytes),
           KCP_LOG_INT ("all_bytes", forward->gateway->answer_bytes));
}
