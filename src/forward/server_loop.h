/* Runs a libmicrohttpd daemon that has no threads of its own on the event loop. */
#ifndef KCP_FORWARD_SERVER_LOOP_H
#define KCP_FORWARD_SERVER_LOOP_H

#include <microhttpd.h>
#include <netinet/in.h>

#include "base/error.h"
#include "forward/loop.h"

struct kcp_server_loop
{
  struct kcp_loop *loop;
  struct MHD_Daemon *daemon;
  int daemon_epoll_fd; /* owned by the daemon */
  bool run_pending;    /* the daemon has to run in this iteration of the loop */
  int64_t last_run_ns; /* time of its last run */
};

bool kcp_server_loop_parse_address (const char *text, struct sockaddr_in *out,
                                    struct kcp_error *error);
bool kcp_server_loop_start (struct kcp_server_loop *server, struct kcp_loop *loop,
                            struct MHD_Daemon *daemon, const char *address,
                            struct kcp_error *error);
void kcp_server_loop_stop (struct kcp_server_loop *server);

#endif
