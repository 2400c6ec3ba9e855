/* When a server whose entry was removed is taken as gone. Pure.

   Load pattern: the platform's store is away for seconds, the servers' entries lapse with
   it, and all of them are removed at once when it returns, although the servers live and
   write their entries again soon. Taking them away at once would leave no server. */
#ifndef KCP_POLICY_ENTRY_EXPIRY_H
#define KCP_POLICY_ENTRY_EXPIRY_H

#include <stdbool.h>
#include <stdint.h>

/* What this VM has seen of the store. Times in nanoseconds; 0: never. */
struct kcp_entry_expiry
{
  int64_t min_outage_ns; /* a shorter one lets no entry lapse */
  int64_t grace_ns;      /* servers that live have their entries back by then */
  int64_t failing_since_ns;
  int64_t outage_end_ns; /* the last long outage's end */
};

bool kcp_entry_expiry_on_store_call (struct kcp_entry_expiry *lapse, bool answered,
                                     int64_t now_ns);
int64_t
kcp_entry_expiry_removal_ns (const struct kcp_entry_expiry *lapse, int64_t now_ns);

#endif
