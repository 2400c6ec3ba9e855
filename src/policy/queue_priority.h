/* Computes the priority of a request in the queue of a server. The result depends on the
   arguments alone.

   Load pattern: long prompts of one route and short questions of another wait at the same
   server, and most of their teams have the same priority. The priority of the team is
   compared first. Among teams of the same priority, the priority of the route decides, so
   that short urgent requests do not wait behind long prompts. A stream that its caller
   resumes counts as one of the most urgent route: it has less time left than a new one,
   and the caller loses the part that it has. */
#ifndef KCP_POLICY_QUEUE_PRIORITY_H
#define KCP_POLICY_QUEUE_PRIORITY_H

#include <stdbool.h>

#define KCP_QUEUE_PRIORITY_LOWEST 9 /* 0 is the highest */

int kcp_queue_priority (int route_priority, int team_priority, bool resumed);

#endif
