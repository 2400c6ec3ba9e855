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
/* A VM is taken as away that is silent for longer than that many of its usual pauses. */
#define SILENT_PAUSES   6
#define SILENT_FIRST_NS (3000 * KCP_NS_PER_MS) /* while its pauses are not known */
#define PAUSE_WEIGHT    8                      /* of older pauses in the average */
#define FIRST_KEY       1u /* seed of the order in which VMs act for their data center */
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

/* Opens the VM's socket and begins to find the others. */
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

/* Tells the others that this VM takes no more requests. */
void
kcp_mesh_leave (struct kcp_mesh *mesh)
{
  mesh->leaving = true;
}

/* Says who takes in what other VMs have read of the servers' list. */
void
kcp_mesh_on_records (struct kcp_mesh *mesh, kcp_mesh_take_records *take, void *user)
{
  mesh->take_records = take;
  mesh->records_user = user;
}

/* Ends the exchange and frees it; NULL is allowed. */
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

/* Returns how many other VMs of this data center, or of the others, are alive. */
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

/* Returns how many VMs are alive, this one counted. */
unsigned
kcp_mesh_count (const struct kcp_mesh *mesh)
{
  return 1 + kcp_mesh_count_alive (mesh, true) + kcp_mesh_count_alive (mesh, false);
}

/* Tells whether this VM is the one of its data center that acts for all of them towards
   the platform's store: the first in a rendezvous order of the live VMs. */
bool
kcp_mesh_is_first (const struct kcp_mesh *mesh)
{
  return mesh == NULL || leads (mesh, FIRST_KEY, mesh->gateway->settings->vm_data_center);
}

/* Tells whether this VM is the one that reads the server's cache events: the first in a
   rendezvous order of the live VMs, those in the server's data centre before others. */
bool
kcp_mesh_is_reader (const struct kcp_mesh *mesh, const struct kcp_server *server)
{
  return leads (mesh, kcp_server_key (server), server->entry.data_center);
}

/* Tells whether this VM is the first in the key's rendezvous order of the live VMs, those
   of the data center dc before others. A VM that leaves leads nothing. */
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

/* Returns after what silence a VM is taken as away. */
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

/* Records of a VM that is not known are not used. */
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

/* Keeps a message that is newer than what is known of its sender. */
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

/* Returns what is known of another VM, or NULL. */
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

/* Returns a new peer, or NULL if its name is no address or this VM's own. */
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

/* Takes silent VMs as away, and forgets those that stay so. */
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

/* Brings what other VMs have open at each server up to their newest messages. Many
   messages may come between two choices, so they are added up only for a choice. */
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
  server->others_open += row->in_flight;
  server->others_unread_tokens += row->unread_tokens;
}

/* Takes in what a message that has just come says of a server's weights and cache. */
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
