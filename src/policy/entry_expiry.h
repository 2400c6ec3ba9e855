/* Decides when a server whose entry was removed from the platform's store is removed from
   the server table. The result depends on the arguments alone.

   Load pattern: the store is unavailable for seconds, the entries of the servers expire
   during that time, and all of them are removed together when the store recovers,
   although the servers are alive and soon write their entries again. If the servers were
   removed immediately, none would be left. */
#ifndef KCP_POLICY_ENTRY_EXPIRY_H
#define KCP_POLICY_ENTRY_EXPIRY_H

#include <stdbool.h>
#include <stdint.h>

/* Store outages as observed by this VM. Times in nanoseconds; 0: never. */
struct kcp_entry_expiry
{
  int64_t min_outage_ns; /* no entry expires in a shorter outage */
  int64_t grace_ns;      /* time in which live servers write their entries again */
  int64_t failing_since_ns;
  int64_t failing_end_ns; /* end of the last outage, however short it was */
  int64_t outage_end_ns;  /* end of the last outage of at least min_outage_ns */
};

bool kcp_entry_expiry_on_store_call (struct kcp_entry_expiry *expiry, bool answered,
                                     int64_t now_ns);
void kcp_entry_expiry_on_new_era (struct kcp_entry_expiry *expiry, int64_t now_ns);
int64_t
kcp_entry_expiry_removal_ns (const struct kcp_entry_expiry *expiry, int64_t now_ns);
int64_t kcp_entry_expiry_relayed_removal_ns (const struct kcp_entry_expiry *expiry,
                                             int64_t relayed_ns, int64_t now_ns);

bool
kcp_entry_expiry_entries_return (const struct kcp_entry_expiry *expiry, int64_t now_ns);

#endif
