#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/mesh_private.h"
#include "forward/server_loop.h"

#define STEP "mesh"
/* A VM is presumed dead after this many of its average message intervals without a
   message. */
#define SILENT_PAUSES   6
#define SILENT_FIRST_NS (3000 * KCP_NS_PER_MS) /* while the interval is not known */
#define PAUSE_WEIGHT    8  /* divisor of the moving average of intervals */
#define FIRST_KEY       1u /* seed of the rendezvous order that determines the leader */
#define FORGET_NS       (60 * KCP_NS_PER_S)

static bool leads (const struct kcp_mesh *mesh, uint64_t key, const char *dc);
static int64_t silent_ns (const struct kcp_mesh_peer *peer);
static void note_pause (struct kcp_mesh_peer *peer, int64_t now_ns);
static void on_datagram (void *user, uint32_t events);
static bool read_message (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool read_update (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool read_records (struct kcp_mesh *mesh, char *bytes, size_t len);
static void take_message (struct kcp_mesh *mesh, struct kcp_mesh_message *message);
static void learn_row (struct kcp_mesh *mesh, const struct kcp_mesh_row *row);
static void add_row (struct kcp_mesh *mesh, const struct kcp_mesh_row *row);
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
  mesh->start = (uint64_t)kcp_clock_realtime_ms (gateway->clock);
  g_strlcpy (mesh->own, own, sizeof mesh->own);
  kcp_mesh_update_init (&mesh->pending);
  mesh->updates_filled_ns = kcp_loop_now (gateway->loop);
  mesh->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!kcp_server_loop_address (own, &address, error))
    goto fail;
  if (mesh->fd < 0 || bind (mesh->fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, own, "cannot bind: %s",
                     g_strerror (errno));
      goto fail;
    }
  kcp_poller_watch (kcp_loop_poller (gateway->loop), mesh->fd, EPOLLIN, on_datagram,
                    mesh);
  kcp_mesh_enter_list (mesh);
  kcp_mesh_tell (mesh);
  return mesh;
fail:
  kcp_mesh_stop (mesh);
  return NULL;
}

/* Marks this VM as leaving in its further messages: it accepts no more requests. */
void
kcp_mesh_leave (struct kcp_mesh *mesh)
{
  mesh->leaving = true;
}

/* Sets the function that is called with the records of the servers' list received from
   other VMs; NULL drops them. */
void
kcp_mesh_on_records (struct kcp_mesh *mesh, kcp_mesh_take_records *take, void *user)
{
  mesh->take_records = take;
  mesh->records_user = user;
}

/* Closes the socket, cancels the timers and frees the mesh; NULL is allowed. */
void
kcp_mesh_stop (struct kcp_mesh *mesh)
{
  if (mesh == NULL)
    return;
  kcp_loop_timer_cancel (&mesh->tell);
  kcp_loop_timer_cancel (&mesh->list);
  kcp_loop_timer_cancel (&mesh->flush);
  kcp_mesh_update_clear (&mesh->pending);
  if (mesh->fd >= 0)
    {
      kcp_poller_unwatch (kcp_loop_poller (mesh->gateway->loop), mesh->fd);
      (void)close (mesh->fd);
    }
  g_ptr_array_unref (mesh->peers);
  g_free (mesh);
}

/* Returns the number of other live VMs in the local data center, or in all remote ones.
 */
unsigned
kcp_mesh_count_alive (const struct kcp_mesh *mesh, bool near)
{
  unsigned count = 0;

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      count += peer->alive && kcp_mesh_is_near (mesh, peer) == near;
    }
  return count;
}

/* Returns the number of live VMs, including this one. */
unsigned
kcp_mesh_count (const struct kcp_mesh *mesh)
{
  return 1 + kcp_mesh_count_alive (mesh, true) + kcp_mesh_count_alive (mesh, false);
}

/* Returns true if this VM is the leader of its data center, which acts for all its VMs
   towards the platform's store: the first in a rendezvous order of the live VMs. Each VM
   decides by its own view, so two VMs may lead for a time. Without a mesh (NULL) the VM
   leads. */
bool
kcp_mesh_is_first (const struct kcp_mesh *mesh)
{
  return mesh == NULL || leads (mesh, FIRST_KEY, mesh->gateway->settings->vm_data_center);
}

