/* Tells the other VMs, by turns and within a budget of bytes. */
#include <string.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/mesh_private.h"

#define TELL_MS 100
/* A version that was learned longer ago is in its server's entry by now. */
#define VERSION_NEWS_NS (6 * KCP_NS_PER_S)
/* What the exchange may cost, whatever the number of VMs, who take turns: 20 KB/s within
   the data centre and 10 KB/s to the others, whose bytes are dear. */
#define NEAR_BYTES_A_TELLING 2000
#define FAR_BYTES_A_TELLING  1000
/* Messages without rows are short, so that the bytes alone would bound nothing. */
#define NEAR_VMS_A_TELLING 8
#define FAR_VMS_A_TELLING  4
#define TELLINGS_SAVED     4   /* that unspent bytes last for */
#define SILENT_EVERY       10u /* VMs taken as away are told each so many tellings */

static void note_first (struct kcp_mesh *mesh);
static void make_message (struct kcp_mesh *mesh, struct kcp_mesh_message *message);
static guint share_parts (const GPtrArray *servers, const GPtrArray *stores);
static guint count_rows (const GPtrArray *servers, guint parts);
static guint count_parts (const GPtrArray *servers, guint most);
static bool is_read (const struct kcp_server *server);
static void add_row (struct kcp_mesh *mesh, struct kcp_mesh_message *message,
                     struct kcp_server *server, guint parts_most);
static void tell_some (struct kcp_mesh *mesh, struct kcp_str bytes, bool near,
                       struct kcp_mesh_share *share, int64_t bytes_more, guint vms_most);
static void tell_silent (struct kcp_mesh *mesh, struct kcp_str bytes);

/* Tells what this VM sees of the servers, and sets the timer for the next time. */
void
kcp_mesh_tell (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_loop *loop = mesh->gateway->loop;
  struct kcp_mesh_message message;
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str text;
  size_t len;

  kcp_mesh_check_peers (mesh);
  note_first (mesh);
  mesh->gateway->vms = kcp_mesh_count (mesh);
  kcp_mesh_message_init (&message);
  make_message (mesh, &message);
  len = kcp_mesh_message_encode (&message, bytes, sizeof bytes);
  text = (struct kcp_str){ .data = bytes, .len = len };
  if (len > 0)
    {
      tell_some (mesh, text, true, &mesh->near, NEAR_BYTES_A_TELLING, NEAR_VMS_A_TELLING);
      tell_some (mesh, text, false, &mesh->far, FAR_BYTES_A_TELLING, FAR_VMS_A_TELLING);
    }
  if (len > 0 && mesh->number % SILENT_EVERY == 0)
    tell_silent (mesh, text);
  kcp_mesh_message_clear (&message);
  kcp_loop_timer_set (loop, &mesh->tell, kcp_loop_now (loop) + TELL_MS * KCP_NS_PER_MS,
                      kcp_mesh_tell, mesh);
}

/* Logs when this VM begins or ends to act for its data center towards the store. */
static void
note_first (struct kcp_mesh *mesh)
{
  bool first = kcp_mesh_is_first (mesh);

  if (first == mesh->first)
    return;
  mesh->first = first;
  KCP_LOG ("first_vm", KCP_LOG_TEXT ("change", first ? "this" : "another"),
           KCP_LOG_INT ("others_near", kcp_mesh_count_alive (mesh, true)));
}

static void
make_message (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  const GPtrArray *servers = kcp_servers_all (mesh->gateway->servers);
  const GPtrArray *stores = kcp_servers_stores (mesh->gateway->servers);
  guint parts_most;

  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  g_strlcpy (message->data_center, mesh->gateway->settings->vm_data_center,
             sizeof message->data_center);
  message->start = mesh->start;
  message->number = ++mesh->number;
  message->leaving = mesh->leaving;
  parts_most = share_parts (servers, stores);
  for (guint i = 0; i < servers->len && message->rows->len < KCP_MESH_ROWS_MAX; i++)
    add_row (mesh, message, g_ptr_array_index (servers, i), parts_most);
  for (guint i = 0; i < stores->len && message->rows->len < KCP_MESH_ROWS_MAX; i++)
    add_row (mesh, message, g_ptr_array_index (stores, i), parts_most);
}

/* Returns how many parts of one server may be told, so that those of all fit. What
   servers with few parts leave is shared by the others. */
