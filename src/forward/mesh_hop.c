/* Which other VM a request is passed on to, and from where others may do so. */
#include <string.h>

#include "base/id.h"
#include "base/ref.h"
#include "forward/mesh_private.h"
#include "policy/hop.h"

static bool was_tried (const struct kcp_mesh_peer *peer, const GPtrArray *tried);
static struct kcp_server *hop_of (struct kcp_mesh_peer *peer);

/* Returns true if another VM has this address. mesh may be NULL. */
bool
kcp_mesh_knows_address (const struct kcp_mesh *mesh, struct in_addr address)
{
  for (guint i = 0; mesh != NULL && i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->address.sin_addr.s_addr == address.s_addr)
        return true;
    }
  return false;
}

/* Returns the VM that should send a request to a server, as the server that the request
   is sent to, or NULL if there is none. tried has those that must not be chosen again.
   After one of this data center was tried in vain, one of another is preferred: they may
   all have lost the same paths. mesh may be NULL. */
struct kcp_server *
kcp_mesh_choose_hop (struct kcp_mesh *mesh, const GPtrArray *tried)
{
  g_autoptr (GArray) table = g_array_new (FALSE, TRUE, sizeof (struct kcp_hop_candidate));
  struct kcp_hop_candidate *candidates;
  bool tried_local = false;
  int at;

  if (mesh == NULL || mesh->peers->len == 0)
    return NULL;
  g_array_set_size (table, mesh->peers->len);
  candidates = (struct kcp_hop_candidate *)(void *)table->data;
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);
      const struct kcp_server *hop = peer->hop;
      struct kcp_hop_candidate *candidate = &candidates[i];

      candidate->local = kcp_mesh_is_local (mesh, peer);
      candidate->usable
          = peer->alive && !peer->last_message.leaving && !was_tried (peer, tried);
      tried_local |= candidate->local && was_tried (peer, tried);
      if (hop == NULL)
        continue;
      candidate->suspected = kcp_loop_now (mesh->gateway->loop) < hop->suspected_until_ns;
      candidate->in_flight = hop->in_flight;
    }
  at = kcp_hop_choose (candidates, mesh->peers->len, tried_local, kcp_id_random_u64 ());
  return at != KCP_HOP_NONE ? hop_of (g_ptr_array_index (mesh->peers, (guint)at)) : NULL;
}

static bool
was_tried (const struct kcp_mesh_peer *peer, const GPtrArray *tried)
{
  for (guint i = 0; i < tried->len; i++)
    if (g_ptr_array_index (tried, i) == peer->hop)
      return true;
  return false;
}

static struct kcp_server *
hop_of (struct kcp_mesh_peer *peer)
{
  if (peer->hop != NULL)
    return peer->hop;
  peer->hop = kcp_ref_new (sizeof *peer->hop);
  kcp_server_entry_init (&peer->hop->entry);
  peer->hop->entry.id = g_strdup (peer->vm);
  peer->hop->entry.service = g_strdup ("");
  peer->hop->entry.address = g_strdup (peer->vm);
  peer->hop->entry.data_center = g_strdup (peer->data_center);
  peer->hop->entry.software = g_strdup ("");
  return peer->hop;
}
