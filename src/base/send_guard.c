#include "base/send_guard.h"

#include "base/counter.h"

/* Returns false if the request was sent before and may not be sent again; records that.
   To be called when a connection is ready; the caller sets sent if it goes on. */
bool
kcp_send_guard_allows (struct kcp_send_guard *guard)
{
  if (!guard->sent || guard->may_repeat)
    return true;
  guard->prevented = true;
  kcp_counter_add (KCP_COUNT_REPEATS_PREVENTED, 1);
  return false;
}
