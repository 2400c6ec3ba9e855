#include "policy/quarantine_private.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "policy/placement.h"

/* Time for which only the VM that observed a crash may retry the suspect. */
#define REMOTE_SUSPECT_WAIT_NS (3 * KCP_NS_PER_S)

static void
add_incident (const struct kcp_quarantine *quarantine, struct kcp_quarantine_entry *entry,
              const struct kcp_quarantine_crash *crash);
static void set_answered (struct kcp_quarantine_entry *entry, int64_t now_ns);
static bool
has_incarnation (const struct kcp_quarantine_entry *entry, uint64_t incarnation);
static void evict_entry (struct kcp_quarantine *quarantine, int64_t now_ns);
static gboolean is_expired (gpointer key, gpointer value, gpointer user);
static uint64_t eviction_order (const struct kcp_quarantine_entry *entry);
static gpointer copy_key (uint64_t key);

/* Returns the identity of a request. It is equal for all repeats of the request, on all
   VMs. */
uint64_t
kcp_quarantine_fingerprint (struct kcp_str team, struct kcp_str body)
{
  return XXH3_64bits_withSeed (body.data, body.len, XXH3_64bits (team.data, team.len));
}

/* Creates an empty table of at most capacity entries, in which a request is blocked after
   two crashes. An entry is kept for keep_ns after its last change. */
struct kcp_quarantine *
kcp_quarantine_new (size_t capacity, int64_t keep_ns)
{
  return kcp_quarantine_new_with_rule (capacity, keep_ns,
                                       &(struct kcp_quarantine_rule){ .crashes = 2 });
}

/* As kcp_quarantine_new(), with another rule, which is copied. */
struct kcp_quarantine *
kcp_quarantine_new_with_rule (size_t capacity, int64_t keep_ns,
                              const struct kcp_quarantine_rule *rule)
{
  struct kcp_quarantine *quarantine = g_new0 (struct kcp_quarantine, 1);

  quarantine->capacity = capacity;
  quarantine->keep_ns = keep_ns;
  quarantine->rule = *rule;
  quarantine->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quarantine->busy_servers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return quarantine;
}

/* Frees the table; NULL is allowed. */
void
kcp_quarantine_free (struct kcp_quarantine *quarantine)
{
  if (quarantine == NULL)
    return;
  g_hash_table_unref (quarantine->entries);
  g_hash_table_unref (quarantine->busy_servers);
  g_free (quarantine);
}

/* Returns the state that a rank encodes. */
enum kcp_quarantine_state
kcp_quarantine_rank_state (uint32_t rank)
{
  if (rank == KCP_RANK_BLOCKED)
    return KCP_QUARANTINE_BLOCKED;
  return (rank & KCP_RANK_CRASH_MASK) > 0 ? KCP_QUARANTINE_SUSPECT : KCP_QUARANTINE_NONE;
}

/* Returns the state of a request. */
enum kcp_quarantine_state
kcp_quarantine_state (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                      int64_t now_ns)
{
  const struct kcp_quarantine_entry *entry
      = kcp_quarantine_find (quarantine, fingerprint, now_ns);

  return entry != NULL ? kcp_quarantine_rank_state (entry->rank) : KCP_QUARANTINE_NONE;
}

/* Records that the request was in flight on an engine when it crashed. crash is a hash
   of the incarnation that crashed, equal on all VMs, so that one crash counts once. */
void
kcp_quarantine_add_crash (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                          uint64_t crash, int64_t now_ns)
{
  (void)kcp_quarantine_add_crash_of_copy (quarantine,
                                          &(struct kcp_quarantine_crash){
                                              .fingerprint = fingerprint,
                                              .incarnation = crash,
                                              .sent_ns = now_ns,
                                              .ended_ns = now_ns,
                                          },
                                          now_ns);
}

/* As kcp_quarantine_add_crash(), with the times of the copy that was in flight. Returns
   the request's new state. */
enum kcp_quarantine_state
kcp_quarantine_add_crash_of_copy (struct kcp_quarantine *quarantine,
                                  const struct kcp_quarantine_crash *crash,
                                  int64_t now_ns)
{
  struct kcp_quarantine_entry *entry
      = kcp_quarantine_find_or_add (quarantine, crash->fingerprint, now_ns);

  entry->expires_ns = now_ns + quarantine->keep_ns;
  if (entry->rank == KCP_RANK_BLOCKED || has_incarnation (entry, crash->incarnation)
      || crash->ended_ns < entry->answered_ns)
    return kcp_quarantine_rank_state (entry->rank);
  if (crash->answered_before && entry->rank >> KCP_RANK_CRASH_BITS == 0)
    set_answered (entry, crash->ended_ns);
  if (kcp_quarantine_count_crashes (entry->crashes) == 0)
    entry->received_ns = 0;
  add_incident (quarantine, entry, crash);
  (void)kcp_quarantine_add_incarnation (entry, crash->incarnation);
  kcp_quarantine_block_if_due (quarantine, entry);
  return kcp_quarantine_rank_state (entry->rank);
}

