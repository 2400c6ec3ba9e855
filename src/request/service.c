#include "request/service.h"

#include <string.h>

#include "base/counter.h"
#include "request/request_end.h"
#include "request/request_private.h"

#define STEP_CLAIM    "booking"
#define RETRY_AFTER_S 1

/* The body of a larger answer is not recorded for repeated calls. */
#define OUTCOME_BODY_MAX_BYTES (256u << 10)

static void on_claim_answer (void *user, const struct kcp_claim_answer *answer);
static void handle_won_claim (struct kcp_request *request, const char *claim);
static void record_outcome (struct kcp_request *request);
static json_t *make_outcome (const struct kcp_request *request);
static void on_recorded (void *user);
static void send_answer (struct kcp_request *request);
static const char *content_type (const struct kcp_request *request);
static void send_recorded_answer (struct kcp_request *request, json_t *outcome);
static void fail_answer_not_recorded (struct kcp_request *request);

/* Claims a call that must not run twice. If this is the first call with its idempotency
   key, on_claim_won is called with the request's lock held. Any other call is answered
   here, with the recorded outcome or an error. */
void
kcp_service_claim (struct kcp_request *request,
                   void (*on_claim_won) (struct kcp_request *request))
{
  struct kcp_service_call *service = &request->service;
  const struct kcp_call *call = request->call;
  g_autofree char *scope = g_strconcat (request->team->name, "\n", call->service, "\n",
                                        call->idempotency_key, NULL);
  g_autoptr (GString) content = g_string_new (call->method);
  char body_hash[KCP_HASH_HEX_LEN + 1];

  g_string_append_printf (content, "\n%s\n", call->path);
  g_string_append_len (content, call->body->str, (gssize)call->body->len);
  kcp_id_hash (kcp_str_from_c (scope), service->claim_key);
  kcp_id_hash ((struct kcp_str){ content->str, content->len }, body_hash);
  service->on_claim_won = on_claim_won;
  kcp_request_ref (request);
  kcp_booking_claim (request->router->booking,
                     &(struct kcp_booking_call){
                         .key = service->claim_key,
                         .body_hash = body_hash,
                         .idempotency_key = call->idempotency_key,
                         .remaining_ms = kcp_request_remaining_ms (request),
                     },
                     on_claim_answer, request);
}

/* Releases the claim, if one is held, of a call that no backend server has run. */
void
kcp_service_release_claim (struct kcp_request *request)
{
  struct kcp_service_call *service = &request->service;

  if (service->claim[0] == '\0')
    return;
  kcp_booking_release (request->router->booking, service->claim_key, service->claim);
  service->claim[0] = '\0';
}

/* Takes over the complete answer of an attempt. The answer to a claimed call is sent only
   after its outcome is in the log, so that a caller that has received it can repeat the
   call at any VM and gets the same answer. If the first append fails, the answer is sent
   nevertheless. */
void
kcp_service_finish (struct kcp_request *request, struct kcp_attempt *attempt, long status)
{
  struct kcp_service_call *service = &request->service;

  service->status = (unsigned)status;
  service->content_type = g_steal_pointer (&attempt->plain.content_type);
  service->body = g_steal_pointer (&attempt->plain.body);
  if (service->claim[0] != '\0')
    record_outcome (request);
  else
    send_answer (request);
}

/* Frees the members of a service call. */
void
kcp_service_clear (struct kcp_request *request)
{
  g_free (request->service.content_type);
  if (request->service.body != NULL)
    g_string_free (request->service.body, TRUE);
}

static void
on_claim_answer (void *user, const struct kcp_claim_answer *answer)
{
  struct kcp_request *request = user;

  pthread_mutex_lock (&request->lock);
  switch (answer->result)
    {
    case KCP_CLAIM_WON:
      handle_won_claim (request, answer->claim);
      break;
    case KCP_CLAIM_REPEAT:
      send_recorded_answer (request, answer->outcome);
      break;
    case KCP_CLAIM_REFUSED:
      kcp_request_fail (request, &answer->error);
      break;
    }
  pthread_mutex_unlock (&request->lock);
  kcp_request_unref (request);
}

/* Continues a call whose claim has won, unless the request has ended or its deadline has
   passed in the meantime: the thread may have been suspended for any length of time. */
static void
handle_won_claim (struct kcp_request *request, const char *claim)
{
  struct kcp_service_call *service = &request->service;
  struct kcp_error error;

  g_strlcpy (service->claim, claim, sizeof service->claim);
  kcp_timeline_add (request->router->timeline, KCP_EVENT_CLAIMED, request->id, NULL, 0);
  if (!request->ended && kcp_request_remaining_ms (request) > 0)
    {
      service->on_claim_won (request);
      return;
    }
  kcp_service_release_claim (request);
  kcp_error_set (&error, KCP_ERR_DEADLINE, STEP_CLAIM, NULL,
                 "the deadline passed before the call was dispatched");
  error.retry_after_s = RETRY_AFTER_S;
  kcp_request_fail (request, &error);
}

static void
record_outcome (struct kcp_request *request)
{
  const struct kcp_service_call *service = &request->service;
  json_t *outcome = make_outcome (request);

  kcp_timeline_add (request->router->timeline, KCP_EVENT_OUTCOME, request->id, NULL,
                    service->status);
  kcp_booking_record_outcome (request->router->booking, service->claim_key,
                              service->claim, outcome, on_recorded,
                              kcp_request_ref (request));
  json_decref (outcome);
}

/* Returns a new document that describes the answer. The body is encoded as base64; a body
   that is too large to be recorded is left out. */
static json_t *
make_outcome (const struct kcp_request *request)
{
  const GString *body = request->service.body;
  json_t *outcome
      = json_pack ("{sissssss}", "status", (int)request->service.status, "content_type",
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
  send_answer (request);
  pthread_mutex_unlock (&request->lock);
  kcp_request_unref (request);
}

static void
send_answer (struct kcp_request *request)
{
  const GString *body = request->service.body;

  if (request->ended)
    return;
  kcp_request_add_headers (request);
  kcp_reply_begin (request->reply, request->service.status, content_type (request));
  kcp_reply_write (request->reply, (struct kcp_str){ body->str, body->len });
  kcp_counter_add (KCP_COUNT_COMPLETED, 1);
  kcp_request_end (request, KCP_EVENT_COMPLETED);
}

static const char *
content_type (const struct kcp_request *request)
{
  const char *type = request->service.content_type;

  return type != NULL ? type : "application/octet-stream";
}

static void
send_recorded_answer (struct kcp_request *request, json_t *outcome)
{
  const char *text = json_string_value (json_object_get (outcome, "body"));
  g_autofree unsigned char *body = NULL;
  gsize len = 0;

  if (text == NULL)
    {
      fail_answer_not_recorded (request);
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
fail_answer_not_recorded (struct kcp_request *request)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_OUTCOME_UNKNOWN, STEP_CLAIM, NULL,
                 "this call ran, but its answer was too large to be kept; look up its "
                 "status");
  error.execution = KCP_EXECUTION_RAN;
  kcp_request_fail (request, &error);
}