static guint
share_parts (const GPtrArray *servers, const GPtrArray *stores)
{
  guint rows = count_rows (servers, 0) + count_rows (stores, 0);
  guint even = KCP_MESH_PARTS_MAX / MAX (rows, 1);
  guint large = count_rows (servers, even) + count_rows (stores, even);
  guint used = count_parts (servers, even) + count_parts (stores, even);

  return even + (KCP_MESH_PARTS_MAX - used) / MAX (large, 1);
}

/* Counts the servers whose cache events this VM reads and that keep more than so many
   parts; 0: all of them. */
static guint
count_rows (const GPtrArray *servers, guint parts)
{
  guint count = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      count += is_read (server) && (parts == 0 || server->held->len > parts);
    }
  return count;
}

/* Counts the parts that are told if at most so many of one server are. */
static guint
count_parts (const GPtrArray *servers, guint most)
{
  guint count = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      count += is_read (server) ? MIN (server->held->len, most) : 0;
    }
  return count;
}

static bool
is_read (const struct kcp_server *server)
{
  return server->held_by_own && server->held != NULL;
}

/* Servers of which there is nothing to say are left out. */
static void
add_row (struct kcp_mesh *mesh, struct kcp_mesh_message *message,
         struct kcp_server *server, guint parts_most)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);
  int64_t loading_ns = server->own_loading_until_ns - now;
  bool read = is_read (server);
  bool changed = now - server->version_learned_ns <= VERSION_NEWS_NS;
  struct kcp_mesh_row *row;

  if (server->in_flight == 0 && loading_ns <= 0 && !read && !changed)
    return;
  row = kcp_mesh_message_add_row (message);
  row->server = kcp_server_key (server);
  row->in_flight = server->in_flight;
  row->unread_tokens = (uint32_t)MAX (server->unread_tokens, 0);
  row->version = changed ? (uint32_t)kcp_server_first_version (server) : 0;
  row->loading_ms = loading_ns > 0 ? (uint32_t)(loading_ns / KCP_NS_PER_MS) : 0;
  row->read = read;
  for (guint i = 0; read && i < server->held->len && i < parts_most; i++)
    g_array_append_val (row->parts, g_array_index (server->held, uint64_t, i));
}

/* Tells as many live VMs of this data center, or of the others, as the share allows. */
static void
tell_some (struct kcp_mesh *mesh, struct kcp_str bytes, bool near,
           struct kcp_mesh_share *share, int64_t bytes_more, guint vms_most)
{
  guint count = mesh->peers->len;
  guint told = 0;

  share->bytes
      = MIN (share->bytes + bytes_more, TELLINGS_SAVED * bytes_more + (int64_t)bytes.len);
  for (guint i = 0; i < count && told < vms_most && share->bytes >= (int64_t)bytes.len;
       i++)
    {
      const struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, share->turn % count);

      share->turn = (share->turn + 1) % count;
      if (!peer->alive || kcp_mesh_is_near (mesh, peer) != near)
        continue;
      kcp_mesh_send (mesh, peer, bytes);
      share->bytes -= (int64_t)bytes.len;
      told++;
    }
}

static void
tell_silent (struct kcp_mesh *mesh, struct kcp_str bytes)
{
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (!peer->alive)
        kcp_mesh_send (mesh, peer, bytes);
    }
}

/* Tells the live VMs of this data center what was read of the servers' list. What is too
   large for a datagram they read themselves. */
void
kcp_mesh_tell_records (struct kcp_mesh *mesh, struct kcp_mesh_records *records)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str text = { .data = bytes };

  g_strlcpy (records->vm, mesh->own, sizeof records->vm);
  text.len = kcp_mesh_records_encode (records, bytes, sizeof bytes);
  for (guint i = 0; text.len > 0 && i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (peer->alive && kcp_mesh_is_near (mesh, peer))
        kcp_mesh_send (mesh, peer, text);
    }
}

/* A datagram that the kernel does not take is as one that is lost on the way. */
void
kcp_mesh_send (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
               struct kcp_str bytes)
{
  kcp_counter_add (KCP_COUNT_RPC_SENT, 1);
  (void)sendto (mesh->fd, bytes.data, bytes.len, 0,
                (const struct sockaddr *)&peer->address, sizeof peer->address);
}

/* Tells whether the other VM is in this one's data center. */
bool
kcp_mesh_is_near (const struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer)
{
  return strcmp (peer->data_center, mesh->gateway->settings->vm_data_center) == 0;
}
