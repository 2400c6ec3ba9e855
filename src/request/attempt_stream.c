/* Attempts at engines. The prompt is sent, and the events of the answer are parsed. */
#include <stdlib.h>

#include "base/counter.h"
#include "base/ref.h"
#include "policy/prefix.h"
#include "request/attempt_kinds.h"
#include "request/request_private.h"

#define EVENT_MAX_BYTES      (1u << 20)
#define ERROR_BODY_MAX_BYTES (4u << 10)
#define HTTP_STATUS_OK       200
#define DEADLINE_MARGIN_MS   50 /* lets the request's own deadline timer fire first */

static void compute_prefix_chain (struct kcp_request *request, const char *weights);
static enum kcp_fetch_flow
handle_events (struct kcp_attempt *attempt, struct kcp_str data);
static bool handle_event (struct kcp_attempt *attempt, const struct kcp_sse_event *event,
                          bool *has_room);
static void ignore_done (void *user, enum kcp_fetch_result result, long status);
static enum kcp_fetch_flow ignore_data (void *user, long status, struct kcp_str data);

static const struct kcp_fetch_events ignored_events = {
  .data = ignore_data,
  .done = ignore_done,
};

/* Initializes the stream part of a new attempt. interrupted is the attempt whose stream
   is resumed, or NULL. */
void
kcp_stream_attempt_init (struct kcp_attempt *attempt,
                         const struct kcp_attempt *interrupted)
{
  const struct kcp_completion *completion = &attempt->request->completion;
  struct kcp_stream_attempt *stream = &attempt->stream;

  stream->resumes = interrupted != NULL;
  stream->answer_tokens = interrupted != NULL ? interrupted->stream.answer_tokens
                                              : completion->answer_tokens;
  stream->next_event = interrupted != NULL ? interrupted->stream.next_event : 0;
  stream->error_body = g_string_new (NULL);
  kcp_sse_init (&stream->sse, EVENT_MAX_BYTES);
}

/* Sends the prompt to the attempt's engine, with the answer so far, which the engine
   continues. An attempt that resumes a stream sends the id of the last event instead of
   the answer, which its engine still has. */
void
kcp_stream_attempt_send (struct kcp_attempt *attempt,
                         const struct kcp_fetch_events *events)
{
  struct kcp_request *request = attempt->request;
  struct kcp_completion *completion = &request->completion;
  const struct kcp_stream_attempt *stream = &attempt->stream;
  const struct kcp_settings *settings = request->router->settings;
  struct kcp_backend_report report = { 0 };
  struct kcp_engine_call call = {
    .body = completion->prompt.body,
    .attempt = attempt->id,
    .cache_salt = request->team->name,
    .priority = request->profile->class,
    .incarnation = report.incarnation,
    .weights = report.weights,
    .last_event = stream->resumes ? stream->next_event - 1 : KCP_ENGINE_NEW_STREAM,
    .answer = stream->resumes ? "" : completion->text->str,
    .answer_tokens = completion->answer_tokens,
  };
  g_autofree char *url = g_strconcat (
      attempt->backend->url,
      request->call->kind == KCP_CALL_CHAT ? "/v1/chat/completions" : "/v1/completions",
      NULL);
  g_auto (GStrv) headers = NULL;
  char *body;

  kcp_registry_begin_attempt (request->router->registry, attempt->backend,
                              stream->resumes ? 0 : completion->uncached_tokens);
  kcp_registry_copy_report (request->router->registry, attempt->backend, &report);
  compute_prefix_chain (request, report.weights);
  call.chain = completion->chain;
  headers = kcp_engine_headers (&call);
  body = kcp_engine_body (&call);
  attempt->fetch = kcp_fetch_start (
      request->router->fetch_pool,
      &(struct kcp_fetch_spec){
          .method = "POST",
          .url = url,
          .headers = headers,
          .body = kcp_str_from_c (body),
          .connect_timeout_ms = settings->backends_connect_timeout_ms,
          .idle_timeout_ms = settings->backends_idle_timeout_ms,
          .total_timeout_ms = kcp_request_remaining_ms (request) + DEADLINE_MARGIN_MS,
          .reuse = request->attempts == 1 && request->profile->repeatable,
          .events = events,
          .user = kcp_ref_acquire (attempt),
      });
  free (body);
}

/* Handles bytes of the stream, or of the body of an error response, which is kept up to
   ERROR_BODY_MAX_BYTES. */
