/* Starts and stops libmicrohttpd servers with the given limits and TLS files. */
#ifndef KCP_HTTP_LISTENER_H
#define KCP_HTTP_LISTENER_H

#include <microhttpd.h>

#include "base/error.h"

struct kcp_listener_options
{
  const char *address;
  int port; /* 0: the kernel chooses a free port */
  unsigned threads;
  unsigned max_connections;
  size_t max_header_bytes;
  unsigned idle_timeout_s;
  const char *certificate_path; /* NULL: no TLS */
  const char *key_path;
  MHD_AccessHandlerCallback access;
  MHD_RequestCompletedCallback completed;
  void *user;
};

/* A running server. The caller zeroes it before kcp_listener_start(). certificate and key
   hold the PEM text of the TLS files and are NULL without TLS. */
struct kcp_listener
{
  struct MHD_Daemon *daemon;
  size_t connection_bytes; /* memory of each connection */
  char *certificate;
  char *key;
};

bool
kcp_listener_start (struct kcp_listener *listener,
                    const struct kcp_listener_options *options, struct kcp_error *error);
bool kcp_listener_can_answer (const struct kcp_listener *listener,
                              struct MHD_Connection *connection, struct kcp_error *error);
void kcp_listener_stop (struct kcp_listener *listener);
int kcp_listener_port (const struct kcp_listener *listener);

#endif
