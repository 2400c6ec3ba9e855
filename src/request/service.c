#include <string.h>

#include "backend/engine_adapter.h"
#include "base/counter.h"
#include "request/choose.h"
#include "request/request_private.h"

#define STEP_DISPATCH  "dispatch"
#define STEP_ANSWER    "answer"
#define STEP_CLAIM     "booking"
#define BODY_MAX_BYTES (8u << 20)
#define RETRY_AFTER_S  1

/* A larger answer is not kept for repeats. */
#define OUTCOME_BODY_MAX_BYTES (256u << 10)

static void claim (struct kcp_request *request);
static void on_claimed (void *user, const struct kcp_claim_answer *answer);
static void start_claimed (struct kcp_request *request);
static void release_claim (struct kcp_request *request);
static void place_and_dispatch (struct kcp_request *request);
static void dispatch (struct kcp_request *request);
static char **make_headers (const struct kcp_request *request);
static void on_header (void *user, struct kcp_str line);
static bool header_value (struct kcp_str line, const char *name, struct kcp_str *value);
static enum kcp_fetch_flow on_data (void *user, long status, struct kcp_str data);
static void on_done (void *user, enum kcp_fetch_end end, long status);
static void complete (struct kcp_request *request, long status);
static void record_outcome (struct kcp_request *request);
static json_t *make_outcome (const struct kcp_request *request);
static void on_recorded (void *user);
static void answer_whole (struct kcp_request *request);
static const char *content_type (const struct kcp_request *request);
static void answer_repeat (struct kcp_request *request, json_t *outcome);
static void fail_without_body (struct kcp_request *request);
static bool try_next_server (struct kcp_request *request);
static void fail_attempt (struct kcp_request *request, enum kcp_fetch_end end);

static const struct kcp_fetch_events events = {
  .header = on_header,
  .data = on_data,
  .done = on_done,
};

/* Starts a call of a plain service; one that may not be repeated is claimed first. The
   lock is held. */
void
kcp_service_start (struct kcp_request *request)
{
  request->service_body = g_string_new (NULL);
  if (request->profile->repeatable)
    place_and_dispatch (request);
  else
    claim (request);
}

static void
claim (struct kcp_request *request)
{
  const struct kcp_call *call = request->call;
  g_autofree char *scope = g_strconcat (request->team->name, "\n", call->service, "\n",
                                        call->idempotency_key, NULL);
  g_autoptr (GString) content = g_string_new (call->method);
  char body_hash[KCP_HASH_HEX_LEN + 1];

  g_string_append_printf (content, "\n%s\n", call->path);
  g_string_append_len (content, call->body->str, (gssize)call->body->len);
  kcp_id_hash (kcp_str_from_c (scope), request->claim_key);
  kcp_id_hash ((struct kcp_str){ content->str, content->len }, body_hash);
  kcp_request_ref (request);
  kcp_booking_claim (request->router->booking,
                     &(struct kcp_booking_call){
                         .key = request->claim_key,
                         .body_hash = body_hash,
                         .idempotency_key = call->idempotency_key,
                         .left_ms = kcp_request_left_ms (request),
                     },
                     on_claimed, request);
}

static void
on_claimed (void *user, const struct kcp_claim_answer *answer)
{
  struct kcp_request *request = user;

  pthread_mutex_lock (&request->lock);
  switch (answer->result)
    {
    case KCP_CLAIM_WON:
      memcpy (request->claim, answer->claim, sizeof request->claim);
      kcp_timeline_add (request->router->timeline, KCP_EVENT_CLAIMED, request->id, NULL,
                        0);
      start_claimed (request);
      break;
    case KCP_CLAIM_REPEAT:
      answer_repeat (request, answer->outcome);
      break;
    case KCP_CLAIM_REFUSED:
      kcp_request_fail (request, &answer->error);
      break;
    }
  pthread_mutex_unlock (&request->lock);
  kcp_request_unref (request);
}

/* Dispatches a call whose claim won, unless its deadline has passed since: the thread may
   have been paused for any time. */
static void
start_claimed (struct kcp_request *request)
{
  struct kcp_error error;

  if (kcp_request_left_ms (request) > 0)
    {
      place_and_dispatch (request);
      return;
    }
  release_claim (request);
  kcp_error_set (&error, KCP_ERR_DEADLINE, STEP_CLAIM, NULL,
                 "the deadline passed before the call was dispatched");
  error.retry_after_s = RETRY_AFTER_S;
  kcp_request_fail (request, &error);
}

/* Gives up the claim, if one is held, of a call that no backend server has seen. */
static void
release_claim (struct kcp_request *request)
{
  if (request->claim[0] == '\0')
    return;
  kcp_booking_release (request->router->booking, request->claim_key, request->claim);
  request->claim[0] = '\0';
}

