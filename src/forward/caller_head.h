/* The head of a caller's request: what the router reads of it, what it passes on, and
   what concerns only the caller's connection. */
#ifndef KCP_FORWARD_CALLER_HEAD_H
#define KCP_FORWARD_CALLER_HEAD_H

#include <microhttpd.h>

#include "forward/dialect.h"

const char *kcp_caller_head_read (struct MHD_Connection *connection,
                                  const struct kcp_dialect *dialect, const char *method,
                                  struct kcp_inbound *inbound);

#endif
