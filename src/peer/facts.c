#include "peer/facts.h"

#include <string.h>

#define FIXED_BYTES    32 /* encoded kind, length of the id, number, state and expiry */
#define ENDPOINT_BYTES 12 /* encoded lengths and port */
#define CONFIG_BYTES   20 /* encoded version, digest and loaded flag */
#define XDR_UNIT       4  /* bytes */

/* The maximum number of facts of each kind. At capacity, the facts that expire last are
   retained and, at equal expiry, those with the greatest ids, so that all VMs retain the
   same facts. */
static const size_t capacities[KCP_FACT_KINDS] = {
  [KCP_FACT_VM] = 2048,         [KCP_FACT_CONFIG] = 2048, [KCP_FACT_BACKEND] = 8192,
  [KCP_FACT_QUARANTINE] = 2048, [KCP_FACT_LOAD] = 128,
};

struct entry
{
  struct kcp_fact fact;
  unsigned sent; /* number of transmissions since it last changed */
  bool pending;  /* is in the list of pending facts */
};

struct kcp_facts
{
  GHashTable *tables[KCP_FACT_KINDS]; /* id, owned by the value, to struct entry */
  GPtrArray *pending;                 /* of struct entry; facts to send to other VMs */
  struct kcp_facts_digest digests[2]; /* of facts sent everywhere, and of all facts */
};

static bool make_room (struct kcp_facts *facts, const struct kcp_fact *fact);
static bool is_retained_over (const struct kcp_fact *a, const struct kcp_fact *b);
static void add_pending (struct kcp_facts *facts, struct entry *entry);
static void remove_pending (struct kcp_facts *facts, struct entry *entry);
static void remove_entry (struct kcp_facts *facts, struct entry *entry);
static void toggle_digest (struct kcp_facts *facts, const struct kcp_fact *fact);
static struct entry *
next_to_send (const struct kcp_facts *facts, const struct kcp_facts_scope *scope,
              size_t remaining, const GArray *out);
static unsigned max_transmits_of (enum kcp_fact_kind kind, unsigned max_transmits);
static bool contains_key (const GArray *facts, const struct kcp_fact *fact);
static size_t text_bytes (const char *text);

/* Creates an empty table. */
struct kcp_facts *
kcp_facts_new (void)
{
  struct kcp_facts *facts = g_new0 (struct kcp_facts, 1);

  for (int i = 0; i < KCP_FACT_KINDS; i++)
    facts->tables[i] = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  facts->pending = g_ptr_array_new ();
  return facts;
}

/* Frees the table; NULL is allowed. */
void
kcp_facts_free (struct kcp_facts *facts)
{
  if (facts == NULL)
    return;
  g_ptr_array_unref (facts->pending);
  for (int i = 0; i < KCP_FACT_KINDS; i++)
    g_hash_table_unref (facts->tables[i]);
  g_free (facts);
}

/* Merges a fact into the table: of this fact and the existing one, the greater is
   retained. Returns true if the table changed; the fact is then pending transmission. An
   expired fact is ignored. now_ms is in milliseconds since the epoch. */
bool
kcp_facts_merge (struct kcp_facts *facts, const struct kcp_fact *fact, int64_t now_ms)
{
  struct entry *entry = g_hash_table_lookup (facts->tables[fact->kind], fact->id);

  if (fact->expires_ms != 0 && fact->expires_ms <= now_ms)
    return false;
  if (entry != NULL && kcp_fact_compare (fact, &entry->fact) <= 0)
    return false;
  if (entry == NULL)
    {
      if (!make_room (facts, fact))
        return false;
      entry = g_new0 (struct entry, 1);
      entry->fact = *fact;
      g_hash_table_insert (facts->tables[fact->kind], entry->fact.id, entry);
    }
  else
    toggle_digest (facts, &entry->fact);
  entry->fact = *fact;
  toggle_digest (facts, fact);
  entry->sent = 0;
  add_pending (facts, entry);
  return true;
}

/* Returns the fact with a key, valid until the table changes, or NULL. */
const struct kcp_fact *
kcp_facts_get (const struct kcp_facts *facts, enum kcp_fact_kind kind, const char *id)
{
  const struct entry *entry = g_hash_table_lookup (facts->tables[kind], id);

  return entry != NULL ? &entry->fact : NULL;
}

/* Removes a fact. It is added again if another VM still sends it. */
void
kcp_facts_remove (struct kcp_facts *facts, enum kcp_fact_kind kind, const char *id)
{
  struct entry *entry = g_hash_table_lookup (facts->tables[kind], id);

  if (entry != NULL)
    remove_entry (facts, entry);
}

