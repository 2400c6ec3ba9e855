/* Changes that are told to all VMs at once: where a long prompt was sent, and which
   server takes new weights or has taken them. */
#include "forward/mesh_private.h"

#define FLUSH_MS 2 /* in which changes go out together */
/* What updates may cost a VM, however many VMs there are. */
#define UPDATE_BYTES_A_SECOND 16000
#define UPDATE_BYTES_SAVED    64000

static void announce (struct kcp_mesh *mesh, const struct kcp_mesh_change *change);
static void flush (void *user);
static void fill_share (struct kcp_mesh *mesh);
static void send_to_some (struct kcp_mesh *mesh, struct kcp_str bytes, bool near);
static void take_change (struct kcp_mesh *mesh, const struct kcp_mesh_change *change);

/* Tells that a prompt with the long part, of which so many tokens are to be read, is
   being sent to the server. Without a mesh nothing is told, as by the functions below. */
void
kcp_mesh_announce_prompt (struct kcp_mesh *mesh, const struct kcp_server *server,
                          uint64_t part, int64_t prefill_tokens_pending)
{
  announce (mesh, &(struct kcp_mesh_change){
                      .server = kcp_server_key (server),
                      .part = part,
                      .prefill_tokens_pending = (uint32_t)MAX (prefill_tokens_pending, 0),
                  });
}

/* Tells that the server takes new weights now. */
void
kcp_mesh_announce_loading (struct kcp_mesh *mesh, const struct kcp_server *server,
                           int64_t loading_ms)
{
  announce (mesh, &(struct kcp_mesh_change){
                      .server = kcp_server_key (server),
                      .loading_ms = (uint32_t)loading_ms,
                  });
}

/* Tells which weights the server has taken. */
void
kcp_mesh_announce_loaded (struct kcp_mesh *mesh, const struct kcp_server *server)
{
  announce (mesh, &(struct kcp_mesh_change){
                      .server = kcp_server_key (server),
                      .version = (uint32_t)kcp_server_first_version (server),
                  });
}

/* Takes in the changes of another VM, unless they are older than what it told before. */
void
kcp_mesh_take_update (struct kcp_mesh *mesh, const struct kcp_mesh_update *update)
{
  struct kcp_mesh_peer *peer = kcp_mesh_find_peer (mesh, update->vm);

  if (peer == NULL || update->start != peer->start
      || update->number <= peer->update_number)
    return;
  peer->update_number = update->number;
  for (guint i = 0; i < update->changes->len; i++)
    take_change (mesh, &g_array_index (update->changes, struct kcp_mesh_change, i));
}

static void
announce (struct kcp_mesh *mesh, const struct kcp_mesh_change *change)
{
  struct kcp_loop *loop;

  if (mesh == NULL)
    return;
  if (mesh->pending.changes->len == KCP_MESH_UPDATES_MAX)
    flush (mesh);
  g_array_append_val (mesh->pending.changes, *change);
  loop = mesh->gateway->loop;
  if (mesh->pending.changes->len == 1)
    kcp_loop_timer_set (loop, &mesh->flush,
                        kcp_loop_now (loop) + FLUSH_MS * KCP_NS_PER_MS, flush, mesh);
}

static void
flush (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_mesh_update *pending = &mesh->pending;
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str text = { .data = bytes };

  kcp_loop_timer_cancel (&mesh->flush);
  g_strlcpy (pending->vm, mesh->own, sizeof pending->vm);
  pending->start = mesh->start;
  pending->number++;
  text.len = kcp_mesh_update_encode (pending, bytes, sizeof bytes);
  g_array_set_size (pending->changes, 0);
  if (text.len == 0)
    return;
  fill_share (mesh);
  send_to_some (mesh, text, true);
  send_to_some (mesh, text, false);
}

static void
fill_share (struct kcp_mesh *mesh)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);
  int64_t passed_ns = now - mesh->updates_filled_ns;
  int64_t more = passed_ns / KCP_NS_PER_MS * UPDATE_BYTES_A_SECOND / 1000;

  mesh->updates.bytes = MIN (mesh->updates.bytes + more, UPDATE_BYTES_SAVED);
  mesh->updates_filled_ns = now;
}

/* Sends to the live VMs of this data center, or to those of the others, by turns as far
   as the share goes. */
static void
send_to_some (struct kcp_mesh *mesh, struct kcp_str bytes, bool near)
{
  struct kcp_mesh_share *share = &mesh->updates;
  guint count = mesh->peers->len;
  guint first = share->turn;

  for (guint i = 0; i < count && share->bytes >= (int64_t)bytes.len; i++)
    {
      const struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, (first + i) % count);

      if (!peer->alive || kcp_mesh_is_near (mesh, peer) != near)
        continue;
      kcp_mesh_send (mesh, peer, bytes);
      share->bytes -= (int64_t)bytes.len;
      share->turn = (first + i + 1) % count;
    }
}

static void
take_change (struct kcp_mesh *mesh, const struct kcp_mesh_change *change)
{
  struct kcp_server *server
      = kcp_servers_find_by_key (mesh->gateway->servers, change->server);
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  if (server == NULL)
    return;
  if (change->part != 0)
    kcp_server_record_peer_prompt (server, change->part, change->prefill_tokens_pending,
                                   now);
  if (change->loading_ms > 0)
    server->loading_until_ns
        = MAX (server->loading_until_ns, now + change->loading_ms * KCP_NS_PER_MS);
  if (change->version > 0)
    kcp_server_update_first_version (server, change->version, now);
}
