/* Determines the time after which a refused caller should retry. The result depends on
   the arguments alone.

   Load pattern: all servers are briefly busy or unavailable, and many callers are refused
   in that time. Their retries are spread over an interval that follows the moment at
   which a server is expected to be free, so that they do not arrive as one burst. A
   caller with little time left retries sooner, because a later retry could not be
   answered before its deadline. */
#ifndef KCP_POLICY_RETRY_AFTER_H
#define KCP_POLICY_RETRY_AFTER_H

#include <stdint.h>

int64_t
kcp_retry_after_ms (int64_t free_in_ms, int64_t remaining_ms, uint64_t random_value);

#endif
