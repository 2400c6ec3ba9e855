#include <string.h>

#include "forward/mesh.h"
#include "forward/rollout_private.h"
#include "policy/rollout.h"

#define LOOK_MS          100 /* while servers have old weights */
#define IDLE_LOOK_MS     1000
#define DATA_CENTERS_MAX 64u
/* The right to give orders. It is short, so that another VM can soon take over from one
   that died; a right that is used is renewed before it ends. */
#define CLAIM_VALID_MS 1500
#define CLAIM_RENEW_MS 700
/* Clocks of two VMs run apart, and an order may be on its way. */
#define CLAIM_MARGIN_MS 500
#define CLAIM_READ_MS   900
#define ORDER_LEFT_MS   500

static void look (void *user);
static bool contends (struct kcp_rollout *rollout, int64_t now_ns);
static int64_t last_sign (const struct kcp_rollout *rollout, int64_t now_ns);
static const struct kcp_named_weights *find_need (struct kcp_rollout *rollout);
static bool
needs (const struct kcp_server *server, const struct kcp_named_weights *named);
static void give_orders (struct kcp_rollout *rollout);
static void gather (struct kcp_rollout *rollout, const struct kcp_named_weights *named,
                    struct kcp_rollout_server *out);
static unsigned
number_data_center (const char *name, const char **names, unsigned *count);

/* Starts; gateway and store must outlive the rollout. */
struct kcp_rollout *
kcp_rollout_start (struct kcp_gateway *gateway, const struct kcp_store *store)
{
  struct kcp_rollout *rollout = g_new0 (struct kcp_rollout, 1);
  int64_t turn_ms = gateway->settings->orders_lease_ms;
  struct kcp_claim_times times = {
    .valid_ns = CLAIM_VALID_MS * KCP_NS_PER_MS,
    .renew_ns = CLAIM_RENEW_MS * KCP_NS_PER_MS,
    .pause_ns = (CLAIM_VALID_MS + turn_ms + CLAIM_MARGIN_MS) * KCP_NS_PER_MS,
    .read_ns = CLAIM_READ_MS * KCP_NS_PER_MS,
    .order_ns = ORDER_LEFT_MS * KCP_NS_PER_MS,
  };

  rollout->gateway = gateway;
  rollout->store = store;
  rollout->orders = g_ptr_array_new_with_free_func (kcp_rollout_order_free);
  rollout->record = g_string_new (NULL);
  kcp_claim_init (&rollout->claim, gateway->settings->callers_listen, &times);
  kcp_rollout_look (rollout);
  return rollout;
}

/* Forgets the orders under way and frees the rollout; NULL is allowed. */
void
kcp_rollout_stop (struct kcp_rollout *rollout)
{
  if (rollout == NULL)
    return;
  kcp_loop_timer_cancel (&rollout->look);
  g_ptr_array_unref (rollout->orders);
  g_string_free (rollout->record, TRUE);
  g_free (rollout);
}

/* Looks soon at what there is to do. */
void
kcp_rollout_look (struct kcp_rollout *rollout)
{
  struct kcp_loop *loop = rollout->gateway->loop;

  kcp_loop_timer_set (loop, &rollout->look, kcp_loop_now (loop), look, rollout);
}

static void
look (void *user)
{
  struct kcp_rollout *rollout = user;
  struct kcp_loop *loop = rollout->gateway->loop;
  int64_t now = kcp_loop_now (loop);
  bool needed = find_need (rollout) != NULL;
  int64_t wait_ns = (needed ? LOOK_MS : IDLE_LOOK_MS) * KCP_NS_PER_MS;
  bool wanted;
  int64_t until;

  if (needed && !rollout->needed)
    rollout->needed_since_ns = now;
  rollout->needed = needed;
  wanted = needed && !rollout->gateway->draining && contends (rollout, now);
  switch (kcp_claim_step (&rollout->claim, wanted, now, &until))
    {
    case KCP_CLAIM_WAIT:
      break;
    case KCP_CLAIM_READ:
      kcp_rollout_read_claim (rollout);
      break;
    case KCP_CLAIM_APPEND:
      kcp_rollout_append_claim (rollout);
      break;
    case KCP_CLAIM_HELD:
      give_orders (rollout);
      break;
    }
  kcp_loop_timer_set (loop, &rollout->look, now + wait_ns, look, rollout);
}

