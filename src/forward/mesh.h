/* Exchanges state between VMs. VMs find each other through a list in the platform's
   store and through their messages. Each VM sends its view of the servers, so that every
   VM places requests by the total load of a server and knows which prompt parts a server
   has cached, although only one VM reads that server's cache events. */
#ifndef KCP_FORWARD_MESH_H
#define KCP_FORWARD_MESH_H

#include <netinet/in.h>

#include "base/error.h"
#include "forward/gateway.h"
#include "forward/server_notices.h"

struct kcp_mesh;
struct kcp_mesh_records;

/* Called with records of the servers' list that another VM has read. */
typedef void
kcp_mesh_records_handler (void *user, const struct kcp_mesh_records *records);

struct kcp_mesh *kcp_mesh_start (struct kcp_gateway *gateway,
                                 const struct kcp_store *store, struct kcp_error *error);
void kcp_mesh_refresh_peer_load (struct kcp_mesh *mesh);
int64_t kcp_mesh_load_age_ns (const struct kcp_mesh *mesh);
void kcp_mesh_leave (struct kcp_mesh *mesh);
void kcp_mesh_stop (struct kcp_mesh *mesh);
void kcp_mesh_announce_prompt (struct kcp_mesh *mesh, const struct kcp_server *server,
                               uint64_t part, int64_t prefill_tokens_pending);
void kcp_mesh_announce_loading (struct kcp_mesh *mesh, const struct kcp_server *server,
                                int64_t loading_ms);
void kcp_mesh_announce_suspect (struct kcp_mesh *mesh, struct kcp_suspect suspect);
void kcp_mesh_announce_notice (struct kcp_mesh *mesh, const struct kcp_server *server,
                               enum kcp_notice_kind kind);
double kcp_mesh_limit_phase (struct kcp_mesh *mesh, const struct kcp_server *server,
                             int64_t per_1000s);
double kcp_mesh_divide_limit (struct kcp_mesh *mesh, struct kcp_server *server,
                              unsigned needs, int64_t now_ns);
void kcp_mesh_announce_loaded (struct kcp_mesh *mesh, const struct kcp_server *server);
void kcp_mesh_set_records_handler (struct kcp_mesh *mesh,
                                   kcp_mesh_records_handler *handler, void *user);
void kcp_mesh_send_records (struct kcp_mesh *mesh, struct kcp_mesh_records *records);
bool kcp_mesh_knows_address (const struct kcp_mesh *mesh, struct in_addr address);
struct kcp_server *kcp_mesh_choose_hop (struct kcp_mesh *mesh, const GPtrArray *tried);
unsigned kcp_mesh_count (const struct kcp_mesh *mesh);
bool kcp_mesh_is_leader (const struct kcp_mesh *mesh);
bool kcp_mesh_reads_cache_events (const struct kcp_mesh *mesh,
                                  const struct kcp_server *server);

#endif
