/* What VMs tell each other of suspects and blocked requests: the facts that a table gives
   and how it merges those of other VMs. */
#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "policy/quarantine_private.h"

static void replace_state (struct kcp_quarantine_entry *entry,
                           const struct kcp_quarantine_fact *fact, int64_t now_ns);
static bool merge_generation (struct kcp_quarantine_entry *entry,
                              const struct kcp_quarantine_fact *fact, int64_t now_ns);
static int64_t fact_incident_ns (const struct kcp_quarantine_fact *fact, int64_t now_ns);
static struct kcp_quarantine_fact
make_fact (const struct kcp_quarantine_entry *entry, int64_t now_ns);

/* Returns the number of crashes that a fact names, at most KCP_QUARANTINE_CRASHES_MAX. */
unsigned
kcp_quarantine_fact_crashes (const struct kcp_quarantine_fact *fact)
{
  return kcp_quarantine_count_crashes (fact->crashes);
}

/* Returns the fact that a request is blocked for remaining_ms. */
struct kcp_quarantine_fact
kcp_quarantine_blocked_fact (uint64_t fingerprint, int64_t remaining_ms)
{
  return (struct kcp_quarantine_fact){
    .fingerprint = fingerprint,
    .rank = KCP_RANK_BLOCKED,
    .remaining_ms = (uint32_t)CLAMP (remaining_ms, 0, UINT32_MAX),
  };
}

/* Merges a fact from another VM. Returns true if the table changed. Of two generations
   the later one holds, within one the crashes are added up, and a block holds above all.
   The result does not depend on the order, loss or repetition of facts, and no fact lives
   longer than its remaining time. */
bool
kcp_quarantine_merge (struct kcp_quarantine *quarantine,
                      const struct kcp_quarantine_fact *fact, int64_t now_ns)
{
  int64_t expires_ns = now_ns + (int64_t)fact->remaining_ms * KCP_NS_PER_MS;
  struct kcp_quarantine_entry *entry;

  if (fact->remaining_ms == 0)
    return false;
  entry = kcp_quarantine_find_or_add (quarantine, fact->fingerprint, now_ns);
  if (entry->rank == KCP_RANK_BLOCKED)
    return false;
  if (fact->rank >> KCP_RANK_CRASH_BITS > entry->rank >> KCP_RANK_CRASH_BITS)
    replace_state (entry, fact, now_ns);
  else if (fact->rank >> KCP_RANK_CRASH_BITS < entry->rank >> KCP_RANK_CRASH_BITS
           || !merge_generation (entry, fact, now_ns))
    return false;
  if (entry->rank != KCP_RANK_BLOCKED)
    kcp_quarantine_block_if_due (quarantine, entry);
  entry->received_ns = now_ns;
  entry->expires_ns = MAX (entry->expires_ns, expires_ns);
  return true;
}

static void
replace_state (struct kcp_quarantine_entry *entry, const struct kcp_quarantine_fact *fact,
               int64_t now_ns)
{
  entry->rank = fact->rank;
  entry->incidents = fact->incidents;
  entry->incident_ns = fact_incident_ns (fact, now_ns);
  if (kcp_quarantine_rank_state (fact->rank) == KCP_QUARANTINE_NONE)
    {
      entry->incidents = 0;
      entry->answered_ns = now_ns;
    }
  memcpy (entry->crashes, fact->crashes, sizeof entry->crashes);
}

/* Adds the crashes of a fact of the same generation. The longer of two series of
   incidents holds, of equally long ones that whose latest incident began earlier. Returns
   false if nothing changed. */
static bool
merge_generation (struct kcp_quarantine_entry *entry,
                  const struct kcp_quarantine_fact *fact, int64_t now_ns)
{
  int64_t incident_ns = fact_incident_ns (fact, now_ns);
  bool changed = fact->incidents > entry->incidents;

  if (kcp_quarantine_rank_state (fact->rank) == KCP_QUARANTINE_NONE)
    return false;
  if (fact->incidents > entry->incidents)
    entry->incident_ns = incident_ns;
  else if (fact->incidents == entry->incidents)
    entry->incident_ns = MIN (entry->incident_ns, incident_ns);
  entry->incidents = MAX (entry->incidents, fact->incidents);
  for (unsigned i = 0; i < KCP_QUARANTINE_CRASHES_MAX; i++)
    changed |= kcp_quarantine_add_incarnation (entry, fact->crashes[i]);
  return changed;
}

static int64_t
fact_incident_ns (const struct kcp_quarantine_fact *fact, int64_t now_ns)
{
  return now_ns - (int64_t)fact->incident_age_ms * KCP_NS_PER_MS;
}

/* Calls the visitor for each fact that has not expired. The visitor must not change the
   table. */
void
kcp_quarantine_visit (struct kcp_quarantine *quarantine, int64_t now_ns,
                      kcp_quarantine_visitor *visitor, void *user)
{
  GHashTableIter iter;
  gpointer value;

  (void)kcp_quarantine_remove_expired (quarantine, now_ns);
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct kcp_quarantine_fact fact = make_fact (value, now_ns);

      visitor (user, &fact);
    }
}

/* Stores the fact of one request in out. Returns false if there is none. */
bool
kcp_quarantine_get_fact (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                         int64_t now_ns, struct kcp_quarantine_fact *out)
{
  const struct kcp_quarantine_entry *entry
      = kcp_quarantine_find (quarantine, fingerprint, now_ns);

  if (entry != NULL)
    *out = make_fact (entry, now_ns);
  return entry != NULL;
}

static struct kcp_quarantine_fact
make_fact (const struct kcp_quarantine_entry *entry, int64_t now_ns)
{
  struct kcp_quarantine_fact fact = {
    .fingerprint = entry->fingerprint,
    .rank = entry->rank,
    .incidents = entry->incidents,
    .incident_age_ms = (uint32_t)MAX ((now_ns - entry->incident_ns) / KCP_NS_PER_MS, 0),
    .remaining_ms = (uint32_t)((entry->expires_ns - now_ns) / KCP_NS_PER_MS),
  };

  memcpy (fact.crashes, entry->crashes, sizeof fact.crashes);
  return fact;
}
