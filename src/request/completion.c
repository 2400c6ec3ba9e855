/* Decides where a completion runs and what follows each attempt that ends. */
#include <string.h>

#include "base/counter.h"
#include "policy/prefix.h"
#include "request/admit.h"
#include "request/isolate.h"
#include "request/request_private.h"

#define STEP_DISPATCH           "dispatch"
#define STEP_ANSWER             "answer"
#define RETRY_AFTER_S           1
#define SAME_ENGINE_RESUMES     2 /* in a row without an event */
#define HTTP_STATUS_BAD_REQUEST 400
#define HTTP_STATUS_NOT_FOUND   404
#define HTTP_STATUS_CONFLICT    409
#define HTTP_STATUS_UNPROCESSED 422
#define HTTP_STATUS_TOO_MANY    429
#define HTTP_STATUS_UNAVAILABLE 503

/* What the end of an attempt tells. */
enum failure
{
  FAILURE_UNSENT,      /* no connection */
  FAILURE_REFUSED,     /* the engine has no place */
  FAILURE_MISMATCH,    /* the engine is another incarnation or has other weights */
  FAILURE_BAD_REQUEST, /* the engine does not take such a body */
  FAILURE_NO_STREAM,   /* the engine holds no such stream any more */
  FAILURE_SILENT,      /* a new connection to a known stream is silent too */
  FAILURE_BROKEN       /* anything else: the stream stopped */
};

static void count_stall (struct kcp_request *request, const struct kcp_attempt *attempt);
static int64_t next_due_ns (const struct kcp_request *request, int64_t now_ns);
static int64_t on_timer (void *user);
static void on_timer_released (void *user);
static void place (struct kcp_request *request);
static enum kcp_isolate_end isolate_end (enum failure failure);
static void note_answer (struct kcp_request *request, const struct kcp_attempt *attempt);
static enum failure
classify (const struct kcp_attempt *attempt, enum kcp_fetch_end end, long status);
static void note_execution (struct kcp_request *request,
                            const struct kcp_attempt *attempt, enum failure failure);
static void note_engine (struct kcp_request *request, const struct kcp_attempt *attempt,
                         enum failure failure);
static void
update_report (struct kcp_request *request, const struct kcp_attempt *attempt);
static enum kcp_retry_decision
decide (struct kcp_request *request, const struct kcp_attempt *attempt,
        enum failure failure);
static void try_again (struct kcp_request *request, const struct kcp_attempt *attempt,
                       enum kcp_retry_decision decision, enum failure failure);
static void give_up (struct kcp_request *request, const struct kcp_attempt *attempt,
                     enum failure failure);
static void fail_deadline (struct kcp_request *request);

/* Parses the prompt, chooses an engine and sends the request there. The lock is held. */
void
kcp_completion_start (struct kcp_request *request)
{
  struct kcp_router *router = request->router;
  struct kcp_error error;
  struct kcp_str text;

  if (!kcp_prompt_parse (request->call, router->settings->callers_max_json_depth,
                         &request->prompt, &error))
    {
      kcp_request_fail (request, &error);
      return;
    }
  text = (struct kcp_str){ request->prompt.text->str, request->prompt.text->len };
  request->block_hashes = kcp_prefix_hash (text);
  request->text = g_string_new (NULL);
  kcp_isolate_init (request);
  request->tried = g_ptr_array_new_with_free_func (g_free);
  request->timer
      = kcp_timers_add (router->timers, next_due_ns (request, request->started_ns),
                        on_timer, on_timer_released, kcp_request_ref (request));
  place (request);
}

/* Copies what an engine reported last. */
void
kcp_completion_read_report (struct kcp_request *request,
                            const struct kcp_backend *backend,
                            struct kcp_backend_report *report)
{
  g_autoptr (GArray) views
      = kcp_registry_view (request->router->registry, KCP_MEMBER_ENGINE);

  for (guint i = 0; i < views->len; i++)
    {
      const struct kcp_backend_view *view
          = &g_array_index (views, struct kcp_backend_view, i);

      if (view->backend == backend)
        *report = view->report;
    }
}