/* Removes every fact that has expired by now_ms. */
void
kcp_facts_expire (struct kcp_facts *facts, int64_t now_ms)
{
  for (int kind = 0; kind < KCP_FACT_KINDS; kind++)
    {
      g_autoptr (GPtrArray) list = kcp_facts_list (facts, kind);

      for (guint i = 0; i < list->len; i++)
        {
          const struct kcp_fact *fact = g_ptr_array_index (list, i);

          if (fact->expires_ms != 0 && fact->expires_ms <= now_ms)
            kcp_facts_remove (facts, kind, fact->id);
        }
    }
}

/* Returns the number of facts of a kind. */
size_t
kcp_facts_count (const struct kcp_facts *facts, enum kcp_fact_kind kind)
{
  return g_hash_table_size (facts->tables[kind]);
}

/* Returns the facts of a kind as a new array of const struct kcp_fact pointers, which
   are valid until the table changes. */
GPtrArray *
kcp_facts_list (const struct kcp_facts *facts, enum kcp_fact_kind kind)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, facts->tables[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (list, &((struct entry *)value)->fact);
  return list;
}

/* Returns the encoded size of a fact in a message, in bytes. */
size_t
kcp_facts_encoded_bytes (const struct kcp_fact *fact)
{
  size_t bytes = FIXED_BYTES + text_bytes (fact->id);

  switch (fact->kind)
    {
    case KCP_FACT_VM:
      bytes += ENDPOINT_BYTES + text_bytes (fact->content.vm.data_center)
               + text_bytes (fact->content.vm.address);
      break;
    case KCP_FACT_CONFIG:
      bytes += CONFIG_BYTES;
      break;
    case KCP_FACT_BACKEND:
      bytes += XDR_UNIT + text_bytes (fact->content.incarnation);
      break;
    case KCP_FACT_LOAD:
      bytes += sizeof (struct kcp_load_sums);
      break;
    case KCP_FACT_QUARANTINE:
    case KCP_FACT_KINDS:
      break;
    }
  return bytes;
}

/* Returns true if facts are pending transmission. */
bool
kcp_facts_has_pending (const struct kcp_facts *facts)
{
  return facts->pending->len > 0;
}

/* Appends to out the pending facts that fit the scope, the least often sent first, and
   counts them as sent. */
void
kcp_facts_collect_pending (struct kcp_facts *facts, struct kcp_facts_scope scope,
                           GArray *out)
{
  size_t remaining = scope.budget_bytes;
  struct entry *entry;

  while (out->len < scope.budget_facts
         && (entry = next_to_send (facts, &scope, remaining, out)) != NULL)
    {
      remaining -= kcp_facts_encoded_bytes (&entry->fact);
      g_array_append_val (out, entry->fact);
      if (++entry->sent >= max_transmits_of (entry->fact.kind, scope.max_transmits))
        remove_pending (facts, entry);
    }
}

/* Copies the digest of the facts that may be sent to a VM of the same data center or, if
   same_data_center is false, of another one. */
void
kcp_facts_digest (const struct kcp_facts *facts, bool same_data_center,
                  struct kcp_facts_digest *digest)
{
  *digest = facts->digests[same_data_center];
}

/* Returns a hash of the facts that are sent to all data centers. Equal tables have equal
   hashes. */
uint64_t
kcp_facts_hash (const struct kcp_facts *facts)
{
  uint64_t hash = 0;

  for (int i = 0; i < KCP_FACTS_BUCKETS; i++)
    hash ^= facts->digests[false].buckets[i];
  return hash;
}

/* Appends to out the facts of those buckets whose digest differs from theirs, up to the
   budget of the scope, beginning at index start modulo the number of such facts. Returns
   the number of such facts. */