/* Returns true if this VM is the one that reads the server's cache events: the first in a
   rendezvous order of the live VMs, with those in the server's data center before all
   others. */
bool
kcp_mesh_is_reader (const struct kcp_mesh *mesh, const struct kcp_server *server)
{
  return leads (mesh, kcp_server_key (server), server->entry.data_center);
}

/* Returns true if this VM is the first in the key's rendezvous order of the live VMs,
   with those in the data center dc before all others. A leaving VM is never the first. */
static bool
leads (const struct kcp_mesh *mesh, uint64_t key, const char *dc)
{
  bool own_near = strcmp (mesh->gateway->settings->vm_data_center, dc) == 0;
  uint64_t own_score = XXH3_64bits_withSeed (mesh->own, strlen (mesh->own), key);

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);
      bool near = strcmp (peer->data_center, dc) == 0;

      if (!peer->alive || peer->seen.leaving)
        continue;
      if (near != own_near
              ? near
              : XXH3_64bits_withSeed (peer->vm, strlen (peer->vm), key) > own_score)
        return false;
    }
  return !mesh->leaving;
}

/* Returns the time without a message after which a VM is presumed dead. */
static int64_t
silent_ns (const struct kcp_mesh_peer *peer)
{
  if (peer->pause_ns == 0)
    return SILENT_FIRST_NS;
  return MAX (KCP_MESH_SILENT_LEAST_NS, SILENT_PAUSES * peer->pause_ns);
}

static void
note_pause (struct kcp_mesh_peer *peer, int64_t now_ns)
{
  int64_t pause_ns = now_ns - peer->heard_ns;

  if (!peer->alive || peer->heard_ns == 0)
    return;
  if (peer->pause_ns == 0)
    peer->pause_ns = pause_ns;
  else
    peer->pause_ns += (pause_ns - peer->pause_ns) / PAUSE_WEIGHT;
}

