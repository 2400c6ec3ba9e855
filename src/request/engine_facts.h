/* State of engines that this VM keeps in addition to their load reports: the cache index
   and the concurrency limits. Thread-safe; its lock is taken after the registry's. */
#ifndef KCP_REQUEST_ENGINE_FACTS_H
#define KCP_REQUEST_ENGINE_FACTS_H

#include <glib.h>

#include "backend/event_reader.h"
#include "backend/registry.h"

struct kcp_engine_facts;

struct kcp_engine_facts *
kcp_engine_facts_new (int64_t index_entries, int64_t concurrency);
void kcp_engine_facts_free (struct kcp_engine_facts *facts);
uint64_t kcp_engine_facts_hash_incarnation (const char *incarnation);
int64_t kcp_engine_facts_limit (struct kcp_engine_facts *facts,
                                const struct kcp_backend_view *view);
int64_t
kcp_engine_facts_count_leading (struct kcp_engine_facts *facts,
                                const struct kcp_backend_view *view, const GArray *chain);
void kcp_engine_facts_add_chain (struct kcp_engine_facts *facts, uint64_t server,
                                 uint64_t incarnation, const GArray *chain);
void kcp_engine_facts_apply_events (void *user, const struct kcp_backend *backend,
                                    const struct kcp_cache_events *events);
void kcp_engine_facts_clear_waiting (struct kcp_engine_facts *facts);
void kcp_engine_facts_add_waiting (struct kcp_engine_facts *facts, uint64_t server);
int64_t kcp_engine_facts_waiting (struct kcp_engine_facts *facts, uint64_t server);

#endif
