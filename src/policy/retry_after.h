/* When a refused caller should come back. Pure.

   Load pattern: servers that are all busy or gone for a moment, and many callers refused
   within it. Callers are spread over a span behind the moment at which a server is
   believed to be free, so that they do not return as one burst; one with little time left
   returns sooner, since a later return could not be answered in time. */
#ifndef KCP_POLICY_RETRY_AFTER_H
#define KCP_POLICY_RETRY_AFTER_H

#include <stdint.h>

int64_t kcp_retry_after_ms (int64_t free_in_ms, int64_t remaining_ms, uint64_t draw);

#endif
