/* The sockets of the HTTP client's connections. libcurl does not tell which one it is
   about to use again, only its addresses. Used on the event loop's thread only. */
#ifndef KCP_FORWARD_HTTP_SOCKETS_H
#define KCP_FORWARD_HTTP_SOCKETS_H

#include <stdbool.h>

struct kcp_http_sockets;

/* The addresses of a connection. */
struct kcp_http_connection
{
  const char *address; /* of the peer */
  int port;
  int own_port;
};

struct kcp_http_sockets *kcp_http_sockets_new (void);
void kcp_http_sockets_free (struct kcp_http_sockets *sockets);
void kcp_http_sockets_add (struct kcp_http_sockets *sockets,
                           const struct kcp_http_connection *connection, int fd);
bool kcp_http_sockets_are_quiet (const struct kcp_http_sockets *sockets,
                                 const struct kcp_http_connection *connection);

#endif
