/* Keeps libcurl from sending a request a second time by itself. libcurl does so, on a new
   connection, if a kept one closes before the first byte of the answer: the first server
   may have executed the request, and the answer to the second sending is not that of the
   first. Not thread-safe. */
#ifndef KCP_BASE_SEND_GUARD_H
#define KCP_BASE_SEND_GUARD_H

#include <stdbool.h>

struct kcp_send_guard
{
  bool may_repeat; /* a second sending is harmless, as of a read */
  bool sent;       /* a connection was ready, so the server may have received a byte */
  bool prevented;  /* libcurl would have sent the request again */
};

bool kcp_send_guard_allows (struct kcp_send_guard *guard);

#endif
