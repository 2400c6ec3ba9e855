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

/* Parses the prompt and starts the timer of the deadline; false with an error if the
   body is unsound. */
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

/* Frees what a completion holds. */
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

/* Learns from a whole answer where the prompt is cached now and how long it took. */
void
kcp_completion_note_answer (struct kcp_request *request,
                            const struct kcp_attempt *attempt)
{
  const struct kcp_completion *completion = &request->completion;
  struct kcp_router *router = request->router;
  int64_t now = kcp_clock_monotonic_ns (router->clock);

  kcp_suspects_completed (router->suspects, completion->fingerprint);
  kcp_engine_facts_learn (router->facts, attempt->backend->hash, completion->incarnation,
                          completion->chain);
  kcp_admit_note_answer (router->admit, request->profile->class,
                         now - completion->dispatched_ns);
}

/* Takes over the incarnation and weights with which an engine refused. */
void
kcp_completion_note_mismatch (struct kcp_request *request,
                              const struct kcp_attempt *attempt)
{
  struct kcp_registry *registry = request->router->registry;
  const GString *refusal = attempt->stream.refusal;
  struct kcp_backend_report report;
  json_t *body = json_loadb (refusal->str, refusal->len, 0, NULL);
  const char *incarnation = json_string_value (json_object_get (body, "incarnation"));
  const char *weights = json_string_value (json_object_get (body, "weights"));

  kcp_registry_copy_report (registry, attempt->backend, &report);
  if (incarnation != NULL)
    g_strlcpy (report.incarnation, incarnation, sizeof report.incarnation);
  if (weights != NULL)
    g_strlcpy (report.weights, weights, sizeof report.weights);
  kcp_registry_report (registry, attempt->backend, &report);
  json_decref (body);
}

/* Ends a request whose deadline has passed. An attempt under way may have run. */
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

/* Ends a request at its deadline, and keeps a quiet stream open. */
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
          && completion->forwarded == completion->forwarded_seen)
        kcp_completion_write_heartbeat (request);
      completion->forwarded_seen = completion->forwarded;
    }
  pthread_mutex_unlock (&request->lock);
  return next;
}

static void
on_timer_released (void *user)
{
  kcp_request_unref (user);
}
