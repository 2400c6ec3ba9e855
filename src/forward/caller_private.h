/* Declarations shared by the caller_*.c files: the servers' connections and exchanges. */
#ifndef KCP_FORWARD_CALLER_PRIVATE_H
#define KCP_FORWARD_CALLER_PRIVATE_H

#include "forward/answer.h"
#include "forward/caller_server.h"
#include "forward/server_loop.h"
#include "policy/connection_memory.h"

/* One libmicrohttpd daemon. The memory of its connections is fixed, so another daemon
   takes over the address when the configuration allows longer heads. */
struct kcp_caller_listener
{
  struct kcp_caller_server *server;
  struct kcp_server_loop loop;
  struct kcp_connection_memory memory;
  bool replaced; /* it accepts no connections any more */
};

struct kcp_caller_server
{
  struct kcp_gateway *gateway;
  enum kcp_caller_kind kind;
  char *address;
  GPtrArray *listeners;   /* struct kcp_caller_listener; the last one accepts */
  GHashTable *callers;    /* set of struct kcp_caller */
  int64_t limits_version; /* configuration whose limits apply; 0: none */
};

/* One open connection of a caller. */
struct kcp_caller
{
  struct kcp_caller_listener *listener;
  int fd;
  struct MHD_Connection *connection;
  struct kcp_caller_exchange *exchange; /* in progress, or NULL */
  bool peer_closed;
  bool evicted;     /* closed to make room for another connection */
  int64_t since_ns; /* when it was accepted, or when its last request ended */
};

/* caller_exchange.c: callbacks of the daemon; the user pointer is the listener. */
void *kcp_caller_on_uri (void *user, const char *uri, struct MHD_Connection *connection);
enum MHD_Result
kcp_caller_on_access (void *user, struct MHD_Connection *connection, const char *url,
                      const char *method, const char *version, const char *data,
                      size_t *size, void **state);
void kcp_caller_on_completed (void *user, struct MHD_Connection *connection, void **state,
                              enum MHD_RequestTerminationCode code);
bool kcp_caller_exchange_is_started (const struct kcp_caller_exchange *exchange);
void kcp_caller_exchange_cancel (struct kcp_caller_exchange *exchange);
void
kcp_caller_exchange_give_up (struct kcp_caller_exchange *exchange, const char *reason);

/* caller_server.c */
struct kcp_caller *kcp_caller_of (struct MHD_Connection *connection);

#endif
