/* Receives the messages of other VMs. */
#include <string.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/mesh_private.h"

#define INTERVAL_WEIGHT 8 /* inverse weight of a new interval in the average */
/* Longer intervals count as this one: the VM or the network was down in between. */
#define INTERVAL_MAX_NS (15 * KCP_NS_PER_S)
/* Cached parts of a VM whose newer messages have none are passed on for this long. */
#define KEEP_PARTS_NS (6 * KCP_NS_PER_S)

static bool handle_gossip (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool handle_update (struct kcp_mesh *mesh, enum kcp_mesh_procedure procedure,
                           char *bytes, size_t len);
static bool handle_records (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool handle_suspects (struct kcp_mesh *mesh, enum kcp_suspect_kind kind,
                             char *bytes, size_t len);
static bool handle_notices (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool handle_needs (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool handle_outcomes (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool handle_quota (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool handle_speeds (struct kcp_mesh *mesh, char *bytes, size_t len);
static bool handle_summary (struct kcp_mesh *mesh, char *bytes, size_t len);
static void apply_gossip (struct kcp_mesh *mesh, struct kcp_mesh_message *message);
static bool has_parts (const GArray *rows);
static void keep_parts (GArray *from, struct kcp_mesh_message *to);
static void record_interval (struct kcp_mesh_peer *peer, int64_t now_ns);

/* Receives the messages that have arrived, and applies those that are valid. */
void
kcp_mesh_receive (void *user, uint32_t events)
{
  struct kcp_mesh *mesh = user;
  char bytes[KCP_MESH_MESSAGE_MAX];
  ssize_t len;

  (void)events;
  while ((len = recv (mesh->fd, bytes, sizeof bytes, 0)) > 0)
    {
      bool valid = false;

      switch (kcp_mesh_procedure_of (bytes, (size_t)len))
        {
        case KCP_MESH_GOSSIP:
          valid = handle_gossip (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_UPDATE:
          valid = handle_update (mesh, KCP_MESH_UPDATE, bytes, (size_t)len);
          break;
        case KCP_MESH_REMOTE_UPDATE:
          valid = handle_update (mesh, KCP_MESH_REMOTE_UPDATE, bytes, (size_t)len);
          break;
        case KCP_MESH_RECORDS:
          valid = handle_records (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_SUSPECTS:
          valid = handle_suspects (mesh, KCP_SUSPECT_REQUEST, bytes, (size_t)len);
          break;
        case KCP_MESH_PART_SUSPECTS:
          valid = handle_suspects (mesh, KCP_SUSPECT_PART, bytes, (size_t)len);
          break;
        case KCP_MESH_NOTICES:
          valid = handle_notices (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_NEEDS:
          valid = handle_needs (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_OUTCOMES:
          valid = handle_outcomes (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_QUOTA:
          valid = handle_quota (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_SPEEDS:
          valid = handle_speeds (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_SUMMARY:
          valid = handle_summary (mesh, bytes, (size_t)len);
          break;
        case KCP_MESH_INVALID:
          break;
        }
      kcp_counter_add (valid ? KCP_COUNT_RPC_RECEIVED : KCP_COUNT_RPC_REJECTED, 1);
    }
}

static bool
handle_gossip (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_message message;
  bool valid;

  kcp_mesh_message_init (&message);
  valid = kcp_mesh_message_decode (&message, bytes, len);
  if (valid)
    apply_gossip (mesh, &message);
  kcp_mesh_message_clear (&message);
  return valid;
}

static bool
handle_update (struct kcp_mesh *mesh, enum kcp_mesh_procedure procedure, char *bytes,
               size_t len)
{
  struct kcp_mesh_update update;
  bool valid;

  kcp_mesh_update_init (&update);
  valid = kcp_mesh_update_decode (&update, procedure, bytes, len);
  if (valid)
    kcp_mesh_apply_update (mesh, &update);
  if (valid && procedure == KCP_MESH_REMOTE_UPDATE)
    kcp_mesh_forward_update (mesh, &update);
  kcp_mesh_update_clear (&update);
  return valid;
}

/* Passes received records on to the handler. Records from an unknown VM are dropped. */
static bool
handle_records (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_records records;
  bool valid;

  kcp_mesh_records_init (&records);
  valid = kcp_mesh_records_decode (&records, bytes, len);
  if (valid && mesh->records_handler != NULL
      && kcp_mesh_find_peer (mesh, records.vm) != NULL)
    mesh->records_handler (mesh->records_user, &records);
  kcp_mesh_records_clear (&records);
  return valid;
}

static bool
handle_suspects (struct kcp_mesh *mesh, enum kcp_suspect_kind kind, char *bytes,
                 size_t len)
{
  struct kcp_mesh_suspects suspects;
  bool valid;

  kcp_mesh_suspects_init (&suspects, kind);
  valid = kcp_mesh_suspects_decode (&suspects, bytes, len);
  if (valid)
    kcp_mesh_apply_suspects (mesh, &suspects);
  kcp_mesh_suspects_clear (&suspects);
  return valid;
}

static bool
handle_notices (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_notices notices;
  bool valid;

  kcp_mesh_notices_init (&notices);
  valid = kcp_mesh_notices_decode (&notices, bytes, len);
  if (valid)
    kcp_mesh_apply_notices (mesh, &notices);
  kcp_mesh_notices_clear (&notices);
  return valid;
}

static bool
handle_needs (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_needs needs;
  bool valid;

  kcp_mesh_needs_init (&needs);
  valid = kcp_mesh_needs_decode (&needs, bytes, len);
  if (valid)
    kcp_mesh_apply_needs (mesh, &needs);
  kcp_mesh_needs_clear (&needs);
  return valid;
}

static bool
handle_outcomes (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_outcomes outcomes;
  bool valid;

  kcp_mesh_outcomes_init (&outcomes);
  valid = kcp_mesh_outcomes_decode (&outcomes, bytes, len);
  if (valid)
    kcp_mesh_apply_outcomes (mesh, &outcomes);
  kcp_mesh_outcomes_clear (&outcomes);
  return valid;
}

static bool
handle_speeds (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_speeds speeds;
  bool valid;

  kcp_mesh_speeds_init (&speeds);
  valid = kcp_mesh_speeds_decode (&speeds, bytes, len);
  if (valid)
    kcp_mesh_apply_speeds (mesh, &speeds);
  kcp_mesh_speeds_clear (&speeds);
  return valid;
}

static bool
handle_quota (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_quota quota;
  bool valid = kcp_mesh_quota_decode (&quota, bytes, len);

  if (valid)
    kcp_mesh_apply_quota (mesh, &quota);
  return valid;
}

static bool
handle_summary (struct kcp_mesh *mesh, char *bytes, size_t len)
{
  struct kcp_mesh_summary summary;
  bool valid;

  kcp_mesh_summary_init (&summary);
  valid = kcp_mesh_summary_decode (&summary, bytes, len);
  if (valid)
    kcp_mesh_apply_summary (mesh, &summary);
  kcp_mesh_summary_clear (&summary);
  return valid;
}

/* Stores the state from a gossip message unless a newer one of its sender is known. */
static void
apply_gossip (struct kcp_mesh *mesh, struct kcp_mesh_message *message)
{
  struct kcp_mesh_peer *peer = kcp_mesh_find_peer (mesh, message->vm);
  GArray *rows;

  if (strcmp (message->vm, mesh->own) == 0)
    return;
  if (peer == NULL)
    peer = kcp_mesh_add_peer (mesh, message->vm);
  if (peer == NULL || message->start_ms < peer->start_ms
      || (message->start_ms == peer->start_ms && message->sequence <= peer->sequence))
    return;
  if (peer->start_ms != message->start_ms)
    {
      peer->update_sequence = 0;
      peer->interval_ns = 0;
      peer->received_ns = 0;
      peer->quota_answered = false;
      peer->quota_unanswered = 0;
      g_clear_pointer (&peer->needs, g_hash_table_unref);
    }
  peer->start_ms = message->start_ms;
  peer->sequence = message->sequence;
  record_interval (peer, kcp_loop_now (mesh->gateway->loop));
  peer->received_ns = kcp_loop_now (mesh->gateway->loop);
  g_strlcpy (peer->data_center, message->data_center, sizeof peer->data_center);
  if (!peer->alive)
    KCP_LOG ("vm", KCP_LOG_TEXT ("change", "alive"), KCP_LOG_TEXT ("peer", peer->vm),
             KCP_LOG_TEXT ("peer_dc", peer->data_center));
  peer->alive = true;
  peer->last_message.leaving = message->leaving;
  rows = peer->last_message.rows;
  peer->last_message.rows = message->rows;
  message->rows = rows;
  mesh->peer_load_stale = true;
  for (guint i = 0; i < peer->last_message.rows->len; i++)
    kcp_mesh_apply_row (mesh,
                        &g_array_index (peer->last_message.rows, struct kcp_mesh_row, i));
  if (has_parts (peer->last_message.rows))
    peer->parts_ns = peer->received_ns;
  else if (peer->received_ns - peer->parts_ns < KEEP_PARTS_NS)
    keep_parts (rows, &peer->last_message);
}

static bool
has_parts (const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    if (g_array_index (rows, struct kcp_mesh_row, i).has_parts)
      return true;
  return false;
}

/* Moves the cached parts of older rows to the rows of a message that has none, for the
   summaries of this data center. */
static void
keep_parts (GArray *from, struct kcp_mesh_message *to)
{
  for (guint i = 0; i < from->len; i++)
    {
      struct kcp_mesh_row *old = &g_array_index (from, struct kcp_mesh_row, i);
      struct kcp_mesh_row *row = NULL;
      GArray *parts;

      if (!old->has_parts)
        continue;
      for (guint j = 0; j < to->rows->len && row == NULL; j++)
        if (g_array_index (to->rows, struct kcp_mesh_row, j).server == old->server)
          row = &g_array_index (to->rows, struct kcp_mesh_row, j);
      if (row == NULL)
        {
          row = kcp_mesh_message_add_row (to);
          row->server = old->server;
        }
      parts = row->parts;
      row->has_parts = true;
      row->parts = old->parts;
      old->parts = parts;
    }
}

/* Updates the moving average of the time between a peer's gossip messages. A peer that is
   presumed dead when the next message arrives counts too: its interval may be longer than
   was assumed. */
static void
record_interval (struct kcp_mesh_peer *peer, int64_t now_ns)
{
  int64_t interval_ns = MIN (now_ns - peer->received_ns, INTERVAL_MAX_NS);

  if (peer->received_ns == 0)
    return;
  if (peer->interval_ns == 0)
    peer->interval_ns = interval_ns;
  else
    peer->interval_ns += (interval_ns - peer->interval_ns) / INTERVAL_WEIGHT;
}

/* Applies the weights and cached parts of a server from a message just received. */
void
kcp_mesh_apply_row (struct kcp_mesh *mesh, const struct kcp_mesh_row *row)
{
  struct kcp_server *server
      = kcp_servers_find_by_key (mesh->gateway->servers, row->server);
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  if (server == NULL)
    return;
  if (row->version > 0)
    kcp_server_update_first_version (server, row->version, now);
  if (row->loading_ms > 0)
    server->loading_until_ns
        = MAX (server->loading_until_ns, now + row->loading_ms * KCP_NS_PER_MS);
  if (row->has_parts && !server->reads_cache_events)
    kcp_server_set_cached_parts (server, row->parts, now);
}
