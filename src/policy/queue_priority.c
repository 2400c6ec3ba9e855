#include "policy/queue_priority.h"

#include "route/routes.h"

#define ROUTE_RANKS 3 /* ranks of routes that are told apart within one of teams */

/* Returns the rank, 0 for the most urgent; team_priority KCP_PRIORITY_NONE: the team has
   none, and the route's counts alone. */
int
kcp_queue_priority (int route_priority, int team_priority)
{
  int route = route_priority < ROUTE_RANKS ? route_priority : ROUTE_RANKS - 1;
  int rank;

  if (team_priority == KCP_PRIORITY_NONE)
    return route_priority < KCP_QUEUE_PRIORITY_LOWEST ? route_priority
                                                      : KCP_QUEUE_PRIORITY_LOWEST;
  rank = team_priority * ROUTE_RANKS + route;
  return rank < KCP_QUEUE_PRIORITY_LOWEST ? rank : KCP_QUEUE_PRIORITY_LOWEST;
}
