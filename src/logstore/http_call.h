/* A blocking HTTP call with JSON bodies, made with libcurl. */
#ifndef KCP_LOGSTORE_HTTP_CALL_H
#define KCP_LOGSTORE_HTTP_CALL_H

#include <jansson.h>
#include <stdbool.h>

#include "base/error.h"

struct kcp_http_call
{
  const char *method; /* NULL: GET */
  const char *url;
  json_t *body;       /* borrowed; NULL: no body */
  const char *bearer; /* token for the Authorization header; NULL: no such header */
  const char *header; /* an additional header line, or NULL */
  long timeout_ms;
};

struct kcp_http_answer
{
  long status;
  json_t *body; /* NULL if the answer is not JSON */
  char etag[64];
};

bool kcp_http_call_run (const struct kcp_http_call *call, struct kcp_http_answer *answer,
                        struct kcp_error *error);
void kcp_http_answer_clear (struct kcp_http_answer *answer);

#endif
