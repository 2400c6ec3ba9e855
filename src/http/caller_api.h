/* HTTP server of the API for callers. */
#ifndef KCP_HTTP_CALLER_API_H
#define KCP_HTTP_CALLER_API_H

#include "request/router.h"

struct kcp_caller_api;

struct kcp_caller_api *
kcp_caller_api_start (struct kcp_router *router, struct kcp_error *error);
void kcp_caller_api_stop (struct kcp_caller_api *api);
int kcp_caller_api_port (const struct kcp_caller_api *api);
unsigned kcp_caller_api_exchanges_in_flight (struct kcp_caller_api *api);

#endif
