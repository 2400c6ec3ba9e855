/* The requests that were in flight at servers that crashed, as known to this VM and, by
   the mesh, to the others. A request that crashes every server that runs it is blocked:
   its copies are refused until the block ends. Used on the event loop's thread only. */
#ifndef KCP_FORWARD_CRASH_SUSPECTS_H
#define KCP_FORWARD_CRASH_SUSPECTS_H

#include "forward/gateway.h"

struct kcp_quarantine *kcp_crash_suspects_new (void);
void kcp_crash_suspects_add (struct kcp_gateway *gateway, const struct kcp_crash *crash);
void kcp_crash_suspects_merge (struct kcp_gateway *gateway,
                               const struct kcp_quarantine_fact *fact);
void kcp_crash_suspects_restore (struct kcp_gateway *gateway, uint64_t fingerprint,
                                 int64_t remaining_ms);
void kcp_crash_suspects_clear (struct kcp_gateway *gateway, uint64_t fingerprint);
bool kcp_crash_suspects_is_suspect (struct kcp_gateway *gateway, uint64_t fingerprint);
bool kcp_crash_suspects_is_blocked (struct kcp_gateway *gateway, uint64_t fingerprint,
                                    int64_t *until_ns);

#endif
