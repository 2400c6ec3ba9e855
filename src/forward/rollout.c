#include <string.h>

#include "forward/mesh.h"
#include "forward/rollout_private.h"
#include "forward/version_check.h"
#include "policy/rollout.h"

#define CHECK_INTERVAL_MS      100 /* while a server has old weights */
#define IDLE_CHECK_INTERVAL_MS 1000
#define DATA_CENTERS_MAX       64u /* further ones share an index */
/* The order lease is valid for a short time, so that another VM can take over soon after
   the holder has died. A lease in use is renewed before it expires. */
#define LEASE_VALID_MS 1500
#define LEASE_RENEW_MS 700
/* Allows for clock drift between two VMs and for an order still on its way. */
#define LEASE_MARGIN_MS        500
#define LEASE_READ_INTERVAL_MS 900
#define ORDER_MIN_REMAINING_MS 500
/* Time that an order takes, as long as none has been measured. */
#define FIRST_ORDER_TIME_MS 1300

static void check (void *user);
static enum kcp_order_lease_action
next_lease_action (struct kcp_rollout *rollout, int64_t now_ns);
static bool may_compete (struct kcp_rollout *rollout, int64_t now_ns);
static int64_t last_progress_ns (const struct kcp_rollout *rollout, int64_t now_ns);
static const struct kcp_desired_weights *
find_pending_weights (struct kcp_rollout *rollout);
static bool
is_outdated (const struct kcp_server *server, const struct kcp_desired_weights *desired);
static void start_orders (struct kcp_rollout *rollout);
static unsigned orders_limit (const struct kcp_rollout *rollout,
                              const struct kcp_desired_weights *desired,
                              const struct kcp_rollout_server *facts, size_t count);
static void
collect_facts (struct kcp_rollout *rollout, const struct kcp_desired_weights *desired,
               struct kcp_rollout_server *out);
static unsigned data_center_index (const char *name, const char **names, unsigned *count);

/* Starts the rollout; gateway and store must outlive it. */
struct kcp_rollout *
kcp_rollout_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_rollout *rollout = g_new0 (struct kcp_rollout, 1);
  int64_t gap_ms = gateway->settings->orders_min_gap_ms;
  struct kcp_order_lease_times times = {
    .valid_ns = LEASE_VALID_MS * KCP_NS_PER_MS,
    .renew_ns = LEASE_RENEW_MS * KCP_NS_PER_MS,
    .takeover_delay_ns = (LEASE_VALID_MS + gap_ms + LEASE_MARGIN_MS) * KCP_NS_PER_MS,
    .read_interval_ns = LEASE_READ_INTERVAL_MS * KCP_NS_PER_MS,
    .order_margin_ns = ORDER_MIN_REMAINING_MS * KCP_NS_PER_MS,
  };

  rollout->gateway = gateway;
  rollout->store = store;
  rollout->orders = g_ptr_array_new_with_free_func (kcp_rollout_order_free);
  rollout->record = g_string_new (NULL);
  rollout->order_ns = FIRST_ORDER_TIME_MS * KCP_NS_PER_MS;
  kcp_order_lease_init (&rollout->lease, gateway->settings->callers_listen, &times);
  store->watch_era (store->self, kcp_rollout_on_new_era, rollout);
  kcp_rollout_schedule_check (rollout);
  return rollout;
}

/* Stops following the orders in progress and frees the rollout; NULL is allowed. */
void
kcp_rollout_stop (struct kcp_rollout *rollout)
{
  if (rollout == NULL)
    return;
  kcp_loop_timer_cancel (&rollout->check);
  g_ptr_array_unref (rollout->orders);
  g_string_free (rollout->record, TRUE);
  g_free (rollout);
}

/* Schedules a check for pending work at the next iteration of the event loop. */
void
kcp_rollout_schedule_check (struct kcp_rollout *rollout)
{
  struct kcp_loop *loop = rollout->gateway->loop;

  kcp_loop_timer_set (loop, &rollout->check, kcp_loop_now (loop), check, rollout);
}

static void
check (void *user)
{
  struct kcp_rollout *rollout = user;
  struct kcp_loop *loop = rollout->gateway->loop;
  int64_t now = kcp_loop_now (loop);
  bool pending = find_pending_weights (rollout) != NULL;
  int64_t wait_ns
      = (pending ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS) * KCP_NS_PER_MS;

  if (pending && !rollout->pending)
    rollout->pending_since_ns = now;
  /* One VM of each data center asks; the others learn it as they use the servers. */
  if (kcp_mesh_is_leader (rollout->gateway->mesh))
    kcp_version_checks_compare_entries (rollout->gateway->version_checks);
  rollout->pending = pending;
  switch (next_lease_action (rollout, now))
    {
    case KCP_ORDER_LEASE_WAIT:
      break;
    case KCP_ORDER_LEASE_READ:
      kcp_rollout_read_lease (rollout);
      break;
    case KCP_ORDER_LEASE_APPEND:
      kcp_rollout_append_lease (rollout);
      break;
    case KCP_ORDER_LEASE_HELD:
      start_orders (rollout);
      break;
    }
  kcp_loop_timer_set (loop, &rollout->check, now + wait_ns, check, rollout);
}

