/* The table of backend servers, maintained from the platform's VM list and from load
   reports. */
#ifndef KCP_BACKEND_REGISTRY_H
#define KCP_BACKEND_REGISTRY_H

#include <jansson.h>

#include "backend/backend.h"
#include "base/clock.h"

struct kcp_registry;

/* A consistent copy of the variable members of one server, with a reference to it. */
struct kcp_backend_view
{
  struct kcp_backend *backend;
  enum kcp_backend_state state;
  struct kcp_backend_report report;
  int64_t in_flight;
  int64_t sent_tokens;
  int64_t net_attempts_since_report;
};

/* Called when a server may be able to accept more work. Runs on any thread, without the
   lock of the registry. */
typedef void kcp_registry_observer (void *user);

struct kcp_registry *kcp_registry_new (const struct kcp_clock *clock);
void kcp_registry_free (struct kcp_registry *registry);
void kcp_registry_set_observer (struct kcp_registry *registry,
                                kcp_registry_observer *observer, void *user);
void
kcp_registry_apply_list (struct kcp_registry *registry, const struct kcp_vm_list *list);
void
kcp_registry_record_report (struct kcp_registry *registry, struct kcp_backend *backend,
                            const struct kcp_backend_report *report);
void kcp_registry_copy_report (struct kcp_registry *registry,
                               const struct kcp_backend *backend,
                               struct kcp_backend_report *report);
void kcp_registry_set_state (struct kcp_registry *registry, struct kcp_backend *backend,
                             enum kcp_backend_state state);
void kcp_registry_begin_attempt (struct kcp_registry *registry,
                                 struct kcp_backend *backend, int64_t uncached_tokens);
void
kcp_registry_end_attempt (struct kcp_registry *registry, struct kcp_backend *backend);
GArray *kcp_registry_view (struct kcp_registry *registry, enum kcp_member_kind kind);
json_t *kcp_registry_to_json (struct kcp_registry *registry);
json_t *kcp_registry_models (struct kcp_registry *registry);

#endif
