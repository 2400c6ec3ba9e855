#include "policy/peer_load.h"

/* Age up to which a report counts in full. */
#define FULL_AGE_MS 500

/* Returns the part of a load reported age_ms ago that still counts: all of it while the
   report is recent, then less in proportion to the age, rounded up. */
int64_t
kcp_peer_load_weigh (int64_t load, int64_t age_ms)
{
  const int64_t span_ms = KCP_PEER_LOAD_MAX_AGE_MS - FULL_AGE_MS;
  int64_t left_ms = KCP_PEER_LOAD_MAX_AGE_MS - age_ms;

  if (age_ms <= FULL_AGE_MS)
    return load;
  if (left_ms <= 0)
    return 0;
  return (load * left_ms + span_ms - 1) / span_ms;
}
