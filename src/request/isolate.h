/* Isolates completions that may crash engines. A VM runs at most one of them on an
   engine at a time, and each engine has one VM that is responsible for running them. All
   functions must be called with the request's lock held. */
#ifndef KCP_REQUEST_ISOLATE_H
#define KCP_REQUEST_ISOLATE_H

#include "request/request_private.h"

/* How an attempt failed, as far as it may indicate a crash. */
enum kcp_isolate_failure
{
  KCP_ISOLATE_INTERRUPTED, /* the engine may have run it and stopped answering */
  KCP_ISOLATE_DEAD, /* the engine accepts no connection or has another incarnation */
  KCP_ISOLATE_OTHER
};

void kcp_isolate_init (struct kcp_request *request);
bool kcp_isolate_is_blocked (struct kcp_request *request, struct kcp_error *error);
GArray *kcp_isolate_live_vms (struct kcp_request *request);
bool kcp_isolate_is_responsible (const GArray *vms, uint64_t server);
bool kcp_isolate_reserve (struct kcp_request *request, uint64_t server);
void kcp_isolate_release (struct kcp_request *request);
void kcp_isolate_fail (struct kcp_request *request, const struct kcp_error *error);
void kcp_isolate_on_failure (struct kcp_request *request, uint64_t server,
                             enum kcp_isolate_failure failure);

#endif
