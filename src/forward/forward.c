#include <microhttpd.h>
#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "base/id.h"
#include "forward/crash_suspects.h"
#include "forward/forward_private.h"
#include "policy/backlog.h"
#include "policy/fingerprint.h"

/* Timeout on routes that set none. A shorter timeout of the caller takes precedence. */
#define DEFAULT_TIMEOUT_MS 60000

static bool accept_inbound (struct kcp_forward *forward);
static bool may_take_over (const struct kcp_forward *forward);
static bool take_over (struct kcp_forward *forward);
static void avoid_servers (struct kcp_forward *forward, const char *ids);
static bool find_team (struct kcp_forward *forward);
static void set_fingerprint (struct kcp_forward *forward);
static void set_part_fingerprints (struct kcp_forward *forward);
static void set_deadline (struct kcp_forward *forward);
static bool is_backlogged (const struct kcp_forward *forward);
static void refuse_for_backlog (struct kcp_forward *forward);
static bool find_blocked (struct kcp_forward *forward, struct kcp_suspect *blocked);
static void end_blocked (struct kcp_forward *forward, const struct kcp_suspect *blocked);
static void end_without_path (struct kcp_forward *forward);
static void note_reached (struct kcp_forward *forward);
static enum kcp_repeat
repeat_after (const struct kcp_forward *forward, enum kcp_attempt_end end);
static void on_deadline (void *user);
static void server_unref (gpointer data);

/* Starts a request. Takes ownership of inbound. answer belongs to the caller server and
   must outlive the request; it may be complete when this function returns. */
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
  forward->reached = g_string_new (NULL);
  forward->causes.parts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  forward->choice.inbound = inbound;
  forward->choice.tried = forward->tried;
  kcp_event_framer_init (&forward->framer);
  gateway->open_requests++;
  kcp_counter_add (KCP_COUNT_REQUESTS, 1);
  if (accept_inbound (forward))
    {
      set_fingerprint (forward);
      set_part_fingerprints (forward);
      set_deadline (forward);
      kcp_forward_skip_known_events (forward);
      kcp_forward_admit_by_quota (forward);
    }
  return forward;
}

/* Begins a request that is admitted. */
void
kcp_forward_begin (struct kcp_forward *forward)
{
  struct kcp_gateway *gateway = forward->gateway;

  /* The VM that passed a request on has counted it. */
  if (!kcp_forward_is_from_vm (forward))
    kcp_resend_budget_add_request (
        kcp_gateway_retry_budget (gateway, forward->choice.service),
        kcp_loop_now (gateway->loop));
  if (!kcp_forward_look_up_version (forward))
    kcp_forward_send_next (forward);
}

/* Frees a request. If its answer is still in progress, the request ends as cancelled by
   the caller. */
void
kcp_forward_free (struct kcp_forward *forward)
{
  if (forward->answer->end == KCP_ANSWER_IN_PROGRESS)
    kcp_forward_finish (forward, KCP_ANSWER_INTERRUPTED, "caller_gone", NULL);
  forward->gateway->open_requests--;
  kcp_loop_timer_cancel (&forward->deadline_timer);
  kcp_forward_cancel_quota (forward);
  kcp_forward_end_attempt (forward);
  kcp_forward_release_answer (forward);
  kcp_choice_clear (&forward->choice);
  kcp_event_framer_clear (&forward->framer);
  g_ptr_array_unref (forward->tried);
  g_string_free (forward->reached, TRUE);
  g_array_unref (forward->causes.parts);
  kcp_routes_unref (forward->routes);
  kcp_inbound_clear (forward->inbound);
  g_free (forward->inbound);
  g_free (forward);
}

/* Finds the route, the team and the service. Returns false if the request is rejected,
   after answering it. */
static bool
accept_inbound (struct kcp_forward *forward)
{
  struct kcp_gateway *gateway = forward->gateway;
  struct kcp_inbound *inbound = forward->inbound;

  if (kcp_forward_is_from_vm (forward) && !may_take_over (forward))
    {
      kcp_forward_decline (forward, "not_taken_over");
      return false;
    }
  if (inbound->id == NULL)
    {
      kcp_forward_end_with_problem (forward, MHD_HTTP_BAD_REQUEST, "not_run",
                                    "no_request_id");
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
      kcp_forward_end_with_problem (forward, MHD_HTTP_NOT_FOUND, "not_run", "no_route");
      return false;
    }
  if (!find_team (forward))
    {
      if (kcp_forward_is_from_vm (forward))
        {
          kcp_forward_decline (forward, "unknown_team");
          return false;
        }
      kcp_forward_end_with_problem (forward, MHD_HTTP_UNAUTHORIZED, "not_run",
                                    "unknown_key");
      return false;
    }
  if (kcp_forward_is_from_vm (forward))
    return take_over (forward);
  forward->choice.service
      = kcp_route_target (forward->choice.route, kcp_id_random_u64 ());
  return true;
}

