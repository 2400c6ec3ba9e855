/* Ends a request: with an answer that has been written, with an error, or because the
   caller has disconnected. All functions must be called with the request's lock held. */
#ifndef KCP_REQUEST_REQUEST_END_H
#define KCP_REQUEST_REQUEST_END_H

#include "base/error.h"
#include "base/timeline.h"

struct kcp_request;

void kcp_request_fail (struct kcp_request *request, const struct kcp_error *error);
void kcp_request_end (struct kcp_request *request, enum kcp_event event);
void kcp_request_add_headers (struct kcp_request *request);

#endif
