/* The fact table of a VM, with a list of the facts that are pending transmission to other
   VMs. The table has no lock: only one thread may use it at a time. */
#ifndef KCP_PEER_FACTS_H
#define KCP_PEER_FACTS_H

#include <glib.h>
#include <stddef.h>

#include "peer/fact.h"

#define KCP_FACTS_BUCKETS 64

/* The XOR of the fact hashes of each key bucket. Equal tables have equal digests. */
struct kcp_facts_digest
{
  uint64_t buckets[KCP_FACTS_BUCKETS];
};

/* Limits what is sent to one receiver. */
struct kcp_facts_scope
{
  bool same_data_center; /* the receiver is in this VM's data center */
  unsigned
      max_transmits;   /* transmissions of a fact after which it is no longer pending */
  size_t budget_bytes; /* size of the encoded facts */
  size_t budget_facts;
};

struct kcp_facts;

struct kcp_facts *kcp_facts_new (void);
void kcp_facts_free (struct kcp_facts *facts);
bool
kcp_facts_merge (struct kcp_facts *facts, const struct kcp_fact *fact, int64_t now_ms);
const struct kcp_fact *
kcp_facts_get (const struct kcp_facts *facts, enum kcp_fact_kind kind, const char *id);
void kcp_facts_remove (struct kcp_facts *facts, enum kcp_fact_kind kind, const char *id);
void kcp_facts_expire (struct kcp_facts *facts, int64_t now_ms);
size_t kcp_facts_count (const struct kcp_facts *facts, enum kcp_fact_kind kind);
GPtrArray *kcp_facts_list (const struct kcp_facts *facts, enum kcp_fact_kind kind);
size_t kcp_facts_encoded_bytes (const struct kcp_fact *fact);

bool kcp_facts_has_pending (const struct kcp_facts *facts);
void kcp_facts_collect_pending (struct kcp_facts *facts, struct kcp_facts_scope scope,
                                GArray *out);
void kcp_facts_digest (const struct kcp_facts *facts, bool same_data_center,
                       struct kcp_facts_digest *digest);
uint64_t kcp_facts_hash (const struct kcp_facts *facts);
size_t
kcp_facts_collect_differing (const struct kcp_facts *facts, struct kcp_facts_scope scope,
                             const struct kcp_facts_digest *theirs, uint64_t start,
                             GArray *out);

#endif
