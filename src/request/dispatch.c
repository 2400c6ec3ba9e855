#include "request/dispatch.h"

#include "base/counter.h"
#include "request/attempt_kinds.h"
#include "request/completion.h"
#include "request/failure.h"
#include "request/isolate.h"
#include "request/request_end.h"
#include "request/request_private.h"
#include "request/service.h"

#define STEP_DISPATCH           "dispatch"
#define STEP_ANSWER             "answer"
#define RETRY_AFTER_S           1
#define SAME_ENGINE_RESUMES_MAX 2 /* consecutive resumptions that receive no event */

static void dispatch_completion (struct kcp_request *request);
static bool dispatch_service (struct kcp_request *request, struct kcp_error *error);
static void on_placed (struct kcp_request *request, struct kcp_choice *choice);
static void start_new_attempt (struct kcp_request *request, struct kcp_backend *backend,
                               int64_t uncached_tokens);
static void on_attempt_ended (struct kcp_request *request, struct kcp_attempt *attempt,
                              enum kcp_fetch_result result, long status);
static void
finish_request (struct kcp_request *request, struct kcp_attempt *attempt, long status);
static void fail_shutdown (struct kcp_request *request);
static void
update_execution (struct kcp_request *request, const struct kcp_attempt *attempt,
                  enum kcp_failure failure);
static void
update_attempt_counts (struct kcp_request *request, const struct kcp_attempt *attempt);
static void
record_server_failure (struct kcp_request *request, const struct kcp_attempt *attempt,
                       enum kcp_failure failure);
static void
record_engine_failure (struct kcp_request *request, const struct kcp_attempt *attempt,
                       enum kcp_failure failure);
static enum kcp_isolate_failure to_isolate_failure (enum kcp_failure failure);
static enum kcp_retry_decision
decide (struct kcp_request *request, const struct kcp_attempt *attempt,
        enum kcp_failure failure);
static void retry (struct kcp_request *request, const struct kcp_attempt *attempt,
                   enum kcp_retry_decision decision, enum kcp_failure failure);
static void
continue_stream (struct kcp_request *request, const struct kcp_attempt *attempt,
                 enum kcp_retry_decision decision, enum kcp_failure failure);
static void record_retry (struct kcp_request *request, const struct kcp_attempt *attempt,
                          enum kcp_event event);
static int64_t forwarded (const struct kcp_request *request);
static bool can_continue (const struct kcp_request *request);
static void give_up (struct kcp_request *request, const struct kcp_attempt *attempt,
                     enum kcp_failure failure);
static void fail_deadline (struct kcp_request *request);
static void fail (struct kcp_request *request, struct kcp_error *error);

const struct kcp_admit_events kcp_dispatch_admit_events = {
  .placed = on_placed,
  .refused = kcp_request_fail,
};

static const struct kcp_attempt_events attempt_events = {
  .chunk_received = kcp_completion_on_chunk,
  .ended = on_attempt_ended,
};

/* Sends the request to a backend server at which it has not failed yet. A completion may
   wait in a queue until an engine has a free slot. */
void
kcp_dispatch_request (struct kcp_request *request)
{
  struct kcp_error error;

  switch (request->kind)
    {
    case KCP_REQUEST_COMPLETION:
      dispatch_completion (request);
      break;
    case KCP_REQUEST_SERVICE:
      if (!dispatch_service (request, &error))
        fail (request, &error);
      break;
    }
}

static void
dispatch_completion (struct kcp_request *request)
{
  struct kcp_choice choice;
  struct kcp_error error;

  kcp_isolate_release (request);
  if (kcp_isolate_is_blocked (request, &error))
    {
      fail (request, &error);
      return;
    }
  switch (kcp_admit_request (request->router->admit, request, &choice, &error))
    {
    case KCP_ADMIT_PLACED:
      on_placed (request, &choice);
      break;
    case KCP_ADMIT_QUEUED:
      break;
    case KCP_ADMIT_REFUSED:
      fail (request, &error);
      break;
    }
}

/* Returns false and sets error if no remaining server may run the call. */
static bool
dispatch_service (struct kcp_request *request, struct kcp_error *error)
{
  struct kcp_backend *backend = kcp_choose_service (request, error);

  if (backend == NULL)
    return false;
  start_new_attempt (request, backend, 0);
  return true;
}