static void
place_and_dispatch (struct kcp_request *request)
{
  struct kcp_error error;

  request->backend = kcp_choose_service (request, &error);
  if (request->backend != NULL)
    {
      kcp_timeline_add (request->router->timeline, KCP_EVENT_PLACED, request->id,
                        request->backend->id, 0);
      dispatch (request);
      return;
    }
  release_claim (request);
  kcp_request_fail (request, &error);
}

/* A claimed call is not cancelled when its caller leaves: its outcome is still recorded.
 */
static void
dispatch (struct kcp_request *request)
{
  const struct kcp_settings *settings = request->router->settings;
  g_autofree char *url = g_strconcat (request->backend->url, request->call->path, NULL);
  g_auto (GStrv) headers = NULL;
  bool claimed = request->claim[0] != '\0';
  struct kcp_fetch *fetch;

  kcp_id_random (request->attempt);
  headers = make_headers (request);
  kcp_counter_add (KCP_COUNT_ATTEMPTS, 1);
  kcp_timeline_add (request->router->timeline, KCP_EVENT_DISPATCHED, request->id,
                    request->backend->id, 0);
  kcp_registry_begin_attempt (request->router->registry, request->backend, 0);
  fetch = kcp_fetch_start (
      request->router->fetch_pool,
      &(struct kcp_fetch_spec){
          .method = request->call->method,
          .url = url,
          .headers = headers,
          .body = { request->call->body->str, request->call->body->len },
          .connect_ms = settings->backends_connect_timeout_ms,
          .idle_ms = settings->backends_idle_timeout_ms,
          .total_ms = kcp_request_left_ms (request) + 1,
          .reuse = !claimed,
          .events = &events,
          .user = kcp_request_ref (request),
      });
  if (claimed)
    kcp_fetch_unref (fetch);
  else
    {
      kcp_fetch_unref (request->fetch);
      request->fetch = fetch;
    }
}

static char **
make_headers (const struct kcp_request *request)
{
  const struct kcp_call *call = request->call;
  GPtrArray *lines = g_ptr_array_new ();

  g_ptr_array_add (lines, g_strconcat (KCP_HEADER_REQUEST ": ", request->attempt, NULL));
  if (call->content_type != NULL)
    g_ptr_array_add (lines, g_strconcat ("Content-Type: ", call->content_type, NULL));
  if (call->idempotency_key != NULL)
    g_ptr_array_add (lines,
                     g_strconcat ("Idempotency-Key: ", call->idempotency_key, NULL));
  g_ptr_array_add (lines, NULL);
  return (char **)g_ptr_array_free (lines, FALSE);
}

static void
on_header (void *user, struct kcp_str line)
{
  struct kcp_request *request = user;
  struct kcp_str value;

  pthread_mutex_lock (&request->lock);
  if (header_value (line, KCP_HEADER_REQUEST ":", &value))
    request->echoed = kcp_str_equal (value, kcp_str_from_c (request->attempt));
  if (header_value (line, "Content-Type:", &value))
    {
      g_free (request->service_content_type);
      request->service_content_type = kcp_str_dup (value);
    }
  pthread_mutex_unlock (&request->lock);
}

static bool
header_value (struct kcp_str line, const char *name, struct kcp_str *value)
{
  size_t len = strlen (name);

  if (line.len <= len || g_ascii_strncasecmp (line.data, name, len) != 0)
    return false;
  *value = kcp_str_trim (kcp_str_skip (line, len));
  return true;
}

static enum kcp_fetch_flow
on_data (void *user, long status, struct kcp_str data)
{
  struct kcp_request *request = user;
  enum kcp_fetch_flow flow = KCP_FETCH_CONTINUE;

  (void)status;
  pthread_mutex_lock (&request->lock);
  if (!request->echoed)
    kcp_counter_add (KCP_COUNT_ANSWERS_DROPPED, 1);
  if (!request->echoed || request->service_body->len + data.len > BODY_MAX_BYTES)
    flow = KCP_FETCH_ABORT;
  else
    g_string_append_len (request->service_body, data.data, (gssize)data.len);
  pthread_mutex_unlock (&request->lock);
  return flow;
}

static void
on_done (void *user, enum kcp_fetch_end end, long status)
{
  struct kcp_request *request = user;

  pthread_mutex_lock (&request->lock);
  kcp_registry_end_attempt (request->router->registry, request->backend);
  if (end == KCP_FETCH_WHOLE && request->echoed)
    complete (request, status);
  else
    fail_attempt (request, end);
  pthread_mutex_unlock (&request->lock);
  kcp_request_unref (request);
}

static void
complete (struct kcp_request *request, long status)
{
  request->service_status = (unsigned)status;
  if (request->claim[0] != '\0')
    record_outcome (request);
  else
    answer_whole (request);
}

