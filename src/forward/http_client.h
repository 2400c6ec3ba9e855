/* HTTP calls on the event loop, by libcurl, with kept connections. A request is never
   sent a second time by the library. Header and data callbacks only gather; what follows
   from an answer is decided in the done callback, from which new calls may be started. */
#ifndef KCP_FORWARD_HTTP_CLIENT_H
#define KCP_FORWARD_HTTP_CLIENT_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "forward/loop.h"

enum kcp_http_end
{
  KCP_HTTP_COMPLETE,    /* the answer ended as HTTP says it must */
  KCP_HTTP_UNSENT,      /* no connection was made, so no byte was sent */
  KCP_HTTP_INTERRUPTED, /* the connection ended early, or its bytes were no answer */
  KCP_HTTP_TIMED_OUT,   /* the limit of the whole call passed */
  KCP_HTTP_END_COUNT
};

struct kcp_http_result
{
  enum kcp_http_end end;
  long status;        /* 0: no answer began */
  bool reused;        /* the call went over a connection that had carried another */
  const char *reason; /* of an end that is not whole */
};

struct kcp_http_spec
{
  const char *method;
  const char *address;        /* IP:PORT */
  const char *target;         /* path and query as they go on the wire */
  struct curl_slist *headers; /* taken over */
  struct kcp_str body;        /* must live until the call is done */
  int64_t connect_ms;         /* limit for the connection */
  int64_t total_ms;           /* limit for the whole call; 0: none */
  int64_t ack_timeout_ms; /* limit for bytes or probes without acknowledgement; 0: none */
  int64_t max_idle_s;     /* age of idleness from which a connection is not taken */
  bool new_connection;    /* take no kept connection */
  void (*header) (void *user, struct kcp_str name, struct kcp_str value);
  /* False ends the call as broken. */
  bool (*data) (void *user, struct kcp_str bytes);
  void (*done) (void *user, const struct kcp_http_result *result);
  void *user;
};

struct kcp_http_client;
struct kcp_http_call;

struct kcp_http_client *kcp_http_client_new (struct kcp_loop *loop);
void kcp_http_client_free (struct kcp_http_client *client);
struct kcp_http_call *
kcp_http_start (struct kcp_http_client *client, const struct kcp_http_spec *spec);
void kcp_http_cancel (struct kcp_http_call *call);
long kcp_http_status (const struct kcp_http_call *call);
const char *kcp_http_end_name (enum kcp_http_end end);

#endif
