/* The exchange between VMs: who they are, from a list in the platform's store and from
   each other's messages, and what each sees of the servers, so that all place by the
   whole load and know what each server keeps, though one VM reads it. */
#ifndef KCP_FORWARD_MESH_H
#define KCP_FORWARD_MESH_H

#include "base/error.h"
#include "forward/gateway.h"

struct kcp_mesh;
struct kcp_mesh_records;

/* Takes in what another VM has read of the servers' list. */
typedef void kcp_mesh_take_records (void *user, const struct kcp_mesh_records *records);

struct kcp_mesh *kcp_mesh_start (struct kcp_gateway *gateway,
                                 const struct kcp_store *store, struct kcp_error *error);
void kcp_mesh_sum (struct kcp_mesh *mesh);
void kcp_mesh_leave (struct kcp_mesh *mesh);
void kcp_mesh_stop (struct kcp_mesh *mesh);
void kcp_mesh_announce_prompt (struct kcp_mesh *mesh, const struct kcp_server *server,
                               uint64_t part, int64_t prefill_tokens_pending);
void kcp_mesh_announce_loading (struct kcp_mesh *mesh, const struct kcp_server *server,
                                int64_t loading_ms);
void kcp_mesh_announce_loaded (struct kcp_mesh *mesh, const struct kcp_server *server);
void kcp_mesh_on_records (struct kcp_mesh *mesh, kcp_mesh_take_records *take, void *user);
void kcp_mesh_tell_records (struct kcp_mesh *mesh, struct kcp_mesh_records *records);
unsigned kcp_mesh_count (const struct kcp_mesh *mesh);
bool kcp_mesh_is_first (const struct kcp_mesh *mesh);
bool kcp_mesh_is_reader (const struct kcp_mesh *mesh, const struct kcp_server *server);

#endif
