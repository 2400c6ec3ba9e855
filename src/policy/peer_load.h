/* Determines how much of the load that another VM has reported of a server still counts.
   The result depends on the arguments alone.

   Load pattern: hundreds of VMs send to the same servers, and a VM hears of the others at
   intervals from a tenth of a second to half a minute. A request is at a server for some
   tenths of a second, so an old report names requests that have ended. If it counted in
   full, all VMs would avoid servers that have been idle for long, and would send to those
   that were idle when last heard of. */
#ifndef KCP_POLICY_PEER_LOAD_H
#define KCP_POLICY_PEER_LOAD_H

#include <stdint.h>

/* Age from which a report no longer counts. */
#define KCP_PEER_LOAD_MAX_AGE_MS 3000

int64_t kcp_peer_load_weigh (int64_t load, int64_t age_ms);

#endif
