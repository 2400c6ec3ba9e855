#include "policy/rollout.h"

#define LOADING_MIN      2u /* servers that may load together in a small deployment */
#define SERVERS_PER_LOAD 5u /* one server may load per this number of servers */
/* One server may load, or complete its requests before that, per this number of servers.
 */
#define SERVERS_PER_ORDER 4u

static bool
may_start (const struct kcp_rollout_server *servers, size_t count, unsigned limit);
static unsigned count_current (const struct kcp_rollout_server *servers, size_t count,
                               unsigned data_center, int64_t desired_version);
static bool precedes (const struct kcp_rollout_server *a, unsigned a_current,
                      const struct kcp_rollout_server *b, unsigned b_current);

/* Returns how many of count servers may load at the same time. */
unsigned
kcp_rollout_limit (size_t count)
{
  unsigned share = (unsigned)(count / SERVERS_PER_LOAD);

  return share > LOADING_MIN ? share : LOADING_MIN;
}

/* Returns how many of count servers may load at the same time so that the last one has
   loaded in time: as many as kcp_rollout_limit() says, and more if that is too slow, up
   to half of them. */
unsigned
kcp_rollout_paced_limit (size_t count, const struct kcp_rollout_pace *pace)
{
  unsigned limit = kcp_rollout_limit (count);
  unsigned max = (unsigned)((count + 1) / 2);
  int64_t needed = max;

  if (pace->left_ns > 0)
    needed = (pace->outdated * pace->order_ns + pace->left_ns - 1) / pace->left_ns;
  if (needed > max)
    needed = max;
  return needed > limit ? (unsigned)needed : limit;
}

/* Returns the index of the server that should load the desired version next, or
   KCP_ROLLOUT_NONE. */
int
kcp_rollout_choose (const struct kcp_rollout_server *servers, size_t count,
                    int64_t desired_version, unsigned limit)
{
  unsigned best_current = 0;
  int best = KCP_ROLLOUT_NONE;

  if (!may_start (servers, count, limit))
    return KCP_ROLLOUT_NONE;
  for (size_t i = 0; i < count; i++)
    {
      unsigned current;

      if (!servers[i].eligible || servers[i].version >= desired_version
          || servers[i].loading)
        continue;
      current = count_current (servers, count, servers[i].data_center, desired_version);
      if (best != KCP_ROLLOUT_NONE
          && !precedes (&servers[i], current, &servers[best], best_current))
        continue;
      best = (int)i;
      best_current = current;
    }
  return best;
}

/* Returns true if one more order may be sent: fewer than limit servers are loading. A
   server completes its requests before it loads, and further servers may do so
   meanwhile. */
static bool
may_start (const struct kcp_rollout_server *servers, size_t count, unsigned limit)
{
  unsigned eligible = 0;
  unsigned ordered = 0;
  unsigned loading = 0;
  unsigned ordered_max;

  for (size_t i = 0; i < count; i++)
    {
      eligible += servers[i].eligible;
      ordered += servers[i].loading;
      loading += servers[i].loading && servers[i].in_flight == 0;
    }
  ordered_max = eligible / SERVERS_PER_ORDER;
  if (ordered_max < limit)
    ordered_max = limit;
  return loading < limit && ordered < ordered_max;
}

/* Counts the servers of a data center that have the desired version or are loading. */
static unsigned
count_current (const struct kcp_rollout_server *servers, size_t count,
               unsigned data_center, int64_t desired_version)
{
  unsigned current = 0;

  for (size_t i = 0; i < count; i++)
    if (servers[i].data_center == data_center
        && (servers[i].version >= desired_version || servers[i].loading))
      current++;
  return current;
}

/* Returns true if a should load before b. a_current and b_current are the numbers of
   current servers in their data centers. */
static bool
precedes (const struct kcp_rollout_server *a, unsigned a_current,
          const struct kcp_rollout_server *b, unsigned b_current)
{
  if (a->failed_orders != b->failed_orders)
    return a->failed_orders < b->failed_orders;
  if (a->version != b->version)
    return a->version < b->version;
  if (a_current != b_current)
    return a_current < b_current;
  return a->in_flight < b->in_flight;
}
