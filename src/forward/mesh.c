#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/decision_log.h"
#include "forward/mesh_private.h"
#include "forward/server_loop.h"
#include "policy/peer_load.h"

#define STEP "mesh"
/* A VM is presumed dead after this many of its average message intervals without a
   message. */
#define DEAD_AFTER_INTERVALS 6
/* The same limit in ns while the interval of a VM is not known. */
#define INITIAL_DEAD_AFTER_NS (3000 * KCP_NS_PER_MS)
#define LEADER_SEED           1u /* seed of the rendezvous order that determines the leader */
#define FORGET_PEER_AFTER_NS  (60 * KCP_NS_PER_S)
/* The sums of the peers' load are computed again after this time without a message. */
#define LOAD_MAX_AGE_NS (250 * KCP_NS_PER_MS)
/* For this long after its start a VM expects the store's list of VMs, and those on it
   that it has not heard of count as alive where a reader of cache events is chosen. */
#define DISCOVERY_NS (3 * KCP_NS_PER_S)
/* A data center that was heard of within this time still reads the cache events of its
   own servers. */
#define OWN_READERS_NS (10 * KCP_NS_PER_S)

static bool has_readers (const struct kcp_mesh *mesh, const char *dc);
static bool
ranks_first (const struct kcp_mesh *mesh, uint64_t key, const char *dc, bool with_listed);
static bool
is_just_listed (const struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer);
static int64_t dead_after_ns (const struct kcp_mesh_peer *peer);
static void add_load (struct kcp_mesh *mesh, const struct kcp_mesh_message *message,
                      int64_t received_ns);
static void peer_free (gpointer data);

/* Opens the UDP socket, registers this VM in the store's list and starts the gossip
   rounds. Returns NULL and sets error if the socket cannot be bound to the configured
   address. */
struct kcp_mesh *
kcp_mesh_start (struct kcp_gateway *gateway, const struct kcp_store *store,
                struct kcp_error *error)
{
  struct kcp_mesh *mesh = g_new0 (struct kcp_mesh, 1);
  const char *own = gateway->settings->peers_listen;
  struct sockaddr_in address;

  mesh->gateway = gateway;
  mesh->store = store;
  mesh->peers = g_ptr_array_new_with_free_func (peer_free);
  mesh->start_ms = (uint64_t)kcp_clock_realtime_ms (gateway->clock);
  mesh->started_ns = kcp_loop_now (gateway->loop);
  g_strlcpy (mesh->own, own, sizeof mesh->own);
  kcp_mesh_start_updates (mesh);
  kcp_mesh_start_summaries (mesh);
  kcp_mesh_start_suspects (mesh);
  kcp_mesh_start_notices (mesh);
  kcp_mesh_start_outcomes (mesh);
  kcp_mesh_start_speeds (mesh);
  mesh->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!kcp_server_loop_parse_address (own, &address, error))
    goto fail;
  if (mesh->fd < 0 || bind (mesh->fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, own, "cannot bind: %s",
                     g_strerror (errno));
      goto fail;
    }
  kcp_poller_watch (kcp_loop_poller (gateway->loop), mesh->fd, EPOLLIN, kcp_mesh_receive,
                    mesh);
  store->watch_era (store->self, kcp_mesh_on_new_era, mesh);
  kcp_mesh_register (mesh);
  kcp_mesh_gossip (mesh);
  return mesh;
fail:
  kcp_mesh_stop (mesh);
  return NULL;
}

/* Marks this VM as leaving in all its further messages, because it accepts no more
   requests. */
void
kcp_mesh_leave (struct kcp_mesh *mesh)
{
  mesh->leaving = true;
}

/* Sets the function that is called with the records of the servers' list received from
   other VMs; NULL drops them. */
void
kcp_mesh_set_records_handler (struct kcp_mesh *mesh, kcp_mesh_records_handler *handler,
                              void *user)
{
  mesh->records_handler = handler;
  mesh->records_user = user;
}

/* Closes the socket, cancels the timers and frees the mesh; NULL is allowed. */
void
kcp_mesh_stop (struct kcp_mesh *mesh)
{
  if (mesh == NULL)
    return;
  kcp_loop_timer_cancel (&mesh->gossip_timer);
  kcp_loop_timer_cancel (&mesh->list_timer);
  kcp_loop_timer_cancel (&mesh->flush);
  kcp_mesh_stop_summaries (mesh);
  kcp_mesh_stop_suspects (mesh);
  kcp_mesh_stop_notices (mesh);
  kcp_mesh_stop_outcomes (mesh);
  kcp_mesh_stop_speeds (mesh);
  kcp_mesh_stop_quotas (mesh);
  kcp_mesh_update_clear (&mesh->pending);
  if (mesh->fd >= 0)
    {
      kcp_poller_unwatch (kcp_loop_poller (mesh->gateway->loop), mesh->fd);
      (void)close (mesh->fd);
    }
  g_ptr_array_unref (mesh->peers);
  g_free (mesh);
}

