/* Attempts at engines: the call with its prompt, and the events of the answer. */
#include <stdlib.h>

#include "base/counter.h"
#include "base/ref.h"
#include "policy/prefix.h"
#include "request/attempt_kinds.h"
#include "request/request_private.h"

#define EVENT_MAX_BYTES   (1u << 20)
#define REFUSAL_MAX_BYTES (4u << 10)
#define HTTP_STATUS_OK    200
#define LIMIT_SLACK_MS    50 /* the request's own timer fires first */

static void make_chain (struct kcp_request *request, const char *weights);
static enum kcp_fetch_flow take_events (struct kcp_attempt *attempt, struct kcp_str data);
static bool
take_event (struct kcp_attempt *attempt, const struct kcp_sse_event *event, bool *room);
static void ignore_done (void *user, enum kcp_fetch_result end, long status);
static enum kcp_fetch_flow ignore_data (void *user, long status, struct kcp_str data);

static const struct kcp_fetch_events ignored_events = {
  .data = ignore_data,
  .done = ignore_done,
};

/* Fills a new attempt. broken is NULL, or the attempt whose stream is read on. */
void
kcp_stream_attempt_init (struct kcp_attempt *attempt, const struct kcp_attempt *broken)
{
  const struct kcp_completion *completion = &attempt->request->completion;
  struct kcp_stream_attempt *stream = &attempt->stream;

  stream->resumes = broken != NULL;
  stream->answer_tokens
      = broken != NULL ? broken->stream.answer_tokens : completion->answer_tokens;
  stream->next_event = broken != NULL ? broken->stream.next_event : 0;
  stream->refusal = g_string_new (NULL);
  kcp_sse_init (&stream->sse, EVENT_MAX_BYTES);
}

/* Sends the prompt, with the answer so far, to the attempt's engine. */
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
  make_chain (request, report.weights);
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
          .total_timeout_ms = kcp_request_left_ms (request) + LIMIT_SLACK_MS,
          .reuse = request->attempts == 1 && request->profile->repeatable,
          .events = events,
          .user = kcp_ref_acquire (attempt),
      });
  free (body);
}

/* Takes bytes of the stream, or of the refusal in its place. */
enum kcp_fetch_flow
kcp_stream_attempt_take (struct kcp_attempt *attempt, long status, struct kcp_str data)
{
  GString *refusal = attempt->stream.refusal;

  if (status == HTTP_STATUS_OK)
    return take_events (attempt, data);
  if (refusal->len + data.len <= REFUSAL_MAX_BYTES)
    g_string_append_len (refusal, data.data, (gssize)data.len);
  return KCP_FETCH_CONTINUE;
}

/* Tells the engine to give a stream up, without waiting for its answer: an engine keeps
   a stream whose connection was closed, for a resumption. */
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
    .events = &ignored_events,
  };

  kcp_fetch_unref (kcp_fetch_start (router->fetch_pool, &spec));
}

/* Frees what the kind holds. */
void
kcp_stream_attempt_clear (struct kcp_attempt *attempt)
{
  kcp_sse_clear (&attempt->stream.sse);
  g_string_free (attempt->stream.refusal, TRUE);
}

static void
make_chain (struct kcp_request *request, const char *weights)
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
take_events (struct kcp_attempt *attempt, struct kcp_str data)
{
  struct kcp_stream_attempt *stream = &attempt->stream;
  struct kcp_sse_event event;
  bool room = true;

  if (!kcp_sse_feed (&stream->sse, data))
    return kcp_attempt_reject (attempt);
  while (!stream->done_seen && kcp_sse_next (&stream->sse, &event))
    if (!take_event (attempt, &event, &room))
      return kcp_attempt_reject (attempt);
  return room ? KCP_FETCH_CONTINUE : KCP_FETCH_PAUSE;
}

/* Takes one event; false if something is missing before it. An event that came before is
   dropped. room is cleared when the caller reads more slowly than the engine writes. */
static bool
take_event (struct kcp_attempt *attempt, const struct kcp_sse_event *event, bool *room)
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
  *room = attempt->events->take (attempt->request, event->data, &chunk,
                                 stream->answer_tokens > 0)
          && *room;
  kcp_engine_chunk_clear (&chunk);
  stream->next_event++;
  attempt->taken++;
  return true;
}

static void
ignore_done (void *user, enum kcp_fetch_result end, long status)
{
  (void)user;
  (void)end;
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
