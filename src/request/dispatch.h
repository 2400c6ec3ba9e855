/* The state machine of requests: chooses a backend server, runs an attempt there, and
   ends the request with its answer or an error, or starts another attempt. All functions
   are called with the request's lock held, on any thread. */
#ifndef KCP_REQUEST_DISPATCH_H
#define KCP_REQUEST_DISPATCH_H

#include "request/admit.h"

extern const struct kcp_admit_events kcp_dispatch_admit_events;

void kcp_dispatch_request (struct kcp_request *request);

#endif
