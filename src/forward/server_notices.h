/* What servers say in their answers of the requests that they take, as known to this VM
   and, by the mesh, to the others. Each kind of notice is one row of a table. Used on the
   event loop's thread only. */
#ifndef KCP_FORWARD_SERVER_NOTICES_H
#define KCP_FORWARD_SERVER_NOTICES_H

#include "forward/gateway.h"

enum kcp_notice_kind
{
  KCP_NOTICE_LIMIT,   /* a limit of requests a second, or that it was lifted */
  KCP_NOTICE_BACKOFF, /* it wants no requests for a time */
  KCP_NOTICE_LEAVING, /* it is about to end */
  KCP_NOTICE_KINDS
};

/* What one VM knows of a server. */
struct kcp_server_notice
{
  uint64_t server; /* see kcp_server_key() */
  enum kcp_notice_kind kind;
  uint32_t value;  /* depends on the kind */
  uint32_t age_ms; /* time since the server said so */
  uint32_t needs;  /* recent requests of the telling VM; only earlier builds use them */
};

void
kcp_server_notices_hear_limit (struct kcp_gateway *gateway, struct kcp_server *server,
                               const struct kcp_answer_head *head, int64_t sent_ns);
void kcp_server_notices_hear_backoff (struct kcp_gateway *gateway,
                                      struct kcp_server *server, int64_t retry_after_ms);
void
kcp_server_notices_hear_leaving (struct kcp_gateway *gateway, struct kcp_server *server);
bool
kcp_server_notices_read (struct kcp_gateway *gateway, const struct kcp_server *server,
                         enum kcp_notice_kind kind, struct kcp_server_notice *notice);
void kcp_server_notices_apply (struct kcp_gateway *gateway,
                               const struct kcp_server_notice *notice);
void
kcp_server_notices_share_limit (struct kcp_gateway *gateway, struct kcp_server *server);

#endif
