/* Estimates how often a server fails requests compared with the other servers of its
   service (outlier detection), as a cost for placement. The result depends on the
   arguments alone.

   Load pattern: one server of several answers with errors at once, refuses what it gets,
   or does not accept connections. Nothing stays in flight there, so by load alone it
   looks like the best server and attracts most of the traffic. Its failures therefore
   count as a cost. Where all servers fail alike, as for requests that are bad themselves,
   the cost is the same for all and nothing changes. No server is excluded: evidence
   halves every few seconds, so the cost falls by steps, and a request now and then tests
   the server. */
#ifndef KCP_POLICY_SERVER_HEALTH_H
#define KCP_POLICY_SERVER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* How an attempt ended, as far as it tells of the server. */
enum kcp_server_outcome
{
  KCP_OUTCOME_SUCCESS,
  KCP_OUTCOME_FAILURE,  /* an error of the server, or no valid answer */
  KCP_OUTCOME_REFUSAL,  /* not run */
  KCP_OUTCOME_UNREACHED /* no connection */
};

/* Outcomes counted with weights. All members are 0 at the start. */
struct kcp_outcome_counts
{
  double successes;
  double failures;
};

struct kcp_server_health
{
  struct kcp_outcome_counts counts; /* as of counted_ns */
  int64_t counted_ns;
};

void kcp_outcome_counts_add (struct kcp_outcome_counts *counts,
                             enum kcp_server_outcome outcome);
void kcp_server_health_record (struct kcp_server_health *health,
                               enum kcp_server_outcome outcome, int64_t now_ns);
void kcp_server_health_merge (struct kcp_server_health *health,
                              const struct kcp_outcome_counts *counts, int64_t now_ns);
void kcp_server_health_forgive (struct kcp_server_health *health, int64_t now_ns);
struct kcp_outcome_counts
kcp_server_health_counts (const struct kcp_server_health *health, int64_t now_ns);
int64_t kcp_server_health_cost_us (const struct kcp_outcome_counts *own,
                                   const struct kcp_outcome_counts *service);

#endif
