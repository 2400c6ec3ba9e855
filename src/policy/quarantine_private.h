/* The table of suspects and its entries, shared by the source files that implement it. */
#ifndef KCP_POLICY_QUARANTINE_PRIVATE_H
#define KCP_POLICY_QUARANTINE_PRIVATE_H

#include <glib.h>

#include "policy/quarantine.h"

/* The low bits of a rank count crashes up to the mask; the bits above hold a generation
   that each clearing increments. */
#define KCP_RANK_CRASH_BITS 2
#define KCP_RANK_CRASH_MASK 3u
#define KCP_RANK_BLOCKED    UINT32_MAX

struct kcp_quarantine_entry
{
  uint64_t fingerprint;
  uint64_t crashes[KCP_QUARANTINE_CRASHES_MAX];
  uint32_t rank;
  unsigned incidents;
  unsigned errors;     /* answers with an error at this VM since the last crash */
  int64_t incident_ns; /* the first crash of the latest incident */
  int64_t answered_ns; /* when it was last cleared */
  int64_t expires_ns;
  /* When another VM reported the suspicion; 0: this VM observed the crash. */
  int64_t received_ns;
};

struct kcp_quarantine
{
  size_t capacity;
  int64_t keep_ns;
  struct kcp_quarantine_rule rule;
  GHashTable *entries;      /* fingerprint -> struct kcp_quarantine_entry */
  GHashTable *busy_servers; /* set of hashes of servers that run a suspect */
};

struct kcp_quarantine_entry *kcp_quarantine_find (struct kcp_quarantine *quarantine,
                                                  uint64_t fingerprint, int64_t now_ns);
struct kcp_quarantine_entry *
kcp_quarantine_find_or_add (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                            int64_t now_ns);
bool
kcp_quarantine_add_incarnation (struct kcp_quarantine_entry *entry, uint64_t incarnation);
void kcp_quarantine_block_if_due (const struct kcp_quarantine *quarantine,
                                  struct kcp_quarantine_entry *entry);
unsigned
kcp_quarantine_count_crashes (const uint64_t incarnations[KCP_QUARANTINE_CRASHES_MAX]);
unsigned
kcp_quarantine_remove_expired (struct kcp_quarantine *quarantine, int64_t now_ns);

#endif
