#include "forward/mesh_speeds.h"

#include "base/decision_log.h"
#include "forward/mesh_private.h"

#define INTERVAL_MS 1000
/* Bandwidth limit of one VM, and the bytes up to which unspent bandwidth accumulates. */
#define BYTES_PER_S      6000
#define BUDGET_MAX_BYTES 12000
/* Sums of logarithms are sent as whole numbers of this part of one. */
#define LOG_SCALE 256.0

static void tell (void *user);
static void
read_rows (const struct kcp_gateway *gateway, struct kcp_mesh_speeds *message);
static void send_to_local (struct kcp_mesh *mesh, struct kcp_mesh_speeds *message);

/* Records how long an attempt that found the server idle waited for the first byte of its
   answer, and has it told to other VMs. */
void
kcp_mesh_speeds_record (struct kcp_gateway *gateway, struct kcp_server *server,
                        int64_t prefill_tokens, int64_t first_byte_us)
{
  struct kcp_mesh *mesh = gateway->mesh;
  int64_t now = kcp_loop_now (gateway->loop);
  struct kcp_server_speed sample = { 0 };

  kcp_server_speed_record (&sample, prefill_tokens, first_byte_us, now);
  kcp_server_speed_merge (&server->speed, &sample.samples, now);
  server->untold_speed.count += sample.samples.count;
  server->untold_speed.log_sum += sample.samples.log_sum;
  if (mesh == NULL || mesh->speeds.scheduled)
    return;
  mesh->speeds.scheduled = true;
  kcp_loop_timer_set (gateway->loop, &mesh->speeds.timer,
                      now + INTERVAL_MS * KCP_NS_PER_MS, tell, mesh);
}

/* Initializes the state of the speeds. */
void
kcp_mesh_start_speeds (struct kcp_mesh *mesh)
{
  mesh->speeds.budget.bytes = BUDGET_MAX_BYTES;
  mesh->speeds.budget.refilled_ns = kcp_loop_now (mesh->gateway->loop);
}

/* Cancels the timer. */
void
kcp_mesh_stop_speeds (struct kcp_mesh *mesh)
{
  kcp_loop_timer_cancel (&mesh->speeds.timer);
}

/* Applies samples of another VM. Those of an unknown VM are dropped. */
void
kcp_mesh_apply_speeds (struct kcp_mesh *mesh, const struct kcp_mesh_speeds *message)
{
  int64_t now = kcp_loop_now (mesh->gateway->loop);

  if (kcp_mesh_find_peer (mesh, message->vm) == NULL)
    return;
  for (guint i = 0; i < message->rows->len; i++)
    {
      const struct kcp_mesh_speed *row
          = &g_array_index (message->rows, struct kcp_mesh_speed, i);
      struct kcp_server *server
          = kcp_servers_find_by_key (mesh->gateway->servers, row->server);
      struct kcp_speed_samples samples
          = { .count = row->count, .log_sum = row->log_sum / LOG_SCALE };

      if (server != NULL)
        kcp_server_speed_merge (&server->speed, &samples, now);
    }
}

static void
tell (void *user)
{
  struct kcp_mesh *mesh = user;
  struct kcp_mesh_speeds message;

  mesh->speeds.scheduled = false;
  kcp_mesh_speeds_init (&message);
  read_rows (mesh->gateway, &message);
  send_to_local (mesh, &message);
  kcp_mesh_speeds_clear (&message);
}

/* Adds the samples that others were not told to the message, as far as it has room. */
static void
read_rows (const struct kcp_gateway *gateway, struct kcp_mesh_speeds *message)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);

  for (guint i = 0; i < servers->len && message->rows->len < KCP_MESH_SPEEDS_MAX; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers, i);
      struct kcp_mesh_speed row = {
        .server = kcp_server_key (server),
        .count = (uint32_t)server->untold_speed.count,
        .log_sum = (int32_t)(server->untold_speed.log_sum * LOG_SCALE),
      };

      if (row.count == 0)
        continue;
      g_array_append_val (message->rows, row);
      server->untold_speed = (struct kcp_speed_samples){ 0 };
    }
}

/* Sends the message to the live VMs of this data center in round-robin order, as far as
   the budget allows. */
static void
send_to_local (struct kcp_mesh *mesh, struct kcp_mesh_speeds *message)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };
  struct kcp_mesh_budget *budget = &mesh->speeds.budget;
  guint count = mesh->peers->len;
  guint first = budget->next_peer;

  if (message->rows->len == 0)
    return;
  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  datagram.len = kcp_mesh_speeds_encode (message, bytes, sizeof bytes);
  kcp_mesh_refill_budget (budget, kcp_loop_now (mesh->gateway->loop), BYTES_PER_S,
                          BUDGET_MAX_BYTES);
  for (guint i = 0; i < count && budget->bytes >= (int64_t)datagram.len; i++)
    {
      const struct kcp_mesh_peer *peer
          = g_ptr_array_index (mesh->peers, (first + i) % count);

      if (!peer->alive || !kcp_mesh_is_local (mesh, peer))
        continue;
      kcp_mesh_send (mesh, peer, datagram);
      budget->bytes -= (int64_t)datagram.len;
      budget->next_peer = (first + i + 1) % count;
    }
  KCP_LOG ("speeds_told", KCP_LOG_INT ("servers", message->rows->len));
}
