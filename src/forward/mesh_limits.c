/* Divides the limits of servers between VMs. The users of a limit, which all VMs know
   from their order for the server, tell each other their needs until they are
   acknowledged. */
#include <xxhash.h>

#include "forward/mesh_private.h"

#define EXCHANGE_DELAY_MS 20   /* changes within this time are told together */
#define PEERS_NEEDS_MAX   512u /* servers for which the needs of one VM are kept */

/* The VMs that may be users of a server's limit; this VM is the first. */
struct vms
{
  GArray *users;    /* struct kcp_server_limit_user */
  GPtrArray *peers; /* struct kcp_mesh_peer, one less than the users */
};

/* A server whose limit this VM uses. */
struct used_limit
{
  struct kcp_server *server;
  uint64_t least_rank; /* of a user of its limit */
};

static struct vms list_vms (struct kcp_mesh *mesh, const struct kcp_server *server);
static void vms_clear (struct vms *vms);
static const struct kcp_server_limit_user *users_of (const struct vms *vms);
static bool all_acknowledge (const struct vms *vms, const struct kcp_server *server);
static uint64_t rank (const char *vm, const struct kcp_server *server);
static const struct kcp_peer_needs *
find_needs (const struct kcp_mesh_peer *peer, const struct kcp_server *server);
static struct kcp_peer_needs *
ensure_needs (struct kcp_mesh_peer *peer, const struct kcp_server *server);
static void receive_row (struct kcp_mesh *mesh, struct kcp_mesh_peer *peer,
                         const struct kcp_mesh_needs_row *row);
static void schedule_exchange (struct kcp_mesh *mesh);
static void exchange (void *user);
static GArray *list_used_limits (struct kcp_mesh *mesh);
static bool
tell_peer (struct kcp_mesh *mesh, struct kcp_mesh_peer *peer, const GArray *limits);
static void add_row (struct kcp_mesh_peer *peer, const struct used_limit *limit,
                     int64_t now_ns, struct kcp_mesh_needs *message);

/* Returns this VM's share of the server's limit in requests a second. needs are its
   recent requests for the server's service. Without a mesh (NULL) the VM has the whole
   limit. */
double
kcp_mesh_divide_limit (struct kcp_mesh *mesh, struct kcp_server *server, unsigned needs,
                       int64_t now_ns)
{
  struct vms vms = list_vms (mesh, server);
  struct kcp_server_limit_user *own
      = &g_array_index (vms.users, struct kcp_server_limit_user, 0);
  double share;

  if (kcp_own_needs_update (&server->own_needs, needs, all_acknowledge (&vms, server),
                            now_ns)
      && mesh != NULL)
    schedule_exchange (mesh);
  own->needs = kcp_own_needs_agreed (&server->own_needs);
  share = kcp_server_limit_divide (server->limit.per_1000s, users_of (&vms),
                                   vms.users->len, 0);
  vms_clear (&vms);
  return share;
}

/* Returns the part of its first request that this VM has ready when the server names a
   limit. mesh may be NULL. */
double
kcp_mesh_limit_phase (struct kcp_mesh *mesh, const struct kcp_server *server,
                      int64_t per_1000s)
{
  struct vms vms = list_vms (mesh, server);
  double phase = kcp_server_limit_phase (per_1000s, users_of (&vms), vms.users->len, 0);

  vms_clear (&vms);
  return phase;
}

/* Lists all VMs that accept requests, as far as known: also those that are out of touch,
   which may send requests all the same. */