/* Counts the incident that a crash begins. Within the first incident, an earlier crash
   that is found later moves its beginning; a later incident stays as it is, since the
   crash may belong to one before it. */
static void
add_incident (const struct kcp_quarantine *quarantine, struct kcp_quarantine_entry *entry,
              const struct kcp_quarantine_crash *crash)
{
  if (entry->incidents == 0
      || crash->sent_ns >= entry->incident_ns + quarantine->rule.incident_ns)
    {
      entry->incidents++;
      entry->incident_ns = crash->ended_ns;
    }
  else if (entry->incidents == 1)
    entry->incident_ns = MIN (entry->incident_ns, crash->ended_ns);
}

/* Returns how many of the incarnations are used. */
unsigned
kcp_quarantine_count_crashes (const uint64_t incarnations[KCP_QUARANTINE_CRASHES_MAX])
{
  unsigned count = 0;

  while (count < KCP_QUARANTINE_CRASHES_MAX && incarnations[count] != 0)
    count++;
  return count;
}

/* Adds an incarnation. Returns false if it is known or there is no room for it. */
bool
kcp_quarantine_add_incarnation (struct kcp_quarantine_entry *entry, uint64_t incarnation)
{
  unsigned count = kcp_quarantine_count_crashes (entry->crashes);

  if (incarnation == 0 || count == KCP_QUARANTINE_CRASHES_MAX
      || has_incarnation (entry, incarnation))
    return false;
  entry->crashes[count] = incarnation;
  entry->errors = 0;
  if ((entry->rank & KCP_RANK_CRASH_MASK) < KCP_RANK_CRASH_MASK)
    entry->rank++;
  return true;
}

static bool
has_incarnation (const struct kcp_quarantine_entry *entry, uint64_t incarnation)
{
  for (unsigned i = 0; i < kcp_quarantine_count_crashes (entry->crashes); i++)
    if (entry->crashes[i] == incarnation)
      return true;
  return false;
}

/* Blocks the request if it meets the conditions of the rule. */
void
kcp_quarantine_block_if_due (const struct kcp_quarantine *quarantine,
                             struct kcp_quarantine_entry *entry)
{
  const struct kcp_quarantine_rule *rule = &quarantine->rule;
  bool answered = entry->rank >> KCP_RANK_CRASH_BITS > 0;
  unsigned incidents = answered ? rule->incidents_if_answered : rule->incidents;

  if (kcp_quarantine_count_crashes (entry->crashes) >= rule->crashes
      && entry->incidents >= incidents)
    entry->rank = KCP_RANK_BLOCKED;
}

/* Clears a suspect that ran to completion. A blocked request stays blocked until its
   entry expires. */
void
kcp_quarantine_add_completion (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                               int64_t now_ns)
{
  struct kcp_quarantine_entry *entry
      = kcp_quarantine_find (quarantine, fingerprint, now_ns);

  if (entry == NULL || kcp_quarantine_rank_state (entry->rank) != KCP_QUARANTINE_SUSPECT)
    return;
  set_answered (entry, now_ns);
  entry->expires_ns = now_ns + quarantine->keep_ns;
}

/* Begins another generation, in which no crash is counted yet. */
static void
set_answered (struct kcp_quarantine_entry *entry, int64_t now_ns)
{
  entry->rank = (entry->rank | KCP_RANK_CRASH_MASK) + 1;
  memset (entry->crashes, 0, sizeof entry->crashes);
  entry->incidents = 0;
  entry->errors = 0;
  entry->answered_ns = now_ns;
}

/* Records that a server answered a suspect with an error. Returns true if that clears it,
   after as many as the rule requires. */
bool
kcp_quarantine_add_error (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                          int64_t now_ns)
{
  struct kcp_quarantine_entry *entry
      = kcp_quarantine_find (quarantine, fingerprint, now_ns);

  if (entry == NULL || kcp_quarantine_rank_state (entry->rank) != KCP_QUARANTINE_SUSPECT)
    return false;
  entry->errors++;
  if (quarantine->rule.errors_to_clear == 0
      || entry->errors < quarantine->rule.errors_to_clear)
    return false;
  kcp_quarantine_add_completion (quarantine, fingerprint, now_ns);
  return true;
}