/* The answer waits for its outcome to be in the log, so that a caller that has it can
   repeat the call at any VM and gets the same one. If the first append fails, the answer
   goes out all the same. */
static void
record_outcome (struct kcp_request *request)
{
  json_t *outcome = make_outcome (request);

  kcp_timeline_add (request->router->timeline, KCP_EVENT_OUTCOME, request->id, NULL,
                    request->service_status);
  kcp_booking_record_outcome (request->router->booking, request->claim_key,
                              request->claim, outcome, on_recorded,
                              kcp_request_ref (request));
  json_decref (outcome);
}

/* Returns the answer as a new document; the body is base64, or absent if it is too large
   to be kept. */
static json_t *
make_outcome (const struct kcp_request *request)
{
  const GString *body = request->service_body;
  json_t *outcome
      = json_pack ("{sissssss}", "status", (int)request->service_status, "content_type",
                   content_type (request), "backend", request->backend->id, "data_center",
                   g_quark_to_string (request->backend->data_center));
  g_autofree char *text = NULL;

  if (body->len > OUTCOME_BODY_MAX_BYTES)
    return outcome;
  text = g_base64_encode ((const unsigned char *)body->str, body->len);
  json_object_set_new (outcome, "body", json_string (text));
  return outcome;
}

static void
on_recorded (void *user)
{
  struct kcp_request *request = user;

  pthread_mutex_lock (&request->lock);
  answer_whole (request);
  pthread_mutex_unlock (&request->lock);
  kcp_request_unref (request);
}

static void
answer_whole (struct kcp_request *request)
{
  kcp_request_add_headers (request);
  kcp_reply_begin (request->reply, request->service_status, content_type (request));
  kcp_reply_write (request->reply, (struct kcp_str){ request->service_body->str,
                                                     request->service_body->len });
  kcp_counter_add (KCP_COUNT_COMPLETED, 1);
  kcp_request_end (request, KCP_EVENT_COMPLETED);
}

static const char *
content_type (const struct kcp_request *request)
{
  return request->service_content_type != NULL ? request->service_content_type
                                               : "application/octet-stream";
}

static void
answer_repeat (struct kcp_request *request, json_t *outcome)
{
  const char *text = json_string_value (json_object_get (outcome, "body"));
  g_autofree unsigned char *body = NULL;
  gsize len = 0;

  if (text == NULL)
    {
      fail_without_body (request);
      return;
    }
  body = g_base64_decode (text, &len);
  kcp_request_add_headers (request);
  kcp_reply_add_header (request->reply, "Kingcuppoint-Repeat", "true");
  kcp_reply_begin (request->reply,
                   (unsigned)json_integer_value (json_object_get (outcome, "status")),
                   json_string_value (json_object_get (outcome, "content_type")));
  kcp_reply_write (request->reply, (struct kcp_str){ (const char *)body, len });
  kcp_counter_add (KCP_COUNT_COMPLETED, 1);
  kcp_request_end (request, KCP_EVENT_COMPLETED);
}

static void
fail_without_body (struct kcp_request *request)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_OUTCOME_UNKNOWN, STEP_CLAIM, NULL,
                 "this call ran, but its answer was too large to be kept; look up its "
                 "status");
  error.execution = KCP_RAN;
  kcp_request_fail (request, &error);
}

/* Sends a call that no server has seen to another one, also a booking: its claim still
   holds. False if there is none or no time is left. */
static bool
try_next_server (struct kcp_request *request)
{
  struct kcp_backend *next;
  struct kcp_error error;

  if (request->ended || kcp_request_left_ms (request) == 0)
    return false;
  if (request->tried == NULL)
    request->tried = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (request->tried, g_strdup (request->backend->id));
  next = kcp_choose_service (request, &error);
  if (next == NULL)
    return false;
  kcp_counter_add (KCP_COUNT_RETRIES, 1);
  kcp_timeline_add (request->router->timeline, KCP_EVENT_RETRIED, request->id,
                    request->backend->id, 0);
  kcp_backend_unref (request->backend);
  request->backend = next;
  dispatch (request);
  return true;
}

static void
fail_attempt (struct kcp_request *request, enum kcp_fetch_end end)
{
  struct kcp_error error;

  if (end == KCP_FETCH_REFUSED && try_next_server (request))
    return;
  kcp_error_set (&error, KCP_ERR_BACKEND,
                 end == KCP_FETCH_REFUSED ? STEP_DISPATCH : STEP_ANSWER,
                 request->backend->id, "the service gave no whole answer");
  error.execution = end == KCP_FETCH_REFUSED ? KCP_NOT_RUN : KCP_UNKNOWN;
  if (end == KCP_FETCH_REFUSED)
    {
      error.retry_after_s = RETRY_AFTER_S;
      release_claim (request);
    }
  kcp_request_fail (request, &error);
}