/* Returns the number of other live VMs: those in the local data center if local is true,
   otherwise those in remote ones. */
unsigned
kcp_mesh_count_alive (const struct kcp_mesh *mesh, bool local)
{
  unsigned count = 0;

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      count += peer->alive && kcp_mesh_is_local (mesh, peer) == local;
    }
  return count;
}

/* Returns the number of live VMs, including this one; 1 without a mesh (NULL). */
unsigned
kcp_mesh_count (const struct kcp_mesh *mesh)
{
  if (mesh == NULL)
    return 1;
  return 1 + kcp_mesh_count_alive (mesh, true) + kcp_mesh_count_alive (mesh, false);
}

/* Returns true if this VM is the leader of its data center, which acts for all its VMs
   towards the platform's store: the first in a rendezvous order of the live VMs. Each VM
   decides by its own view, so two VMs may lead for a time. Without a mesh (NULL) the VM
   leads. */
bool
kcp_mesh_is_leader (const struct kcp_mesh *mesh)
{
  return mesh == NULL
         || ranks_first (mesh, LEADER_SEED, mesh->gateway->settings->vm_data_center,
                         false);
}

/* Returns true if this VM is the one that reads the server's cache events: the first in a
   rendezvous order of the live VMs in the server's data center or, if that has none, of
   all live VMs. A VM that has just started waits for the list of VMs, so that it does not
   take itself for the only one. */
bool
kcp_mesh_reads_cache_events (const struct kcp_mesh *mesh, const struct kcp_server *server)
{
  const char *dc = server->entry.data_center;
  bool own = strcmp (mesh->gateway->settings->vm_data_center, dc) == 0;
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  if (!mesh->listed && now - mesh->started_ns < DISCOVERY_NS)
    return false;
  if (!own && has_readers (mesh, dc))
    return false;
  return ranks_first (mesh, kcp_server_key (server), dc, true);
}

/* Returns true if a VM of the data center was heard of recently, or listed. */
static bool
has_readers (const struct kcp_mesh *mesh, const char *dc)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (strcmp (peer->data_center, dc) == 0
          && now - MAX (peer->received_ns, peer->added_ns) < OWN_READERS_NS)
        return true;
    }
  return false;
}

/* Returns true if this VM is the first in the key's rendezvous order of the live VMs,
   with those in the data center dc before all others. A leaving VM is never the first.
   VMs that were listed recently and not heard of yet count if with_listed is true. */
static bool
ranks_first (const struct kcp_mesh *mesh, uint64_t key, const char *dc, bool with_listed)
{
  bool own_in_dc = strcmp (mesh->gateway->settings->vm_data_center, dc) == 0;
  uint64_t own_score = XXH3_64bits_withSeed (mesh->own, strlen (mesh->own), key);

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);
      bool in_dc = strcmp (peer->data_center, dc) == 0;

      if (peer->last_message.leaving
          || !(peer->alive || (with_listed && is_just_listed (mesh, peer))))
        continue;
      if (in_dc != own_in_dc
              ? in_dc
              : XXH3_64bits_withSeed (peer->vm, strlen (peer->vm), key) > own_score)
        return false;
    }
  return !mesh->leaving;
}

static bool
is_just_listed (const struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer)
{
  return peer->received_ns == 0
         && kcp_loop_now (mesh->gateway->loop) - peer->added_ns < DISCOVERY_NS;
}

/* Returns the time without a message after which a VM is presumed dead. */
static int64_t
dead_after_ns (const struct kcp_mesh_peer *peer)
{
  if (peer->interval_ns == 0)
    return INITIAL_DEAD_AFTER_NS;
  return MAX (KCP_MESH_MIN_DEAD_AFTER_NS, DEAD_AFTER_INTERVALS * peer->interval_ns);
}

/* Returns the peer with this address, or NULL if it is not known. */
struct kcp_mesh_peer *
kcp_mesh_find_peer (struct kcp_mesh *mesh, const char *vm)
{
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (strcmp (peer->vm, vm) == 0)
        return peer;
    }
  return NULL;
}

/* Adds a peer and returns it, or NULL if its name is not a valid address or is this VM's
   own. */