/* Sends a completion to the chosen engine. Checks the quarantine state again, because
   other VMs may have reported crashes by the request while it waited in the queue. */
static void
on_placed (struct kcp_request *request, struct kcp_choice *choice)
{
  struct kcp_router *router = request->router;
  struct kcp_completion *completion = &request->completion;
  uint64_t server = choice->backend->hash;
  struct kcp_error error;

  if (kcp_isolate_is_blocked (request, &error))
    {
      kcp_backend_unref (choice->backend);
      fail (request, &error);
      return;
    }
  if (!kcp_isolate_reserve (request, server))
    {
      kcp_backend_unref (choice->backend);
      dispatch_completion (request);
      return;
    }
  completion->uncached_tokens = choice->uncached_tokens;
  completion->incarnation = choice->incarnation;
  completion->dispatched_ns = kcp_clock_monotonic_ns (router->clock);
  start_new_attempt (request, choice->backend, choice->uncached_tokens);
  kcp_engine_facts_add_chain (router->facts, server, choice->incarnation,
                              completion->chain);
}

/* Starts an attempt that does not resume a stream. Takes ownership of the reference to
   backend. */
static void
start_new_attempt (struct kcp_request *request, struct kcp_backend *backend,
                   int64_t uncached_tokens)
{
  struct kcp_router *router = request->router;

  kcp_timeline_add (router->timeline, KCP_EVENT_PLACED, request->id, backend->id,
                    uncached_tokens);
  if (request->attempts == 0)
    kcp_retry_gate_add_request (router->retry_gate, backend->data_center);
  kcp_attempt_start (request, backend, NULL, &attempt_events);
}

/* Handles the end of the current attempt: finishes, retries or fails the request. */
static void
on_attempt_ended (struct kcp_request *request, struct kcp_attempt *attempt,
                  enum kcp_fetch_result result, long status)
{
  struct kcp_attempt_result attempt_result = {
    .fetch = result,
    .status = status,
    .echoed = attempt->echoed,
    .complete = kcp_attempt_is_complete (attempt, result),
    .resumes = kcp_attempt_resumes (attempt),
  };
  enum kcp_failure failure = kcp_failure_classify (&attempt_result);
  enum kcp_retry_decision decision;

  if (failure == KCP_FAILURE_NONE)
    {
      finish_request (request, attempt, status);
      return;
    }
  update_execution (request, attempt, failure);
  record_server_failure (request, attempt, failure);
  if (result == KCP_FETCH_CANCELLED && !attempt->rejected)
    {
      fail_shutdown (request);
      return;
    }
  decision = decide (request, attempt, failure);
  if (decision == KCP_RETRY_GIVE_UP)
    give_up (request, attempt, failure);
  else
    retry (request, attempt, decision, failure);
}

static void
finish_request (struct kcp_request *request, struct kcp_attempt *attempt, long status)
{
  switch (attempt->kind)
    {
    case KCP_ATTEMPT_STREAM:
      kcp_completion_record_answer (request, attempt);
      kcp_completion_finish (request);
      break;
    case KCP_ATTEMPT_PLAIN:
      kcp_service_finish (request, attempt, status);
      break;
    }
}

static void
fail_shutdown (struct kcp_request *request)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_SHUTDOWN, STEP_ANSWER, NULL,
                 "this VM stopped before the answer was whole");
  fail (request, &error);
}

static void
update_execution (struct kcp_request *request, const struct kcp_attempt *attempt,
                  enum kcp_failure failure)
{
  if (attempt->events_received > 0)
    request->execution = KCP_EXECUTION_RAN;
  else if (failure == KCP_FAILURE_INTERRUPTED || failure == KCP_FAILURE_NO_RESPONSE)
    request->execution = MAX (request->execution, KCP_EXECUTION_UNKNOWN);
}

/* Records the failure of an attempt at its server, and excludes the server from further
   attempts where needed. */
static void
record_server_failure (struct kcp_request *request, const struct kcp_attempt *attempt,
                       enum kcp_failure failure)
{
  switch (attempt->kind)
    {
    case KCP_ATTEMPT_STREAM:
      update_attempt_counts (request, attempt);
      kcp_isolate_on_failure (request, attempt->backend->hash,
                              to_isolate_failure (failure));
      record_engine_failure (request, attempt, failure);
      break;
    case KCP_ATTEMPT_PLAIN:
      if (failure != KCP_FAILURE_UNSENT)
        request->failed_runs++;
      kcp_request_exclude_backend (request, attempt->backend->id);
      break;
    }
}