/* Decides what follows the attempt that counted. The lock is held. */
void
kcp_completion_attempt_ended (struct kcp_request *request,
                              const struct kcp_attempt *attempt, enum kcp_fetch_end end,
                              long status)
{
  enum failure failure = classify (attempt, end, status);
  enum kcp_retry_decision decision;
  struct kcp_error error;

  if (attempt->done_seen)
    {
      note_answer (request, attempt);
      kcp_completion_finish (request);
      return;
    }
  note_execution (request, attempt, failure);
  kcp_isolate_note_end (request, attempt->backend->hash, isolate_end (failure));
  if (end == KCP_FETCH_CANCELLED && !attempt->rejected)
    {
      kcp_error_set (&error, KCP_ERR_SHUTDOWN, STEP_ANSWER, NULL,
                     "this VM stopped before the answer was whole");
      error.execution = request->execution;
      kcp_request_fail (request, &error);
      return;
    }
  count_stall (request, attempt);
  note_engine (request, attempt, failure);
  decision = decide (request, attempt, failure);
  if (decision == KCP_RETRY_GIVE_UP)
    give_up (request, attempt, failure);
  else
    try_again (request, attempt, decision, failure);
}

/* A resumption at the same engine is no further run of the request, so that it counts
   apart. */
static void
count_stall (struct kcp_request *request, const struct kcp_attempt *attempt)
{
  if (attempt->events > 0)
    {
      request->stalled = 1;
      request->resumed = 1;
    }
  else if (attempt->resumes)
    request->resumed++;
  else
    {
      request->stalled++;
      request->resumed = 1;
    }
}

static int64_t
next_due_ns (const struct kcp_request *request, int64_t now_ns)
{
  int64_t heartbeat_ms = request->router->settings->callers_heartbeat_ms;

  if (!request->prompt.stream)
    return request->deadline_ns;
  return MIN (request->deadline_ns, now_ns + heartbeat_ms * KCP_NS_PER_MS);
}

/* Ends a request at its deadline, and keeps a quiet stream open. */
static int64_t
on_timer (void *user)
{
  struct kcp_request *request = user;
  int64_t now = kcp_clock_monotonic_ns (request->router->clock);
  int64_t next = KCP_TIMER_END;

  pthread_mutex_lock (&request->lock);
  if (!request->ended && now >= request->deadline_ns)
    fail_deadline (request);
  else if (!request->ended)
    {
      next = next_due_ns (request, now);
      if (request->prompt.stream && request->forwarded == request->forwarded_seen)
        kcp_completion_write_heartbeat (request);
      request->forwarded_seen = request->forwarded;
    }
  pthread_mutex_unlock (&request->lock);
  return next;
}

static void
on_timer_released (void *user)
{
  kcp_request_unref (user);
}

static void
place (struct kcp_request *request)
{
  struct kcp_choice choice;
  struct kcp_error error;

  kcp_isolate_release (request);
  if (kcp_isolate_is_blocked (request, &error))
    {
      kcp_request_fail (request, &error);
      return;
    }
  switch (kcp_admit_request (request->router->admit, request, &choice, &error))
    {
    case KCP_ADMIT_PLACED:
      kcp_completion_placed (request, &choice);
      break;
    case KCP_ADMIT_QUEUED:
      break;
    case KCP_ADMIT_REFUSED:
      error.execution = request->execution;
      kcp_request_fail (request, &error);
      break;
    }
}

/* Sends the request to the engine chosen; takes over the choice's reference. The lock is
   held. */
void
kcp_completion_placed (struct kcp_request *request, struct kcp_choice *choice)
{
  struct kcp_router *router = request->router;
  uint64_t server = choice->backend->hash;
  struct kcp_error error;

  /* It may have waited while other VMs learned more of it. */
  if (kcp_isolate_is_blocked (request, &error))
    {
      kcp_backend_unref (choice->backend);
      kcp_request_fail (request, &error);
      return;
    }
  if (!kcp_isolate_begin (request, server))
    {
      kcp_backend_unref (choice->backend);
      place (request);
      return;
    }

  kcp_timeline_add (router->timeline, KCP_EVENT_PLACED, request->id, choice->backend->id,
                    choice->uncached_tokens);
  if (request->attempts == 0)
    kcp_retry_gate_add_request (router->retry_gate, choice->backend->data_center);
  request->uncached_tokens = choice->uncached_tokens;
  request->incarnation = choice->incarnation;
  request->dispatched_ns = kcp_clock_monotonic_ns (router->clock);
  kcp_attempt_start (request, choice->backend, NULL);
  kcp_engine_facts_learn (router->facts, server, choice->incarnation, request->chain);
}

