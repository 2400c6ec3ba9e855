/* Requests that were in flight on crashing engines, as known to this VM and, through
   replicated facts, to the other VMs. Thread-safe; its lock is taken after the locks of
   requests. */
#ifndef KCP_REQUEST_SUSPECTS_H
#define KCP_REQUEST_SUSPECTS_H

#include "base/clock.h"
#include "policy/quarantine.h"

/* Called once a fact is in force at the other VMs, or they do not answer. */
typedef void kcp_suspects_delivered (void *user);

/* How facts reach the other VMs. Both functions are called without the table's lock
   held. */
struct kcp_suspects_sharing
{
  /* Publishes a changed fact. */
  void (*publish) (void *user, const struct kcp_quarantine_fact *fact);
  /* Delivers a fact, and calls delivered from another thread. */
  void (*deliver) (void *user, const struct kcp_quarantine_fact *fact,
                   kcp_suspects_delivered *delivered, void *delivered_user);
  void *user;
};

struct kcp_suspects;

struct kcp_suspects *kcp_suspects_new (const struct kcp_clock *clock, int64_t keep_ns);
void kcp_suspects_free (struct kcp_suspects *suspects);
void kcp_suspects_share (struct kcp_suspects *suspects,
                         const struct kcp_suspects_sharing *sharing);
bool kcp_suspects_deliver (struct kcp_suspects *suspects, uint64_t fingerprint,
                           kcp_suspects_delivered *delivered, void *user);
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