/* Counts consecutive attempts that received no event, and restarts the count after an
   event. A resumption at the same engine does not run the request again and is therefore
   counted separately from the runs. */
static void
update_attempt_counts (struct kcp_request *request, const struct kcp_attempt *attempt)
{
  struct kcp_completion *completion = &request->completion;

  if (attempt->events_received > 0)
    {
      request->failed_runs = 1;
      completion->same_engine_attempts = 1;
    }
  else if (kcp_attempt_resumes (attempt))
    completion->same_engine_attempts++;
  else
    {
      request->failed_runs++;
      completion->same_engine_attempts = 1;
    }
}

/* Records the failure of an attempt at an engine. An engine is presumed dead only if a
   new connection to it failed or received no data. */
static void
record_engine_failure (struct kcp_request *request, const struct kcp_attempt *attempt,
                       enum kcp_failure failure)
{
  bool dead = failure == KCP_FAILURE_UNSENT || failure == KCP_FAILURE_NO_RESPONSE;
  bool no_progress
      = failure == KCP_FAILURE_INTERRUPTED
        && request->completion.same_engine_attempts > SAME_ENGINE_RESUMES_MAX;

  if (dead)
    kcp_registry_set_state (request->router->registry, attempt->backend,
                            KCP_BACKEND_DEAD);
  if (failure == KCP_FAILURE_MISMATCH)
    kcp_completion_record_mismatch (request, attempt);
  if (dead || no_progress || failure == KCP_FAILURE_REFUSED)
    kcp_request_exclude_backend (request, attempt->backend->id);
}

static enum kcp_isolate_failure
to_isolate_failure (enum kcp_failure failure)
{
  switch (failure)
    {
    case KCP_FAILURE_INTERRUPTED:
    case KCP_FAILURE_NO_RESPONSE:
      return KCP_ISOLATE_INTERRUPTED;
    case KCP_FAILURE_UNSENT:
    case KCP_FAILURE_MISMATCH:
      return KCP_ISOLATE_DEAD;
    default:
      return KCP_ISOLATE_OTHER;
    }
}

static enum kcp_retry_decision
decide (struct kcp_request *request, const struct kcp_attempt *attempt,
        enum kcp_failure failure)
{
  const struct kcp_router *router = request->router;
  /* Resuming needs a new connection, which also shows whether the engine has crashed. */
  bool holds_stream
      = attempt->kind == KCP_ATTEMPT_STREAM && failure == KCP_FAILURE_INTERRUPTED
        && request->completion.same_engine_attempts <= SAME_ENGINE_RESUMES_MAX;
  struct kcp_retry_facts facts = {
    .repeatable = request->profile->repeatable,
    .server_holds_stream = holds_stream,
    .progress = failure == KCP_FAILURE_UNSENT ? KCP_RETRY_UNSENT : KCP_RETRY_REFUSED,
    .attempts = request->failed_runs,
    .remaining_ns = request->deadline_ns - kcp_clock_monotonic_ns (router->clock),
  };

  if (failure == KCP_FAILURE_BAD_REQUEST)
    return KCP_RETRY_GIVE_UP;
  if (request->execution != KCP_EXECUTION_NOT_RUN)
    facts.progress = KCP_RETRY_SENT;
  if (forwarded (request) > 0 || holds_stream)
    facts.progress = KCP_RETRY_FORWARDED;
  return kcp_retry_gate_decide (router->retry_gate, attempt->backend->data_center,
                                &facts);
}

static void
retry (struct kcp_request *request, const struct kcp_attempt *attempt,
       enum kcp_retry_decision decision, enum kcp_failure failure)
{
  struct kcp_error error;

  switch (attempt->kind)
    {
    case KCP_ATTEMPT_STREAM:
      continue_stream (request, attempt, decision, failure);
      break;
    case KCP_ATTEMPT_PLAIN:
      /* If no server is left, the failure of the last attempt is reported, because it is
         more useful to the caller. */
      record_retry (request, attempt, KCP_EVENT_RETRIED);
      if (!dispatch_service (request, &error))
        give_up (request, attempt, failure);
      break;
    }
}

