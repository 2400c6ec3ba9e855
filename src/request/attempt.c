#include "request/attempt.h"

#include <string.h>

#include "base/counter.h"
#include "base/ref.h"
#include "request/attempt_kinds.h"
#include "request/request_private.h"

static void
init_kind (struct kcp_attempt *attempt, const struct kcp_attempt *interrupted);
static void send_request (struct kcp_attempt *attempt);
static void on_header (void *user, struct kcp_str line);
static enum kcp_fetch_flow on_data (void *user, long status, struct kcp_str data);
static enum kcp_fetch_flow
handle_data (struct kcp_attempt *attempt, long status, struct kcp_str data);
static void on_done (void *user, enum kcp_fetch_result result, long status);
static void clear (gpointer data);

static const struct kcp_fetch_events fetch_events = {
  .header = on_header,
  .data = on_data,
  .done = on_done,
};

/* Starts an attempt at a backend server and makes it the request's current attempt. Takes
   ownership of the reference to backend. interrupted is the attempt whose stream is
   resumed at the same engine, or NULL. The caller holds the request's lock. */
void
kcp_attempt_start (struct kcp_request *request, struct kcp_backend *backend,
                   const struct kcp_attempt *interrupted,
                   const struct kcp_attempt_events *events)
{
  struct kcp_attempt *attempt = kcp_ref_new (sizeof (struct kcp_attempt));

  attempt->request = kcp_request_ref (request);
  attempt->backend = backend;
  attempt->events = events;
  if (interrupted != NULL)
    memcpy (attempt->id, interrupted->id, sizeof attempt->id);
  else
    kcp_id_random (attempt->id);
  init_kind (attempt, interrupted);
  kcp_backend_unref (request->backend);
  request->backend = kcp_backend_ref (backend);
  request->current = attempt;
  request->attempts++;
  kcp_counter_add (KCP_COUNT_ATTEMPTS, 1);
  kcp_timeline_add (request->router->timeline, KCP_EVENT_DISPATCHED, request->id,
                    backend->id, request->attempts);
  send_request (attempt);
}

/* Cancels the current attempt, if there is one, and its work at the backend server. The
   caller holds the request's lock. */
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

/* Releases a reference. attempt may be NULL. */
void
kcp_attempt_unref (struct kcp_attempt *attempt)
{
  if (attempt != NULL)
    kcp_ref_release (attempt, clear);
}

/* Returns true if an attempt that ended with the given result received the answer up to
   its end. */
bool
kcp_attempt_is_complete (const struct kcp_attempt *attempt, enum kcp_fetch_result result)
{
  switch (attempt->kind)
    {
    case KCP_ATTEMPT_STREAM:
      return attempt->stream.done_seen;
    case KCP_ATTEMPT_PLAIN:
      return result == KCP_FETCH_COMPLETE && attempt->echoed;
    }
  return false;
}

/* Returns true if the attempt resumes the stream of an earlier attempt. */
bool
kcp_attempt_resumes (const struct kcp_attempt *attempt)
{
  return attempt->kind == KCP_ATTEMPT_STREAM && attempt->stream.resumes;
}

/* Marks an attempt as rejected because its data cannot be used, and counts the data as a
   dropped answer. Returns the flow that aborts the fetch. */
enum kcp_fetch_flow
kcp_attempt_reject (struct kcp_attempt *attempt)
{
  attempt->rejected = true;
  kcp_counter_add (KCP_COUNT_ANSWERS_DROPPED, 1);
  return KCP_FETCH_ABORT;
}

static void
init_kind (struct kcp_attempt *attempt, const struct kcp_attempt *interrupted)
{
  switch (attempt->request->kind)
    {
    case KCP_REQUEST_COMPLETION:
      attempt->kind = KCP_ATTEMPT_STREAM;
      kcp_stream_attempt_init (attempt, interrupted);
      break;
    case KCP_REQUEST_SERVICE:
      attempt->kind = KCP_ATTEMPT_PLAIN;
      kcp_plain_attempt_init (attempt);
      break;
    }
}

static void
send_request (struct kcp_attempt *attempt)
{
  switch (attempt->kind)
    {
    case KCP_ATTEMPT_STREAM:
      kcp_stream_attempt_send (attempt, &fetch_events);
      break;
    case KCP_ATTEMPT_PLAIN:
      kcp_plain_attempt_send (attempt, &fetch_events);
      break;
    }
}

static void
on_header (void *user, struct kcp_str line)
{
  struct kcp_attempt *attempt = user;
  struct kcp_str value;

  pthread_mutex_lock (&attempt->request->lock);
  if (kcp_str_header_value (line, KCP_STR (KCP_HEADER_REQUEST), &value))
    attempt->echoed = kcp_str_equal (value, kcp_str_from_c (attempt->id));
  if (attempt->kind == KCP_ATTEMPT_PLAIN)
    kcp_plain_attempt_on_header (attempt, line);
  pthread_mutex_unlock (&attempt->request->lock);
}

static enum kcp_fetch_flow
on_data (void *user, long status, struct kcp_str data)
{
  struct kcp_attempt *attempt = user;
  enum kcp_fetch_flow flow;

  pthread_mutex_lock (&attempt->request->lock);
  if (attempt->request->current == attempt && attempt->echoed)
    flow = handle_data (attempt, status, data);
  else
    flow = kcp_attempt_reject (attempt);
  pthread_mutex_unlock (&attempt->request->lock);
  return flow;
}

static enum kcp_fetch_flow
handle_data (struct kcp_attempt *attempt, long status, struct kcp_str data)
{
  switch (attempt->kind)
    {
    case KCP_ATTEMPT_STREAM:
      return kcp_stream_attempt_on_data (attempt, status, data);
    case KCP_ATTEMPT_PLAIN:
      return kcp_plain_attempt_on_data (attempt, data);
    }
  return KCP_FETCH_ABORT;
}

/* Handles the end of the fetch. If the attempt is no longer current and the engine may
   still keep its stream, the engine is asked to cancel it. */
static void
on_done (void *user, enum kcp_fetch_result result, long status)
{
  struct kcp_attempt *attempt = user;
  struct kcp_request *request = kcp_request_ref (attempt->request);

  pthread_mutex_lock (&request->lock);
  kcp_registry_end_attempt (request->router->registry, attempt->backend);
  if (request->current == attempt)
    {
      request->current = NULL;
      attempt->events->ended (request, attempt, result, status);
      kcp_attempt_unref (attempt);
    }
  else if (attempt->kind == KCP_ATTEMPT_STREAM && result != KCP_FETCH_CONNECT_FAILED
           && !attempt->stream.done_seen)
    kcp_stream_attempt_cancel (attempt);
  pthread_mutex_unlock (&request->lock);
  kcp_attempt_unref (attempt);
  kcp_request_unref (request);
}

static void
clear (gpointer data)
{
  struct kcp_attempt *attempt = data;

  switch (attempt->kind)
    {
    case KCP_ATTEMPT_STREAM:
      kcp_stream_attempt_clear (attempt);
      break;
    case KCP_ATTEMPT_PLAIN:
      kcp_plain_attempt_clear (attempt);
      break;
    }
  kcp_fetch_unref (attempt->fetch);
  kcp_backend_unref (attempt->backend);
  kcp_request_unref (attempt->request);
}