/* Learns from a whole answer where the prompt is cached now and how long it took. */
static void
note_answer (struct kcp_request *request, const struct kcp_attempt *attempt)
{
  struct kcp_router *router = request->router;
  int64_t now = kcp_clock_monotonic_ns (router->clock);

  kcp_suspects_completed (router->suspects, request->fingerprint);
  kcp_engine_facts_learn (router->facts, attempt->backend->hash, request->incarnation,
                          request->chain);
  kcp_admit_note_answer (router->admit, request->profile->class,
                         now - request->dispatched_ns);
}

/* A refusal counts only if it names this attempt. */
static enum failure
classify (const struct kcp_attempt *attempt, enum kcp_fetch_end end, long status)
{
  if (end == KCP_FETCH_REFUSED)
    return FAILURE_UNSENT;
  if (attempt->resumes && end == KCP_FETCH_SILENT && !attempt->echoed)
    return FAILURE_SILENT;
  if (end != KCP_FETCH_WHOLE || !attempt->echoed)
    return FAILURE_BROKEN;
  switch (status)
    {
    case HTTP_STATUS_BAD_REQUEST:
    case HTTP_STATUS_UNPROCESSED:
      return FAILURE_BAD_REQUEST;
    case HTTP_STATUS_NOT_FOUND:
      return attempt->resumes ? FAILURE_NO_STREAM : FAILURE_BAD_REQUEST;
    case HTTP_STATUS_CONFLICT:
      return FAILURE_MISMATCH;
    case HTTP_STATUS_TOO_MANY:
    case HTTP_STATUS_UNAVAILABLE:
      return FAILURE_REFUSED;
    default:
      return FAILURE_BROKEN;
    }
}

static enum kcp_isolate_end
isolate_end (enum failure failure)
{
  switch (failure)
    {
    case FAILURE_BROKEN:
    case FAILURE_SILENT:
      return KCP_ISOLATE_BROKEN;
    case FAILURE_UNSENT:
    case FAILURE_MISMATCH:
      return KCP_ISOLATE_GONE;
    default:
      return KCP_ISOLATE_OTHER;
    }
}

static void
note_execution (struct kcp_request *request, const struct kcp_attempt *attempt,
                enum failure failure)
{
  if (attempt->events > 0)
    request->execution = KCP_RAN;
  else if (failure == FAILURE_BROKEN || failure == FAILURE_SILENT)
    request->execution = MAX (request->execution, KCP_UNKNOWN);
}

/* Tells the registry what the attempt showed, and keeps the request away from an engine
   that failed it. An engine counts as dead only if a new connection failed. */
static void
note_engine (struct kcp_request *request, const struct kcp_attempt *attempt,
             enum failure failure)
{
  bool dead = failure == FAILURE_UNSENT || failure == FAILURE_SILENT;
  bool stuck = failure == FAILURE_BROKEN && request->resumed > SAME_ENGINE_RESUMES;

  if (dead)
    kcp_registry_set_state (request->router->registry, attempt->backend,
                            KCP_BACKEND_DEAD);
  if (failure == FAILURE_MISMATCH)
    update_report (request, attempt);
  if ((dead || stuck || failure == FAILURE_REFUSED)
      && !kcp_request_has_tried (request, attempt->backend->id))
    g_ptr_array_add (request->tried, g_strdup (attempt->backend->id));
}

/* Takes over the incarnation and weights with which an engine refused. */
static void
update_report (struct kcp_request *request, const struct kcp_attempt *attempt)
{
  struct kcp_backend_report report = { 0 };
  json_t *body = json_loadb (attempt->refusal->str, attempt->refusal->len, 0, NULL);
  const char *incarnation = json_string_value (json_object_get (body, "incarnation"));
  const char *weights = json_string_value (json_object_get (body, "weights"));

  kcp_completion_read_report (request, attempt->backend, &report);
  if (incarnation != NULL)
    g_strlcpy (report.incarnation, incarnation, sizeof report.incarnation);
  if (weights != NULL)
    g_strlcpy (report.weights, weights, sizeof report.weights);
  kcp_registry_report (request->router->registry, attempt->backend, &report);
  json_decref (body);
}