struct kcp_mesh_peer *
kcp_mesh_add_peer (struct kcp_mesh *mesh, const char *vm)
{
  struct kcp_mesh_peer *peer;
  struct sockaddr_in address;
  struct kcp_error error;

  if (strcmp (vm, mesh->own) == 0
      || !kcp_server_loop_parse_address (vm, &address, &error))
    return NULL;
  peer = g_new0 (struct kcp_mesh_peer, 1);
  g_strlcpy (peer->vm, vm, sizeof peer->vm);
  peer->address = address;
  peer->added_ns = kcp_loop_now (mesh->gateway->loop);
  kcp_mesh_message_init (&peer->last_message);
  g_ptr_array_add (mesh->peers, peer);
  return peer;
}

/* Marks VMs as dead from which no gossip message has arrived for too long; update and
   records messages do not count. Forgets a VM FORGET_PEER_AFTER_NS after its last gossip
   message or, if none has arrived, after it was added. */
void
kcp_mesh_expire_peers (struct kcp_mesh *mesh)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  for (guint i = mesh->peers->len; i > 0; i--)
    {
      struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i - 1);
      int64_t last_ns = MAX (peer->received_ns, peer->added_ns);

      if (peer->alive && now - peer->received_ns > dead_after_ns (peer))
        {
          KCP_LOG ("vm", KCP_LOG_TEXT ("change", "silent"),
                   KCP_LOG_TEXT ("peer", peer->vm),
                   KCP_LOG_TEXT ("peer_dc", peer->data_center));
          peer->alive = false;
          mesh->peer_load_stale = true;
        }
      if (now - last_ns > FORGET_PEER_AFTER_NS)
        g_ptr_array_remove_index_fast (mesh->peers, i - 1);
    }
}

/* Recomputes the load that the other live VMs have at each server, if it has changed or
   become older. Many messages may arrive between two choices of a server, so the sums are
   computed when a choice needs them instead of for each message. mesh may be NULL. */
void
kcp_mesh_refresh_peer_load (struct kcp_mesh *mesh)
{
  const GPtrArray *servers;
  int64_t now;

  if (mesh == NULL)
    return;
  now = kcp_loop_now (mesh->gateway->loop);
  if (!mesh->peer_load_stale && now - mesh->peer_load_ns < LOAD_MAX_AGE_NS)
    return;
  mesh->peer_load_stale = false;
  mesh->peer_load_ns = now;
  mesh->oldest_load_ns = 0;
  servers = kcp_servers_all (mesh->gateway->servers);
  for (guint i = 0; i < servers->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers, i);

      server->peers_in_flight = 0;
      server->peers_prefill_tokens_pending = 0;
    }
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->alive && kcp_mesh_find_dc_state (mesh, peer->data_center) == NULL)
        add_load (mesh, &peer->last_message, peer->received_ns);
    }
  for (guint i = 0; i < mesh->summaries.dc_states->len; i++)
    {
      const struct kcp_mesh_dc_state *dc_state
          = g_ptr_array_index (mesh->summaries.dc_states, i);

      add_load (mesh, &dc_state->newest, dc_state->received_ns);
    }
}

/* Returns the age of the oldest load of other VMs that counts, in nanoseconds; 0 if none
   does. mesh may be NULL. */
int64_t
kcp_mesh_load_age_ns (const struct kcp_mesh *mesh)
{
  if (mesh == NULL || mesh->oldest_load_ns == 0)
    return 0;
  return kcp_loop_now (mesh->gateway->loop) - mesh->oldest_load_ns;
}

/* Adds the load that a VM, or all VMs of a data center, reported at received_ns. */
static void
add_load (struct kcp_mesh *mesh, const struct kcp_mesh_message *message,
          int64_t received_ns)
{
  int64_t age_ms = (mesh->peer_load_ns - received_ns) / KCP_NS_PER_MS;

  if (age_ms < KCP_PEER_LOAD_MAX_AGE_MS
      && (mesh->oldest_load_ns == 0 || received_ns < mesh->oldest_load_ns))
    mesh->oldest_load_ns = received_ns;
  for (guint i = 0; i < message->rows->len; i++)
    {
      const struct kcp_mesh_row *row
          = &g_array_index (message->rows, struct kcp_mesh_row, i);
      struct kcp_server *server
          = kcp_servers_find_by_key (mesh->gateway->servers, row->server);

      if (server == NULL)
        continue;
      server->peers_in_flight += (unsigned)kcp_peer_load_weigh (row->in_flight, age_ms);
      server->peers_prefill_tokens_pending
          += kcp_peer_load_weigh (row->prefill_tokens_pending, age_ms);
    }
}

static void
peer_free (gpointer data)
{
  struct kcp_mesh_peer *peer = data;

  kcp_mesh_message_clear (&peer->last_message);
  kcp_server_unref (peer->hop);
  if (peer->needs != NULL)
    g_hash_table_unref (peer->needs);
  g_free (peer);
}