/* Returns true if this VM accepts requests and has the configuration by which the other
   VM accepted this one. */
static bool
may_take_over (const struct kcp_forward *forward)
{
  const struct kcp_gateway *gateway = forward->gateway;

  return gateway->routes != NULL && !gateway->closing
         && gateway->routes->version >= forward->inbound->hop->routes_version;
}

/* Goes on where the VM left off that passed the request on. Returns false if that is not
   possible, after declining it. */
static bool
take_over (struct kcp_forward *forward)
{
  const struct kcp_hop_head *hop = forward->inbound->hop;

  forward->choice.service = kcp_route_service_named (forward->choice.route, hop->service);
  if (forward->choice.service == NULL)
    {
      kcp_forward_decline (forward, "no_service");
      return false;
    }
  forward->runs = (unsigned)hop->runs;
  forward->choice.bound = hop->bound;
  forward->choice.software = hop->software;
  avoid_servers (forward, hop->avoid);
  kcp_counter_add (KCP_COUNT_TAKEN_OVER, 1);
  return true;
}

/* Excludes servers that another VM has reached with the request. */
static void
avoid_servers (struct kcp_forward *forward, const char *ids)
{
  g_auto (GStrv) list = g_strsplit (ids != NULL ? ids : "", ",", -1);

  for (char **id = list; *id != NULL; id++)
    {
      struct kcp_server *server = kcp_servers_find (forward->gateway->servers, *id);

      if (server != NULL)
        g_ptr_array_add (forward->tried, kcp_server_ref (server));
    }
}

static bool
find_team (struct kcp_forward *forward)
{
  const struct kcp_inbound *inbound = forward->inbound;

  if (kcp_forward_is_from_vm (forward))
    {
      if (inbound->hop->team != NULL)
        forward->choice.team
            = kcp_routes_team_named (forward->routes, inbound->hop->team);
      if (inbound->hop->team != NULL)
        return forward->choice.team != NULL;
      return !forward->routes->keyed || forward->choice.route->open;
    }
  if (!forward->routes->keyed)
    return true;
  if (inbound->key != NULL)
    forward->choice.team
        = kcp_routes_team (forward->routes, kcp_str_from_c (inbound->key));
  return forward->choice.team != NULL || forward->choice.route->open;
}

static void
set_fingerprint (struct kcp_forward *forward)
{
  const struct kcp_inbound *inbound = forward->inbound;
  const struct kcp_team_access *team = forward->choice.team;

  forward->causes.fingerprint = kcp_fingerprint_request (&(struct kcp_request_identity){
      .team = kcp_str_from_c (team != NULL ? team->name : ""),
      .method = kcp_str_from_c (inbound->method),
      .host = kcp_str_from_c (inbound->host),
      .target = kcp_str_from_c (inbound->target),
      .body = { inbound->body->str, inbound->body->len },
  });
}

static void
set_part_fingerprints (struct kcp_forward *forward)
{
  const GArray *parts = forward->inbound->parts;

  for (guint i = 0; parts != NULL && i + 1 < parts->len; i++)
    {
      uint64_t fingerprint = kcp_fingerprint_part (
          kcp_str_from_c (g_array_index (parts, struct kcp_prompt_part, i).id));

      g_array_append_val (forward->causes.parts, fingerprint);
    }
}

static void
set_deadline (struct kcp_forward *forward)
{
  int64_t timeout_ms = forward->inbound->timeout_ms;
  int64_t route_ms = forward->choice.route->limit_ms;
  int64_t limit_ms = route_ms > 0 ? route_ms : DEFAULT_TIMEOUT_MS;

  forward->route_sets_deadline = timeout_ms <= 0 || limit_ms < timeout_ms;
  if (!forward->route_sets_deadline)
    limit_ms = timeout_ms;
  forward->deadline_ns = forward->arrived_ns + limit_ms * KCP_NS_PER_MS;
  kcp_loop_timer_set (forward->gateway->loop, &forward->deadline_timer,
                      forward->deadline_ns, on_deadline, forward);
}

/* Returns true if the request must be refused because of the prompts queued before it at
   the chosen server. A refusal states that the request did not run, so a request that may
   have run is not refused. */
static bool
is_backlogged (const struct kcp_forward *forward)
{
  struct kcp_backlog backlog = {
    .wait_us = forward->choice.wait_us,
    .prefill_us = forward->choice.prefill_us,
    .remaining_ms = kcp_forward_remaining_ms (forward),
    .resumed = kcp_forward_is_resumed (forward),
  };

  return !forward->answer->begun && forward->runs == 0 && kcp_backlog_refuses (&backlog);
}