static enum kcp_retry_decision
decide (struct kcp_request *request, const struct kcp_attempt *attempt,
        enum failure failure)
{
  const struct kcp_router *router = request->router;
  /* New connections also show whether the engine crashed. */
  bool holds_stream
      = failure == FAILURE_BROKEN && request->resumed <= SAME_ENGINE_RESUMES;
  struct kcp_retry_facts facts = {
    .repeatable = request->profile->repeatable,
    .server_holds_stream = holds_stream,
    .progress = failure == FAILURE_UNSENT ? KCP_RETRY_UNSENT : KCP_RETRY_REFUSED,
    .attempts = request->stalled,
    .left_ns = request->deadline_ns - kcp_clock_monotonic_ns (router->clock),
  };

  if (failure == FAILURE_BAD_REQUEST)
    return KCP_RETRY_GIVE_UP;
  if (request->execution != KCP_NOT_RUN)
    facts.progress = KCP_RETRY_SENT;
  if (request->forwarded > 0 || holds_stream)
    facts.progress = KCP_RETRY_FORWARDED;
  return kcp_retry_gate_decide (router->retry_gate, attempt->backend->data_center,
                                &facts);
}

static void
try_again (struct kcp_request *request, const struct kcp_attempt *attempt,
           enum kcp_retry_decision decision, enum failure failure)
{
  bool same = decision == KCP_RETRY_RESUME_SAME;
  bool begun = request->forwarded > 0;

  if (!same && request->finish_reason != NULL)
    {
      kcp_completion_finish (request);
      return;
    }
  if (!same && begun
      && (request->text_cut
          || !kcp_engine_can_continue (request->prompt.body, request->answer_tokens)))
    {
      give_up (request, attempt, failure);
      return;
    }
  kcp_counter_add (begun ? KCP_COUNT_RESUMED : KCP_COUNT_RETRIES, 1);
  kcp_timeline_add (request->router->timeline,
                    begun ? KCP_EVENT_RESUMED : KCP_EVENT_RETRIED, request->id,
                    attempt->backend->id, request->forwarded);
  if (same)
    {
      kcp_attempt_start (request, kcp_backend_ref (attempt->backend), attempt);
      return;
    }
  if (failure == FAILURE_BROKEN || failure == FAILURE_SILENT)
    kcp_attempt_cancel_stream (attempt);
  place (request);
}

static void
give_up (struct kcp_request *request, const struct kcp_attempt *attempt,
         enum failure failure)
{
  struct kcp_error error;

  if (kcp_request_left_ms (request) == 0)
    {
      fail_deadline (request);
      return;
    }
  if (kcp_isolate_is_blocked (request, &error))
    {
      kcp_request_fail (request, &error);
      return;
    }
  if (failure == FAILURE_BAD_REQUEST)
    kcp_error_set (&error, KCP_ERR_BAD_REQUEST, STEP_DISPATCH, attempt->backend->id,
                   "the engine does not take this body");
  else
    {
      kcp_error_set (&error, KCP_ERR_BACKEND,
                     failure == FAILURE_UNSENT ? STEP_DISPATCH : STEP_ANSWER,
                     attempt->backend->id, "no whole answer after %u attempts",
                     request->attempts);
      error.retry_after_s = RETRY_AFTER_S;
    }
  error.execution = request->execution;
  kcp_request_fail (request, &error);
}

/* An attempt under way may have run. */
static void
fail_deadline (struct kcp_request *request)
{
  struct kcp_error error;

  if (request->forwarded > 0)
    request->execution = KCP_RAN;
  else if (request->current != NULL)
    request->execution = MAX (request->execution, KCP_UNKNOWN);
  kcp_error_set (&error, KCP_ERR_DEADLINE, STEP_ANSWER,
                 request->backend != NULL ? request->backend->id : NULL,
                 "the deadline has passed");
  error.execution = request->execution;
  kcp_request_fail (request, &error);
}
