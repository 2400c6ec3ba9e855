#include "request/request_private.h"

#include <string.h>

#include "base/counter.h"
#include "base/ref.h"
#include "request/completion.h"
#include "request/dispatch.h"
#include "request/request_end.h"
#include "request/service.h"

#define STEP_ADMIT "admit"

static bool may_be_claimed (const struct kcp_request *request);
static void start_locked (struct kcp_request *request);
static bool authorize (struct kcp_request *request, struct kcp_error *error);
static bool parse_deadline (struct kcp_request *request, struct kcp_error *error);
static bool check_idempotency_key (struct kcp_request *request, struct kcp_error *error);
static bool check_config_age (struct kcp_request *request, struct kcp_error *error);
static bool check_transit (struct kcp_request *request, struct kcp_error *error);
static void start_service (struct kcp_request *request);
static void on_drained (void *user);
static void finalize (gpointer data);

/* Starts a request, whose answer goes to reply, and returns a reference to it. Takes
   ownership of call. */
struct kcp_request *
kcp_request_start (struct kcp_router *router, struct kcp_call *call,
                   struct kcp_reply *reply)
{
  struct kcp_request *request = kcp_ref_new (sizeof (struct kcp_request));

  pthread_mutex_init (&request->lock, NULL);
  request->router = router;
  request->call = call;
  request->kind
      = call->kind == KCP_CALL_SERVICE ? KCP_REQUEST_SERVICE : KCP_REQUEST_COMPLETION;
  request->reply = kcp_reply_ref (reply);
  request->started_ns = kcp_clock_monotonic_ns (router->clock);
  kcp_id_random (request->id);
  kcp_open_requests_add (router->open_requests, request);
  kcp_counter_add (KCP_COUNT_REQUESTS, 1);
  kcp_timeline_add (router->timeline, KCP_EVENT_ACCEPTED, request->id, NULL, 0);
  kcp_reply_on_drained (reply, on_drained, request);
  pthread_mutex_lock (&request->lock);
  start_locked (request);
  pthread_mutex_unlock (&request->lock);
  return request;
}

/* Cancels a request because its caller has disconnected. A call that is claimed, or may
   become so, continues. Does nothing once the request has ended. */
void
kcp_request_cancel (struct kcp_request *request)
{
  pthread_mutex_lock (&request->lock);
  kcp_reply_on_drained (request->reply, NULL, NULL);
  if (!request->ended && !may_be_claimed (request))
    {
      kcp_counter_add (KCP_COUNT_CANCELLED, 1);
      kcp_request_end (request, KCP_EVENT_CANCELLED);
    }
  pthread_mutex_unlock (&request->lock);
}

/* Adds a reference and returns the request. */
struct kcp_request *
kcp_request_ref (struct kcp_request *request)
{
  return kcp_ref_acquire (request);
}

/* Returns the request that contains a queue item. */
struct kcp_request *
kcp_request_from_item (struct kcp_admission_item *item)
{
  return (struct kcp_request *)(void *)((char *)item
                                        - G_STRUCT_OFFSET (struct kcp_request,
                                                           completion.item));
}

/* Drops a reference; NULL is allowed. */
void
kcp_request_unref (struct kcp_request *request)
{
  if (request != NULL)
    kcp_ref_release (request, finalize);
}

/* Returns the milliseconds until the deadline; 0 if it has passed. */
int64_t
kcp_request_remaining_ms (struct kcp_request *request)
{
  int64_t remaining
      = request->deadline_ns - kcp_clock_monotonic_ns (request->router->clock);

  return MAX (remaining, 0) / KCP_NS_PER_MS;
}

/* Excludes a backend server, at which the request has failed, from further attempts. The
   lock must be held. */
void
kcp_request_exclude_backend (struct kcp_request *request, const char *backend_id)
{
  if (kcp_request_excludes_backend (request, backend_id))
    return;
  if (request->excluded_backends == NULL)
    request->excluded_backends = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (request->excluded_backends, g_strdup (backend_id));
}

/* Returns true if the request has failed at this backend server and should be sent to
   another one. The lock must be held. */
bool
kcp_request_excludes_backend (const struct kcp_request *request, const char *backend_id)
{
  for (guint i = 0;
       request->excluded_backends != NULL && i < request->excluded_backends->len; i++)
    if (strcmp (g_ptr_array_index (request->excluded_backends, i), backend_id) == 0)
      return true;
  return false;
}

/* Returns true if the call is claimed, or may become so. Such a call continues without
   its caller. */
static bool
may_be_claimed (const struct kcp_request *request)
{
  return request->kind == KCP_REQUEST_SERVICE && request->service.claim_key[0] != '\0';
}

static void
start_locked (struct kcp_request *request)
{
  struct kcp_error error;

  if (!authorize (request, &error) || !parse_deadline (request, &error)
      || !check_idempotency_key (request, &error) || !check_config_age (request, &error)
      || !check_transit (request, &error))
    {
      kcp_request_fail (request, &error);
      return;
    }
  switch (request->kind)
    {
    case KCP_REQUEST_COMPLETION:
      if (kcp_completion_init (request, &error))
        kcp_dispatch_request (request);
      else
        kcp_request_fail (request, &error);
      break;
    case KCP_REQUEST_SERVICE:
      start_service (request);
      break;
    }
}

