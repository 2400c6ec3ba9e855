/* Classifies the ends of attempts. */
#ifndef KCP_REQUEST_FAILURE_H
#define KCP_REQUEST_FAILURE_H

#include <stdbool.h>

#include "backend/fetch.h"

enum kcp_failure
{
  KCP_FAILURE_NONE,        /* the answer is complete */
  KCP_FAILURE_UNSENT,      /* no connection was made */
  KCP_FAILURE_REFUSED,     /* the backend server has no free slot */
  KCP_FAILURE_MISMATCH,    /* the engine has another incarnation or other weights */
  KCP_FAILURE_BAD_REQUEST, /* no backend server accepts this body */
  KCP_FAILURE_NO_STREAM,   /* the engine no longer has the stream */
  KCP_FAILURE_NO_RESPONSE, /* an attempt to resume a stream received no data */
  KCP_FAILURE_INTERRUPTED  /* any other failure: the answer was cut short */
};

/* How an attempt ended. */
struct kcp_attempt_result
{
  enum kcp_fetch_result fetch;
  long status;   /* HTTP status; 0 if no response was received */
  bool echoed;   /* the response carried the attempt's id */
  bool complete; /* the answer is complete */
  bool resumes;  /* the attempt resumed the stream of an earlier one */
};

enum kcp_failure kcp_failure_classify (const struct kcp_attempt_result *result);

#endif