/* Refuses the request with a retry time after the prefill of the queued prompts. */
static void
refuse_for_backlog (struct kcp_forward *forward)
{
  struct kcp_choice *choice = &forward->choice;

  KCP_LOG ("backlog", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("server", choice->server->entry.id),
           KCP_LOG_INT ("wait_us", choice->wait_us),
           KCP_LOG_INT ("read_us", choice->prefill_us),
           KCP_LOG_INT ("left_ms", kcp_forward_remaining_ms (forward)));
  choice->earliest_server = NULL;
  choice->earliest_available_ns
      = kcp_loop_now (forward->gateway->loop) + choice->wait_us * KCP_NS_PER_US;
  kcp_forward_refuse (forward, "backlog");
}

/* Returns true if copies of the request, or requests with one of its parts, have crashed
   too many servers, and stores which. */
static bool
find_blocked (struct kcp_forward *forward, struct kcp_suspect *blocked)
{
  forward->choice.earliest_server = NULL;
  return kcp_crash_suspects_find_blocked (forward->gateway, &forward->causes, blocked,
                                          &forward->choice.earliest_available_ns);
}

/* Ends a request that is not sent to any further server. */
static void
end_blocked (struct kcp_forward *forward, const struct kcp_suspect *blocked)
{
  char fingerprint[KCP_FINGERPRINT_TEXT_SIZE];

  kcp_counter_add (KCP_COUNT_BLOCKED, 1);
  KCP_LOG ("blocked", KCP_LOG_TEXT ("request", forward->inbound->id),
           KCP_LOG_TEXT ("kind", kcp_suspect_kind_name (blocked->kind)),
           KCP_LOG_TEXT ("fingerprint",
                         kcp_fingerprint_text (blocked->fingerprint, fingerprint)),
           KCP_LOG_INT ("runs", forward->runs));
  if (forward->answer->begun)
    kcp_forward_interrupt (forward, "crashes_servers");
  else if (forward->runs > 0)
    kcp_forward_end_with_problem (forward, MHD_HTTP_BAD_GATEWAY, "unknown",
                                  "crashes_servers");
  else
    kcp_forward_refuse (forward, "crashes_servers");
}

/* Sends the request to the next server, or has another VM do so if this one reaches none.
   Ends it if there is no server, its queue is too long, or the request is blocked. */
void
kcp_forward_send_next (struct kcp_forward *forward)
{
  struct kcp_choice *choice = &forward->choice;
  struct kcp_suspect blocked;

  if (find_blocked (forward, &blocked))
    {
      end_blocked (forward, &blocked);
      return;
    }
  if (forward->version_unknown)
    {
      kcp_forward_leave_to_other_vm (forward);
      return;
    }
  choice->paths = kcp_reach_watch_paths (forward->gateway->reach_watch, choice->service);
  if (kcp_resend_passes_on (choice->paths, forward->unsent)
      && kcp_forward_pass_on (forward))
    return;
  kcp_choose (forward->gateway, choice);
  if (choice->paths == KCP_PATHS_NONE)
    {
      end_without_path (forward);
      return;
    }
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
    kcp_forward_interrupt (forward, "no_server_to_resume");
  else if (forward->runs > 0)
    kcp_forward_end_with_problem (forward, MHD_HTTP_BAD_GATEWAY, "unknown",
                                  "no_server_left");
  else
    kcp_forward_refuse (forward, "no_server");
}

/* Ends a request as neither this VM nor another one reaches a server. */
static void
end_without_path (struct kcp_forward *forward)
{
  const struct kcp_hop_head *hop = forward->inbound->hop;

  if (forward->answer->begun)
    kcp_forward_interrupt (forward, "no_path");
  else if (hop != NULL && forward->runs == hop->runs)
    kcp_forward_decline (forward, "no_path");
  else if (forward->runs > 0)
    kcp_forward_end_with_problem (forward, MHD_HTTP_BAD_GATEWAY, "unknown", "no_path");
  else
    kcp_forward_refuse (forward, "no_path");
}

/* Returns how the request may be repeated after an attempt. A stream with events without
   ids cannot go on elsewhere: no server could tell which of them the caller has. Nor may
   a request be repeated whose route runs it once by now. */
