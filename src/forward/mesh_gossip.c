/* Gossip rounds: sends this VM's state to the other VMs in round-robin order and within a
   byte budget. */
#include <string.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/mesh_private.h"
#include "forward/mesh_quota.h"
#include "policy/resend.h"

#define GOSSIP_INTERVAL_MS 100
/* A weights version is sent for this long after it was learned; by then the server's own
   entry in the store shows it. */
#define VERSION_SEND_NS (6 * KCP_NS_PER_S)
/* Bandwidth limits, independent of the number of VMs: 20 KB/s within the data center, and
   10 KB/s to remote ones, because traffic between data centers is expensive. */
#define LOCAL_BYTES_PER_ROUND  2000
#define REMOTE_BYTES_PER_ROUND 1000
/* In a large fleet cached parts make a message so long that each VM of the data center
   would get one in several seconds, while a request is at a server for some tenths of a
   second. So the load is sent more often, without them. */
#define LOAD_BYTES_PER_ROUND 1000
/* Limits on the number of messages. Messages without rows are so short that the byte
   budget alone would not bound their number. Where summaries tell the load in other data
   centers, remote VMs are only told that this VM is alive. */
#define LOCAL_VMS_PER_ROUND            8
#define REMOTE_VMS_PER_ROUND           4
#define REMOTE_SIGNS_OF_LIFE_PER_ROUND 2
#define MAX_SAVED_ROUNDS               4 /* rounds for which unspent bytes accumulate */

static void log_leader_change (struct kcp_mesh *mesh);
static void send_state (struct kcp_mesh *mesh, struct kcp_mesh_message *message);
static void send_load (struct kcp_mesh *mesh, struct kcp_mesh_message *message);
static void send_sign_of_life (struct kcp_mesh *mesh, struct kcp_mesh_message *message);
static void build_message (struct kcp_mesh *mesh, struct kcp_mesh_message *message);
static guint
max_parts_per_server (const GPtrArray *servers, const GPtrArray *cache_stores);
static guint count_servers_with_parts (const GPtrArray *servers, guint parts);
static guint count_parts (const GPtrArray *servers, guint max_parts);
static bool has_parts_to_send (const struct kcp_server *server);
static void add_row (struct kcp_mesh *mesh, struct kcp_mesh_message *message,
                     struct kcp_server *server, guint max_parts);
static void
send_to_group (struct kcp_mesh *mesh, struct kcp_str bytes, bool local,
               struct kcp_mesh_budget *budget, int64_t refill_bytes, guint max_vms);

/* Runs one gossip round and sets the timer for the next one. */
void
kcp_mesh_gossip (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_loop *loop = mesh->gateway->loop;
  struct kcp_mesh_message message;

  kcp_mesh_expire_peers (mesh);
  log_leader_change (mesh);
  kcp_mesh_update_quotas (mesh->gateway);
  mesh->gateway->sharing_vms
      = kcp_resend_sharing_vms (kcp_mesh_count (mesh), 1 + mesh->peers->len);
  kcp_mesh_message_init (&message);
  build_message (mesh, &message);
  send_state (mesh, &message);
  if (kcp_mesh_uses_summaries (mesh))
    {
      send_load (mesh, &message);
      send_sign_of_life (mesh, &message);
    }
  kcp_mesh_message_clear (&message);
  kcp_loop_timer_set (loop, &mesh->gossip_timer,
                      kcp_loop_now (loop) + GOSSIP_INTERVAL_MS * KCP_NS_PER_MS,
                      kcp_mesh_gossip, mesh);
}

/* Sends the whole state to VMs of the local data center and, unless summaries are used,
   to those of remote ones. */
static void
send_state (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  datagram.len = kcp_mesh_message_encode (message, bytes, sizeof bytes);
  if (datagram.len == 0)
    return;
  send_to_group (mesh, datagram, true, &mesh->local_budget, LOCAL_BYTES_PER_ROUND,
                 LOCAL_VMS_PER_ROUND);
  if (!kcp_mesh_uses_summaries (mesh))
    send_to_group (mesh, datagram, false, &mesh->remote_budget, REMOTE_BYTES_PER_ROUND,
                   REMOTE_VMS_PER_ROUND);
}