static struct vms
list_vms (struct kcp_mesh *mesh, const struct kcp_server *server)
{
  struct vms vms = {
    .users = g_array_new (FALSE, FALSE, sizeof (struct kcp_server_limit_user)),
    .peers = g_ptr_array_new (),
  };
  struct kcp_server_limit_user user = {
    .rank = rank (mesh != NULL ? mesh->own : "", server),
    .needs = kcp_own_needs_agreed (&server->own_needs),
    .in_touch = true,
  };

  g_array_append_val (vms.users, user);
  for (guint i = 0; mesh != NULL && i < mesh->peers->len; i++)
    {
      struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->last_message.leaving)
        continue;
      user = (struct kcp_server_limit_user){
        .rank = rank (peer->vm, server),
        .needs = kcp_peer_needs_assumed (find_needs (peer, server)),
        .in_touch = peer->alive,
      };
      g_array_append_val (vms.users, user);
      g_ptr_array_add (vms.peers, peer);
    }
  return vms;
}

static void
vms_clear (struct vms *vms)
{
  g_array_unref (vms->users);
  g_ptr_array_unref (vms->peers);
}

static const struct kcp_server_limit_user *
users_of (const struct vms *vms)
{
  return (const struct kcp_server_limit_user *)(void *)vms->users->data;
}

/* Returns true if all other users of the limit have acknowledged the newest needs of this
   VM. */
static bool
all_acknowledge (const struct vms *vms, const struct kcp_server *server)
{
  uint64_t least = kcp_server_limit_least_rank (server->limit.per_1000s, users_of (vms),
                                                vms->users->len);

  for (guint i = 0; i < vms->peers->len; i++)
    if (users_of (vms)[i + 1].rank >= least
        && !kcp_own_needs_are_acknowledged (
            &server->own_needs, find_needs (g_ptr_array_index (vms->peers, i), server)))
      return false;
  return true;
}

static uint64_t
rank (const char *vm, const struct kcp_server *server)
{
  return XXH3_64bits_withSeed (vm, strlen (vm), server->key);
}

/* Returns what is known of the peer's needs for a server. */
static const struct kcp_peer_needs *
find_needs (const struct kcp_mesh_peer *peer, const struct kcp_server *server)
{
  static const struct kcp_peer_needs none = { 0 };
  const struct kcp_peer_needs *needs
      = peer->needs != NULL ? g_hash_table_lookup (peer->needs, &server->key) : NULL;

  return needs != NULL ? needs : &none;
}

/* As find_needs(), to be changed. Only users of the limit are given an entry. */
static struct kcp_peer_needs *
ensure_needs (struct kcp_mesh_peer *peer, const struct kcp_server *server)
{
  struct kcp_peer_needs *needs;

  if (peer->needs == NULL)
    peer->needs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  needs = g_hash_table_lookup (peer->needs, &server->key);
  if (needs != NULL)
    return needs;
  if (g_hash_table_size (peer->needs) >= PEERS_NEEDS_MAX)
    g_hash_table_remove_all (peer->needs);
  needs = g_new0 (struct kcp_peer_needs, 1);
  g_hash_table_insert (peer->needs, g_memdup2 (&server->key, sizeof server->key), needs);
  return needs;
}

/* Applies the needs of another VM. A message of an unknown VM, or of or for an earlier
   process, is dropped. */
void
kcp_mesh_apply_needs (struct kcp_mesh *mesh, const struct kcp_mesh_needs *message)
{
  struct kcp_mesh_peer *peer = kcp_mesh_find_peer (mesh, message->vm);

  if (peer == NULL || message->start_ms != peer->start_ms
      || message->receiver_start_ms != mesh->start_ms)
    return;
  for (guint i = 0; i < message->rows->len; i++)
    receive_row (mesh, peer,
                 &g_array_index (message->rows, struct kcp_mesh_needs_row, i));
}

static void
receive_row (struct kcp_mesh *mesh, struct kcp_mesh_peer *peer,
             const struct kcp_mesh_needs_row *row)
{
  struct kcp_server *server
      = kcp_servers_find_by_key (mesh->gateway->servers, row->server);

  if (server == NULL)
    return;
  kcp_peer_needs_receive (ensure_needs (peer, server), &row->message);
  if (row->message.statement.sequence != 0)
    schedule_exchange (mesh);
  server->limit_shared_ns = 0;
  kcp_server_notices_share_limit (mesh->gateway, server);
}

