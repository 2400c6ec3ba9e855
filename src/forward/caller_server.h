/* The HTTP server for callers, and small HTTP servers that answer a single path with a
   text, such as metrics and readiness. All run on the event loop. */
#ifndef KCP_FORWARD_CALLER_SERVER_H
#define KCP_FORWARD_CALLER_SERVER_H

#include "base/error.h"
#include "forward/gateway.h"

struct kcp_caller_server;
struct kcp_caller_exchange;
struct kcp_text_server;

enum kcp_caller_kind
{
  KCP_CALLERS,
  KCP_CALLING_VMS /* other VMs that pass requests on */
};

/* Appends the body of a text server's answer to text. Returns the HTTP status. */
typedef unsigned kcp_text_answer (void *user, GString *text);

struct kcp_caller_server *
kcp_caller_server_open (struct kcp_gateway *gateway, enum kcp_caller_kind kind,
                        const char *address, struct kcp_error *error);
void kcp_caller_server_close_idle (struct kcp_caller_server *server);
void
kcp_caller_server_end_requests (struct kcp_caller_server *server, const char *reason);
void kcp_caller_server_close (struct kcp_caller_server *server);
struct kcp_text_server *
kcp_text_server_open (struct kcp_loop *loop, const char *address, const char *path,
                      kcp_text_answer *answer, void *user, struct kcp_error *error);
void kcp_text_server_close (struct kcp_text_server *server);

#endif
