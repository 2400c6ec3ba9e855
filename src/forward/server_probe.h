/* Finds out whether a process listens at a server's address: opens a TCP connection and
   closes it at once, without a request. */
#ifndef KCP_FORWARD_SERVER_PROBE_H
#define KCP_FORWARD_SERVER_PROBE_H

#include "forward/loop.h"

enum kcp_probe_result
{
  KCP_PROBE_CONNECTED,
  KCP_PROBE_REFUSED,  /* no process listens there */
  KCP_PROBE_NO_ANSWER /* neither within the timeout, or the probe could not be made */
};

typedef void kcp_probe_done (void *user, enum kcp_probe_result result);

struct kcp_server_probe;

struct kcp_server_probe *
kcp_server_probe_start (struct kcp_loop *loop, const char *address, int64_t timeout_ms,
                        kcp_probe_done *done, void *user);
void kcp_server_probe_cancel (struct kcp_server_probe *probe);

#endif
