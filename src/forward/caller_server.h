/* The HTTP server for callers, run by the event loop, and small servers beside it that
   answer one path with a text. */
#ifndef KCP_FORWARD_CALLER_SERVER_H
#define KCP_FORWARD_CALLER_SERVER_H

#include "base/error.h"
#include "forward/gateway.h"

struct kcp_caller_server;
struct kcp_text_server;

/* Gives status and text of a side server's answer. */
typedef unsigned kcp_text_answer (void *user, GString *text);

struct kcp_caller_server *
kcp_caller_server_open (struct kcp_gateway *gateway, const char *address,
                        struct kcp_error *error);
void kcp_caller_server_close_idle (struct kcp_caller_server *server);
void kcp_caller_server_close (struct kcp_caller_server *server);
struct kcp_text_server *
kcp_text_server_open (struct kcp_loop *loop, const char *address, const char *path,
                      kcp_text_answer *answer, void *user, struct kcp_error *error);
void kcp_text_server_close (struct kcp_text_server *server);

#endif
