/* libmicrohttpd servers with the limits and TLS files of the settings. */
#ifndef KCP_HTTP_LISTEN_H
#define KCP_HTTP_LISTEN_H

#include <microhttpd.h>

#include "base/error.h"

struct kcp_listen
{
  const char *address;
  int port; /* 0: chosen by the kernel */
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

/* A server that listens; zeroed before its start. The TLS texts are NULL without TLS. */
struct kcp_listener
{
  struct MHD_Daemon *daemon;
  char *certificate;
  char *key;
};

bool kcp_listener_start (struct kcp_listener *listener, const struct kcp_listen *listen,
                         struct kcp_error *error);
void kcp_listener_stop (struct kcp_listener *listener);
int kcp_listener_port (const struct kcp_listener *listener);

#endif
