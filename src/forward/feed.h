/* Follows the platform's store for the records that operators publish and for the list of
   servers. While the store is unreachable, the last known state stays in force. */
#ifndef KCP_FORWARD_FEED_H
#define KCP_FORWARD_FEED_H

#include "forward/gateway.h"

#define KCP_FEED_NOT_READABLE INT64_MAX

struct kcp_feed;

/* Called after a change of any state that orders to servers depend on. */
typedef void kcp_feed_changed (void *user);

/* Called once the servers' list has been read to its end; answered is false if the store
   did not answer. */
typedef void kcp_feed_servers_read (void *user, bool answered);

struct kcp_feed *
kcp_feed_start (struct kcp_gateway *gateway, const struct kcp_store *store,
                kcp_feed_changed *changed, void *user);
void kcp_feed_stop (struct kcp_feed *feed);
int64_t kcp_feed_readable_since_ns (const struct kcp_feed *feed);
void
kcp_feed_read_servers (struct kcp_feed *feed, kcp_feed_servers_read *done, void *user);

#endif
