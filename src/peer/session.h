/* Replay protection for messages between VMs. Each sending process numbers its messages,
   and acknowledgements and chunks also name the process they are addressed to. */
#ifndef KCP_PEER_SESSION_H
#define KCP_PEER_SESSION_H

#include "peer/message.h"

struct kcp_sessions;

struct kcp_sessions *kcp_sessions_new (const char *id, uint64_t session);
void kcp_sessions_free (struct kcp_sessions *sessions);
void
kcp_sessions_fill_header (struct kcp_sessions *sessions, struct kcp_message *message);
bool
kcp_sessions_accept (struct kcp_sessions *sessions, const struct kcp_message *message);

#endif
