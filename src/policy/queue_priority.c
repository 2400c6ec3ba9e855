#include "policy/queue_priority.h"

#include "route/routes.h"

#define ROUTE_LEVELS 3 /* route priorities distinguished within one team priority */

/* Returns the priority; 0 is the most urgent. If team_priority is KCP_PRIORITY_NONE,
   only the priority of the route counts. */
int
kcp_queue_priority (int route_priority, int team_priority, bool resumed)
{
  int route;
  int priority;

  if (resumed)
    route_priority = 0;
  route = route_priority < ROUTE_LEVELS ? route_priority : ROUTE_LEVELS - 1;
  if (team_priority == KCP_PRIORITY_NONE)
    return route_priority < KCP_QUEUE_PRIORITY_LOWEST ? route_priority
                                                      : KCP_QUEUE_PRIORITY_LOWEST;
  priority = team_priority * ROUTE_LEVELS + route;
  return priority < KCP_QUEUE_PRIORITY_LOWEST ? priority : KCP_QUEUE_PRIORITY_LOWEST;
}
