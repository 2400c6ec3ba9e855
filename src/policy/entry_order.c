#include "policy/entry_order.h"

/* The first entry of a server that has just started has at most this number: the store
   may have failed to carry out those before. */
#define FIRST_SEQUENCE_MAX 3

static bool
was_read_before (const struct kcp_known_entry *known, int64_t offset, bool or_same);
static enum kcp_entry_age judge_same_start (const struct kcp_known_entry *known,
                                            const struct kcp_entry_order *entry);
static bool
precedes (const struct kcp_known_entry *known, const struct kcp_entry_order *entry);

/* Judges an entry of a server of which one is known. A start ahead of this VM's clock
   does not keep out earlier ones. */
enum kcp_entry_age
kcp_entry_order_judge (const struct kcp_known_entry *known,
                       const struct kcp_entry_order *entry)
{
  if (was_read_before (known, entry->offset, known->removed))
    return KCP_ENTRY_OLDER;
  if (entry->started_ms == known->order.started_ms)
    return judge_same_start (known, entry);
  if (entry->started_ms < known->order.started_ms && !known->start_ahead)
    return KCP_ENTRY_OLDER;
  return KCP_ENTRY_NEWER;
}

/* Judges an entry that was read after the listing, of a server of which none is known.
   One with a high number was on the list before. */
enum kcp_entry_age
kcp_entry_order_judge_unknown (const struct kcp_entry_order *entry)
{
  return entry->sequence > FIRST_SEQUENCE_MAX ? KCP_ENTRY_RETURNED : KCP_ENTRY_NEWER;
}

/* Returns false if the removal of an entry, whose record has this offset, is older than
   what is known. */
bool
kcp_entry_order_removal_is_newer (const struct kcp_known_entry *known, int64_t offset)
{
  return !was_read_before (known, offset, false);
}

/* Updates what is known by an entry that is not older. */
void
kcp_entry_order_update (struct kcp_known_entry *known,
                        const struct kcp_entry_order *entry, int64_t now_ms)
{
  int64_t sequence = known->order.sequence;
  bool same_start = known->order.started_ms == entry->started_ms;

  *known = (struct kcp_known_entry){ .order = *entry,
                                     .start_ahead = entry->started_ms > now_ms };
  if (same_start && entry->sequence == KCP_ENTRY_UNNUMBERED)
    known->order.sequence = sequence;
}

static bool
was_read_before (const struct kcp_known_entry *known, int64_t offset, bool or_same)
{
  if (offset == KCP_ENTRY_NO_OFFSET || known->order.offset == KCP_ENTRY_NO_OFFSET)
    return false;
  return offset < known->order.offset || (or_same && offset == known->order.offset);
}

static enum kcp_entry_age
judge_same_start (const struct kcp_known_entry *known,
                  const struct kcp_entry_order *entry)
{
  if (precedes (known, entry))
    return KCP_ENTRY_OLDER;
  if (known->removed && !known->unreached)
    return KCP_ENTRY_RETURNED;
  return KCP_ENTRY_NEWER;
}

/* Returns true if the server wrote the entry before the known one or before its removal.
   Entries without a number or a start are taken in the order in which they were read, but
   do not undo what one with a number says. */
static bool
precedes (const struct kcp_known_entry *known, const struct kcp_entry_order *entry)
{
  int64_t sequence = known->order.sequence;
  bool undoes = known->removed || (known->order.draining && !entry->draining);

  if (entry->in_copy && undoes)
    return true;
  if (entry->started_ms == 0 || sequence == KCP_ENTRY_UNNUMBERED)
    return false;
  if (entry->sequence == KCP_ENTRY_UNNUMBERED)
    return undoes;
  return entry->sequence < sequence || (known->removed && entry->sequence == sequence);
}
