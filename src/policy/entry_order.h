/* Decides whether an entry of the servers' list is newer than what is known of its
   server. The result depends on the arguments alone.

   Load pattern: the store carries out a write seconds after it was sent, when newer
   writes, or the removal of the entry, have been acknowledged. The order in which entries
   are read is that in which they were carried out, not that in which the server wrote
   them; a server numbers its entries and begins anew when it starts. The list may skip
   numbers: a heartbeat that changes nothing else leaves no record. So the number of an
   entry that follows a removal does not show whether it was sent before it. */
#ifndef KCP_POLICY_ENTRY_ORDER_H
#define KCP_POLICY_ENTRY_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_ENTRY_UNNUMBERED (-1)
#define KCP_ENTRY_NO_OFFSET  (-1)

/* What orders an entry. */
struct kcp_entry_order
{
  int64_t started_ms; /* Unix time at which the server started; 0: not given */
  int64_t sequence;   /* number of the entry since then, or KCP_ENTRY_UNNUMBERED */
  int64_t offset;     /* of its record, or KCP_ENTRY_NO_OFFSET */
  bool draining;      /* the server accepts no new requests */
  bool in_copy;       /* listed by a store that came back from an older copy */
};

/* What is known of a server's entries. */
struct kcp_known_entry
{
  struct kcp_entry_order order; /* of the newest */
  bool start_ahead; /* its start was ahead of this VM's clock when it was read */
  bool removed;     /* the entry was removed since */
  bool unreached;   /* the server could not be reached as it was removed */
};

enum kcp_entry_age
{
  KCP_ENTRY_NEWER,
  KCP_ENTRY_OLDER,
  KCP_ENTRY_RETURNED /* by a live server, or by a write that was carried out late */
};

enum kcp_entry_age kcp_entry_order_judge (const struct kcp_known_entry *known,
                                          const struct kcp_entry_order *entry);
enum kcp_entry_age kcp_entry_order_judge_unknown (const struct kcp_entry_order *entry);
bool
kcp_entry_order_removal_is_newer (const struct kcp_known_entry *known, int64_t offset);
void kcp_entry_order_update (struct kcp_known_entry *known,
                             const struct kcp_entry_order *entry, int64_t now_ms);

#endif
