/* Requests that were in flight on crashing engines, as known to this VM and, through
   replicated facts, to the other VMs. Thread-safe; its lock is taken after the locks of
   requests. */
#ifndef KCP_REQUEST_SUSPECTS_H
#define KCP_REQUEST_SUSPECTS_H

#include "base/clock.h"
#include "policy/quarantine.h"

/* Publishes a changed fact to the other VMs. Called without the table's lock held. */
typedef void kcp_suspects_publisher (void *user, const struct kcp_quarantine_fact *fact);

struct kcp_suspects;

struct kcp_suspects *kcp_suspects_new (const struct kcp_clock *clock, int64_t keep_ns);
void kcp_suspects_free (struct kcp_suspects *suspects);
void kcp_suspects_set_publisher (struct kcp_suspects *suspects,
                                 kcp_suspects_publisher *publisher, void *user);
enum kcp_quarantine_state
kcp_suspects_state (struct kcp_suspects *suspects, uint64_t fingerprint);
void kcp_suspects_add_crash (struct kcp_suspects *suspects, uint64_t fingerprint,
                             uint64_t incarnation);
void kcp_suspects_add_completion (struct kcp_suspects *suspects, uint64_t fingerprint);
bool kcp_suspects_reserve_server (struct kcp_suspects *suspects, uint64_t server);
bool kcp_suspects_has_suspect (struct kcp_suspects *suspects, uint64_t server);
void kcp_suspects_release_server (struct kcp_suspects *suspects, uint64_t server);
void kcp_suspects_merge (struct kcp_suspects *suspects,
                         const struct kcp_quarantine_fact *fact);

#endif
