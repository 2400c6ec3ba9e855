#include "forward/mesh_quota.h"

#include <xxhash.h>

#include "base/decision_log.h"
#include "forward/mesh_private.h"

/* Interval at which unanswered asks are looked for while requests wait. */
#define TICK_MS 25
/* A VM that has left this many asks unanswered, and never answered one since it started,
   is of a build without quotas and is not asked. */
#define UNANSWERED_MAX 3u
/* For this long after its start a VM that has not read the list of VMs grants nothing, as
   it may take itself for the only one. */
#define DISCOVERY_NS (3 * KCP_NS_PER_S)

static bool
send_ask (void *self, uint64_t team, uint32_t sequence, const struct kcp_quota_ask *ask);
static unsigned count_vms (void *self);
static struct kcp_mesh_peer *find_granting (const struct kcp_mesh *mesh, uint64_t team);
static bool may_grant (const struct kcp_mesh_peer *peer);
static uint64_t view_of (const struct kcp_mesh *mesh);
static bool is_discovering (const struct kcp_mesh *mesh);
static double share_in_touch (const struct kcp_mesh *mesh);
static void send_message (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
                          struct kcp_mesh_quota *message);
static void answer (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
                    const struct kcp_mesh_quota *message);
static void schedule_tick (struct kcp_gateway *gateway);
static void on_tick (void *user);

/* Creates the quotas of a VM. */
struct kcp_quotas *
kcp_mesh_quotas_new (struct kcp_gateway *gateway)
{
  return kcp_quotas_new (&(struct kcp_quota_link){
      .self = gateway,
      .ask = send_ask,
      .vms = count_vms,
  });
}

/* Sets the teams' limits by the configuration in force, and which of them this VM grants,
   if the configuration or the live VMs have changed. Without a mesh it grants all. */
void
kcp_mesh_update_quotas (struct kcp_gateway *gateway)
{
  const struct kcp_routes *routes = gateway->routes;
  const struct kcp_mesh *mesh = gateway->mesh;
  uint64_t view = mesh != NULL ? view_of (mesh) : 0;
  int64_t now = kcp_loop_now (gateway->loop);
  struct kcp_quota_tolerance tolerance = {
    .window_s = gateway->settings->quotas_window_s,
    .overage = gateway->settings->quotas_overage,
    .slack = gateway->settings->quotas_slack,
  };

  if (routes == NULL || (!routes->has_quotas && !gateway->has_quotas)
      || (routes->version == gateway->quotas_version && view == gateway->quotas_view))
    return;
  gateway->quotas_version = routes->version;
  gateway->quotas_view = view;
  gateway->has_quotas = routes->has_quotas;
  for (guint i = 0; i < routes->teams->len; i++)
    {
      const struct kcp_team_access *team = g_ptr_array_index (routes->teams, i);
      struct kcp_quota_limit limit
          = kcp_quota_limit_with_tolerance (&team->quota.limit, &tolerance);
      bool grants
          = mesh == NULL || find_granting (mesh, kcp_quota_team_key (team->name)) == NULL;

      kcp_quotas_set_limit (gateway->quotas, team->name, &limit, grants,
                            mesh != NULL ? share_in_touch (mesh) : 1, now);
    }
}

/* Cancels the timer. */
void
kcp_mesh_stop_quotas (struct kcp_mesh *mesh)
{
  kcp_loop_timer_cancel (&mesh->gateway->quotas_timer);
}

static bool
send_ask (void *self, uint64_t team, uint32_t sequence, const struct kcp_quota_ask *ask)
{
  struct kcp_gateway *gateway = self;
  struct kcp_mesh *mesh = gateway->mesh;
  struct kcp_mesh_peer *peer = mesh != NULL ? find_granting (mesh, team) : NULL;
  struct kcp_mesh_quota message = {
    .kind = KCP_MESH_QUOTA_ASK,
    .team = team,
    .sequence = sequence,
    .count = ask->count,
    .reserve = (uint32_t)MIN (ask->reserve, UINT32_MAX),
  };

  if (peer == NULL)
    return false;
  for (unsigned i = 0; i < ask->count; i++)
    message.costs[i] = (uint32_t)MIN (ask->costs[i], UINT32_MAX);
  peer->quota_unanswered++;
  send_message (mesh, peer, &message);
  schedule_tick (gateway);
  return true;
}

static unsigned
count_vms (void *self)
{
  const struct kcp_gateway *gateway = self;

  return gateway->mesh != NULL ? 1 + gateway->mesh->peers->len : 1;
}

/* Returns the other VM that grants the team's quota, or NULL if this one does. */
static struct kcp_mesh_peer *
find_granting (const struct kcp_mesh *mesh, uint64_t team)
{
  struct kcp_mesh_peer *found = NULL;
  uint64_t best
      = mesh->leaving ? 0 : XXH3_64bits_withSeed (mesh->own, strlen (mesh->own), team);

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);
      uint64_t score;

      if (!may_grant (peer))
        continue;
      score = XXH3_64bits_withSeed (peer->vm, strlen (peer->vm), team);
      if (score <= best)
        continue;
      best = score;
      found = peer;
    }
  return found;
}

