/* Table of the requests that were in flight on engines when these crashed. A request is a
   suspect after one crash and blocked after two.

   The caller passes the times in. Not thread-safe: the caller holds a lock. */
#ifndef KCP_POLICY_QUARANTINE_H
#define KCP_POLICY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

enum kcp_quarantine_state
{
  KCP_QUARANTINE_NONE,
  KCP_QUARANTINE_SUSPECT,
  KCP_QUARANTINE_BLOCKED
};

/* State of one request as exchanged between VMs. The higher rank takes precedence.
   Clearing a suspect raises the rank, so a cleared state overrides repeats of the older
   suspicion. A blocked request has the highest rank. */
struct kcp_quarantine_fact
{
  uint64_t fingerprint;
  uint64_t crash;        /* hash of the incarnation that crashed; 0 if cleared */
  uint32_t rank;         /* see kcp_quarantine_rank_state() */
  uint32_t remaining_ms; /* time until expiry; decreases as the fact is forwarded */
};

struct kcp_quarantine;

typedef void kcp_quarantine_visitor (void *user, const struct kcp_quarantine_fact *fact);

uint64_t kcp_quarantine_fingerprint (struct kcp_str team, struct kcp_str body);
struct kcp_quarantine *kcp_quarantine_new (size_t capacity, int64_t keep_ns);
void kcp_quarantine_free (struct kcp_quarantine *quarantine);
enum kcp_quarantine_state kcp_quarantine_rank_state (uint32_t rank);
enum kcp_quarantine_state kcp_quarantine_state (struct kcp_quarantine *quarantine,
                                                uint64_t fingerprint, int64_t now_ns);
void kcp_quarantine_add_crash (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                               uint64_t crash, int64_t now_ns);
void kcp_quarantine_add_completion (struct kcp_quarantine *quarantine,
                                    uint64_t fingerprint, int64_t now_ns);
bool kcp_quarantine_reserve_server (struct kcp_quarantine *quarantine, uint64_t server);
bool
kcp_quarantine_has_suspect (const struct kcp_quarantine *quarantine, uint64_t server);
void kcp_quarantine_release_server (struct kcp_quarantine *quarantine, uint64_t server);
bool kcp_quarantine_is_responsible (uint64_t server, const uint64_t *vms, size_t count,
                                    size_t own);
bool kcp_quarantine_must_wait (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                               int64_t now_ns);
bool kcp_quarantine_merge (struct kcp_quarantine *quarantine,
                           const struct kcp_quarantine_fact *fact, int64_t now_ns);
void kcp_quarantine_visit (struct kcp_quarantine *quarantine, int64_t now_ns,
                           kcp_quarantine_visitor *visitor, void *user);
size_t kcp_quarantine_count (const struct kcp_quarantine *quarantine);

#endif
