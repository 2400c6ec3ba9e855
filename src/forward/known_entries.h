/* The newest entry of each server that this VM has read, also of servers that were
   removed from the list since. Not thread-safe: it is used on the event loop's thread
   only. */
#ifndef KCP_FORWARD_KNOWN_ENTRIES_H
#define KCP_FORWARD_KNOWN_ENTRIES_H

#include "policy/entry_order.h"

struct kcp_known_entries;

struct kcp_known_entries *kcp_known_entries_new (void);
void kcp_known_entries_free (struct kcp_known_entries *entries);
struct kcp_known_entry *
kcp_known_entries_find (const struct kcp_known_entries *entries, const char *id);
void kcp_known_entries_put (struct kcp_known_entries *entries, const char *id,
                            const struct kcp_entry_order *entry, int64_t now_ms);
void kcp_known_entries_remove (struct kcp_known_entries *entries, const char *id,
                               int64_t offset);
void kcp_known_entries_forget_offsets (struct kcp_known_entries *entries);

#endif
