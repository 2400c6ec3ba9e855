#include "policy/entry_expiry.h"

/* Records whether a call to the store was answered. Returns true if an outage began or
   ended with this call. */
bool
kcp_entry_expiry_on_store_call (struct kcp_entry_expiry *expiry, bool answered,
                                int64_t now_ns)
{
  int64_t since = expiry->failing_since_ns;

  if (answered == (since == 0))
    return false;
  expiry->failing_since_ns = answered ? 0 : now_ns;
  if (answered && now_ns - since >= expiry->min_outage_ns)
    expiry->outage_end_ns = now_ns;
  return true;
}

/* Records that the store came back from an older copy, which may lack entries of servers
   that live. It is as after an outage, however short this one was. */
void
kcp_entry_expiry_on_new_era (struct kcp_entry_expiry *expiry, int64_t now_ns)
{
  expiry->outage_end_ns = now_ns;
}

/* Returns the time at which to remove a server whose entry was found removed at
   now_ns. */
int64_t
kcp_entry_expiry_removal_ns (const struct kcp_entry_expiry *expiry, int64_t now_ns)
{
  int64_t grace_end_ns = expiry->outage_end_ns + expiry->grace_ns;

  if (expiry->outage_end_ns == 0 || grace_end_ns < now_ns)
    return now_ns;
  return grace_end_ns;
}
