/* Reads the cache events of all engines by long polling. */
#ifndef KCP_BACKEND_EVENT_READER_H
#define KCP_BACKEND_EVENT_READER_H

#include "backend/fetch.h"
#include "backend/registry.h"

/* One change to the cache of an engine. */
struct kcp_cache_event
{
  uint64_t block;
  bool stored; /* false: evicted */
};

/* The cache events in one response of an engine, in order. */
struct kcp_cache_events
{
  char incarnation[KCP_INCARNATION_MAX];
  uint64_t gaps; /* gaps in the sequence numbers; events were lost at each */
  GArray *list;  /* struct kcp_cache_event */
};

/* Called with the events of one response on a worker thread of the fetch pool. */
typedef void kcp_cache_observer (void *user, const struct kcp_backend *backend,
                                 const struct kcp_cache_events *events);

struct kcp_event_reader;

struct kcp_event_reader *
kcp_event_reader_start (struct kcp_registry *registry, struct kcp_fetch_pool *pool,
                        int64_t timeout_ms, kcp_cache_observer *observer, void *user);
void kcp_event_reader_stop (struct kcp_event_reader *reader);

#endif
