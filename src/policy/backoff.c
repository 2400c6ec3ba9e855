#include "policy/backoff.h"

#include <glib.h>

#include "base/clock.h"

/* A server that asks for more is tried again after this time. */
#define RETRY_AFTER_MAX_MS (3600 * (int64_t)KCP_MS_PER_S)
/* Part of the time that a leaving server runs, in which new requests may still reach and
   leave it: the inverse of this number. */
#define LEAVING_USE_DIVISOR 2

/* Returns until when a server gets no requests that asks for a pause of retry_after_ms
   now. until_ns is the end of an earlier pause, which a shorter one does not end. Times
   that are not positive are ignored. */
int64_t
kcp_backoff_until_ns (int64_t until_ns, int64_t retry_after_ms, int64_t now_ns)
{
  if (retry_after_ms <= 0)
    return until_ns;
  return MAX (until_ns,
              now_ns + MIN (retry_after_ms, RETRY_AFTER_MAX_MS) * KCP_NS_PER_MS);
}

/* Returns true if a server that has said at leaving_since_ns that it is leaving, and runs
   for leaving_ms at least from then on, may still be the last choice. */
bool
kcp_backoff_allows_leaving (int64_t leaving_since_ns, int64_t leaving_ms, int64_t now_ns)
{
  return now_ns
         < leaving_since_ns + leaving_ms / LEAVING_USE_DIVISOR * (int64_t)KCP_NS_PER_MS;
}
