#include "forward/mesh_outcomes.h"

#include "base/decision_log.h"
#include "forward/mesh_private.h"

/* A server that is not reached is told at once, other failures together. */
#define URGENT_DELAY_MS 20
#define DELAY_MS        500
/* Bandwidth limit of one VM, and the bytes up to which unspent bandwidth accumulates. */
#define BYTES_PER_S      8000
#define BUDGET_MAX_BYTES 32000
/* Counts are sent as whole numbers of this part of an attempt, up to COUNT_MAX. */
#define COUNT_SCALE 16.0
#define COUNT_MAX   65535.0

static void schedule (struct kcp_mesh *mesh, int64_t delay_ms);
static void flush (void *user);
static bool read_row (const struct kcp_gateway *gateway, struct kcp_server *server,
                      struct kcp_mesh_outcome *row);
static uint32_t to_count (double value);
static void send_to_local (struct kcp_mesh *mesh, struct kcp_mesh_outcomes *message);
static void
apply_row (struct kcp_gateway *gateway, const struct kcp_mesh_outcome *row, int64_t now);

/* Records what an attempt at the server came to, and has failures told to other VMs. */
void
kcp_mesh_outcomes_record (struct kcp_gateway *gateway, struct kcp_server *server,
                          enum kcp_server_outcome outcome)
{
  int64_t now = kcp_loop_now (gateway->loop);

  kcp_server_health_record (&server->health, outcome, now);
  kcp_server_health_record (&server->untold, outcome, now);
  if (gateway->mesh == NULL || outcome == KCP_OUTCOME_SUCCESS)
    return;
  schedule (gateway->mesh, outcome == KCP_OUTCOME_UNREACHED ? URGENT_DELAY_MS : DELAY_MS);
}

/* Initializes the state of the outcomes. */
void
kcp_mesh_start_outcomes (struct kcp_mesh *mesh)
{
  mesh->outcomes.budget.bytes = BUDGET_MAX_BYTES;
  mesh->outcomes.budget.refilled_ns = kcp_loop_now (mesh->gateway->loop);
}

/* Cancels the timer. */
void
kcp_mesh_stop_outcomes (struct kcp_mesh *mesh)
{
  kcp_loop_timer_cancel (&mesh->outcomes.timer);
}

/* Applies outcomes of another VM. Those of an unknown VM are dropped. */
void
kcp_mesh_apply_outcomes (struct kcp_mesh *mesh, const struct kcp_mesh_outcomes *message)
{
  if (kcp_mesh_find_peer (mesh, message->vm) == NULL)
    return;
  for (guint i = 0; i < message->rows->len; i++)
    apply_row (mesh->gateway, &g_array_index (message->rows, struct kcp_mesh_outcome, i),
               kcp_loop_now (mesh->gateway->loop));
}

static void
apply_row (struct kcp_gateway *gateway, const struct kcp_mesh_outcome *row, int64_t now)
{
  struct kcp_server *server = kcp_servers_find_by_key (gateway->servers, row->server);
  struct kcp_outcome_counts counts = {
    .successes = row->successes / COUNT_SCALE,
    .failures = row->failures / COUNT_SCALE,
  };

  if (server == NULL)
    return;
  if (row->reached != 0)
    kcp_server_health_forgive (&server->health, now);
  kcp_server_health_merge (&server->health, &counts, now);
}

/* Has the outcomes told after a time, or sooner if they are to be by now. */
static void
schedule (struct kcp_mesh *mesh, int64_t delay_ms)
{
  struct kcp_loop *loop = mesh->gateway->loop;
  int64_t at_ns = kcp_loop_now (loop) + delay_ms * KCP_NS_PER_MS;

  if (mesh->outcomes.at_ns != 0 && mesh->outcomes.at_ns <= at_ns)
    return;
  mesh->outcomes.at_ns = at_ns;
  kcp_loop_timer_set (loop, &mesh->outcomes.timer, at_ns, flush, mesh);
}

/* Tells what others were not told. A VM that may have lost its paths to the servers tells
   nothing: the failures may be its own. */
static void
flush (void *user)
{
  struct kcp_mesh *mesh = user;
  const struct kcp_gateway *gateway = mesh->gateway;
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  struct kcp_mesh_outcomes message;
  bool unreached = false;

  mesh->outcomes.at_ns = 0;
  kcp_mesh_outcomes_init (&message);
  for (guint i = 0; i < servers->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers, i);
      struct kcp_mesh_outcome row;

      if (message.rows->len < KCP_MESH_OUTCOMES_MAX && read_row (gateway, server, &row))
        g_array_append_val (message.rows, row);
      unreached = unreached || server->told_unreached;
    }
  send_to_local (mesh, &message);
  kcp_mesh_outcomes_clear (&message);
  if (unreached)
    schedule (mesh, DELAY_MS);
}

/* Stores what is to be told of the server. Returns false if that is nothing. */
static bool
read_row (const struct kcp_gateway *gateway, struct kcp_server *server,
          struct kcp_mesh_outcome *row)
{
  struct kcp_outcome_counts counts
      = kcp_server_health_counts (&server->untold, kcp_loop_now (gateway->loop));
  bool unreached = kcp_reach_has_failed (&server->reach);

  *row = (struct kcp_mesh_outcome){
    .server = kcp_server_key (server),
    .successes = to_count (counts.successes),
    .failures = to_count (counts.failures),
    .reached = server->told_unreached && !unreached,
  };
  if ((row->failures == 0 && row->reached == 0)
      || kcp_reach_watch_paths (gateway->reach_watch, server->entry.service)
             != KCP_PATHS_SOUND)
    return false;
  server->told_unreached = unreached;
  server->untold = (struct kcp_server_health){ 0 };
  return true;
}

static uint32_t
to_count (double value)
{
  return (uint32_t)MIN (value * COUNT_SCALE, COUNT_MAX);
}

/* Sends the message to the live VMs of this data center, as far as the budget allows.
   Others have the same servers in another data center among their last choices. */
static void
send_to_local (struct kcp_mesh *mesh, struct kcp_mesh_outcomes *message)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };
  struct kcp_mesh_budget *budget = &mesh->outcomes.budget;

  if (message->rows->len == 0)
    return;
  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  datagram.len = kcp_mesh_outcomes_encode (message, bytes, sizeof bytes);
  kcp_mesh_refill_budget (budget, kcp_loop_now (mesh->gateway->loop), BYTES_PER_S,
                          BUDGET_MAX_BYTES);
  for (guint i = 0; i < mesh->peers->len && budget->bytes >= (int64_t)datagram.len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      if (!peer->alive || !kcp_mesh_is_local (mesh, peer))
        continue;
      kcp_mesh_send (mesh, peer, datagram);
      budget->bytes -= (int64_t)datagram.len;
    }
  KCP_LOG ("outcomes_told", KCP_LOG_INT ("servers", message->rows->len));
}
