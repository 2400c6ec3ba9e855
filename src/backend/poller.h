/* An epoll loop for a libcurl multi handle and other file descriptors. The cost of an
   iteration depends on the number of events, not on the number of open connections. */
#ifndef KCP_BACKEND_POLLER_H
#define KCP_BACKEND_POLLER_H

#include <curl/curl.h>

#include "base/clock.h"

struct kcp_poller;

/* Called with the epoll events that occurred on a watched file descriptor. */
typedef void kcp_poller_handler (void *user, uint32_t events);

struct kcp_poller *kcp_poller_new (const struct kcp_clock *clock);
void kcp_poller_free (struct kcp_poller *poller);
CURLM *kcp_poller_multi (struct kcp_poller *poller);
void kcp_poller_watch (struct kcp_poller *poller, int fd, uint32_t events,
                       kcp_poller_handler *handler, void *user);
void kcp_poller_unwatch (struct kcp_poller *poller, int fd);
void kcp_poller_wake (struct kcp_poller *poller);
void kcp_poller_run_once (struct kcp_poller *poller, int64_t timeout_ms);

#endif
