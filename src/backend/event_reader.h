/* Reads the cache events of all engines, each by long polling. */
#ifndef KCP_BACKEND_EVENT_READER_H
#define KCP_BACKEND_EVENT_READER_H

#include "backend/fetch.h"
#include "backend/registry.h"

/* One change of an engine's cache. */
struct kcp_cache_event
{
  uint64_t block;
  bool stored; /* false: evicted */
};

/* What one engine told at once, in order. */
struct kcp_cache_events
{
  char incarnation[KCP_INCARNATION_MAX];
  uint64_t gaps; /* breaks in the numbering, at each of which events were lost */
  GArray *list;  /* struct kcp_cache_event */
};

/* Told of events on a worker of the fetch pool. */
typedef void kcp_cache_observer (void *user, const struct kcp_backend *backend,
                                 const struct kcp_cache_events *events);

struct kcp_event_reader;

struct kcp_event_reader *
kcp_event_reader_start (struct kcp_registry *registry, struct kcp_fetch_pool *pool,
                        int64_t timeout_ms, kcp_cache_observer *observer, void *user);
void kcp_event_reader_stop (struct kcp_event_reader *reader);

#endif