/* Has needs exchanged soon, all changes until then together. */
static void
schedule_exchange (struct kcp_mesh *mesh)
{
  struct kcp_loop *loop = mesh->gateway->loop;

  if (mesh->notices.exchange_scheduled)
    return;
  mesh->notices.exchange_scheduled = true;
  kcp_loop_timer_set (loop, &mesh->notices.exchange_timer,
                      kcp_loop_now (loop) + EXCHANGE_DELAY_MS * KCP_NS_PER_MS, exchange,
                      mesh);
}

static void
exchange (void *user)
{
  struct kcp_mesh *mesh = user;

  mesh->notices.exchange_scheduled = false;
  kcp_mesh_exchange_needs (mesh);
}

/* Computes this VM's shares anew, and tells its needs to the other users of the limits as
   far as the budget allows. */
void
kcp_mesh_exchange_needs (struct kcp_mesh *mesh)
{
  g_autoptr (GArray) limits = list_used_limits (mesh);
  guint count = mesh->peers->len;
  bool sent = true;

  for (guint i = 0; i < count && limits->len > 0 && sent; i++)
    {
      struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, (mesh->notices.next_user + i) % count);

      sent = !peer->alive || tell_peer (mesh, peer, limits);
      if (!sent)
        mesh->notices.next_user = (mesh->notices.next_user + i) % count;
    }
}

static GArray *
list_used_limits (struct kcp_mesh *mesh)
{
  const GPtrArray *servers = kcp_servers_all (mesh->gateway->servers);
  GArray *limits = g_array_new (FALSE, FALSE, sizeof (struct used_limit));

  for (guint i = 0; i < servers->len; i++)
    {
      struct used_limit limit = { .server = g_ptr_array_index (servers, i) };
      struct vms vms;

      if (!limit.server->limit.named)
        continue;
      kcp_server_notices_share_limit (mesh->gateway, limit.server);
      vms = list_vms (mesh, limit.server);
      limit.least_rank = kcp_server_limit_least_rank (limit.server->limit.per_1000s,
                                                      users_of (&vms), vms.users->len);
      if (users_of (&vms)[0].rank >= limit.least_rank)
        g_array_append_val (limits, limit);
      vms_clear (&vms);
    }
  return limits;
}

/* Sends a peer what it has not acknowledged, and acknowledges what it has stated. Returns
   false if the budget does not allow it. */
static bool
tell_peer (struct kcp_mesh *mesh, struct kcp_mesh_peer *peer, const GArray *limits)
{
  struct kcp_mesh_needs message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };
  bool allowed = true;

  kcp_mesh_needs_init (&message);
  g_strlcpy (message.vm, mesh->own, sizeof message.vm);
  message.start_ms = mesh->start_ms;
  message.receiver_start_ms = peer->start_ms;
  for (guint i = 0; i < limits->len && message.rows->len < KCP_MESH_NEEDS_MAX; i++)
    add_row (peer, &g_array_index (limits, struct used_limit, i),
             kcp_loop_now (mesh->gateway->loop), &message);
  if (message.rows->len > 0)
    {
      datagram.len = kcp_mesh_needs_encode (&message, bytes, sizeof bytes);
      allowed = kcp_mesh_send_notice (mesh, peer, datagram);
    }
  kcp_mesh_needs_clear (&message);
  return allowed;
}

static void
add_row (struct kcp_mesh_peer *peer, const struct used_limit *limit, int64_t now_ns,
         struct kcp_mesh_needs *message)
{
  const struct kcp_server *server = limit->server;
  struct kcp_mesh_needs_row row = { .server = server->key };

  if (rank (peer->vm, server) >= limit->least_rank
      && kcp_own_needs_tell (&server->own_needs, ensure_needs (peer, server), now_ns,
                             &row.message))
    g_array_append_val (message->rows, row);
}
