#include "request/completion.h"

#include "policy/prefix.h"
#include "request/admit.h"
#include "request/isolate.h"
#include "request/request_end.h"
#include "request/request_private.h"

#define STEP_ANSWER "answer"

static int64_t next_due_ns (const struct kcp_request *request, int64_t now_ns);
static int64_t on_timer (void *user);
static void on_timer_released (void *user);

/* Parses the prompt and starts the deadline timer. Returns false and sets error if the
   body is invalid. */
bool
kcp_completion_init (struct kcp_request *request, struct kcp_error *error)
{
  struct kcp_completion *completion = &request->completion;
  struct kcp_router *router = request->router;
  struct kcp_str text;

  if (!kcp_prompt_parse (request->call, router->settings->callers_max_json_depth,
                         &completion->prompt, error))
    return false;
  text = (struct kcp_str){ completion->prompt.text->str, completion->prompt.text->len };
  completion->block_hashes = kcp_prefix_hash (text);
  completion->text = g_string_new (NULL);
  kcp_isolate_init (request);
  completion->timer
      = kcp_timers_add (router->timers, next_due_ns (request, request->started_ns),
                        on_timer, on_timer_released, kcp_request_ref (request));
  return true;
}

/* Frees the members of a completion. */
void
kcp_completion_clear (struct kcp_request *request)
{
  struct kcp_completion *completion = &request->completion;

  kcp_prompt_clear (&completion->prompt);
  g_clear_pointer (&completion->block_hashes, g_array_unref);
  g_clear_pointer (&completion->chain, g_array_unref);
  if (completion->text != NULL)
    g_string_free (completion->text, TRUE);
  g_free (completion->finish_reason);
}

/* Records a complete answer: the engine now caches the prompt, the prompt did not crash
   it, and the run time is known. */
void
kcp_completion_record_answer (struct kcp_request *request,
                              const struct kcp_attempt *attempt)
{
  const struct kcp_completion *completion = &request->completion;
  struct kcp_router *router = request->router;
  int64_t now = kcp_clock_monotonic_ns (router->clock);

  kcp_suspects_add_completion (router->suspects, completion->fingerprint);
  kcp_engine_facts_add_chain (router->facts, attempt->backend->hash,
                              completion->incarnation, completion->chain);
  kcp_admit_record_answer (router->admit, request->profile->class,
                           now - completion->dispatched_ns);
}

/* Stores the incarnation and weights that an engine named when it refused an attempt that
   expected others. */
void
kcp_completion_record_mismatch (struct kcp_request *request,
                                const struct kcp_attempt *attempt)
{
  struct kcp_registry *registry = request->router->registry;
  const GString *error_body = attempt->stream.error_body;
  struct kcp_backend_report report;
  json_t *body = json_loadb (error_body->str, error_body->len, 0, NULL);
  const char *incarnation = json_string_value (json_object_get (body, "incarnation"));
  const char *weights = json_string_value (json_object_get (body, "weights"));

  kcp_registry_copy_report (registry, attempt->backend, &report);
  if (incarnation != NULL)
    g_strlcpy (report.incarnation, incarnation, sizeof report.incarnation);
  if (weights != NULL)
    g_strlcpy (report.weights, weights, sizeof report.weights);
  kcp_registry_record_report (registry, attempt->backend, &report);
  json_decref (body);
}

/* Fails a request whose deadline has passed. If an attempt is in progress, the request
   may have run. */
void
kcp_completion_fail_deadline (struct kcp_request *request)
{
  struct kcp_error error;

  if (request->completion.forwarded > 0)
    request->execution = KCP_EXECUTION_RAN;
  else if (request->current != NULL)
    request->execution = MAX (request->execution, KCP_EXECUTION_UNKNOWN);
  kcp_error_set (&error, KCP_ERR_DEADLINE, STEP_ANSWER,
                 request->backend != NULL ? request->backend->id : NULL,
                 "the deadline has passed");
  error.execution = request->execution;
  kcp_request_fail (request, &error);
}

static int64_t
next_due_ns (const struct kcp_request *request, int64_t now_ns)
{
  int64_t heartbeat_ms = request->router->settings->callers_heartbeat_ms;

  if (!request->completion.prompt.stream)
    return request->deadline_ns;
  return MIN (request->deadline_ns, now_ns + heartbeat_ms * KCP_NS_PER_MS);
}

/* Fails a request at its deadline, and writes a heartbeat into a stream that has
   forwarded no event since the timer last fired. Returns when the timer is due next. */
static int64_t
on_timer (void *user)
{
  struct kcp_request *request = user;
  struct kcp_completion *completion = &request->completion;
  int64_t now = kcp_clock_monotonic_ns (request->router->clock);
  int64_t next = KCP_TIMER_END;

  pthread_mutex_lock (&request->lock);
  if (!request->ended && now >= request->deadline_ns)
    kcp_completion_fail_deadline (request);
  else if (!request->ended)
    {
      next = next_due_ns (request, now);
      if (completion->prompt.stream
          && completion->forwarded == completion->forwarded_at_last_timer)
        kcp_completion_write_heartbeat (request);
      completion->forwarded_at_last_timer = completion->forwarded;
    }
  pthread_mutex_unlock (&request->lock);
  return next;
}

static void
on_timer_released (void *user)
{
  kcp_request_unref (user);
}
