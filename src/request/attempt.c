#include "request/attempt.h"

#include <stdlib.h>
#include <string.h>

#include "backend/engine_adapter.h"
#include "base/counter.h"
#include "base/ref.h"
#include "policy/prefix.h"
#include "request/request_private.h"

#define EVENT_MAX_BYTES   (1u << 20)
#define REFUSAL_MAX_BYTES (4u << 10)
#define HTTP_STATUS_OK    200
#define LIMIT_SLACK_MS    50 /* the request's own timer fires first */

static void send_call (struct kcp_attempt *attempt);
static void make_chain (struct kcp_request *request, const char *weights);
static void on_header (void *user, struct kcp_str line);
static enum kcp_fetch_flow on_data (void *user, long status, struct kcp_str data);
static void on_done (void *user, enum kcp_fetch_end end, long status);
static enum kcp_fetch_flow
take_data (struct kcp_attempt *attempt, long status, struct kcp_str data);
static enum kcp_fetch_flow take_events (struct kcp_attempt *attempt, struct kcp_str data);
static bool
take_event (struct kcp_attempt *attempt, const struct kcp_sse_event *event, bool *room);
static enum kcp_fetch_flow reject (struct kcp_attempt *attempt);
static void ignore_done (void *user, enum kcp_fetch_end end, long status);
static enum kcp_fetch_flow ignore_data (void *user, long status, struct kcp_str data);
static void clear (gpointer data);

static const struct kcp_fetch_events events = {
  .header = on_header,
  .data = on_data,
  .done = on_done,
};

static const struct kcp_fetch_events ignored_events = {
  .data = ignore_data,
  .done = ignore_done,
};

/* Sends the request to an engine, as the attempt that counts from now on; takes over the
   reference to backend. broken is NULL, or the attempt whose stream at the same engine is
   read on. The request's lock is held. */
void
kcp_attempt_start (struct kcp_request *request, struct kcp_backend *backend,
                   const struct kcp_attempt *broken)
{
  struct kcp_attempt *attempt = kcp_ref_new (sizeof (struct kcp_attempt));

  attempt->request = kcp_request_ref (request);
  attempt->backend = backend;
  attempt->resumes = broken != NULL;
  attempt->answer_tokens
      = broken != NULL ? broken->answer_tokens : request->answer_tokens;
  attempt->next_event = broken != NULL ? broken->next_event : 0;
  if (broken != NULL)
    memcpy (attempt->id, broken->id, sizeof attempt->id);
  else
    kcp_id_random (attempt->id);
  attempt->refusal = g_string_new (NULL);
  kcp_sse_init (&attempt->sse, EVENT_MAX_BYTES);
  kcp_backend_unref (request->backend);
  request->backend = kcp_backend_ref (backend);
  request->current = attempt;
  request->attempts++;
  kcp_counter_add (KCP_COUNT_ATTEMPTS, 1);
  kcp_timeline_add (request->router->timeline, KCP_EVENT_DISPATCHED, request->id,
                    backend->id, request->attempts);
  kcp_registry_begin_attempt (request->router->registry, backend,
                              broken == NULL ? request->uncached_tokens : 0);
  send_call (attempt);
}

/* Ends the attempt that counts, if there is one, and its work at the engine. The
   request's lock is held. */
void
kcp_attempt_abandon (struct kcp_request *request)
{
  struct kcp_attempt *attempt = request->current;

  if (attempt == NULL)
    return;
  request->current = NULL;
  kcp_fetch_cancel (attempt->fetch);
  kcp_attempt_unref (attempt);
}

/* Tells the engine to give a stream up, without waiting for its answer: an engine keeps
   a stream whose connection was closed, for a resumption. */
void
kcp_attempt_cancel_stream (const struct kcp_attempt *attempt)
{
  struct kcp_router *router = attempt->request->router;
  g_autofree char *url = kcp_engine_stream_url (attempt->backend->url, attempt->id);
  const struct kcp_fetch_spec spec = {
    .method = "DELETE",
    .url = url,
    .connect_ms = router->settings->backends_connect_timeout_ms,
    .total_ms = router->settings->backends_idle_timeout_ms,
    .reuse = true,
    .events = &ignored_events,
  };

  kcp_fetch_unref (kcp_fetch_start (router->fetch_pool, &spec));
}

/* Drops a reference; NULL is allowed. */
void
kcp_attempt_unref (struct kcp_attempt *attempt)
{
  if (attempt != NULL)
    kcp_ref_release (attempt, clear);
}

static void
send_call (struct kcp_attempt *attempt)
{
  struct kcp_request *request = attempt->request;
  const struct kcp_settings *settings = request->router->settings;
  struct kcp_backend_report report = { 0 };
  struct kcp_engine_call call = {
    .body = request->prompt.body,
    .attempt = attempt->id,
    .cache_salt = request->team->name,
    .priority = request->profile->class,
    .incarnation = report.incarnation,
    .weights = report.weights,
    .last_event = attempt->resumes ? attempt->next_event - 1 : KCP_ENGINE_NO_EVENT,
    .answer = attempt->resumes ? "" : request->text->str,
    .answer_tokens = request->answer_tokens,
  };
  g_autofree char *url = g_strconcat (
      attempt->backend->url,
      request->call->kind == KCP_CALL_CHAT ? "/v1/chat/completions" : "/v1/completions",
      NULL);
  g_auto (GStrv) headers = NULL;
  char *body;

  kcp_completion_read_report (request, attempt->backend, &report);
  make_chain (request, report.weights);
  call.chain = request->chain;
  headers = kcp_engine_headers (&call);
  body = kcp_engine_body (&call);
  attempt->fetch = kcp_fetch_start (
      request->router->fetch_pool,
      &(struct kcp_fetch_spec){
          .method = "POST",
          .url = url,
          .headers = headers,
          .body = kcp_str_from_c (body),
          .connect_ms = settings->backends_connect_timeout_ms,
          .idle_ms = settings->backends_idle_timeout_ms,
          .total_ms = kcp_request_left_ms (request) + LIMIT_SLACK_MS,
          .reuse = request->attempts == 1 && request->profile->repeatable,
          .events = &events,
          .user = kcp_ref_acquire (attempt),
      });
  free (body);
}

