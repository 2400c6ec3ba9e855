/* Problem documents (RFC 9457). */
#ifndef KCP_REQUEST_PROBLEM_H
#define KCP_REQUEST_PROBLEM_H

#include <jansson.h>

#include "base/error.h"

#define KCP_PROBLEM_CONTENT_TYPE "application/problem+json"

json_t *kcp_problem_new (const struct kcp_error *error, const char *request_id);

#endif
