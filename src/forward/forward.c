#include <microhttpd.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/id.h"
#include "forward/forward_private.h"
#include "policy/backlog.h"

/* Requests whose callers do not say how long they wait, on routes without a limit. */
#define LIMIT_STANDARD_MS 60000

static bool accept_inbound (struct kcp_forward *forward);
static bool find_team (struct kcp_forward *forward);
static void set_limit (struct kcp_forward *forward);
static bool is_backlogged (const struct kcp_forward *forward);
static void refuse_for_backlog (struct kcp_forward *forward);
static void send_next (struct kcp_forward *forward);
static void on_limit (void *user);
static void server_unref (gpointer data);

/* Starts a request. Takes over inbound; answer is the caller server's and outlives the
   request. The answer may be complete when this returns. */
struct kcp_forward *
kcp_forward_start (struct kcp_gateway *gateway, struct kcp_inbound *inbound,
                   struct kcp_answer *answer)
{
  struct kcp_forward *forward = g_new0 (struct kcp_forward, 1);

  forward->gateway = gateway;
  forward->inbound = inbound;
  forward->answer = answer;
  forward->arrived_ns = kcp_loop_now (gateway->loop);
  forward->tried = g_ptr_array_new_with_free_func (server_unref);
  forward->choice.inbound = inbound;
  forward->choice.tried = forward->tried;
  kcp_event_cutter_init (&forward->cutter);
  gateway->open_requests++;
  kcp_counter_add (KCP_COUNT_REQUESTS, 1);
  if (accept_inbound (forward))
    {
      set_limit (forward);
      kcp_resend_budget_add_request (
          kcp_gateway_budget (gateway, forward->choice.service), forward->arrived_ns);
      send_next (forward);
    }
  return forward;
}

/* Ends a request, also one whose caller has gone, and frees it. */
void
kcp_forward_free (struct kcp_forward *forward)
{
  if (forward->answer->end == KCP_ANSWER_OPEN)
    kcp_forward_finish (forward, KCP_ANSWER_BROKEN, "caller_gone", NULL);
  forward->gateway->open_requests--;
  kcp_loop_timer_cancel (&forward->limit);
  kcp_forward_end_attempt (forward);
  kcp_choice_clear (&forward->choice);
  kcp_event_cutter_clear (&forward->cutter);
  g_ptr_array_unref (forward->tried);
  kcp_routes_unref (forward->routes);
  kcp_inbound_clear (forward->inbound);
  g_free (forward->inbound);
  g_free (forward);
}

/* Finds route and team; false: the request has been answered. */
static bool
accept_inbound (struct kcp_forward *forward)
{
  struct kcp_gateway *gateway = forward->gateway;
  struct kcp_inbound *inbound = forward->inbound;

  if (inbound->id == NULL)
    {
      kcp_forward_end_with (forward, MHD_HTTP_BAD_REQUEST, "not_run", "no_request_id");
      return false;
    }
  if (gateway->routes == NULL || gateway->closing)
    {
      kcp_forward_refuse (forward, "no_server");
      return false;
    }
  forward->routes = kcp_routes_ref (gateway->routes);
  forward->choice.route = kcp_routes_find (
      forward->routes, kcp_str_from_c (inbound->host), kcp_str_from_c (inbound->target));
  if (forward->choice.route == NULL)
    {
      kcp_forward_end_with (forward, MHD_HTTP_NOT_FOUND, "not_run", "no_route");
      return false;
    }
  if (!find_team (forward))
    {
      kcp_forward_end_with (forward, MHD_HTTP_UNAUTHORIZED, "not_run", "unknown_key");
      return false;
    }
  forward->choice.service
      = kcp_route_target (forward->choice.route, kcp_id_random_u64 ());
  return true;
}

static bool
find_team (struct kcp_forward *forward)
{
  const struct kcp_inbound *inbound = forward->inbound;

  if (!forward->routes->keyed)
    return true;
  if (inbound->key != NULL)
    forward->choice.team
        = kcp_routes_team (forward->routes, kcp_str_from_c (inbound->key));
  return forward->choice.team != NULL || forward->choice.route->open;
}

static void
set_limit (struct kcp_forward *forward)
{
  int64_t patience_ms = forward->inbound->patience_ms;
  int64_t route_ms = forward->choice.route->limit_ms;
  int64_t limit_ms = route_ms > 0 ? route_ms : LIMIT_STANDARD_MS;

  forward->limited_by_route = patience_ms <= 0 || limit_ms < patience_ms;
  if (!forward->limited_by_route)
    limit_ms = patience_ms;
  forward->limit_ns = forward->arrived_ns + limit_ms * KCP_NS_PER_MS;
  kcp_loop_timer_set (forward->gateway->loop, &forward->limit, forward->limit_ns,
                      on_limit, forward);
}

