#include "policy/retry_after.h"

#define MIN_MS    100
#define SPREAD_MS 400
/* The wait is at most this fraction (1 / REMAINING_DIVISOR) of the caller's remaining
   time. */
#define REMAINING_DIVISOR 3

/* Returns the time to wait in milliseconds. It is somewhat longer than free_in_ms, the
   expected time until a server is free, and is spread by random_value, a uniform random
   number. It is at most a third of remaining_ms, the caller's remaining time; 0 means
   that this time is unknown. */
int64_t
kcp_retry_after_ms (int64_t free_in_ms, int64_t remaining_ms, uint64_t random_value)
{
  int64_t wait_ms = MIN_MS + free_in_ms + (int64_t)(random_value % SPREAD_MS);
  int64_t max_ms = remaining_ms / REMAINING_DIVISOR;

  if (remaining_ms > 0 && wait_ms > max_ms)
    return max_ms;
  return wait_ms;
}
