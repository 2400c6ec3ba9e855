#include "policy/answered_parts.h"

#include <glib.h>

/* Creates an empty table; free it with kcp_answered_parts_free(). */
struct kcp_answered_parts *
kcp_answered_parts_new (void)
{
  return g_new0 (struct kcp_answered_parts, 1);
}

/* Frees the table; NULL is allowed. */
void
kcp_answered_parts_free (struct kcp_answered_parts *parts)
{
  g_free (parts);
}

/* Adds a part, in place of another one that has the same slot. */
void
kcp_answered_parts_add (struct kcp_answered_parts *parts, uint64_t fingerprint)
{
  parts->slots[fingerprint % KCP_ANSWERED_PARTS_SLOTS] = fingerprint;
}

/* Returns true if the part was added and no other one has taken its place. */
bool
kcp_answered_parts_contains (const struct kcp_answered_parts *parts, uint64_t fingerprint)
{
  return fingerprint != 0
         && parts->slots[fingerprint % KCP_ANSWERED_PARTS_SLOTS] == fingerprint;
}
