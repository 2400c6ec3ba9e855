/* HTTP server of the API for callers. */
#ifndef KCP_HTTP_ENTRY_H
#define KCP_HTTP_ENTRY_H

#include "request/router.h"

struct kcp_entry;

struct kcp_entry *kcp_entry_start (struct kcp_router *router, struct kcp_error *error);
void kcp_entry_stop (struct kcp_entry *entry);
int kcp_entry_port (const struct kcp_entry *entry);
unsigned kcp_entry_open_exchanges (struct kcp_entry *entry);

#endif
