/* Calls of plain services: the claim of a call that must not run twice, and its recorded
   outcome. All functions are called with the request's lock held. */
#ifndef KCP_REQUEST_SERVICE_H
#define KCP_REQUEST_SERVICE_H

#include "request/attempt.h"

void kcp_service_claim (struct kcp_request *request,
                        void (*on_claim_won) (struct kcp_request *request));
void kcp_service_release_claim (struct kcp_request *request);
void kcp_service_finish (struct kcp_request *request, struct kcp_attempt *attempt,
                         long status);
void kcp_service_clear (struct kcp_request *request);

#endif