/* Tells whether the request is refused for the prompts that wait before it. One that has
   run may not be said not to have. */
static bool
is_backlogged (const struct kcp_forward *forward)
{
  struct kcp_backlog backlog = {
    .wait_us = forward->choice.wait_us,
    .prefill_us = forward->choice.prefill_us,
    .remaining_ms = kcp_forward_left_ms (forward),
  };

  return !forward->answer->begun && forward->runs == 0 && kcp_backlog_refuses (&backlog);
}

/* The caller is told to come back when what waits now has been read. */
static void
refuse_for_backlog (struct kcp_forward *forward)
{
  struct kcp_choice *choice = &forward->choice;

  KCP_LOG ("backlog", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("server", choice->server->entry.id),
           KCP_LOG_INT ("wait_us", choice->wait_us),
           KCP_LOG_INT ("read_us", choice->prefill_us),
           KCP_LOG_INT ("left_ms", kcp_forward_left_ms (forward)));
  choice->soonest_free_ns
      = kcp_loop_now (forward->gateway->loop) + choice->wait_us * KCP_NS_PER_US;
  kcp_forward_refuse (forward, "backlog");
}

/* Sends the request to the next server, or refuses it if there is none. */
static void
send_next (struct kcp_forward *forward)
{
  struct kcp_choice *choice = &forward->choice;

  kcp_choose (forward->gateway, choice);
  if (choice->server != NULL && is_backlogged (forward))
    {
      refuse_for_backlog (forward);
      return;
    }
  if (choice->server != NULL)
    {
      kcp_forward_start_attempt (forward);
      return;
    }
  if (forward->answer->begun)
    kcp_forward_break_off (forward, "no_server_to_resume");
  else if (forward->runs > 0)
    kcp_forward_end_with (forward, MHD_HTTP_BAD_GATEWAY, "unknown", "no_server_left");
  else
    kcp_forward_refuse (forward, "no_server");
}

/* Does what the policy says after an attempt without a whole answer. */
void
kcp_forward_follow (struct kcp_forward *forward, enum kcp_attempt_end end, long status)
{
  bool ran = end != KCP_ATTEMPT_UNSENT && end != KCP_ATTEMPT_REFUSED;
  struct kcp_resend_facts facts = {
    .repeat = forward->choice.route->repeat,
    .end = end,
    .max_runs = (unsigned)forward->choice.route->max_runs,
    .server_available = true,
    .remaining_ms = kcp_forward_left_ms (forward),
  };

  forward->runs += ran;
  forward->refusals += !ran;
  facts.runs = forward->runs;
  facts.refusals = forward->refusals;
  facts.may_have_run = forward->runs > 0;
  kcp_event_cutter_drop (&forward->cutter);
  switch (kcp_resend_decide (
      &facts, kcp_gateway_budget (forward->gateway, forward->choice.service),
      kcp_loop_now (forward->gateway->loop)))
    {
    case KCP_RESEND_RESUME:
      kcp_counter_add (KCP_COUNT_RESUMED, 1);
      kcp_forward_end_attempt (forward);
      send_next (forward);
      break;
    case KCP_RESEND_OTHER:
      kcp_forward_end_attempt (forward);
      send_next (forward);
      break;
    case KCP_RESEND_REFUSE:
      if (forward->answer->begun)
        kcp_forward_break_off (forward, "refused_to_resume");
      else
        kcp_forward_refuse (forward, "no_retry_left");
      break;
    case KCP_RESEND_PASS_ERROR:
      kcp_forward_pass_answer (forward, (unsigned)status);
      break;
    case KCP_RESEND_FAIL:
      if (forward->answer->begun)
        kcp_forward_break_off (forward, "stream_interrupted");
      else
        kcp_forward_end_with (forward, MHD_HTTP_BAD_GATEWAY, "unknown",
                              "no_sound_answer");
      break;
    }
}

/* The time that the caller or the route allows has passed. */
static void
on_limit (void *user)
{
  struct kcp_forward *forward = user;
  const char *why = forward->limited_by_route ? "route_limit" : "caller_limit";

  if (forward->answer->end != KCP_ANSWER_OPEN)
    return;
  if (forward->answer->begun)
    kcp_forward_break_off (forward, why);
  else
    kcp_forward_end_with (forward, MHD_HTTP_GATEWAY_TIMEOUT, "unknown", why);
}

static void
server_unref (gpointer data)
{
  kcp_server_unref (data);
}
