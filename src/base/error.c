#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>

struct error_description
{
  unsigned status;
  const char *slug;
  const char *title;
};

static const struct error_description descriptions[KCP_ERR_COUNT] = {
  [KCP_OK] = { 200, "ok", "No error" },
  [KCP_ERR_BAD_REQUEST] = { 400, "bad-request", "The request is not valid" },
  [KCP_ERR_UNAUTHORIZED] = { 401, "unauthorized", "The key is missing or unknown" },
  [KCP_ERR_FORBIDDEN] = { 403, "forbidden", "The team may not use this profile" },
  [KCP_ERR_NOT_FOUND] = { 404, "not-found", "There is no such resource" },
  [KCP_ERR_METHOD_NOT_ALLOWED]
  = { 405, "method-not-allowed", "The method is not allowed here" },
  [KCP_ERR_TOO_LARGE] = { 413, "too-large", "The request is over a size limit" },
  [KCP_ERR_HEAD_TOO_LARGE]
  = { 431, "head-too-large", "The request's header lines are over a limit" },
  [KCP_ERR_KEY_REUSED]
  = { 422, "key-reused", "The idempotency key came with another body" },
  [KCP_ERR_STALE_BASE]
  = { 412, "stale-base", "The document has changed since that version" },
  [KCP_ERR_TRIMMED] = { 410, "trimmed", "The records asked for are no longer kept" },
  [KCP_ERR_NO_SERVER] = { 503, "no-place", "No allowed backend server is available" },
  [KCP_ERR_OVERLOADED]
  = { 429, "overloaded", "There is no capacity for this request now" },
  [KCP_ERR_DEADLINE] = { 504, "deadline", "The deadline cannot be met" },
  [KCP_ERR_QUARANTINED] = { 422, "quarantined", "This request crashed backend servers" },
  [KCP_ERR_NO_CONFIGURATION]
  = { 503, "no-configuration", "No current configuration is held" },
  [KCP_ERR_PLATFORM] = { 503, "platform", "The platform's service did not answer" },
  [KCP_ERR_PEER] = { 502, "peer", "Another VM did not answer" },
  [KCP_ERR_BACKEND] = { 502, "backend", "The backend server failed" },
  [KCP_ERR_IN_PROGRESS] = { 409, "in-progress", "A call with this key is still running" },
  [KCP_ERR_OUTCOME_UNKNOWN]
  = { 409, "outcome-unknown", "The outcome of this call is unknown" },
  [KCP_ERR_SHUTDOWN] = { 503, "shutdown", "This VM is shutting down" },
  [KCP_ERR_INTERNAL] = { 500, "internal", "An internal error occurred" },
  [KCP_ERR_KEY_EXPIRED]
  = { 422, "key-expired", "The idempotency key is older than keys are remembered" },
  [KCP_ERR_RECORDS_MISSING]
  = { 503, "records-missing", "Records of earlier calls are no longer kept" },
};

static const char *const execution_names[] = {
  [KCP_EXECUTION_NOT_RUN] = "not_run",
  [KCP_EXECUTION_UNKNOWN] = "unknown",
  [KCP_EXECUTION_RAN] = "ran",
};

/* Sets an error whose request was not run and that suggests no retry delay; callers
   change the members execution and retry_after_s where needed. error may be NULL. peer is
   NULL for a failure within this process. */
void
kcp_error_set (struct kcp_error *error, enum kcp_error_code code, const char *step,
               const char *peer, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return;
  *error = (struct kcp_error){ .code = code, .execution = KCP_EXECUTION_NOT_RUN };
  g_strlcpy (error->step, step, sizeof error->step);
  g_strlcpy (error->peer, peer ? peer : "", sizeof error->peer);
  va_start (args, format);
  (void)vsnprintf (error->detail, sizeof error->detail, format, args);
  va_end (args);
}

/* Returns the HTTP status code for an error. */
unsigned
kcp_error_http_status (enum kcp_error_code code)
{
  return descriptions[code].status;
}

/* Returns the last component of an error's problem type URI. */
const char *
kcp_error_slug (enum kcp_error_code code)
{
  return descriptions[code].slug;
}

/* Returns the title of an error as it appears in problem documents. */
const char *
kcp_error_title (enum kcp_error_code code)
{
  return descriptions[code].title;
}

/* Returns the name of an execution state as it appears in problem documents. */
const char *
kcp_execution_name (enum kcp_execution execution)
{
  return execution_names[execution];
}
