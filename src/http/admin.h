/* HTTP server of the operators' admin API. */
#ifndef KCP_HTTP_ADMIN_H
#define KCP_HTTP_ADMIN_H

#include "logstore/platform_log.h"
#include "request/router.h"

struct kcp_admin;

struct kcp_admin *kcp_admin_start (struct kcp_router *router,
                                   struct kcp_platform_log *log, struct kcp_error *error);
void kcp_admin_stop (struct kcp_admin *admin);
int kcp_admin_port (const struct kcp_admin *admin);

#endif
