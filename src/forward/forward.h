/* One caller's request from its arrival to its final answer: matching it against the
   routes, its attempts at backend servers, and the answer. Plain and streamed answers
   share one state machine. */
#ifndef KCP_FORWARD_FORWARD_H
#define KCP_FORWARD_FORWARD_H

#include "forward/answer.h"
#include "forward/gateway.h"

struct kcp_forward;

struct kcp_forward *
kcp_forward_start (struct kcp_gateway *gateway, struct kcp_inbound *inbound,
                   struct kcp_answer *answer);
void kcp_forward_give_up (struct kcp_forward *forward, const char *reason);
void kcp_forward_free (struct kcp_forward *forward);

#endif