/* Reserves a server for a suspect. Returns false if another suspect of this VM runs on
   it. */
bool
kcp_quarantine_reserve_server (struct kcp_quarantine *quarantine, uint64_t server)
{
  if (kcp_quarantine_has_suspect (quarantine, server))
    return false;
  g_hash_table_add (quarantine->busy_servers, copy_key (server));
  return true;
}

/* Returns true if a suspect of this VM runs on the server. */
bool
kcp_quarantine_has_suspect (const struct kcp_quarantine *quarantine, uint64_t server)
{
  return g_hash_table_contains (quarantine->busy_servers, &server);
}

/* Releases the reservation of a server. */
void
kcp_quarantine_release_server (struct kcp_quarantine *quarantine, uint64_t server)
{
  g_hash_table_remove (quarantine->busy_servers, &server);
}

/* Returns true if this VM, vms[own], is responsible for the suspects on the server. Only
   the first VM in rendezvous order is, so that suspects of different VMs do not run on
   the same server. */
bool
kcp_quarantine_is_responsible (uint64_t server, const uint64_t *vms, size_t count,
                               size_t own)
{
  for (size_t i = 0; i < count; i++)
    if (i != own
        && kcp_placement_rank (vms[i], server) > kcp_placement_rank (vms[own], server))
      return false;
  return true;
}

/* Returns true if a copy of a suspect has to wait. The VM that observed the crash
   retries first, so that copies sent through several VMs do not each crash an engine. */
bool
kcp_quarantine_must_wait (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                          int64_t now_ns)
{
  const struct kcp_quarantine_entry *entry
      = kcp_quarantine_find (quarantine, fingerprint, now_ns);

  return entry != NULL && entry->received_ns > 0
         && kcp_quarantine_rank_state (entry->rank) == KCP_QUARANTINE_SUSPECT
         && now_ns - entry->received_ns < REMOTE_SUSPECT_WAIT_NS;
}

/* Returns the number of entries, including expired ones. */
size_t
kcp_quarantine_count (const struct kcp_quarantine *quarantine)
{
  return g_hash_table_size (quarantine->entries);
}

/* Returns the entry of a request, or NULL if it has none or it has expired. */
struct kcp_quarantine_entry *
kcp_quarantine_find (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                     int64_t now_ns)
{
  struct kcp_quarantine_entry *entry
      = g_hash_table_lookup (quarantine->entries, &fingerprint);

  return entry != NULL && entry->expires_ns > now_ns ? entry : NULL;
}

/* Likewise, and adds an empty entry if there is none. */
struct kcp_quarantine_entry *
kcp_quarantine_find_or_add (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                            int64_t now_ns)
{
  struct kcp_quarantine_entry *entry
      = kcp_quarantine_find (quarantine, fingerprint, now_ns);

  if (entry != NULL)
    return entry;
  g_hash_table_remove (quarantine->entries, &fingerprint);
  evict_entry (quarantine, now_ns);
  entry = g_new0 (struct kcp_quarantine_entry, 1);
  entry->fingerprint = fingerprint;
  g_hash_table_insert (quarantine->entries, &entry->fingerprint, entry);
  return entry;
}

/* Removes all expired entries. If there are none, removes the entry that expires first,
   preferring entries that are not blocked. */
static void
evict_entry (struct kcp_quarantine *quarantine, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer value;
  struct kcp_quarantine_entry *victim = NULL;

  if (g_hash_table_size (quarantine->entries) < quarantine->capacity)
    return;
  if (kcp_quarantine_remove_expired (quarantine, now_ns) > 0)
    return;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (victim == NULL || eviction_order (value) < eviction_order (victim))
      victim = value;
  g_hash_table_remove (quarantine->entries, &victim->fingerprint);
}

/* Removes the entries that have expired. Returns their number. */
unsigned
kcp_quarantine_remove_expired (struct kcp_quarantine *quarantine, int64_t now_ns)
{
  return g_hash_table_foreach_remove (quarantine->entries, is_expired, &now_ns);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const struct kcp_quarantine_entry *entry = value;
  const int64_t *now_ns = user;

  (void)key;
  return entry->expires_ns <= *now_ns;
}

/* Returns a number that is lowest for the entry to evict first. */
static uint64_t
eviction_order (const struct kcp_quarantine_entry *entry)
{
  uint64_t blocked = entry->rank == KCP_RANK_BLOCKED;

  return (blocked << 63) | (uint64_t)entry->expires_ns;
}

static gpointer
copy_key (uint64_t key)
{
  return g_memdup2 (&key, sizeof key);
}
