#include "policy/entry_expiry.h"

static bool failed_lately (const struct kcp_entry_expiry *expiry, int64_t now_ns);

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
  if (answered)
    expiry->failing_end_ns = now_ns;
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

/* Returns the time at which to remove a server whose removal another VM relayed at now_ns
   and delayed until relayed_ns. That VM cannot tell a store that was down from a path of
   its own that was cut. The delay holds here only if this VM was without the store too,
   if only for a moment: it may have noticed the outage later than the other. */
int64_t
kcp_entry_expiry_relayed_removal_ns (const struct kcp_entry_expiry *expiry,
                                     int64_t relayed_ns, int64_t now_ns)
{
  return expiry->failing_since_ns != 0 || failed_lately (expiry, now_ns) ? relayed_ns
                                                                         : now_ns;
}

/* Returns true if entries that expired in an outage of the store may be written again at
   now_ns by servers that live. A VM that has just started has seen a part of the outage
   at most, so that the shortest one counts. */
bool
kcp_entry_expiry_entries_return (const struct kcp_entry_expiry *expiry, int64_t now_ns)
{
  return failed_lately (expiry, now_ns)
         || (expiry->outage_end_ns != 0
             && now_ns - expiry->outage_end_ns < expiry->grace_ns);
}

/* Returns true if a call to the store failed within the grace period. */
static bool
failed_lately (const struct kcp_entry_expiry *expiry, int64_t now_ns)
{
  return expiry->failing_end_ns != 0
         && now_ns - expiry->failing_end_ns < expiry->grace_ns;
}
