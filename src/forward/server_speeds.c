#include "forward/server_speeds.h"

/* Samples arrive about once a second, so each choice need not sum them up anew. */
#define MAX_AGE_NS (250 * KCP_NS_PER_MS)

static GHashTable *sum_by_service (const GPtrArray *servers, int64_t now_ns);

/* Computes the slowness of all servers, unless that was done a moment ago. */
void
kcp_server_speeds_refresh (struct kcp_gateway *gateway)
{
  const GPtrArray *servers = kcp_servers_all (gateway->servers);
  int64_t now = kcp_loop_now (gateway->loop);
  g_autoptr (GHashTable) sums = NULL;

  if (gateway->speeds_ns != 0 && now - gateway->speeds_ns < MAX_AGE_NS)
    return;
  gateway->speeds_ns = now;
  sums = sum_by_service (servers, now);
  for (guint i = 0; i < servers->len; i++)
    {
      struct kcp_server *server = g_ptr_array_index (servers, i);
      struct kcp_speed_samples own = kcp_server_speed_samples (&server->speed, now);

      server->slowness = kcp_server_speed_slowness (
          &own, g_hash_table_lookup (sums, server->entry.service));
    }
}

/* Returns the samples of each service: name -> struct kcp_speed_samples. The names are
   those of the servers' entries. */
static GHashTable *
sum_by_service (const GPtrArray *servers, int64_t now_ns)
{
  GHashTable *sums = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);

  for (guint i = 0; i < servers->len; i++)
    {
      const struct kcp_server *server = g_ptr_array_index (servers, i);
      struct kcp_speed_samples own = kcp_server_speed_samples (&server->speed, now_ns);
      struct kcp_speed_samples *sum = g_hash_table_lookup (sums, server->entry.service);

      if (sum == NULL)
        {
          sum = g_new0 (struct kcp_speed_samples, 1);
          g_hash_table_insert (sums, server->entry.service, sum);
        }
      sum->count += own.count;
      sum->log_sum += own.log_sum;
    }
  return sums;
}