static void
on_datagram (void *user, uint32_t events)
{
  struct kcp_mesh *mesh = user;
  char bytes[KCP_MESH_MESSAGE_MAX];
  ssize_t len;

  (void)events;
  while ((len = recv (mesh->fd, bytes, sizeof bytes, 0)) > 0)
    {
      bool sound = false;

      switch (kcp_mesh_procedure_of (bytes, (size_t)len))
        {
        case KCP_MESH_TELL:
          sound = read_message (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_UPDATE:
          sound = read_update (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_RECORDS:
          sound = read_records (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_UNSOUND:
          break;
        }
      kcp_counter_add (sound ? KCP_COUNT_RPC_RECEIVED : KCP_COUNT_RPC_REJECTED, 1);
    }
}

static bool
read_message (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_message message;
  bool sound;

  kcp_mesh_message_init (&message);
  sound = kcp_mesh_message_decode (&message, bytes, len);
  if (sound)
    take_message (mesh, &message);
  kcp_mesh_message_clear (&message);
  return sound;
}

static bool
read_update (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_update update;
  bool sound;

  kcp_mesh_update_init (&update);
  sound = kcp_mesh_update_decode (&update, bytes, len);
  if (sound)
    kcp_mesh_take_update (mesh, &update);
  kcp_mesh_update_clear (&update);
  return sound;
}

/* Passes received records on to the handler. Records from an unknown VM are dropped. */
static bool
read_records (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_records records;
  bool sound;

  kcp_mesh_records_init (&records);
  sound = kcp_mesh_records_decode (&records, bytes, len);
  if (sound && mesh->take_records != NULL
      && kcp_mesh_find_peer (mesh, records.vm) != NULL)
    mesh->take_records (mesh->records_user, &records);
  kcp_mesh_records_clear (&records);
  return sound;
}

/* Stores the state from a gossip message unless a newer one of its sender is known. */
static void
take_message (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  struct kcp_mesh_peer *peer = kcp_mesh_find_peer (mesh, message->vm);
  GArray *rows;

  if (strcmp (message->vm, mesh->own) == 0)
    return;
  if (peer == NULL)
    peer = kcp_mesh_make_peer (mesh, message->vm);
  if (peer == NULL || message->start < peer->start
      || (message->start == peer->start && message->number <= peer->number))
    return;
  if (peer->start != message->start)
    peer->update_number = 0;
  peer->start = message->start;
  peer->number = message->number;
  note_pause (peer, kcp_loop_now (mesh->gateway->loop));
  peer->heard_ns = kcp_loop_now (mesh->gateway->loop);
  g_strlcpy (peer->data_center, message->data_center, sizeof peer->data_center);
  if (!peer->alive)
    KCP_LOG ("vm", KCP_LOG_TEXT ("change", "alive"), KCP_LOG_TEXT ("peer", peer->vm),
             KCP_LOG_TEXT ("peer_dc", peer->data_center));
  peer->alive = true;
  peer->seen.leaving = message->leaving;
  rows = peer->seen.rows;
  peer->seen.rows = message->rows;
  message->rows = rows;
  mesh->sums_stale = true;
  for (guint i = 0; i < peer->seen.rows->len; i++)
    learn_row (mesh, &g_array_index (peer->seen.rows, struct kcp_mesh_row, i));
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
kcp_mesh_make_peer (struct kcp_mesh *mesh, const char *vm)
{
  struct kcp_mesh_peer *peer;
  struct sockaddr_in address;
  struct kcp_error error;

  if (strcmp (vm, mesh->own) == 0 || !kcp_server_loop_address (vm, &address, &error))
    return NULL;
  peer = g_new0 (struct kcp_mesh_peer, 1);
  g_strlcpy (peer->vm, vm, sizeof peer->vm);
  peer->address = address;
  peer->listed_ns = kcp_loop_now (mesh->gateway->loop);
  kcp_mesh_message_init (&peer->seen);
  g_ptr_array_add (mesh->peers, peer);
  return peer;
}

/* Marks VMs as dead from which no message has been received for too long, and forgets
   those that have been neither heard of nor listed for FORGET_NS. */
void
kcp_mesh_check_peers (struct kcp_mesh *mesh)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  for (guint i = mesh->peers->len; i > 0; i--)
    {
      struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i - 1);
      int64_t last_ns = MAX (peer->heard_ns, peer->listed_ns);

      if (peer->alive && now - peer->heard_ns > silent_ns (peer))
        {
          KCP_LOG ("vm", KCP_LOG_TEXT ("change", "silent"),
                   KCP_LOG_TEXT ("peer", peer->vm),
                   KCP_LOG_TEXT ("peer_dc", peer->data_center));
          peer->alive = false;
          mesh->sums_stale = true;
        }
      if (now - last_ns > FORGET_NS)
        g_ptr_array_remove_index_fast (mesh->peers, i - 1);
    }
}

/* Recomputes the load that the other live VMs have at each server, if it has changed.
   Many messages may arrive between two choices of a server, so the sums are computed when
   a choice needs them instead of for each message. */
void
kcp_mesh_sum (struct kcp_mesh *mesh)
{
  const GPtrArray *servers;

  if (mesh == NULL || !mesh->sums_stale)
    return;
  mesh->sums_stale = false;
  servers = kcp_servers_all (mesh->gateway->servers);
  for (guint i = 0; i < servers->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers, i);

      server->others_open = 0;
      server->others_unread_tokens = 0;
    }
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      for (guint j = 0; peer->alive && j < peer->seen.rows->len; j++)
        add_row (mesh, &g_array_index (peer->seen.rows, struct kcp_mesh_row, j));
    }
}

static void
add_row (struct kcp_mesh *mesh, const struct kcp_mesh_row *row)
{
  struct kcp_server *server = kcp_servers_find_key (mesh->gateway->servers, row->server);

  if (server == NULL)
    return;
  server->others_open += row->open;
  server->others_unread_tokens += row->unread_tokens;
}

/* Applies the weights and cached parts of a server from a message just received. */
static void
learn_row (struct kcp_mesh *mesh, const struct kcp_mesh_row *row)
{
  struct kcp_server *server = kcp_servers_find_key (mesh->gateway->servers, row->server);
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  if (server == NULL)
    return;
  if (row->version > 0)
    kcp_server_learn_first_version (server, row->version, now);
  if (row->loading_ms > 0)
    server->loading_until_ns
        = MAX (server->loading_until_ns, now + row->loading_ms * KCP_NS_PER_MS);
  if (row->read && !server->held_by_own)
    kcp_server_take_held (server, row->parts, now);
}

static void
peer_free (gpointer data)
{
  struct kcp_mesh_peer *peer = data;

  kcp_mesh_message_clear (&peer->seen);
  g_free (peer);
}