static void
make_chain (struct kcp_request *request, const char *weights)
{
  struct kcp_prefix_seed seed = {
    .team = kcp_str_from_c (request->team->name),
    .model = kcp_str_from_c (request->prompt.model),
    .weights = kcp_str_from_c (weights),
  };

  g_clear_pointer (&request->chain, g_array_unref);
  request->chain = kcp_prefix_chain (&seed, request->block_hashes);
}

static void
on_header (void *user, struct kcp_str line)
{
  static const char name[] = KCP_HEADER_REQUEST ":";
  struct kcp_attempt *attempt = user;
  size_t len = strlen (name);

  if (line.len <= len || g_ascii_strncasecmp (line.data, name, len) != 0)
    return;
  pthread_mutex_lock (&attempt->request->lock);
  attempt->echoed = kcp_str_equal (kcp_str_trim (kcp_str_skip (line, len)),
                                   kcp_str_from_c (attempt->id));
  pthread_mutex_unlock (&attempt->request->lock);
}

static enum kcp_fetch_flow
on_data (void *user, long status, struct kcp_str data)
{
  struct kcp_attempt *attempt = user;
  enum kcp_fetch_flow flow;

  pthread_mutex_lock (&attempt->request->lock);
  if (attempt->request->current == attempt && attempt->echoed)
    flow = take_data (attempt, status, data);
  else
    flow = reject (attempt);
  pthread_mutex_unlock (&attempt->request->lock);
  return flow;
}

static void
on_done (void *user, enum kcp_fetch_end end, long status)
{
  struct kcp_attempt *attempt = user;
  struct kcp_request *request = kcp_request_ref (attempt->request);

  pthread_mutex_lock (&request->lock);
  kcp_registry_end_attempt (request->router->registry, attempt->backend);
  if (request->current == attempt)
    {
      request->current = NULL;
      kcp_completion_attempt_ended (request, attempt, end, status);
      kcp_attempt_unref (attempt);
    }
  else if (end != KCP_FETCH_REFUSED && !attempt->done_seen)
    kcp_attempt_cancel_stream (attempt);
  pthread_mutex_unlock (&request->lock);
  kcp_attempt_unref (attempt);
  kcp_request_unref (request);
}

static enum kcp_fetch_flow
take_data (struct kcp_attempt *attempt, long status, struct kcp_str data)
{
  GString *refusal = attempt->refusal;

  if (status == HTTP_STATUS_OK)
    return take_events (attempt, data);
  if (refusal->len + data.len <= REFUSAL_MAX_BYTES)
    g_string_append_len (refusal, data.data, (gssize)data.len);
  return KCP_FETCH_CONTINUE;
}

static enum kcp_fetch_flow
take_events (struct kcp_attempt *attempt, struct kcp_str data)
{
  struct kcp_sse_event event;
  bool room = true;

  if (!kcp_sse_feed (&attempt->sse, data))
    return reject (attempt);
  while (!attempt->done_seen && kcp_sse_next (&attempt->sse, &event))
    if (!take_event (attempt, &event, &room))
      return reject (attempt);
  return room ? KCP_FETCH_CONTINUE : KCP_FETCH_PAUSE;
}

/* Takes one event; false if something is missing before it. An event that came before is
   dropped. room is cleared when the caller reads more slowly than the engine writes. */
static bool
take_event (struct kcp_attempt *attempt, const struct kcp_sse_event *event, bool *room)
{
  struct kcp_engine_chunk chunk;
  int64_t id;

  if (kcp_str_equal (event->data, KCP_STR ("[DONE]")))
    {
      attempt->done_seen = attempt->request->finish_reason != NULL;
      return attempt->done_seen;
    }
  if (!kcp_str_to_int64 (event->id, &id) || id > attempt->next_event)
    return false;
  if (id < attempt->next_event)
    {
      kcp_counter_add (KCP_COUNT_ANSWERS_DROPPED, 1);
      return true;
    }
  if (!kcp_engine_chunk_parse (event->data, &chunk))
    return false;
  kcp_engine_chunk_add_tokens (&chunk, attempt->answer_tokens);
  *room = kcp_completion_take (attempt->request, event->data, &chunk,
                               attempt->answer_tokens > 0)
          && *room;
  kcp_engine_chunk_clear (&chunk);
  attempt->next_event++;
  attempt->events++;
  return true;
}

static enum kcp_fetch_flow
reject (struct kcp_attempt *attempt)
{
  attempt->rejected = true;
  kcp_counter_add (KCP_COUNT_ANSWERS_DROPPED, 1);
  return KCP_FETCH_ABORT;
}

static void
ignore_done (void *user, enum kcp_fetch_end end, long status)
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

static void
clear (gpointer data)
{
  struct kcp_attempt *attempt = data;

  kcp_sse_clear (&attempt->sse);
  g_string_free (attempt->refusal, TRUE);
  kcp_fetch_unref (attempt->fetch);
  kcp_backend_unref (attempt->backend);
  kcp_request_unref (attempt->request);
}
