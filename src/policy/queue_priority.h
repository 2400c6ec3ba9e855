/* Computes the priority of a request in the queue of a server. The result depends on the
   arguments alone.

   Load pattern: long prompts of one route and short questions of another wait at the same
   server, and most of their teams have the same priority. The priority of the team is
   compared first. Among teams of the same priority, the priority of the route decides, so
   that short urgent requests do not wait behind long prompts. */
#ifndef KCP_POLICY_QUEUE_PRIORITY_H
#define KCP_POLICY_QUEUE_PRIORITY_H

#define KCP_QUEUE_PRIORITY_LOWEST 9 /* 0 is the highest */

int kcp_queue_priority (int route_priority, int team_priority);

#endif