/* Resumes the stream at its engine, or sends the prompt and the answer so far to another
   engine. Finishes the request instead if only the end of the stream was missing. */
static void
continue_stream (struct kcp_request *request, const struct kcp_attempt *attempt,
                 enum kcp_retry_decision decision, enum kcp_failure failure)
{
  bool same = decision == KCP_RETRY_RESUME_SAME;
  bool begun = request->completion.forwarded > 0;

  if (!same && begun && request->completion.finish_reason != NULL)
    {
      kcp_completion_finish (request);
      return;
    }
  if (!same && begun && !can_continue (request))
    {
      give_up (request, attempt, failure);
      return;
    }
  record_retry (request, attempt, begun ? KCP_EVENT_RESUMED : KCP_EVENT_RETRIED);
  if (same)
    {
      kcp_attempt_start (request, kcp_backend_ref (attempt->backend), attempt,
                         &attempt_events);
      return;
    }
  if (failure == KCP_FAILURE_INTERRUPTED || failure == KCP_FAILURE_NO_RESPONSE)
    kcp_stream_attempt_cancel (attempt);
  dispatch_completion (request);
}

static void
record_retry (struct kcp_request *request, const struct kcp_attempt *attempt,
              enum kcp_event event)
{
  kcp_counter_add (event == KCP_EVENT_RESUMED ? KCP_COUNT_RESUMED : KCP_COUNT_RETRIES, 1);
  kcp_timeline_add (request->router->timeline, event, request->id, attempt->backend->id,
                    forwarded (request));
}

/* Returns the number of events forwarded to the caller. It is 0 for a plain service,
   whose response is forwarded only when it is complete. */
static int64_t
forwarded (const struct kcp_request *request)
{
  switch (request->kind)
    {
    case KCP_REQUEST_COMPLETION:
      return request->completion.forwarded;
    case KCP_REQUEST_SERVICE:
      return 0;
    }
  return 0;
}

/* Returns true if another engine can continue the answer so far. */
static bool
can_continue (const struct kcp_request *request)
{
  const struct kcp_completion *completion = &request->completion;

  return !completion->text_dropped
         && kcp_engine_can_continue (completion->prompt.body, completion->answer_tokens);
}

/* Fails the request after its last attempt. The error reports a deadline that has passed
   or a quarantine, if there is one, rather than the failure of the attempt. */
static void
give_up (struct kcp_request *request, const struct kcp_attempt *attempt,
         enum kcp_failure failure)
{
  struct kcp_error error;

  if (kcp_request_remaining_ms (request) == 0)
    {
      fail_deadline (request);
      return;
    }
  if (request->kind == KCP_REQUEST_COMPLETION && kcp_isolate_is_blocked (request, &error))
    {
      fail (request, &error);
      return;
    }
  if (failure == KCP_FAILURE_BAD_REQUEST)
    kcp_error_set (&error, KCP_ERR_BAD_REQUEST, STEP_DISPATCH, attempt->backend->id,
                   "the engine does not take this body");
  else
    {
      kcp_error_set (&error, KCP_ERR_BACKEND,
                     failure == KCP_FAILURE_UNSENT ? STEP_DISPATCH : STEP_ANSWER,
                     attempt->backend->id, "no whole answer after %u attempts",
                     request->attempts);
      error.retry_after_s = RETRY_AFTER_S;
    }
  fail (request, &error);
}

static void
fail_deadline (struct kcp_request *request)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_DEADLINE, STEP_ANSWER,
                 request->backend != NULL ? request->backend->id : NULL,
                 "the deadline has passed");
  fail (request, &error);
}

/* Fails the request with an error that also reports whether its failed attempts may have
   run. If none has, the claim of a service call is released, so that the call can be
   repeated with the same idempotency key. */
static void
fail (struct kcp_request *request, struct kcp_error *error)
{
  error->execution = request->execution;
  if (request->kind == KCP_REQUEST_SERVICE && request->execution == KCP_EXECUTION_NOT_RUN)
    kcp_service_release_claim (request);
  if (error->code == KCP_ERR_QUARANTINED && error->execution != KCP_EXECUTION_NOT_RUN)
    kcp_isolate_fail (request, error);
  else
    kcp_request_fail (request, error);
}