/* Sends the message without cached parts to VMs of the local data center. */
static void
send_load (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  kcp_mesh_message_drop_parts (message);
  message->sequence = ++mesh->sequence;
  datagram.len = kcp_mesh_message_encode (message, bytes, sizeof bytes);
  if (datagram.len > 0)
    send_to_group (mesh, datagram, true, &mesh->load_budget, LOAD_BYTES_PER_ROUND,
                   LOCAL_VMS_PER_ROUND);
}

/* Sends the message without its rows to VMs of remote data centers. */
static void
send_sign_of_life (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  g_array_set_size (message->rows, 0);
  datagram.len = kcp_mesh_message_encode (message, bytes, sizeof bytes);
  if (datagram.len > 0)
    send_to_group (mesh, datagram, false, &mesh->remote_budget, REMOTE_BYTES_PER_ROUND,
                   REMOTE_SIGNS_OF_LIFE_PER_ROUND);
}

/* Logs when this VM becomes or stops being the leader of its data center. */
static void
log_leader_change (struct kcp_mesh *mesh)
{
  bool leader = kcp_mesh_is_leader (mesh);

  if (leader == mesh->leader)
    return;
  mesh->leader = leader;
  KCP_LOG ("first_vm", KCP_LOG_TEXT ("change", leader ? "this" : "another"),
           KCP_LOG_INT ("others_near", kcp_mesh_count_alive (mesh, true)));
}

static void
build_message (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  g_strlcpy (message->data_center, mesh->gateway->settings->vm_data_center,
             sizeof message->data_center);
  message->start_ms = mesh->start_ms;
  message->sequence = ++mesh->sequence;
  message->leaving = mesh->leaving;
  kcp_mesh_add_own_rows (mesh, message);
}

/* Adds rows for the servers and KV cache stores of which this VM has anything to
   report. */
void
kcp_mesh_add_own_rows (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  const GPtrArray *servers = kcp_servers_all (mesh->gateway->servers);
  const GPtrArray *cache_stores = kcp_servers_stores (mesh->gateway->servers);
  guint max_parts = max_parts_per_server (servers, cache_stores);

  for (guint i = 0; i < servers->len && message->rows->len < KCP_MESH_ROWS_MAX; i++)
    add_row (mesh, message, g_ptr_array_index (servers, i), max_parts);
  for (guint i = 0; i < cache_stores->len && message->rows->len < KCP_MESH_ROWS_MAX; i++)
    add_row (mesh, message, g_ptr_array_index (cache_stores, i), max_parts);
}

/* Returns the maximum number of cached parts to send for one server, so that those of all
   servers fit into the message. The space left by servers with fewer parts is divided
   among the others. */
static guint
max_parts_per_server (const GPtrArray *servers, const GPtrArray *cache_stores)
{
  guint rows = count_servers_with_parts (servers, 0)
               + count_servers_with_parts (cache_stores, 0);
  guint even_share = KCP_MESH_PARTS_MAX / MAX (rows, 1);
  guint servers_above_share = count_servers_with_parts (servers, even_share)
                              + count_servers_with_parts (cache_stores, even_share);
  guint used = count_parts (servers, even_share) + count_parts (cache_stores, even_share);

  return even_share + (KCP_MESH_PARTS_MAX - used) / MAX (servers_above_share, 1);
}

/* Returns the number of servers whose cache events this VM reads and that have more than
   the given number of cached parts; 0 counts all of them. */
static guint
count_servers_with_parts (const GPtrArray *servers, guint parts)
{
  guint count = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      count += has_parts_to_send (server)
               && (parts == 0 || server->cached_parts->len > parts);
    }
  return count;
}