size_t
kcp_facts_collect_differing (const struct kcp_facts *facts, struct kcp_facts_scope scope,
                             const struct kcp_facts_digest *theirs, uint64_t start,
                             GArray *out)
{
  g_autoptr (GPtrArray) candidates = g_ptr_array_new ();
  struct kcp_facts_digest ours;
  size_t remaining = scope.budget_bytes;
  GHashTableIter iter;
  gpointer value;

  kcp_facts_digest (facts, scope.same_data_center, &ours);
  for (int kind = 0; kind < KCP_FACT_KINDS; kind++)
    {
      if (kcp_fact_kind_is_local (kind) && !scope.same_data_center)
        continue;
      g_hash_table_iter_init (&iter, facts->tables[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          uint64_t bucket = kcp_fact_key_hash (&((struct entry *)value)->fact);

          bucket %= KCP_FACTS_BUCKETS;
          if (ours.buckets[bucket] != theirs->buckets[bucket])
            g_ptr_array_add (candidates, &((struct entry *)value)->fact);
        }
    }
  for (guint i = 0; i < candidates->len && out->len < scope.budget_facts; i++)
    {
      const struct kcp_fact *fact
          = g_ptr_array_index (candidates, (guint)((start + i) % candidates->len));
      size_t bytes = kcp_facts_encoded_bytes (fact);

      if (bytes > remaining)
        break;
      remaining -= bytes;
      g_array_append_vals (out, fact, 1);
    }
  return candidates->len;
}

/* Makes room for a new fact: if its kind is at capacity, the fact with the lowest
   retention priority is removed. Returns false if the new fact has the lowest priority
   itself. */
static bool
make_room (struct kcp_facts *facts, const struct kcp_fact *fact)
{
  struct entry *victim = NULL;
  GHashTableIter iter;
  gpointer value;

  if (kcp_facts_count (facts, fact->kind) < capacities[fact->kind])
    return true;
  g_hash_table_iter_init (&iter, facts->tables[fact->kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (victim == NULL
        || is_retained_over (&victim->fact, &((struct entry *)value)->fact))
      victim = value;
  if (victim == NULL || !is_retained_over (fact, &victim->fact))
    return false;
  remove_entry (facts, victim);
  return true;
}

/* Returns true if a has a higher retention priority than b. */
static bool
is_retained_over (const struct kcp_fact *a, const struct kcp_fact *b)
{
  uint64_t a_expiry = a->expires_ms == 0 ? UINT64_MAX : (uint64_t)a->expires_ms;
  uint64_t b_expiry = b->expires_ms == 0 ? UINT64_MAX : (uint64_t)b->expires_ms;

  if (a_expiry != b_expiry)
    return a_expiry > b_expiry;
  return strcmp (a->id, b->id) > 0;
}

static void
add_pending (struct kcp_facts *facts, struct entry *entry)
{
  if (entry->pending)
    return;
  entry->pending = true;
  g_ptr_array_add (facts->pending, entry);
}

static void
remove_pending (struct kcp_facts *facts, struct entry *entry)
{
  if (!entry->pending)
    return;
  entry->pending = false;
  (void)g_ptr_array_remove_fast (facts->pending, entry);
}

static void
remove_entry (struct kcp_facts *facts, struct entry *entry)
{
  remove_pending (facts, entry);
  toggle_digest (facts, &entry->fact);
  (void)g_hash_table_remove (facts->tables[entry->fact.kind], entry->fact.id);
}

/* Adds a fact to the digests or, if they include it already, removes it. */
static void
toggle_digest (struct kcp_facts *facts, const struct kcp_fact *fact)
{
  uint64_t bucket = kcp_fact_key_hash (fact) % KCP_FACTS_BUCKETS;
  uint64_t hash = kcp_fact_hash (fact);

  facts->digests[true].buckets[bucket] ^= hash;
  if (!kcp_fact_kind_is_local (fact->kind))
    facts->digests[false].buckets[bucket] ^= hash;
}

/* Returns the least often sent pending fact that is in scope, fits the remaining bytes
   and is not in out, or NULL. */
static struct entry *
next_to_send (const struct kcp_facts *facts, const struct kcp_facts_scope *scope,
              size_t remaining, const GArray *out)
{
  struct entry *best = NULL;

  for (guint i = 0; i < facts->pending->len; i++)
    {
      struct entry *entry = g_ptr_array_index (facts->pending, i);

      if (best != NULL && entry->sent >= best->sent)
        continue;
      if (kcp_fact_kind_is_local (entry->fact.kind) && !scope->same_data_center)
        continue;
      if (kcp_facts_encoded_bytes (&entry->fact) > remaining
          || contains_key (out, &entry->fact))
        continue;
      best = entry;
    }
  return best;
}

/* Returns the maximum number of transmissions of a fact of a kind. Every VM sends its own
   configuration fact and also includes it in its probes, so these facts are sent half as
   often: this halves the part of the traffic that grows with the number of VMs. Table
   synchronization delivers facts that were missed. */
static unsigned
max_transmits_of (enum kcp_fact_kind kind, unsigned max_transmits)
{
  return kind == KCP_FACT_CONFIG ? (max_transmits + 1) / 2 : max_transmits;
}

static bool
contains_key (const GArray *facts, const struct kcp_fact *fact)
{
  for (guint i = 0; i < facts->len; i++)
    if (kcp_fact_has_same_key (&g_array_index (facts, struct kcp_fact, i), fact))
      return true;
  return false;
}

/* Returns the encoded size of a text without its length, padded to whole XDR units. */
static size_t
text_bytes (const char *text)
{
  size_t len = strlen (text);

  return (len + XDR_UNIT - 1) / XDR_UNIT * XDR_UNIT;
}
