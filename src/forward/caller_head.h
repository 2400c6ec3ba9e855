/* Parses the head of a caller's request: separates the headers that the router reads,
   those that it forwards, and the hop-by-hop headers, which it drops. */
#ifndef KCP_FORWARD_CALLER_HEAD_H
#define KCP_FORWARD_CALLER_HEAD_H

#include <microhttpd.h>

#include "forward/dialect.h"

const char *kcp_caller_head_read (struct MHD_Connection *connection,
                                  const struct kcp_dialect *dialect, const char *method,
                                  struct kcp_inbound *inbound);

#endif