enum kcp_fetch_flow
kcp_stream_attempt_on_data (struct kcp_attempt *attempt, long status, struct kcp_str data)
{
  GString *error_body = attempt->stream.error_body;

  if (status == HTTP_STATUS_OK)
    return handle_events (attempt, data);
  if (error_body->len + data.len <= ERROR_BODY_MAX_BYTES)
    g_string_append_len (error_body, data.data, (gssize)data.len);
  return KCP_FETCH_CONTINUE;
}

/* Asks the engine to cancel a stream, without waiting for the response. Closing the
   connection is not enough, because the engine keeps such a stream so that it can be
   resumed. */
void
kcp_stream_attempt_cancel (const struct kcp_attempt *attempt)
{
  struct kcp_router *router = attempt->request->router;
  g_autofree char *url = kcp_engine_stream_url (attempt->backend->url, attempt->id);
  const struct kcp_fetch_spec spec = {
    .method = "DELETE",
    .url = url,
    .connect_timeout_ms = router->settings->backends_connect_timeout_ms,
    .total_timeout_ms = router->settings->backends_idle_timeout_ms,
    .reuse = true,
    .may_repeat = true,
    .events = &ignored_events,
  };

  kcp_fetch_unref (kcp_fetch_start (router->fetch_pool, &spec));
}

/* Frees the stream part of an attempt. */
void
kcp_stream_attempt_clear (struct kcp_attempt *attempt)
{
  kcp_sse_clear (&attempt->stream.sse);
  g_string_free (attempt->stream.error_body, TRUE);
}

static void
compute_prefix_chain (struct kcp_request *request, const char *weights)
{
  struct kcp_completion *completion = &request->completion;
  struct kcp_prefix_seed seed = {
    .team = kcp_str_from_c (request->team->name),
    .model = kcp_str_from_c (completion->prompt.model),
    .weights = kcp_str_from_c (weights),
  };

  g_clear_pointer (&completion->chain, g_array_unref);
  completion->chain = kcp_prefix_chain (&seed, completion->block_hashes);
}

static enum kcp_fetch_flow
handle_events (struct kcp_attempt *attempt, struct kcp_str data)
{
  struct kcp_stream_attempt *stream = &attempt->stream;
  struct kcp_sse_event event;
  bool has_room = true;

  if (!kcp_sse_feed (&stream->sse, data))
    return kcp_attempt_reject (attempt);
  while (!stream->done_seen && kcp_sse_next (&stream->sse, &event))
    if (!handle_event (attempt, &event, &has_room))
      return kcp_attempt_reject (attempt);
  return has_room ? KCP_FETCH_CONTINUE : KCP_FETCH_PAUSE;
}

/* Handles one event. Returns false if the event is invalid or if events before it are
   missing. An event that has been handled before is dropped. Sets *has_room to false if
   the caller reads more slowly than the engine writes. */
static bool
handle_event (struct kcp_attempt *attempt, const struct kcp_sse_event *event,
              bool *has_room)
{
  struct kcp_stream_attempt *stream = &attempt->stream;
  struct kcp_engine_chunk chunk;
  int64_t id;

  if (kcp_str_equal (event->data, KCP_STR ("[DONE]")))
    {
      stream->done_seen = attempt->request->completion.finish_reason != NULL;
      return stream->done_seen;
    }
  if (!kcp_str_to_int64 (event->id, &id) || id > stream->next_event)
    return false;
  if (id < stream->next_event)
    {
      kcp_counter_add (KCP_COUNT_ANSWERS_DROPPED, 1);
      return true;
    }
  if (!kcp_engine_chunk_parse (event->data, &chunk))
    return false;
  kcp_engine_chunk_correct_usage (&chunk, stream->answer_tokens);
  *has_room = attempt->events->chunk_received (attempt->request, event->data, &chunk,
                                               stream->answer_tokens > 0)
              && *has_room;
  kcp_engine_chunk_clear (&chunk);
  stream->next_event++;
  attempt->events_received++;
  return true;
}

static void
ignore_done (void *user, enum kcp_fetch_result result, long status)
{
  (void)user;
  (void)result;
  (void)status;
}

static enum kcp_fetch_flow
ignore_data (void *user, long status, struct kcp_str data)
{
  (void)user;
  (void)status;
  (void)data;
  return KCP_FETCH_CONTINUE;
}
