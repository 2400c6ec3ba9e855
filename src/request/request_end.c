#include "request/request_end.h"

#include <stdlib.h>

#include "base/counter.h"
#include "base/logger.h"
#include "request/admit.h"
#include "request/isolate.h"
#include "request/problem.h"
#include "request/request_private.h"

static bool attempt_outlives_request (const struct kcp_request *request);
static void release_completion (struct kcp_request *request);
static void write_failure (struct kcp_request *request, const struct kcp_error *error);
static void write_error_event (struct kcp_request *request, const char *problem);
static void write_problem (struct kcp_request *request, const struct kcp_error *error,
                           const char *problem);

/* Ends the request with an error, which is sent to the caller. Does nothing once the
   request has ended. */
void
kcp_request_fail (struct kcp_request *request, const struct kcp_error *error)
{
  bool refused = error->execution == KCP_EXECUTION_NOT_RUN;

  if (request->ended)
    return;
  kcp_counter_add (refused ? KCP_COUNT_REFUSED : KCP_COUNT_FAILED, 1);
  kcp_logger_error (refused ? "request_refused" : "request_failed", request->id, error);
  write_failure (request, error);
  kcp_request_end (request, refused ? KCP_EVENT_REFUSED : KCP_EVENT_FAILED);
}

/* Ends a request whose answer or error has been written, or whose caller has
   disconnected. event is recorded in the timeline. Does nothing once the request has
   ended. */
void
kcp_request_end (struct kcp_request *request, enum kcp_event event)
{
  int64_t took_ns = kcp_clock_monotonic_ns (request->router->clock) - request->started_ns;

  if (request->ended)
    return;
  request->ended = true;
  kcp_timeline_add (request->router->timeline, event, request->id,
                    request->backend != NULL ? request->backend->id : NULL,
                    took_ns / KCP_NS_PER_US);
  kcp_reply_finish (request->reply);
  if (!attempt_outlives_request (request))
    kcp_attempt_abandon (request);
  switch (request->kind)
    {
    case KCP_REQUEST_COMPLETION:
      release_completion (request);
      break;
    case KCP_REQUEST_SERVICE:
      break;
    }
  kcp_open_requests_remove (request->router->open_requests, request);
}

/* Adds the response headers that identify the request and the backend server that ran
   it. */
void
kcp_request_add_headers (struct kcp_request *request)
{
  kcp_reply_add_header (request->reply, "Kingcuppoint-Request", request->id);
  if (request->backend == NULL)
    return;
  kcp_reply_add_header (request->reply, "Kingcuppoint-Backend", request->backend->id);
  kcp_reply_add_header (request->reply, "Kingcuppoint-Data-Center",
                        g_quark_to_string (request->backend->data_center));
}

/* Returns true if the current attempt continues after the request has ended, because the
   outcome of a claimed call is recorded even if its caller has disconnected. */
static bool
attempt_outlives_request (const struct kcp_request *request)
{
  return request->kind == KCP_REQUEST_SERVICE && request->service.claim[0] != '\0';
}

static void
release_completion (struct kcp_request *request)
{
  kcp_isolate_release (request);
  kcp_admit_remove (request->router->admit, request);
  if (request->completion.timer != NULL)
    kcp_timer_cancel (request->completion.timer);
  request->completion.timer = NULL;
}

static void
write_failure (struct kcp_request *request, const struct kcp_error *error)
{
  json_t *document = kcp_problem_new (error, request->id);
  char *problem = json_dumps (document, JSON_COMPACT);

  if (kcp_reply_has_begun (request->reply))
    write_error_event (request, problem);
  else
    write_problem (request, error, problem);
  free (problem);
  json_decref (document);
}

/* Writes the error as an event of the stream, whose status has been sent already. */
static void
write_error_event (struct kcp_request *request, const char *problem)
{
  g_autofree char *event = g_strdup_printf ("event: error\ndata: %s\n\n", problem);

  kcp_reply_write (request->reply, kcp_str_from_c (event));
}

static void
write_problem (struct kcp_request *request, const struct kcp_error *error,
               const char *problem)
{
  g_autofree char *retry = g_strdup_printf ("%d", error->retry_after_s);

  kcp_request_add_headers (request);
  if (error->retry_after_s > 0)
    kcp_reply_add_header (request->reply, "Retry-After", retry);
  kcp_reply_begin (request->reply, kcp_error_http_status (error->code),
                   KCP_PROBLEM_CONTENT_TYPE);
  kcp_reply_write (request->reply, kcp_str_from_c (problem));
}
