/* HTTP calls on the event loop, made by libcurl over persistent connections. A request is
   sent once, unless may_repeat allows libcurl more. Header and data callbacks only
   collect the answer; the done callback acts on it and may start new calls. */
#ifndef KCP_FORWARD_HTTP_CLIENT_H
#define KCP_FORWARD_HTTP_CLIENT_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/http_head.h"
#include "base/str.h"
#include "forward/loop.h"

enum kcp_http_end
{
  KCP_HTTP_COMPLETE,    /* the answer is complete according to HTTP */
  KCP_HTTP_UNSENT,      /* no connection was established, so no byte was sent */
  KCP_HTTP_INTERRUPTED, /* the connection ended early, also in order within the head, or
                           the answer was invalid */
  KCP_HTTP_TIMED_OUT,   /* total_ms elapsed */
  KCP_HTTP_END_COUNT
};

struct kcp_http_result
{
  enum kcp_http_end end;
  enum kcp_http_framing framing;
  long status;      /* 0: no whole head of an answer was received */
  bool reused;      /* the connection had carried an earlier call */
  int own_port;     /* of the connection on which it was sent last; 0: it was not sent */
  size_t body_sent; /* bytes of the body that libcurl has taken */
  bool kept_from_repeating; /* libcurl would have sent it again by itself */
  bool refused;             /* no process accepts connections at the address */
  const char *reason;       /* of an end other than KCP_HTTP_COMPLETE */
};

struct kcp_http_spec
{
  const char *method;
  const char *address;        /* IP:PORT */
  const char *target;         /* path and query as sent */
  struct curl_slist *headers; /* owned by the call */
  struct kcp_str body;        /* not copied; must stay valid until the call has ended */
  int64_t connect_ms;         /* timeout for establishing a connection */
  int64_t total_ms;           /* timeout for the entire call; 0: none */
  int64_t ack_timeout_ms;     /* timeout for data or keepalive probes without a TCP
                                 acknowledgement; 0: none */
  int64_t max_idle_s;  /* a connection that has been idle for longer is not reused */
  bool new_connection; /* do not reuse a connection */
  /* libcurl may send a request without a body again if a reused connection closes before
     the answer. */
  bool may_repeat;
  /* A body with more bytes ends the call as interrupted; 0: the data callback decides. */
  size_t max_body_bytes;
  /* An answer's head begins. The header lines so far were those of an interim answer. */
  void (*head_began) (void *user);
  void (*head_ended) (void *user); /* the head is complete; it is no interim answer's */
  void (*header) (void *user, struct kcp_str name, struct kcp_str value);
  /* Returns false to end the call as interrupted. */
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
void kcp_http_forbid_reuse (struct kcp_http_call *call);
void kcp_http_pause (struct kcp_http_call *call);
void kcp_http_unpause (struct kcp_http_call *call);
long kcp_http_status (const struct kcp_http_call *call);
const char *kcp_http_end_name (enum kcp_http_end end);

#endif