static enum kcp_repeat
repeat_after (const struct kcp_forward *forward, enum kcp_attempt_end end)
{
  const struct kcp_inbound *inbound = forward->inbound;
  const struct kcp_route *newest
      = kcp_routes_find (forward->gateway->routes, kcp_str_from_c (inbound->host),
                         kcp_str_from_c (inbound->target));

  if (newest != NULL && newest->repeat == KCP_REPEAT_ONCE)
    return KCP_REPEAT_ONCE;
  if (end == KCP_ATTEMPT_INTERRUPTED && forward->framer.unnumbered > 0)
    return KCP_REPEAT_ONCE;
  return forward->choice.route->repeat;
}

/* Notes that the attempt's server was reached: no other VM should try it for this
   request. */
static void
note_reached (struct kcp_forward *forward)
{
  if (forward->reached->len > 0)
    g_string_append_c (forward->reached, ',');
  g_string_append (forward->reached, forward->attempt.server->entry.id);
}

/* Applies the resend policy after an attempt without a complete answer. */
void
kcp_forward_after_attempt (struct kcp_forward *forward, enum kcp_attempt_end end,
                           long status)
{
  bool unreached = end == KCP_ATTEMPT_UNSENT || end == KCP_ATTEMPT_DECLINED;
  bool ran = !unreached && end != KCP_ATTEMPT_REFUSED;
  struct kcp_resend_facts facts = {
    .repeat = repeat_after (forward, end),
    .end = end,
    .max_runs = (unsigned)forward->choice.route->max_runs,
    .suspect = kcp_crash_suspects_is_suspect (forward->gateway, &forward->causes),
    .server_available = true,
    .vm_available = kcp_forward_choose_hop (forward) != NULL,
    .paths
    = kcp_reach_watch_paths (forward->gateway->reach_watch, forward->choice.service),
    .remaining_ms = kcp_forward_remaining_ms (forward),
  };

  if (!unreached && !forward->attempt.passed_on)
    note_reached (forward);
  forward->runs += ran;
  forward->refusals += !ran && end != KCP_ATTEMPT_DECLINED;
  forward->unsent += end == KCP_ATTEMPT_UNSENT;
  forward->declines += end == KCP_ATTEMPT_DECLINED;
  facts.runs = forward->runs;
  facts.refusals = forward->refusals;
  facts.unsent = forward->unsent;
  facts.declines = forward->declines;
  facts.may_have_run = forward->runs > 0;
  kcp_event_framer_discard_partial (&forward->framer);
  switch (kcp_resend_decide (
      &facts, kcp_gateway_retry_budget (forward->gateway, forward->choice.service),
      kcp_loop_now (forward->gateway->loop)))
    {
    case KCP_RESEND_RESUME:
      kcp_counter_add (KCP_COUNT_RESUMED, 1);
      kcp_forward_end_attempt (forward);
      kcp_forward_send_next (forward);
      break;
    case KCP_RESEND_PASS_ON:
    case KCP_RESEND_OTHER:
      kcp_forward_end_attempt (forward);
      kcp_forward_send_next (forward);
      break;
    case KCP_RESEND_REFUSE:
      if (forward->answer->begun)
        kcp_forward_interrupt (forward, "refused_to_resume");
      else
        {
          /* Only for the time after which a server is available, which this attempt may
             have changed. */
          kcp_choose (forward->gateway, &forward->choice);
          if (unreached)
            end_without_path (forward);
          else
            kcp_forward_refuse (forward, "no_retry_left");
        }
      break;
    case KCP_RESEND_PASS_ERROR:
      kcp_forward_relay_answer (forward, (unsigned)status);
      break;
    case KCP_RESEND_FAIL:
      if (forward->answer->begun)
        kcp_forward_interrupt (forward, "stream_interrupted");
      else
        kcp_forward_end_with_problem (forward, MHD_HTTP_BAD_GATEWAY, "unknown",
                                      "no_sound_answer");
      break;
    }
}

/* Ends a request whose deadline, set by the caller or the route, has passed. */
static void
on_deadline (void *user)
{
  struct kcp_forward *forward = user;

  kcp_forward_give_up (forward,
                       forward->route_sets_deadline ? "route_limit" : "caller_limit");
}

/* Ends a request that is in progress and for which there is no more time: a stream that
   has begun is broken off, a request that was sent to a server is answered with 504, and
   any other is refused. */
void
kcp_forward_give_up (struct kcp_forward *forward, const char *reason)
{
  if (forward->answer->end != KCP_ANSWER_IN_PROGRESS)
    return;
  if (forward->answer->begun)
    kcp_forward_interrupt (forward, reason);
  else if (forward->tried->len == 0 && forward->runs == 0)
    kcp_forward_refuse (forward, reason);
  else
    kcp_forward_end_with_problem (forward, MHD_HTTP_GATEWAY_TIMEOUT, "unknown", reason);
}

static void
server_unref (gpointer data)
{
  kcp_server_unref (data);
}
