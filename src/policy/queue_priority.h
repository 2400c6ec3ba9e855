/* A request's rank among those that wait at a server. Pure.

   Load pattern: long prompts of one route and short questions of another wait at the same
   server, for teams of which most have the same rank. The team's rank goes first; among
   requests of one rank of teams the route's decides, so that short urgent ones do not
   wait behind long prompts. */
#ifndef KCP_POLICY_QUEUE_PRIORITY_H
#define KCP_POLICY_QUEUE_PRIORITY_H

#define KCP_QUEUE_PRIORITY_LOWEST 9 /* 0 is the first */

int kcp_queue_priority (int route_priority, int team_priority);

#endif
