#include "request/request_private.h"

#include <string.h>

#include "base/counter.h"
#include "base/logger.h"
#include "base/ref.h"
#include "request/admit.h"
#include "request/isolate.h"
#include "request/problem.h"

#define STEP_ADMIT "admit"

static void start_locked (struct kcp_request *request);
static bool authorize (struct kcp_request *request, struct kcp_error *error);
static bool read_deadline (struct kcp_request *request, struct kcp_error *error);
static bool check_repeatable (struct kcp_request *request, struct kcp_error *error);
static bool check_freshness (struct kcp_request *request, struct kcp_error *error);
static bool check_transit (struct kcp_request *request, struct kcp_error *error);
static void write_failure (struct kcp_request *request, const struct kcp_error *error);
static void on_drained (void *user);
static void clear (gpointer data);

/* Starts a request; takes over call. The answer goes to reply. Returns a reference. */
struct kcp_request *
kcp_request_start (struct kcp_router *router, struct kcp_call *call,
                   struct kcp_reply *reply)
{
  struct kcp_request *request = kcp_ref_new (sizeof (struct kcp_request));

  pthread_mutex_init (&request->lock, NULL);
  request->router = router;
  request->call = call;
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

/* Gives the request up because its caller has gone. Harmless after its end. */
void
kcp_request_cancel (struct kcp_request *request)
{
  pthread_mutex_lock (&request->lock);
  kcp_reply_on_drained (request->reply, NULL, NULL);
  if (!request->ended && request->call->kind != KCP_CALL_SERVICE)
    {
      kcp_counter_add (KCP_COUNT_CANCELLED, 1);
      kcp_request_end (request, KCP_EVENT_CANCELLED);
    }
  else if (!request->ended && request->fetch != NULL)
    kcp_fetch_cancel (request->fetch);
  pthread_mutex_unlock (&request->lock);
}

/* Takes a further reference. */
struct kcp_request *
kcp_request_ref (struct kcp_request *request)
{
  return kcp_ref_acquire (request);
}

/* Returns the request that a queue's item is a member of. */
struct kcp_request *
kcp_request_of_item (struct kcp_admission_item *item)
{
  return (struct kcp_request *)(void *)((char *)item
                                        - G_STRUCT_OFFSET (struct kcp_request, item));
}

/* Drops a reference; NULL is allowed. */
void
kcp_request_unref (struct kcp_request *request)
{
  if (request != NULL)
    kcp_ref_release (request, clear);
}

/* Answers with an error, at once. The lock is held. */
void
kcp_request_fail (struct kcp_request *request, const struct kcp_error *error)
{
  bool refused = error->execution == KCP_NOT_RUN;

  if (request->ended)
    return;
  kcp_counter_add (refused ? KCP_COUNT_REFUSED : KCP_COUNT_FAILED, 1);
  kcp_logger_error (refused ? "request_refused" : "request_failed", request->id, error);
  write_failure (request, error);
  kcp_request_end (request, refused ? KCP_EVENT_REFUSED : KCP_EVENT_FAILED);
}

/* Marks the end of a request whose answer has been written. The lock is held. */
void
kcp_request_end (struct kcp_request *request, enum kcp_event event)
{
  int64_t took_ns = kcp_clock_monotonic_ns (request->router->clock) - request->started_ns;

  if (request->ended)
    return;
  request->ended = true;
  kcp_timeline_add (request->router->timeline, event, request->id,
                    request->backend != NULL ? request->backend->id : NULL,
                    took_ns / KCP_NS_PER_US);
  kcp_reply_finish (request->reply);
  kcp_attempt_abandon (request);
  kcp_isolate_release (request);
  kcp_admit_forget (request->router->admit, request);
  if (request->timer != NULL)
    kcp_timer_cancel (request->timer);
  request->timer = NULL;
  kcp_open_requests_remove (request->router->open_requests, request);
}

/* Adds the response headers that say which request this is and where it ran. */
void
kcp_request_add_headers (struct kcp_request *request)
{
  kcp_reply_add_header (request->reply, "Kingcuppoint-Request", request->id);
  if (request->backend == NULL)
    return;
  kcp_reply_add_header (request->reply, "Kingcuppoint-Backend", request->backend->id);
  kcp_reply_add_header (request->reply, "Kingcuppoint-Data-Center",
                        g_quark_to_string (request->backend->data_center));
}

/* Returns the milliseconds left until the deadline, at least 0. */
int64_t
kcp_request_left_ms (struct kcp_request *request)
{
  int64_t left = request->deadline_ns - kcp_clock_monotonic_ns (request->router->clock);

  return MAX (left, 0) / KCP_NS_PER_MS;
}

/* Tells whether the request has failed at this backend server, so that it should be sent
   to another one. The lock is held. */
bool
kcp_request_has_tried (const struct kcp_request *request, const char *backend_id)
{
  for (guint i = 0; request->tried != NULL && i < request->tried->len; i++)
    if (strcmp (g_ptr_array_index (request->tried, i), backend_id) == 0)
      return true;
  return false;
}

static void
start_locked (struct kcp_request *request)
{
  struct kcp_error error;

  if (!authorize (request, &error) || !read_deadline (request, &error)
      || !check_repeatable (request, &error) || !check_freshness (request, &error)
      || !check_transit (request, &error))
    {
      kcp_request_fail (request, &error);
      return;
    }
  if (request->call->kind == KCP_CALL_SERVICE)
    kcp_service_start (request);
  else
    kcp_completion_start (request);
}

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

static bool
read_deadline (struct kcp_request *request, struct kcp_error *error)
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

static bool
check_repeatable (struct kcp_request *request, struct kcp_error *error)
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

static bool
check_freshness (struct kcp_request *request, struct kcp_error *error)
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

/* A VM outside the data centers where the prompt may be held only relays it, and only if
   the profile says so. */
static bool
check_transit (struct kcp_request *request, struct kcp_error *error)
{
  if (request->profile->transit
      || kcp_dc_set_has (&request->profile->prompt_in, request->router->data_center))
    return true;
  kcp_error_set (error, KCP_ERR_NO_PLACE, STEP_ADMIT, NULL,
                 "profile %s does not allow its prompts in data center %s",
                 request->profile->name,
                 g_quark_to_string (request->router->data_center));
  return false;
}

static void
write_failure (struct kcp_request *request, const struct kcp_error *error)
{
  json_t *problem = kcp_problem_new (error, request->id);
  char *text = json_dumps (problem, JSON_COMPACT);
  bool begun = kcp_reply_has_begun (request->reply);
  g_autofree char *retry = g_strdup_printf ("%d", error->retry_after_s);

  if (begun)
    {
      g_autofree char *event = g_strdup_printf ("event: error\ndata: %s\n\n", text);

      kcp_reply_write (request->reply, kcp_str_from_c (event));
    }
  else
    {
      kcp_request_add_headers (request);
      if (error->retry_after_s > 0)
        kcp_reply_add_header (request->reply, "Retry-After", retry);
      kcp_reply_begin (request->reply, kcp_error_http_status (error->code),
                       KCP_PROBLEM_CONTENT_TYPE);
      kcp_reply_write (request->reply, kcp_str_from_c (text));
    }
  free (text);
  json_decref (problem);
}

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
clear (gpointer data)
{
  struct kcp_request *request = data;

  kcp_call_free (request->call);
  kcp_reply_unref (request->reply);
  kcp_team_unref (request->team);
  kcp_profile_unref (request->profile);
  kcp_prompt_clear (&request->prompt);
  g_clear_pointer (&request->tried, g_ptr_array_unref);
  g_clear_pointer (&request->block_hashes, g_array_unref);
  g_clear_pointer (&request->chain, g_array_unref);
  if (request->text != NULL)
    g_string_free (request->text, TRUE);
  if (request->service_body != NULL)
    g_string_free (request->service_body, TRUE);
  g_free (request->service_content_type);
  g_free (request->finish_reason);
  kcp_backend_unref (request->backend);
  kcp_fetch_unref (request->fetch);
  pthread_mutex_destroy (&request->lock);
}
