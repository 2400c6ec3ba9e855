#include "policy/retry_after.h"

#define LEAST_MS  100
#define SPREAD_MS 400
/* The most of a caller's remaining time that may pass until it returns. */
#define LEFT_SHARE 3

/* Returns the wait in milliseconds: behind free_in_ms, spread by draw, a uniform random
   number, and at most a third of remaining_ms; remaining_ms 0: not known. */
int64_t
kcp_retry_after_ms (int64_t free_in_ms, int64_t remaining_ms, uint64_t draw)
{
  int64_t wait_ms = LEAST_MS + free_in_ms + (int64_t)(draw % SPREAD_MS);
  int64_t most_ms = remaining_ms / LEFT_SHARE;

  if (remaining_ms > 0 && wait_ms > most_ms)
    return most_ms;
  return wait_ms;
}