static bool
contends (struct kcp_rollout *rollout, int64_t now_ns)
{
  struct kcp_claim_contest contest = {
    .first = kcp_mesh_is_first (rollout->gateway->mesh),
    .holds = kcp_claim_is_held (&rollout->claim, now_ns),
    .quiet_ns = now_ns - MAX (rollout->needed_since_ns, last_sign (rollout, now_ns)),
  };

  return kcp_claim_contends (&contest);
}

/* Returns when a server was last seen to take new weights, or to have taken them. */
static int64_t
last_sign (const struct kcp_rollout *rollout, int64_t now_ns)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  int64_t sign_ns = 0;

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);

      sign_ns = MAX (sign_ns, server->version_learned_ns);
      sign_ns = MAX (sign_ns, MIN (server->loading_until_ns, now_ns));
    }
  return sign_ns;
}

/* Returns named weights that some server lacks, or NULL. */
static const struct kcp_named_weights *
find_need (struct kcp_rollout *rollout)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);

  for (guint i = 0; i < rollout->gateway->weights->len; i++)
    {
      const struct kcp_named_weights *named
          = g_ptr_array_index (rollout->gateway->weights, i);

      for (guint j = 0; j < servers->len; j++)
        if (needs (g_ptr_array_index (servers, j), named))
          return named;
    }
  return NULL;
}

static bool
needs (const struct kcp_server *server, const struct kcp_named_weights *named)
{
  int64_t version = kcp_server_version (server, named->model);

  return server->entry.state == KCP_SERVER_READY && version > 0
         && version < named->version;
}

static void
give_orders (struct kcp_rollout *rollout)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  const struct kcp_named_weights *named;
  g_autoptr (GArray) table
      = g_array_new (FALSE, TRUE, sizeof (struct kcp_rollout_server));
  struct kcp_rollout_server *facts;

  g_array_set_size (table, servers->len);
  facts = (struct kcp_rollout_server *)(void *)table->data;
  while (kcp_claim_may_order (&rollout->claim, kcp_loop_now (rollout->gateway->loop))
         && (named = find_need (rollout)) != NULL)
    {
      size_t carriers = 0;
      int at;

      gather (rollout, named, facts);
      for (guint i = 0; i < servers->len; i++)
        carriers += facts[i].able;
      at = kcp_rollout_choose (facts, servers->len, named->version,
                               kcp_rollout_limit (carriers));
      if (at == KCP_ROLLOUT_NONE)
        return;
      kcp_rollout_begin_order (rollout, g_ptr_array_index (servers, (guint)at), named);
    }
}

static void
gather (struct kcp_rollout *rollout, const struct kcp_named_weights *named,
        struct kcp_rollout_server *out)
{
  const GPtrArray *servers = kcp_servers_all (rollout->gateway->servers);
  const char *names[DATA_CENTERS_MAX];
  unsigned count = 0;

  kcp_mesh_sum (rollout->gateway->mesh);
  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      int64_t version = kcp_server_version (server, named->model);

      out[i] = (struct kcp_rollout_server){
        .able = server->entry.state == KCP_SERVER_READY && version > 0,
        .version = version,
        .loading = kcp_rollout_find_order (rollout, server) != NULL,
        .data_center = number_data_center (server->entry.data_center, names, &count),
        .open = server->open + server->others_open,
      };
    }
}

static unsigned
number_data_center (const char *name, const char **names, unsigned *count)
{
  for (unsigned i = 0; i < *count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  if (*count == DATA_CENTERS_MAX)
    return DATA_CENTERS_MAX;
  names[*count] = name;
  return (*count)++;
}