static bool
may_grant (const struct kcp_mesh_peer *peer)
{
  return peer->alive && !peer->last_message.leaving
         && (peer->quota_answered || peer->quota_unanswered < UNANSWERED_MAX);
}

/* Returns a number that changes with the VMs that may grant, and with those known. */
static uint64_t
view_of (const struct kcp_mesh *mesh)
{
  uint64_t view = 1 + 2 * (uint64_t)mesh->leaving + 4 * (uint64_t)is_discovering (mesh);

  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      view += XXH3_64bits_withSeed (peer->vm, strlen (peer->vm),
                                    may_grant (peer) + 2u * peer->last_message.leaving);
    }
  return view;
}

static bool
is_discovering (const struct kcp_mesh *mesh)
{
  return !mesh->listed
         && kcp_loop_now (mesh->gateway->loop) - mesh->started_ns < DISCOVERY_NS;
}

/* Returns the share of the known VMs that this one is in touch with. VMs that are cut off
   may grant the rest among themselves. */
static double
share_in_touch (const struct kcp_mesh *mesh)
{
  unsigned known = 1;
  unsigned alive = 1;

  if (is_discovering (mesh))
    return 0;
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const struct kcp_mesh_peer *peer = g_ptr_array_index (mesh->peers, i);

      known += !peer->last_message.leaving;
      alive += peer->alive && !peer->last_message.leaving;
    }
  return (double)alive / known;
}

/* Applies a message of another VM. That of an unknown VM is dropped. */
void
kcp_mesh_apply_quota (struct kcp_mesh *mesh, const struct kcp_mesh_quota *message)
{
  struct kcp_mesh_peer *peer = kcp_mesh_find_peer (mesh, message->vm);
  struct kcp_quotas *quotas = mesh->gateway->quotas;
  int64_t now = kcp_loop_now (mesh->gateway->loop);
  struct kcp_quota_grant grant = {
    .count = message->count,
    .granted = message->granted,
    .retry_ms = message->retry_ms,
  };

  if (peer == NULL)
    return;
  peer->quota_answered = true;
  switch (message->kind)
    {
    case KCP_MESH_QUOTA_ASK:
      answer (mesh, peer, message);
      break;
    case KCP_MESH_QUOTA_GRANT:
      kcp_quotas_receive (quotas, message->team, message->sequence, &grant, now);
      break;
    case KCP_MESH_QUOTA_NOT_GRANTING:
      kcp_quotas_unanswered (quotas, message->team, message->sequence, now);
      break;
    case KCP_MESH_QUOTA_KINDS:
      break;
    }
}

static void
answer (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
        const struct kcp_mesh_quota *message)
{
  struct kcp_quota_ask ask = {
    .count = message->count,
    .reserve = message->reserve,
  };
  struct kcp_quota_grant grant = { 0 };
  struct kcp_mesh_quota reply = {
    .kind = KCP_MESH_QUOTA_NOT_GRANTING,
    .team = message->team,
    .sequence = message->sequence,
  };

  for (unsigned i = 0; i < ask.count; i++)
    ask.costs[i] = message->costs[i];
  if (kcp_quotas_grant (mesh->gateway->quotas, message->team, &ask, &grant,
                        kcp_loop_now (mesh->gateway->loop)))
    {
      reply.kind = KCP_MESH_QUOTA_GRANT;
      reply.count = grant.count;
      reply.granted = (uint32_t)MIN (grant.granted, UINT32_MAX);
      reply.retry_ms = (uint32_t)MIN (grant.retry_ms, UINT32_MAX);
    }
  send_message (mesh, peer, &reply);
}

static void
send_message (struct kcp_mesh *mesh, const struct kcp_mesh_peer *peer,
              struct kcp_mesh_quota *message)
{
  char bytes[KCP_MESH_MESSAGE_MAX];
  struct kcp_str datagram = { .data = bytes };

  g_strlcpy (message->vm, mesh->own, sizeof message->vm);
  datagram.len = kcp_mesh_quota_encode (message, bytes, sizeof bytes);
  kcp_mesh_send (mesh, peer, datagram);
}

static void
schedule_tick (struct kcp_gateway *gateway)
{
  kcp_loop_timer_set (gateway->loop, &gateway->quotas_timer,
                      kcp_loop_now (gateway->loop) + TICK_MS * KCP_NS_PER_MS, on_tick,
                      gateway);
}

static void
on_tick (void *user)
{
  struct kcp_gateway *gateway = user;

  if (kcp_quotas_tick (gateway->quotas, kcp_loop_now (gateway->loop)))
    schedule_tick (gateway);
}
