/* Polls the load reports of all engines independently of each other. */
#ifndef KCP_BACKEND_LOAD_POLLER_H
#define KCP_BACKEND_LOAD_POLLER_H

#include "backend/fetch.h"
#include "backend/registry.h"

struct kcp_load_poller;

struct kcp_load_poller *
kcp_load_poller_start (struct kcp_registry *registry, struct kcp_fetch_pool *pool,
                       int64_t timeout_ms, int64_t poll_ms);
void kcp_load_poller_stop (struct kcp_load_poller *poller);

#endif
