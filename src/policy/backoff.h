/* Decides for how long a server gets no requests after it has asked for a pause or said
   that it is leaving. The result depends on the arguments alone.

   Load pattern: all servers of a service turn requests away at once and say when to come
   back, while callers go on sending; or a server that is about to end answers while the
   servers' list still shows it as ready. Requests to a server that has asked for a pause
   would be refused, so none is sent. A leaving server runs for some time yet; it is the
   last choice during the first part of that time, so that a service with no other server
   is not interrupted by an announcement. */
#ifndef KCP_POLICY_BACKOFF_H
#define KCP_POLICY_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

int64_t kcp_backoff_until_ns (int64_t until_ns, int64_t retry_after_ms, int64_t now_ns);
bool
kcp_backoff_allows_leaving (int64_t leaving_since_ns, int64_t leaving_ms, int64_t now_ns);

#endif
