/* A completion request, from the parsing of its prompt to its answer, except for the
   choice of the engine. All functions are called with the request's lock held. */
#ifndef KCP_REQUEST_COMPLETION_H
#define KCP_REQUEST_COMPLETION_H

#include "backend/engine_adapter.h"
#include "request/attempt.h"

struct kcp_error;

bool kcp_completion_init (struct kcp_request *request, struct kcp_error *error);
void kcp_completion_clear (struct kcp_request *request);
void kcp_completion_record_answer (struct kcp_request *request,
                                   const struct kcp_attempt *attempt);
void kcp_completion_record_mismatch (struct kcp_request *request,
                                     const struct kcp_attempt *attempt);
void kcp_completion_fail_deadline (struct kcp_request *request);

bool kcp_completion_on_chunk (struct kcp_request *request, struct kcp_str data,
                              const struct kcp_engine_chunk *chunk, bool changed);
void kcp_completion_write_heartbeat (struct kcp_request *request);
void kcp_completion_finish (struct kcp_request *request);

#endif
