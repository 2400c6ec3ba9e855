/* Updates the registry periodically from the platform's VM list. */
#ifndef KCP_BACKEND_LIST_POLLER_H
#define KCP_BACKEND_LIST_POLLER_H

#include "backend/registry.h"

/* Called with each new list on the poller's thread. */
typedef void kcp_list_observer (void *user, const struct kcp_vm_list *list);

struct kcp_list_poller;

struct kcp_list_poller *
kcp_list_poller_start (struct kcp_registry *registry, const char *url, int64_t timeout_ms,
                       int64_t poll_ms, kcp_list_observer *observer, void *user);
void kcp_list_poller_stop (struct kcp_list_poller *poller);
bool kcp_list_poller_has_list (struct kcp_list_poller *poller);

#endif
