#include "policy/quarantine.h"

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "policy/placement.h"

/* A rank is a generation, raised by each clearing, above the number of crashes in it. */
#define RANK_CRASH_BITS 2
#define RANK_CRASH_MASK 3u
#define RANK_BLOCKED    UINT32_MAX

/* For which a suspect that crashed an engine of another VM is left to that VM. */
#define OTHER_FIRST_NS (3 * KCP_NS_PER_S)

struct entry
{
  uint64_t fingerprint;
  uint64_t crash;
  uint32_t rank;
  int64_t expires_ns;
  int64_t told_ns; /* when another VM told of the suspicion; 0: seen here */
};

struct kcp_quarantine
{
  size_t capacity;
  int64_t keep_ns;
  GHashTable *entries; /* fingerprint, struct entry */
  GHashTable *busy;    /* set of hashes of servers on which a suspect runs */
};

static struct entry *
find (struct kcp_quarantine *quarantine, uint64_t fingerprint, int64_t now_ns);
static struct entry *
find_or_add (struct kcp_quarantine *quarantine, uint64_t fingerprint, int64_t now_ns);
static void make_room (struct kcp_quarantine *quarantine, int64_t now_ns);
static gboolean is_expired (gpointer key, gpointer value, gpointer user);
static uint64_t order_of (const struct entry *entry);
static gpointer copy_key (uint64_t key);

/* Returns the identity of a request: equal for its repeats through whichever VM. */
uint64_t
kcp_quarantine_fingerprint (struct kcp_str team, struct kcp_str body)
{
  return XXH3_64bits_withSeed (body.data, body.len, XXH3_64bits (team.data, team.len));
}

/* Makes an empty table of at most capacity entries, each kept for keep_ns after its last
   change. */
struct kcp_quarantine *
kcp_quarantine_new (size_t capacity, int64_t keep_ns)
{
  struct kcp_quarantine *quarantine = g_new0 (struct kcp_quarantine, 1);

  quarantine->capacity = capacity;
  quarantine->keep_ns = keep_ns;
  quarantine->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quarantine->busy = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return quarantine;
}

/* Frees the table; NULL is allowed. */
void
kcp_quarantine_free (struct kcp_quarantine *quarantine)
{
  if (quarantine == NULL)
    return;
  g_hash_table_unref (quarantine->entries);
  g_hash_table_unref (quarantine->busy);
  g_free (quarantine);
}

/* Returns the state that a rank stands for. */
enum kcp_quarantine_state
kcp_quarantine_rank_state (uint32_t rank)
{
  if (rank == RANK_BLOCKED)
    return KCP_QUARANTINE_BLOCKED;
  return (rank & RANK_CRASH_MASK) > 0 ? KCP_QUARANTINE_SUSPECT : KCP_QUARANTINE_NONE;
}

/* Returns the state of a request. */
enum kcp_quarantine_state
kcp_quarantine_state (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                      int64_t now_ns)
{
  const struct entry *entry = find (quarantine, fingerprint, now_ns);

  return entry != NULL ? kcp_quarantine_rank_state (entry->rank) : KCP_QUARANTINE_NONE;
}

/* Records that the request was in flight on an engine when it crashed. crash is a hash of
   the incarnation that crashed, the same on every VM, so that one crash counts once. */
void
kcp_quarantine_add_crash (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                          uint64_t crash, int64_t now_ns)
{
  struct entry *entry = find_or_add (quarantine, fingerprint, now_ns);

  entry->expires_ns = now_ns + quarantine->keep_ns;
  switch (kcp_quarantine_rank_state (entry->rank))
    {
    case KCP_QUARANTINE_NONE:
      entry->rank++;
      entry->crash = crash;
      entry->told_ns = 0;
      break;
    case KCP_QUARANTINE_SUSPECT:
      if (entry->crash != crash)
        entry->rank = RANK_BLOCKED;
      break;
    case KCP_QUARANTINE_BLOCKED:
      break;
    }
}

/* Clears a suspect that ran to its end. A blocked request stays blocked until its entry
   expires. */
void
kcp_quarantine_add_completion (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                               int64_t now_ns)
{
  struct entry *entry = find (quarantine, fingerprint, now_ns);

  if (entry == NULL || kcp_quarantine_rank_state (entry->rank) != KCP_QUARANTINE_SUSPECT)
    return;
  entry->rank = (entry->rank | RANK_CRASH_MASK) + 1;
  entry->crash = 0;
  entry->expires_ns = now_ns + quarantine->keep_ns;
}

/* Reserves a server for a suspect; false if another suspect of this VM runs there. */
bool
kcp_quarantine_reserve_server (struct kcp_quarantine *quarantine, uint64_t server)
{
  if (kcp_quarantine_has_suspect (quarantine, server))
    return false;
  g_hash_table_add (quarantine->busy, copy_key (server));
  return true;
}

