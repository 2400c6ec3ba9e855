/* A request that this VM cannot send to a server, as it reaches none, is passed on to a
   VM that does, and its answer relayed. */
#include <microhttpd.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/forward_private.h"
#include "forward/mesh.h"

static struct curl_slist *make_headers (const struct kcp_forward *forward);
static enum kcp_hop_end
end_of (const struct kcp_forward *forward, const struct kcp_http_result *result);
static bool is_success (long status);
static void relay_refusal (struct kcp_forward *forward);
static void relay_end (struct kcp_forward *forward, enum kcp_hop_end end,
                       const struct kcp_http_result *result);

/* Returns true if another VM passed the request on to this one, which must not do so
   again. */
bool
kcp_forward_is_from_vm (const struct kcp_forward *forward)
{
  return forward->inbound->hop != NULL;
}

/* Returns the VM that the request may be passed on to, borrowed, or NULL. */
struct kcp_server *
kcp_forward_choose_hop (const struct kcp_forward *forward)
{
  if (kcp_forward_is_from_vm (forward))
    return NULL;
  return kcp_mesh_choose_hop (forward->gateway->mesh, forward->tried);
}

/* Passes the request on to another VM. Returns false if there is none. */
bool
kcp_forward_pass_on (struct kcp_forward *forward)
{
  struct kcp_server *hop = kcp_forward_choose_hop (forward);
  bool new_connection;

  if (hop == NULL)
    return false;
  new_connection = kcp_forward_needs_new_connection (forward, hop->entry.address);
  kcp_forward_begin_attempt (forward, hop);
  forward->attempt.passed_on = true;
  kcp_counter_add (KCP_COUNT_PASSED_ON, 1);
  KCP_LOG ("passed_on", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("to", hop->entry.id),
           KCP_LOG_TEXT ("service", forward->choice.service),
           KCP_LOG_TEXT ("paths", kcp_paths_name (forward->choice.paths)),
           KCP_LOG_INT ("unsent", forward->unsent), KCP_LOG_INT ("runs", forward->runs),
           KCP_LOG_INT ("try", forward->tried->len),
           KCP_LOG_INT ("left_ms", kcp_forward_remaining_ms (forward)));
  kcp_forward_send_attempt (forward, make_headers (forward), new_connection);
  return true;
}

static struct curl_slist *
make_headers (const struct kcp_forward *forward)
{
  const struct kcp_choice *choice = &forward->choice;
  struct kcp_hop_head hop = {
    .team = choice->team != NULL ? choice->team->name : NULL,
    .service = (char *)choice->service,
    .avoid = forward->reached->len > 0 ? forward->reached->str : NULL,
    .routes_version = forward->routes->version,
    .runs = forward->runs,
    .bound = choice->bound,
    .software = choice->software,
  };
  struct kcp_request_head head = {
    .remaining_ms = kcp_forward_remaining_ms (forward),
    .priority = KCP_PRIORITY_NONE,
    .resume_after = kcp_forward_last_event (forward),
  };
  struct curl_slist *list = NULL;

  for (const struct curl_slist *line = forward->inbound->forwarded; line != NULL;
       line = line->next)
    list = curl_slist_append (list, line->data);
  list = kcp_hop_write_head (list, &hop);
  forward->gateway->dialect->write_request_head (&list, &head);
  return list;
}

/* Acts on the end of a request that was passed on. Only a request that the other VM
   declined goes on: otherwise that VM has done what its server's answer, the attempts
   allowed and the retry budget allow, and if it ended, how often the request has run is
   not known. */
void
kcp_forward_conclude_hop (struct kcp_forward *forward,
                          const struct kcp_http_result *result)
{
  const struct kcp_attempt *attempt = &forward->attempt;
  int64_t now = kcp_loop_now (forward->gateway->loop);
  enum kcp_hop_end end = end_of (forward, result);

  if (end != KCP_HOP_DECLINED && end != KCP_HOP_UNKNOWN)
    {
      kcp_server_record_answer (attempt->server);
      relay_end (forward, end, result);
      return;
    }
  KCP_LOG ("hop_failed", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("to", attempt->server->entry.id),
           KCP_LOG_TEXT ("end", kcp_http_end_name (result->end)),
           KCP_LOG_TEXT ("hop_end", kcp_hop_end_name (end)),
           KCP_LOG_INT ("status", result->status),
           KCP_LOG_INT ("ms", (now - attempt->sent_ns) / KCP_NS_PER_MS),
           KCP_LOG_TEXT ("reason", result->reason));
  kcp_server_record_failure (attempt->server, now);
  if (end == KCP_HOP_DECLINED)
    kcp_forward_after_attempt (forward, KCP_ATTEMPT_DECLINED, result->status);
  else if (forward->answer->begun)
    kcp_forward_interrupt (forward, "hop_broken");
  else
    kcp_forward_end_with_problem (forward, MHD_HTTP_BAD_GATEWAY, "unknown", "hop_broken");
}

/* Returns how the other VM ended the request. A success that is not of a server, or not
   of this request, is none. */
static enum kcp_hop_end
end_of (const struct kcp_forward *forward, const struct kcp_http_result *result)
{
  const struct kcp_attempt *attempt = &forward->attempt;

  if (result->end == KCP_HTTP_UNSENT)
    return KCP_HOP_DECLINED;
  if (result->end != KCP_HTTP_COMPLETE)
    return KCP_HOP_UNKNOWN;
  if (attempt->hop_end == KCP_HOP_ANSWERED
      && (!kcp_forward_answer_matches (forward)
          || (is_success (result->status) && !attempt->head.signed_)))
    return KCP_HOP_UNKNOWN;
  return attempt->hop_end;
}

static bool
is_success (long status)
{
  return status >= MHD_HTTP_OK && status < MHD_HTTP_MULTIPLE_CHOICES;
}

/* Relays how the other VM ended the request. */
static void
relay_end (struct kcp_forward *forward, enum kcp_hop_end end,
           const struct kcp_http_result *result)
{
  switch (end)
    {
    case KCP_HOP_ANSWERED:
      if (kcp_forward_is_streamed (forward, result->status))
        kcp_forward_end_stream (forward, (unsigned)result->status);
      else if (forward->answer->begun)
        kcp_forward_interrupt (forward, "not_resumed");
      else
        kcp_forward_relay_answer (forward, (unsigned)result->status);
      break;
    case KCP_HOP_REFUSED:
      relay_refusal (forward);
      break;
    case KCP_HOP_FAILED:
    case KCP_HOP_DECLINED:
    case KCP_HOP_UNKNOWN:
    case KCP_HOP_ENDS:
      if (forward->answer->begun)
        kcp_forward_interrupt (forward, "failed_at_other_vm");
      else
        kcp_forward_end_with_problem (forward, (unsigned)result->status, "unknown",
                                      "failed_at_other_vm");
      break;
    }
}

/* Relays the other VM's promise that the request has not run, and when to retry. It does
   not hold for a request that may have run before it was passed on. */
static void
relay_refusal (struct kcp_forward *forward)
{
  int64_t now = kcp_loop_now (forward->gateway->loop);

  forward->choice.earliest_server = NULL;
  forward->choice.earliest_available_ns
      = now + forward->attempt.head.retry_after_ms * KCP_NS_PER_MS;
  if (forward->answer->begun)
    kcp_forward_interrupt (forward, "refused_to_resume");
  else if (forward->runs > 0)
    kcp_forward_end_with_problem (forward, MHD_HTTP_BAD_GATEWAY, "unknown",
                                  "refused_at_other_vm");
  else
    kcp_forward_refuse (forward, "refused_at_other_vm");
}
