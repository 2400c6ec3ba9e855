#include "forward/gateway.h"

#include <string.h>

#include "base/counter.h"
#include "base/decision_log.h"
#include "forward/crash_suspects.h"
#include "forward/mesh_quota.h"
#include "forward/version_check.h"

#define PREFIX_INDEX_CAPACITY 8192u /* prompt parts */
/* The part of the retry budget that the VMs use. The rest is a margin, since each VM
   learns late how many others are alive. */
#define RETRY_BUDGET_SHARE 0.6

static void on_crash (void *user, const struct kcp_crash *crash);
static void desired_weights_free (gpointer data);

/* Initializes the shared state; settings, dialect and clock must outlive it. */
void
kcp_gateway_init (struct kcp_gateway *gateway,
                  const struct kcp_forward_settings *settings,
                  const struct kcp_dialect *dialect, const struct kcp_clock *clock)
{
  memset (gateway, 0, sizeof *gateway);
  gateway->settings = settings;
  gateway->dialect = dialect;
  gateway->clock = clock;
  gateway->loop = kcp_loop_new (clock);
  gateway->client = kcp_http_client_new (gateway->loop);
  gateway->servers = kcp_servers_new ();
  gateway->desired_weights = g_ptr_array_new_with_free_func (desired_weights_free);
  gateway->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gateway->prefixes = kcp_prefix_index_new (PREFIX_INDEX_CAPACITY);
  for (unsigned i = 0; i < KCP_SUSPECT_KINDS; i++)
    gateway->quarantines[i] = kcp_crash_suspects_new ((enum kcp_suspect_kind)i);
  gateway->answered_parts = kcp_answered_parts_new ();
  gateway->quotas = kcp_mesh_quotas_new (gateway);
  kcp_body_memory_init (&gateway->bodies);
  gateway->crash_watch = kcp_crash_watch_new (gateway->loop, on_crash, gateway);
  gateway->reach_watch = kcp_reach_watch_new (gateway->loop, gateway->servers);
  gateway->version_checks = kcp_version_checks_new (gateway);
}

/* Frees what kcp_gateway_init() allocated. No request may be in flight. */
void
kcp_gateway_clear (struct kcp_gateway *gateway)
{
  kcp_version_checks_free (gateway->version_checks);
  kcp_http_client_free (gateway->client);
  kcp_crash_watch_free (gateway->crash_watch);
  kcp_reach_watch_free (gateway->reach_watch);
  for (unsigned i = 0; i < KCP_SUSPECT_KINDS; i++)
    kcp_quarantine_free (gateway->quarantines[i]);
  kcp_answered_parts_free (gateway->answered_parts);
  kcp_loop_timer_cancel (&gateway->quotas_timer);
  kcp_quotas_free (gateway->quotas);
  kcp_body_memory_clear (&gateway->bodies);
  kcp_loop_free (gateway->loop);
  kcp_servers_free (gateway->servers);
  g_ptr_array_unref (gateway->desired_weights);
  g_hash_table_unref (gateway->budgets);
  kcp_prefix_index_free (gateway->prefixes);
  kcp_routes_unref (gateway->routes);
}

/* Puts routes in force unless the version in force is the same or newer. Takes ownership
   of the reference. Returns true if the routes are now in force. */
bool
kcp_gateway_set_routes (struct kcp_gateway *gateway, struct kcp_routes *routes)
{
  int64_t before = gateway->routes != NULL ? gateway->routes->version : 0;

  if (gateway->routes != NULL && routes->version <= before)
    {
      kcp_routes_unref (routes);
      return false;
    }
  KCP_LOG ("routes_in_force", KCP_LOG_INT ("version", routes->version),
           KCP_LOG_INT ("before", before), KCP_LOG_INT ("routes", routes->routes->len),
           KCP_LOG_INT ("teams", routes->teams->len),
           KCP_LOG_INT ("isolated_digest", (int64_t)routes->isolated_digest));
  kcp_counter_add (KCP_COUNT_CONFIG_APPLIED, 1);
  kcp_routes_unref (gateway->routes);
  gateway->routes = routes;
  kcp_servers_set_stores (gateway->servers, routes);
  kcp_mesh_update_quotas (gateway);
  return true;
}