/* Tells whether a suspect of this VM runs on a server. */
bool
kcp_quarantine_has_suspect (const struct kcp_quarantine *quarantine, uint64_t server)
{
  return g_hash_table_contains (quarantine->busy, &server);
}

/* Ends the reservation of a server. */
void
kcp_quarantine_release_server (struct kcp_quarantine *quarantine, uint64_t server)
{
  g_hash_table_remove (quarantine->busy, &server);
}

/* Tells whether this VM, vms[own], is the one that may run suspects on a server: each
   server has one such VM, the first in rendezvous order, so that suspects of different
   VMs do not meet either. */
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

/* Tells whether a copy of a suspect has to wait: the VM that saw the crash tries again
   first, so that copies sent through several VMs do not crash an engine each. */
bool
kcp_quarantine_must_wait (struct kcp_quarantine *quarantine, uint64_t fingerprint,
                          int64_t now_ns)
{
  const struct entry *entry = find (quarantine, fingerprint, now_ns);

  return entry != NULL && entry->told_ns > 0
         && kcp_quarantine_rank_state (entry->rank) == KCP_QUARANTINE_SUSPECT
         && now_ns - entry->told_ns < OTHER_FIRST_NS;
}

/* Takes over what another VM knows; true if that changed the table. Two suspicions from
   different crashes make a block. Ranks never fall, so that order, loss and repeats do
   not matter, and no fact outlives the time it had left. */
bool
kcp_quarantine_merge (struct kcp_quarantine *quarantine,
                      const struct kcp_quarantine_fact *fact, int64_t now_ns)
{
  struct entry *entry;
  int64_t expires_ns = now_ns + (int64_t)fact->remaining_ms * KCP_NS_PER_MS;
  bool two_crashes;

  if (fact->remaining_ms == 0)
    return false;
  entry = find_or_add (quarantine, fact->fingerprint, now_ns);
  two_crashes = fact->rank == entry->rank && fact->crash != entry->crash
                && kcp_quarantine_rank_state (entry->rank) == KCP_QUARANTINE_SUSPECT;
  if (fact->rank <= entry->rank && !two_crashes)
    return false;
  entry->rank = two_crashes ? RANK_BLOCKED : fact->rank;
  entry->crash = fact->crash;
  entry->told_ns = now_ns;
  entry->expires_ns = MAX (entry->expires_ns, expires_ns);
  return true;
}

/* Shows every fact that has not expired to the visitor, which must not change the table.
 */
void
kcp_quarantine_visit (struct kcp_quarantine *quarantine, int64_t now_ns,
                      kcp_quarantine_visitor *visitor, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_foreach_remove (quarantine->entries, is_expired, &now_ns);
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;
      struct kcp_quarantine_fact fact = {
        .fingerprint = entry->fingerprint,
        .crash = entry->crash,
        .rank = entry->rank,
        .remaining_ms = (uint32_t)((entry->expires_ns - now_ns) / KCP_NS_PER_MS),
      };

      visitor (user, &fact);
    }
}

/* Returns the number of entries held, expired ones included. */
size_t
kcp_quarantine_count (const struct kcp_quarantine *quarantine)
{
  return g_hash_table_size (quarantine->entries);
}

static struct entry *
find (struct kcp_quarantine *quarantine, uint64_t fingerprint, int64_t now_ns)
{
  struct entry *entry = g_hash_table_lookup (quarantine->entries, &fingerprint);

  return entry != NULL && entry->expires_ns > now_ns ? entry : NULL;
}

static struct entry *
find_or_add (struct kcp_quarantine *quarantine, uint64_t fingerprint, int64_t now_ns)
{
  struct entry *entry = find (quarantine, fingerprint, now_ns);

  if (entry != NULL)
    return entry;
  g_hash_table_remove (quarantine->entries, &fingerprint);
  make_room (quarantine, now_ns);
  entry = g_new0 (struct entry, 1);
  entry->fingerprint = fingerprint;
  g_hash_table_insert (quarantine->entries, &entry->fingerprint, entry);
  return entry;
}

/* Drops what has expired or, if that is nothing, the entry that matters least: one that
   is not blocked before one that is, and of these the one that expires first. */
static void
make_room (struct kcp_quarantine *quarantine, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer value;
  struct entry *least = NULL;

  if (g_hash_table_size (quarantine->entries) < quarantine->capacity)
    return;
  if (g_hash_table_foreach_remove (quarantine->entries, is_expired, &now_ns) > 0)
    return;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (least == NULL || order_of (value) < order_of (least))
      least = value;
  g_hash_table_remove (quarantine->entries, &least->fingerprint);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const struct entry *entry = value;
  const int64_t *now_ns = user;

  (void)key;
  return entry->expires_ns <= *now_ns;
}

static uint64_t
order_of (const struct entry *entry)
{
  uint64_t blocked = entry->rank == RANK_BLOCKED;

  return (blocked << 63) | (uint64_t)entry->expires_ns;
}

static gpointer
copy_key (uint64_t key)
{
  return g_memdup2 (&key, sizeof key);
}
