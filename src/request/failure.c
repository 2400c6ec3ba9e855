#include "request/failure.h"

#define HTTP_STATUS_BAD_REQUEST   400
#define HTTP_STATUS_NOT_FOUND     404
#define HTTP_STATUS_CONFLICT      409
#define HTTP_STATUS_UNPROCESSABLE 422
#define HTTP_STATUS_TOO_MANY      429
#define HTTP_STATUS_UNAVAILABLE   503

static enum kcp_failure classify_error_response (const struct kcp_attempt_result *result);

/* Returns how an attempt failed, or KCP_FAILURE_NONE. The status of an error response is
   considered only if the response carries the attempt's id. */
enum kcp_failure
kcp_failure_classify (const struct kcp_attempt_result *result)
{
  if (result->complete)
    return KCP_FAILURE_NONE;
  if (result->fetch == KCP_FETCH_CONNECT_FAILED)
    return KCP_FAILURE_UNSENT;
  if (result->resumes && result->fetch == KCP_FETCH_IDLE_TIMEOUT && !result->echoed)
    return KCP_FAILURE_NO_RESPONSE;
  if (result->fetch != KCP_FETCH_COMPLETE || !result->echoed)
    return KCP_FAILURE_INTERRUPTED;
  return classify_error_response (result);
}

static enum kcp_failure
classify_error_response (const struct kcp_attempt_result *result)
{
  switch (result->status)
    {
    case HTTP_STATUS_BAD_REQUEST:
    case HTTP_STATUS_UNPROCESSABLE:
      return KCP_FAILURE_BAD_REQUEST;
    case HTTP_STATUS_NOT_FOUND:
      return result->resumes ? KCP_FAILURE_NO_STREAM : KCP_FAILURE_BAD_REQUEST;
    case HTTP_STATUS_CONFLICT:
      return KCP_FAILURE_MISMATCH;
    case HTTP_STATUS_TOO_MANY:
    case HTTP_STATUS_UNAVAILABLE:
      return KCP_FAILURE_REFUSED;
    default:
      return KCP_FAILURE_INTERRUPTED;
    }
}
