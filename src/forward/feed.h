/* Follows the platform's store: what operators publish and which servers there are. Keeps
   what it knows while the store is away. */
#ifndef KCP_FORWARD_FEED_H
#define KCP_FORWARD_FEED_H

#include "forward/gateway.h"

struct kcp_feed;

/* Called after anything that orders depend on has changed. */
typedef void kcp_feed_changed (void *user);

struct kcp_feed *
kcp_feed_start (struct kcp_gateway *gateway, const struct kcp_store *store,
                kcp_feed_changed *changed, void *user);
void kcp_feed_stop (struct kcp_feed *feed);

#endif
