/* Measures what the head of a request takes of its connection's memory. */
#ifndef KCP_HTTP_HEAD_SIZE_H
#define KCP_HTTP_HEAD_SIZE_H

#include <microhttpd.h>

#include "policy/connection_memory.h"

struct kcp_head_size kcp_head_size_measure (struct MHD_Connection *connection);

#endif
