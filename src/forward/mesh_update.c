/* Update messages: changes that are sent to the VMs without waiting for a gossip round.
   They report where a long prompt was sent, and which server is loading new weights or
   has loaded them. Where summaries are used, an update goes to one VM of each other data
   center, which forwards it to the other VMs there. */
#include "forward/mesh_private.h"

#define FLUSH_DELAY_MS 5 /* changes within this time are sent in one message */
/* Bandwidth limit for the updates of one VM, independent of the number of VMs, and the
   number of bytes up to which unspent bandwidth accumulates: the VM that orders new
   weights for all servers announces each one to all VMs of its data center within
   seconds. */
#define UPDATE_BYTES_PER_S      64000
#define UPDATE_BUDGET_MAX_BYTES 1000000

static void announce (struct kcp_mesh *mesh, const struct kcp_mesh_change *change);
static void flush (void *user);
static void send_to_remote (struct kcp_mesh *mesh, struct kcp_mesh_update *update);
static void send_to_group (struct kcp_mesh *mesh, struct kcp_str bytes, bool local);
static void apply_change (struct kcp_mesh *mesh, const struct kcp_mesh_change *change);

/* Initializes the state of the updates. */
void
kcp_mesh_start_updates (struct kcp_mesh *mesh)
{
  kcp_mesh_update_init (&mesh->pending);
  mesh->update_budget.bytes = UPDATE_BUDGET_MAX_BYTES;
  mesh->update_budget.refilled_ns = kcp_loop_now (mesh->gateway->loop);
}

/* Announces that a prompt with this long part, of which prefill_tokens_pending tokens are
   to be prefilled, is being sent to the server. mesh may be NULL here and in the
   functions below; then nothing is sent. */
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

/* Announces that the server has begun to load weights, which is expected to take
   loading_ms. */
void
kcp_mesh_announce_loading (struct kcp_mesh *mesh, const struct kcp_server *server,
                           int64_t loading_ms)
{
  announce (mesh, &(struct kcp_mesh_change){
                      .server = kcp_server_key (server),
                      .loading_ms = (uint32_t)loading_ms,
                  });
}

/* Announces the version of the weights that the server has loaded. */
void
kcp_mesh_announce_loaded (struct kcp_mesh *mesh, const struct kcp_server *server)
{
  announce (mesh, &(struct kcp_mesh_change){
                      .server = kcp_server_key (server),
                      .version = (uint32_t)kcp_server_first_version (server),
                  });
}

/* Applies the changes from another VM, unless a newer update of that VM has already been
   applied. Ignores an update from an unknown VM, or from a start of its process other
   than that of its newest gossip message. A VM that is only listed may be of any
   start. */
void
kcp_mesh_apply_update (struct kcp_mesh *mesh, const struct kcp_mesh_update *update)
{
  struct kcp_mesh_peer *peer = kcp_mesh_find_peer (mesh, update->vm);

  if (peer == NULL || (peer->start_ms != 0 && update->start_ms != peer->start_ms)
      || update->sequence <= peer->update_sequence)
    return;
  peer->update_sequence = update->sequence;
  for (guint i = 0; i < update->changes->len; i++)
    apply_change (mesh, &g_array_index (update->changes, struct kcp_mesh_change, i));
}

static void
announce (struct kcp_mesh *mesh, const struct kcp_mesh_change *change)
{
  struct kcp_loop *loop;

  if (mesh == NULL)
    return;
  if (mesh->pending.changes->len == KCP_MESH_CHANGES_MAX)
    flush (mesh);
  g_array_append_val (mesh->pending.changes, *change);
  loop = mesh->gateway->loop;
  if (mesh->pending.changes->len == 1)
    kcp_loop_timer_set (loop, &mesh->flush,
                        kcp_loop_now (loop) + FLUSH_DELAY_MS * KCP_NS_PER_MS, flush,
                        mesh);
}