/* Returns the number of cached parts to send if each server is limited to max_parts. */
static guint
count_parts (const GPtrArray *servers, guint max_parts)
{
  guint count = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      count
          += has_parts_to_send (server) ? MIN (server->cached_parts->len, max_parts) : 0;
    }
  return count;
}

static bool
has_parts_to_send (const struct kcp_server *server)
{
  return server->reads_cache_events && server->cached_parts != NULL;
}

/* Adds a row for the server unless there is nothing to report about it. */
static void
add_row (struct kcp_mesh *mesh, struct kcp_mesh_message *message,
         struct kcp_server *server, guint max_parts)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);
  int64_t loading_ns = server->own_loading_until_ns - now;
  bool has_parts = has_parts_to_send (server);
  bool send_version = now - server->version_changed_ns <= VERSION_SEND_NS;
  struct kcp_mesh_row *row;

  if (server->in_flight == 0 && loading_ns <= 0 && !has_parts && !send_version)
    return;
  row = kcp_mesh_message_add_row (message);
  row->server = kcp_server_key (server);
  row->in_flight = server->in_flight;
  row->prefill_tokens_pending = (uint32_t)MAX (server->prefill_tokens_pending, 0);
  row->version = send_version ? (uint32_t)kcp_server_first_version (server) : 0;
  row->loading_ms = loading_ns > 0 ? (uint32_t)(loading_ns / KCP_NS_PER_MS) : 0;
  row->has_parts = has_parts;
  for (guint i = 0; has_parts && i < server->cached_parts->len && i < max_parts; i++)
    g_array_append_val (row->parts, g_array_index (server->cached_parts, uint64_t, i));
}

/* Refills the budget and sends the message to VMs in round-robin order, as far as the
   budget and max_vms allow: to VMs of the local data center if local is true, otherwise
   to those of remote ones. VMs that are presumed dead, which may be alive after all, and
   those that are only listed in the store take their turns too. */
static void
send_to_group (struct kcp_mesh *mesh, struct kcp_str bytes, bool local,
               struct kcp_mesh_budget *budget, int64_t refill_bytes, guint max_vms)
{
  guint count = mesh->peers->len;
  guint sent = 0;

  budget->bytes = MIN (budget->bytes + refill_bytes,
                       MAX_SAVED_ROUNDS * refill_bytes + (int64_t)bytes.len);
  for (guint i = 0; i < count && sent < max_vms && budget->bytes >= (int64_t)bytes.len;
       i++)
    {
      const struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, budget->next_peer % count);

      budget->next_peer = (budget->next_peer + 1) % count;
      if (kcp_mesh_is_local (mesh, peer) != local)
        continue;
      kcp_mesh_send (mesh, peer, bytes);
      budget->bytes -= (int64_t)bytes.len;
      sent++;
    }
}

/* Sends records of the servers' list to the live VMs of the local data center. Records
   too large for one datagram are not sent; the other VMs read the list themselves. */
void
kcp_mesh_send_records (struct kcp_mesh *mesh, struct kcp_mesh_records *records)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  g_strlcpy (records->vm, mesh->own, sizeof records->vm);
  datagram.len = kcp_mesh_records_encode (records, bytes, sizeof bytes);
  for (guint i = 0; datagram.len > 0 && i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->alive && kcp_mesh_is_local (mesh, peer))
        kcp_mesh_send (mesh, peer, datagram);
    }
}

/* Sends one datagram. If the kernel rejects it, it counts as lost in transit. */
void
kcp_mesh_send (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
               struct kcp_str bytes)
{
  kcp_counter_add (KCP_COUNT_RPC_SENT, 1);
  (void)sendto (mesh->fd, bytes.data, bytes.len, 0,
                (const struct sockaddr *)&peer->address, sizeof peer->address);
}

/* Returns true if the peer is in the same data center as this VM. */
bool
kcp_mesh_is_local (const struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer)
{
  return strcmp (peer->data_center, mesh->gateway->settings->vm_data_center) == 0;
}
