/* Watches the paths to servers that were not reached: probes them, so that requests need
   not, until they are reached again. Used on the event loop's thread only. */
#ifndef KCP_FORWARD_REACH_WATCH_H
#define KCP_FORWARD_REACH_WATCH_H

#include "forward/loop.h"
#include "forward/servers.h"
#include "policy/reach.h"

struct kcp_reach_watch;

struct kcp_reach_watch *
kcp_reach_watch_new (struct kcp_loop *loop, const struct kcp_servers *servers);
void kcp_reach_watch_free (struct kcp_reach_watch *watch);
void
kcp_reach_watch_on_failure (struct kcp_reach_watch *watch, struct kcp_server *server);
void
kcp_reach_watch_on_contact (struct kcp_reach_watch *watch, struct kcp_server *server);
enum kcp_paths
kcp_reach_watch_paths (const struct kcp_reach_watch *watch, const char *service);

#endif