/* Adds a version of a model's weights that operators requested at not_before_ns or later.
   A version that is not newer than the newest known one is ignored. */
void
kcp_gateway_add_desired_weights (struct kcp_gateway *gateway, const char *model,
                                 int64_t version, int64_t not_before_ns)
{
  struct kcp_desired_weights *desired
      = (struct kcp_desired_weights *)kcp_gateway_desired_weights (gateway, model);

  if (desired == NULL)
    {
      desired = g_new0 (struct kcp_desired_weights, 1);
      desired->model = g_strdup (model);
      g_ptr_array_add (gateway->desired_weights, desired);
    }
  if (version <= desired->version)
    return;
  KCP_LOG ("weights_named", KCP_LOG_TEXT ("model", model),
           KCP_LOG_INT ("version", version), KCP_LOG_INT ("before", desired->version));
  desired->version = version;
  desired->count = MIN (desired->count + 1, KCP_DESIRED_VERSIONS_MAX);
  memmove (&desired->versions[1], &desired->versions[0],
           (desired->count - 1) * sizeof desired->versions[0]);
  desired->versions[0] = (struct kcp_desired_version){ .version = version,
                                                       .not_before_ns = not_before_ns };
}

/* Returns the time before which no version newer than this one was desired, or 0 if there
   is no newer version. */
int64_t
kcp_desired_weights_replaced_ns (const struct kcp_desired_weights *desired,
                                 int64_t version)
{
  int64_t replaced_ns = 0;

  for (unsigned i = 0; i < desired->count && desired->versions[i].version > version; i++)
    replaced_ns = desired->versions[i].not_before_ns;
  return replaced_ns;
}

/* Returns the time until the servers must have loaded the newest version of the model;
   negative after that time, 0 if operators requested none. */
int64_t
kcp_gateway_replace_left_ns (const struct kcp_gateway *gateway, const char *model)
{
  const struct kcp_desired_weights *desired
      = kcp_gateway_desired_weights (gateway, model);

  if (desired == NULL)
    return 0;
  return desired->versions[0].not_before_ns
         + gateway->settings->weights_replace_ms * KCP_NS_PER_MS
         - kcp_loop_now (gateway->loop);
}

/* Returns the desired weights of a model, or NULL if operators requested none. */
const struct kcp_desired_weights *
kcp_gateway_desired_weights (const struct kcp_gateway *gateway, const char *model)
{
  for (guint i = 0; i < gateway->desired_weights->len; i++)
    {
      const struct kcp_desired_weights *desired
          = g_ptr_array_index (gateway->desired_weights, i);

      if (strcmp (desired->model, model) == 0)
        return desired;
    }
  return NULL;
}

/* Returns this VM's retry budget for a service. The burst is divided among the VMs. */
struct kcp_resend_budget *
kcp_gateway_retry_budget (struct kcp_gateway *gateway, const char *service)
{
  const struct kcp_forward_settings *settings = gateway->settings;
  struct kcp_resend_budget *budget = g_hash_table_lookup (gateway->budgets, service);
  double burst
      = settings->retry_burst * RETRY_BUDGET_SHARE / MAX (gateway->sharing_vms, 1u);

  if (budget == NULL)
    {
      budget = g_new0 (struct kcp_resend_budget, 1);
      kcp_resend_budget_init (budget, settings->retry_ratio * RETRY_BUDGET_SHARE, burst,
                              (int64_t)(settings->retry_window_s * KCP_NS_PER_S),
                              kcp_loop_now (gateway->loop));
      g_hash_table_insert (gateway->budgets, g_strdup (service), budget);
    }
  budget->burst = burst;
  return budget;
}

/* Returns true if the load balancer should send new connections to this VM. */
bool
kcp_gateway_is_ready (const struct kcp_gateway *gateway)
{
  return !gateway->draining && gateway->routes != NULL;
}

static void
on_crash (void *user, const struct kcp_crash *crash)
{
  kcp_crash_suspects_add (user, crash);
}

static void
desired_weights_free (gpointer data)
{
  struct kcp_desired_weights *desired = data;

  g_free (desired->model);
  g_free (desired);
}
