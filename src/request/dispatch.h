/* One state machine for all requests: a backend server is chosen, an attempt runs there,
   and its end is followed by the answer, another attempt or an error. Called with the
   request's lock held, on any thread. */
#ifndef KCP_REQUEST_DISPATCH_H
#define KCP_REQUEST_DISPATCH_H

#include "request/admit.h"

extern const struct kcp_admit_events kcp_dispatch_admit_events;

void kcp_dispatch_request (struct kcp_request *request);

#endif