/* Starts a service call. A call that must not run twice is claimed first. */
static void
start_service (struct kcp_request *request)
{
  if (request->profile->repeatable)
    kcp_dispatch_request (request);
  else
    kcp_service_claim (request, kcp_dispatch_request);
}

/* Sets the team and the profile of the request. Returns false, with an error, if this VM
   has no configuration, if the key or the profile is unknown, or if the team may not use
   the profile. */
static bool
authorize (struct kcp_request *request, struct kcp_error *error)
{
  struct kcp_router *router = request->router;
  const struct kcp_call *call = request->call;

  if (!kcp_config_is_loaded (router->config))
    {
      kcp_error_set (error, KCP_ERR_NO_CONFIGURATION, STEP_ADMIT, NULL,
                     "this VM has not read any configuration since its start");
      error->retry_after_s = 1;
      return false;
    }
  if (call->key != NULL)
    request->team = kcp_config_team_by_key (router->config, kcp_str_from_c (call->key));
  if (request->team == NULL)
    {
      kcp_error_set (error, KCP_ERR_UNAUTHORIZED, STEP_ADMIT, NULL,
                     "Authorization: Bearer with a team's key is required");
      return false;
    }
  if (call->profile != NULL)
    request->profile = kcp_config_profile (router->config, call->profile);
  if (request->profile == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP_ADMIT, NULL,
                     "Kingcuppoint-Profile: the name of a published profile is required");
      return false;
    }
  if (!kcp_team_may_use (request->team, request->profile->name))
    {
      kcp_error_set (error, KCP_ERR_FORBIDDEN, STEP_ADMIT, NULL,
                     "team %s may not use profile %s", request->team->name,
                     request->profile->name);
      return false;
    }
  return true;
}

/* Sets the deadline from the call's header, the profile or the settings, in this order.
   Returns false, with an error, if the header is invalid. */
static bool
parse_deadline (struct kcp_request *request, struct kcp_error *error)
{
  const struct kcp_settings *settings = request->router->settings;
  int64_t ms = request->profile->deadline_ms > 0 ? request->profile->deadline_ms
                                                 : settings->callers_default_deadline_ms;
  const char *text = request->call->deadline_ms;

  if (text != NULL
      && !g_ascii_string_to_signed (text, 10, 1, settings->callers_max_deadline_ms, &ms,
                                    NULL))
    {
      kcp_error_set (
          error, KCP_ERR_BAD_REQUEST, STEP_ADMIT, NULL,
          "Kingcuppoint-Deadline-Ms: a whole number from 1 to %" G_GINT64_FORMAT
          " is allowed",
          settings->callers_max_deadline_ms);
      return false;
    }
  request->deadline_ns = request->started_ns + ms * KCP_NS_PER_MS;
  return true;
}

/* Returns false, with an error, if a service call that must not run twice has no
   idempotency key. */
static bool
check_idempotency_key (struct kcp_request *request, struct kcp_error *error)
{
  if (request->profile->repeatable)
    return true;
  if (request->call->kind != KCP_CALL_SERVICE)
    return true;
  if (request->call->idempotency_key != NULL && request->call->idempotency_key[0] != '\0')
    return true;
  kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP_ADMIT, NULL,
                 "Idempotency-Key: required, profile %s forbids repeats",
                 request->profile->name);
  return false;
}

/* Returns false, with an error, if the configuration is older than the profile allows. */
static bool
check_config_age (struct kcp_request *request, struct kcp_error *error)
{
  int64_t limit_ms = request->profile->max_config_age_ms;

  if (limit_ms == 0
      || kcp_config_age_ns (request->router->config) <= limit_ms * KCP_NS_PER_MS)
    return true;
  kcp_error_set (error, KCP_ERR_NO_CONFIGURATION, STEP_ADMIT, NULL,
                 "the configuration held is older than profile %s allows",
                 request->profile->name);
  error->retry_after_s = 1;
  return false;
}

/* Returns false, with an error, if this VM may not handle the prompt. A VM outside the
   data centers in which the profile allows its prompts only relays them, and only if the
   profile allows transit. */
static bool
check_transit (struct kcp_request *request, struct kcp_error *error)
{
  if (request->profile->transit
      || kcp_dc_set_has (&request->profile->prompt_in, request->router->data_center))
    return true;
  kcp_error_set (error, KCP_ERR_NO_SERVER, STEP_ADMIT, NULL,
                 "profile %s does not allow its prompts in data center %s",
                 request->profile->name,
                 g_quark_to_string (request->router->data_center));
  return false;
}

/* Continues the fetch that was paused because the caller reads more slowly than the
   engine writes. */
static void
on_drained (void *user)
{
  struct kcp_request *request = user;

  pthread_mutex_lock (&request->lock);
  if (!request->ended && request->current != NULL)
    kcp_fetch_unpause (request->current->fetch);
  pthread_mutex_unlock (&request->lock);
}

static void
finalize (gpointer data)
{
  struct kcp_request *request = data;

  kcp_call_free (request->call);
  kcp_reply_unref (request->reply);
  kcp_team_unref (request->team);
  kcp_profile_unref (request->profile);
  g_clear_pointer (&request->excluded_backends, g_ptr_array_unref);
  switch (request->kind)
    {
    case KCP_REQUEST_COMPLETION:
      kcp_completion_clear (request);
      break;
    case KCP_REQUEST_SERVICE:
      kcp_service_clear (request);
      break;
    }
  kcp_backend_unref (request->backend);
  pthread_mutex_destroy (&request->lock);
}
