/* The lifecycle of a caller's request, from its headers to the last byte of its
   answer. */
#ifndef KCP_REQUEST_REQUEST_H
#define KCP_REQUEST_REQUEST_H

#include "request/call.h"
#include "request/reply.h"
#include "request/router.h"

struct kcp_request;

struct kcp_request *kcp_request_start (struct kcp_router *router, struct kcp_call *call,
                                       struct kcp_reply *reply);
void kcp_request_cancel (struct kcp_request *request);
void kcp_request_unref (struct kcp_request *request);

#endif