static void
flush (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_mesh_update *pending = &mesh->pending;
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  kcp_loop_timer_cancel (&mesh->flush);
  g_strlcpy (pending->vm, mesh->own, sizeof pending->vm);
  pending->start_ms = mesh->start_ms;
  pending->sequence++;
  kcp_mesh_refill_budget (&mesh->update_budget, kcp_loop_now (mesh->gateway->loop),
                          UPDATE_BYTES_PER_S, UPDATE_BUDGET_MAX_BYTES);
  datagram.len = kcp_mesh_update_encode (pending, KCP_MESH_UPDATE, bytes, sizeof bytes);
  if (datagram.len > 0)
    {
      send_to_group (mesh, datagram, true);
      if (!kcp_mesh_uses_summaries (mesh))
        send_to_group (mesh, datagram, false);
    }
  if (kcp_mesh_uses_summaries (mesh))
    send_to_remote (mesh, pending);
  g_array_set_size (pending->changes, 0);
}

/* Sends the update to one VM of each other data center, which forwards it. */
static void
send_to_remote (struct kcp_mesh *mesh, struct kcp_mesh_update *update)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  datagram.len
      = kcp_mesh_update_encode (update, KCP_MESH_REMOTE_UPDATE, bytes, sizeof bytes);
  if (datagram.len > 0)
    kcp_mesh_send_to_data_centers (mesh, datagram);
}

/* Sends an update of a VM of another data center to the VMs of this one, also if this VM,
   which may have just started, does not know the sender. */
void
kcp_mesh_forward_update (struct kcp_mesh *mesh, struct kcp_mesh_update *update)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  kcp_mesh_refill_budget (&mesh->update_budget, kcp_loop_now (mesh->gateway->loop),
                          UPDATE_BYTES_PER_S, UPDATE_BUDGET_MAX_BYTES);
  datagram.len = kcp_mesh_update_encode (update, KCP_MESH_UPDATE, bytes, sizeof bytes);
  if (datagram.len > 0)
    send_to_group (mesh, datagram, true);
}

/* Adds the bytes for the time since the budget was last refilled, up to max_bytes. */
void
kcp_mesh_refill_budget (struct kcp_mesh_budget *budget, int64_t now_ns,
                        int64_t bytes_per_s, int64_t max_bytes)
{
  int64_t elapsed_ms = (now_ns - budget->refilled_ns) / KCP_NS_PER_MS;

  budget->bytes
      = MIN (budget->bytes + elapsed_ms * bytes_per_s / KCP_MS_PER_S, max_bytes);
  budget->refilled_ns = now_ns;
}

/* Sends a datagram to at most max_vms live VMs in round-robin order, as far as the budget
   allows. Returns the number of VMs. */
guint
kcp_mesh_send_round_robin (struct kcp_mesh *mesh, struct kcp_mesh_budget *budget,
                           struct kcp_str datagram, guint max_vms)
{
  guint count = mesh->peers->len;
  guint sent = 0;

  for (guint i = 0; i < count && sent < max_vms && datagram.len > 0
                    && budget->bytes >= (int64_t)datagram.len;
       i++)
    {
      const struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, budget->next_peer % count);

      budget->next_peer = (budget->next_peer + 1) % count;
      if (!peer->alive)
        continue;
      kcp_mesh_send (mesh, peer, datagram);
      budget->bytes -= (int64_t)datagram.len;
      sent++;
    }
  return sent;
}

/* Sends the update to live VMs in round-robin order until the budget is used up: to VMs
   of the local data center if local is true, otherwise to those of remote ones. */
static void
send_to_group (struct kcp_mesh *mesh, struct kcp_str bytes, bool local)
{
  struct kcp_mesh_budget *budget = &mesh->update_budget;
  guint count = mesh->peers->len;
  guint first = budget->next_peer;

  for (guint i = 0; i < count && budget->bytes >= (int64_t)bytes.len; i++)
    {
      const struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, (first + i) % count);

      if (!peer->alive || kcp_mesh_is_local (mesh, peer) != local)
        continue;
      kcp_mesh_send (mesh, peer, bytes);
      budget->bytes -= (int64_t)bytes.len;
      budget->next_peer = (first + i + 1) % count;
    }
}

static void
apply_change (struct kcp_mesh *mesh, const struct kcp_mesh_change *change)
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
