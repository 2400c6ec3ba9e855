#include "policy/backlog.h"

#define US_PER_MS 1000
/* Shorter prompts are processed between the chunks of longer prefills. */
#define LONG_PREFILL_US (40 * US_PER_MS)
/* The wait before the prefill may take at most this fraction (1 / WAIT_DIVISOR) of the
   caller's remaining time. Servers prefill several prompts in turn and generate answers
   in between, so the whole prefill takes several times as long. */
#define WAIT_DIVISOR 4

/* Returns true if the prompt is to be refused at once. */
bool
kcp_backlog_refuses (const struct kcp_backlog *backlog)
{
  int64_t remaining_us = backlog->remaining_ms * US_PER_MS;

  if (backlog->prefill_us < LONG_PREFILL_US)
    return false;
  if (backlog->resumed)
    return backlog->wait_us + backlog->prefill_us > remaining_us;
  return backlog->wait_us > remaining_us / WAIT_DIVISOR;
}
