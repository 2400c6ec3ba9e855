#include "policy/backlog.h"

#define US_PER_MS 1000
/* Shorter prompts go between the pieces in which others are read. */
#define LONG_READ_US (40 * US_PER_MS)
/* Of the caller's time, what may pass before the reading begins. Servers read for several
   prompts by turns and answer in between, so that the whole takes several times as long.
 */
#define WAIT_SHARE 4

/* Tells whether the prompt is refused at once. */
bool
kcp_backlog_refuses (const struct kcp_backlog *backlog)
{
  return backlog->prefill_us >= LONG_READ_US
         && backlog->wait_us > backlog->remaining_ms * US_PER_MS / WAIT_SHARE;
}
