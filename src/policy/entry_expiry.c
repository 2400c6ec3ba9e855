#include "policy/entry_expiry.h"

/* Takes in whether a call to the store was answered. Returns true if that ended or began
   an outage. */
bool
kcp_entry_expiry_on_store_call (struct kcp_entry_expiry *lapse, bool answered,
                                int64_t now_ns)
{
  int64_t since = lapse->failing_since_ns;

  if (answered == (since == 0))
    return false;
  lapse->failing_since_ns = answered ? 0 : now_ns;
  if (answered && now_ns - since >= lapse->min_outage_ns)
    lapse->outage_end_ns = now_ns;
  return true;
}

/* Returns when a server whose entry's removal was read at now_ns is to be taken as gone.
 */
int64_t
kcp_entry_expiry_removal_ns (const struct kcp_entry_expiry *lapse, int64_t now_ns)
{
  int64_t held_ns = lapse->outage_end_ns + lapse->grace_ns;

  if (lapse->outage_end_ns == 0 || held_ns < now_ns)
    return now_ns;
  return held_ns;
}
