/* The requests, and the parts of prompts, that were in flight at servers that crashed, as
   known to this VM and, by the mesh, to the others. A request that crashes every server
   that runs it is blocked: its copies are refused until the block ends. If servers crash
   with each of several requests that share a part, all requests with that part are
   refused. Used on the event loop's thread only. */
#ifndef KCP_FORWARD_CRASH_SUSPECTS_H
#define KCP_FORWARD_CRASH_SUSPECTS_H

#include "forward/gateway.h"

struct kcp_quarantine *kcp_crash_suspects_new (enum kcp_suspect_kind kind);
void kcp_crash_suspects_add (struct kcp_gateway *gateway, const struct kcp_crash *crash);
void kcp_crash_suspects_merge (struct kcp_gateway *gateway, enum kcp_suspect_kind kind,
                               const struct kcp_quarantine_fact *fact);
void kcp_crash_suspects_restore (struct kcp_gateway *gateway, struct kcp_suspect suspect,
                                 int64_t remaining_ms);
void
kcp_crash_suspects_restore_fact (struct kcp_gateway *gateway, enum kcp_suspect_kind kind,
                                 const struct kcp_quarantine_fact *fact);
void kcp_crash_suspects_clear_request (struct kcp_gateway *gateway, uint64_t fingerprint);
void kcp_crash_suspects_add_error (struct kcp_gateway *gateway, uint64_t fingerprint);
void kcp_crash_suspects_clear_parts (struct kcp_gateway *gateway, const GArray *parts);
bool kcp_crash_suspects_is_suspect (struct kcp_gateway *gateway,
                                    const struct kcp_crash_causes *causes);
bool kcp_crash_suspects_find_blocked (struct kcp_gateway *gateway,
                                      const struct kcp_crash_causes *causes,
                                      struct kcp_suspect *blocked, int64_t *until_ns);

#endif
