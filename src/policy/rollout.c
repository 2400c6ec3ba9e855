#include "policy/rollout.h"

#define LOADING_LEAST  2u
#define SERVERS_A_LOAD 5u /* servers for each that may load at once */

static unsigned count_current (const struct kcp_rollout_server *servers, size_t count,
                               unsigned data_center, int64_t wanted);
static bool goes_before (const struct kcp_rollout_server *a, unsigned a_current,
                         const struct kcp_rollout_server *b, unsigned b_current);

/* Returns how many of count servers may load at once. */
unsigned
kcp_rollout_limit (size_t count)
{
  unsigned share = (unsigned)(count / SERVERS_A_LOAD);

  return share > LOADING_LEAST ? share : LOADING_LEAST;
}

/* Returns the index of the server to be brought to the wanted version next, or
   KCP_ROLLOUT_NONE. */
int
kcp_rollout_choose (const struct kcp_rollout_server *servers, size_t count,
                    int64_t wanted, unsigned limit)
{
  unsigned loading = 0;
  unsigned best_current = 0;
  int best = KCP_ROLLOUT_NONE;

  for (size_t i = 0; i < count; i++)
    loading += servers[i].loading;
  if (loading >= limit)
    return KCP_ROLLOUT_NONE;
  for (size_t i = 0; i < count; i++)
    {
      unsigned current;

      if (!servers[i].eligible || servers[i].version >= wanted || servers[i].loading)
        continue;
      current = count_current (servers, count, servers[i].data_center, wanted);
      if (best != KCP_ROLLOUT_NONE
          && !goes_before (&servers[i], current, &servers[best], best_current))
        continue;
      best = (int)i;
      best_current = current;
    }
  return best;
}

/* Counts the servers there that are current or on the way. */
static unsigned
count_current (const struct kcp_rollout_server *servers, size_t count,
               unsigned data_center, int64_t wanted)
{
  unsigned current = 0;

  for (size_t i = 0; i < count; i++)
    if (servers[i].data_center == data_center
        && (servers[i].version >= wanted || servers[i].loading))
      current++;
  return current;
}

static bool
goes_before (const struct kcp_rollout_server *a, unsigned a_current,
             const struct kcp_rollout_server *b, unsigned b_current)
{
  if (a->version != b->version)
    return a->version < b->version;
  if (a_current != b_current)
    return a_current < b_current;
  return a->in_flight < b->in_flight;
}
