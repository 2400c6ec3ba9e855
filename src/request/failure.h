/* What the end of an attempt tells. */
#ifndef KCP_REQUEST_FAILURE_H
#define KCP_REQUEST_FAILURE_H

#include <stdbool.h>

#include "backend/fetch.h"

enum kcp_failure
{
  KCP_FAILURE_NONE,        /* the answer is whole */
  KCP_FAILURE_UNSENT,      /* no connection */
  KCP_FAILURE_REFUSED,     /* the backend server has no place */
  KCP_FAILURE_MISMATCH,    /* the engine is another incarnation or has other weights */
  KCP_FAILURE_BAD_REQUEST, /* no backend server takes such a body */
  KCP_FAILURE_NO_STREAM,   /* the engine holds no such stream any more */
  KCP_FAILURE_SILENT,      /* a new connection to a known stream is silent too */
  KCP_FAILURE_BROKEN       /* anything else: the answer stopped */
};

struct kcp_attempt_end
{
  enum kcp_fetch_result fetch;
  long status;  /* HTTP status; 0 if there was none */
  bool echoed;  /* the response named this attempt */
  bool whole;   /* the answer is complete */
  bool resumes; /* the attempt read on a stream that an earlier one had started */
};

enum kcp_failure kcp_failure_classify (const struct kcp_attempt_end *end);

#endif
