/* The functions of the two kinds of attempts: streams of engines and responses of plain
   services. All are called with the request's lock held. */
#ifndef KCP_REQUEST_ATTEMPT_KINDS_H
#define KCP_REQUEST_ATTEMPT_KINDS_H

#include "request/attempt.h"

void kcp_stream_attempt_init (struct kcp_attempt *attempt,
                              const struct kcp_attempt *interrupted);
void kcp_stream_attempt_send (struct kcp_attempt *attempt,
                              const struct kcp_fetch_events *events);
enum kcp_fetch_flow kcp_stream_attempt_on_data (struct kcp_attempt *attempt, long status,
                                                struct kcp_str data);
void kcp_stream_attempt_cancel (const struct kcp_attempt *attempt);
void kcp_stream_attempt_clear (struct kcp_attempt *attempt);

void kcp_plain_attempt_init (struct kcp_attempt *attempt);
void kcp_plain_attempt_send (struct kcp_attempt *attempt,
                             const struct kcp_fetch_events *events);
void kcp_plain_attempt_on_header (struct kcp_attempt *attempt, struct kcp_str line);
enum kcp_fetch_flow
kcp_plain_attempt_on_data (struct kcp_attempt *attempt, struct kcp_str data);
void kcp_plain_attempt_clear (struct kcp_attempt *attempt);

#endif