static enum kcp_order_lease_action
next_lease_action (struct kcp_rollout *rollout, int64_t now_ns)
{
  bool draining = rollout->gateway->draining;
  int64_t until;

  if (!rollout->pending && !draining && kcp_mesh_is_leader (rollout->gateway->mesh))
    return kcp_order_lease_watch (&rollout->lease, now_ns);
  return kcp_order_lease_step (
      &rollout->lease, rollout->pending && !draining && may_compete (rollout, now_ns),
      now_ns, &until);
}

static bool
may_compete (struct kcp_rollout *rollout, int64_t now_ns)
{
  struct kcp_order_lease_competitor competitor = {
    .leader = kcp_mesh_is_leader (rollout->gateway->mesh),
    .holds = kcp_order_lease_is_held (&rollout->lease, now_ns),
    .no_orders_ns
    = now_ns - MAX (rollout->pending_since_ns, last_progress_ns (rollout, now_ns)),
  };

  return kcp_order_lease_may_compete (&competitor);
}

/* Returns the last time at which a server was seen loading new weights or having loaded
   them, at most now_ns. */
static int64_t
last_progress_ns (const struct kcp_rollout *rollout, int64_t now_ns)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  int64_t progress_ns = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      progress_ns = MAX (progress_ns, server->version_changed_ns);
      progress_ns = MAX (progress_ns, MIN (server->loading_until_ns, now_ns));
    }
  return progress_ns;
}

/* Returns desired weights that at least one server lacks, or NULL. */
static const struct kcp_desired_weights *
find_pending_weights (struct kcp_rollout *rollout)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);

  for (guint i = 0; i < rollout->gateway->desired_weights->len; i++)
    {
      const struct kcp_desired_weights *desired
          = g_ptr_array_index (rollout->gateway->desired_weights, i);

      for (guint j = 0; j < servers->len; j++)
        if (is_outdated (g_ptr_array_index (servers, j), desired))
          return desired;
    }
  return NULL;
}

static bool
is_outdated (const struct kcp_server *server, const struct kcp_desired_weights *desired)
{
  int64_t version = kcp_server_version (server, desired->model);

  return !kcp_server_is_leaving (server) && version > 0 && version < desired->version;
}

static void
start_orders (struct kcp_rollout *rollout)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  const struct kcp_desired_weights *desired;
  g_autoptr (GArray) table
      = g_array_new (FALSE, TRUE, sizeof (struct kcp_rollout_server));
  struct kcp_rollout_server *facts;

  g_array_set_size (table, servers->len);
  facts = (struct kcp_rollout_server *)(void *)table->data;
  while (
      kcp_order_lease_may_order (&rollout->lease, kcp_loop_now (rollout->gateway->loop))
      && (desired = find_pending_weights (rollout)) != NULL)
    {
      int at;

      collect_facts (rollout, desired, facts);
      at = kcp_rollout_choose (facts, servers->len, desired->version,
                               orders_limit (rollout, desired, facts, servers->len));
      if (at == KCP_ROLLOUT_NONE)
        return;
      kcp_rollout_start_order (rollout, g_ptr_array_index (servers, (guint)at), desired);
    }
}

/* Returns how many servers may load at the same time. */
static unsigned
orders_limit (const struct kcp_rollout *rollout,
              const struct kcp_desired_weights *desired,
              const struct kcp_rollout_server *facts, size_t count)
{
  int64_t now = kcp_loop_now (rollout->gateway->loop);
  struct kcp_rollout_pace pace
      = { .order_ns = rollout->order_ns,
          .left_ns = kcp_gateway_replace_left_ns (rollout->gateway, desired->model) };
  size_t eligible = 0;

  for (size_t i = 0; i < count; i++)
    {
      eligible += facts[i].eligible;
      pace.outdated += facts[i].eligible && facts[i].version < desired->version;
    }
  for (guint i = 0; i < rollout->orders->len; i++)
    {
      const struct kcp_rollout_order *order = g_ptr_array_index (rollout->orders, i);

      pace.order_ns = MAX (pace.order_ns, now - order->sent_ns);
    }
  return kcp_rollout_paced_limit (eligible, &pace);
}

static void
collect_facts (struct kcp_rollout *rollout, const struct kcp_desired_weights *desired,
               struct kcp_rollout_server *out)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  const char *names[DATA_CENTERS_MAX];
  unsigned count = 0;

  kcp_mesh_refresh_peer_load (rollout->gateway->mesh);
  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      int64_t version = kcp_server_version (server, desired->model);

      out[i] = (struct kcp_rollout_server){
        .eligible = !kcp_server_is_leaving (server) && version > 0,
        .version = version,
        .loading = kcp_rollout_find_order (rollout, server) != NULL,
        .data_center = data_center_index (server->entry.data_center, names, &count),
        .in_flight = server->in_flight + server->peers_in_flight,
        .failed_orders = kcp_server_failed_orders (server, desired->version),
      };
    }
}

static unsigned
data_center_index (const char *name, const char **names, unsigned *count)
{
  for (unsigned i = 0; i < *count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  if (*count == DATA_CENTERS_MAX)
    return DATA_CENTERS_MAX;
  names[*count] = name;
  return (*count)++;
}
