#include "booking/pending.h"

#include <glib.h>

#include "booking/entry.h"

static struct kcp_pending *
pending_new (enum kcp_pending_kind kind, const char *key, const char *claim);

/* Makes a claim of a key with a new claim id. Its entry is made when it is appended. */
struct kcp_pending *
kcp_pending_claim (const char *key, const char *body_hash, kcp_claim_done *done,
                   void *user)
{
  char claim[KCP_ID_LEN + 1];
  struct kcp_pending *pending;

  kcp_id_random (claim);
  pending = pending_new (KCP_PENDING_CLAIM, key, claim);
  g_strlcpy (pending->body_hash, body_hash, sizeof pending->body_hash);
  pending->done = done;
  pending->user = user;
  return pending;
}

/* Makes the outcome, sealed, of a won claim. recorded may be NULL. */
struct kcp_pending *
kcp_pending_outcome (const char *key, const char *claim, const char *sealed,
                     kcp_outcome_done *recorded, void *user)
{
  struct kcp_pending *pending = pending_new (KCP_PENDING_OUTCOME, key, claim);

  pending->entry = kcp_entry_outcome (key, claim, sealed);
  pending->recorded = recorded;
  pending->user = user;
  return pending;
}

/* Makes the release of a claim that was never dispatched and never will be. */
struct kcp_pending *
kcp_pending_release (const char *key, const char *claim)
{
  struct kcp_pending *pending = pending_new (KCP_PENDING_RELEASE, key, claim);

  pending->entry = kcp_entry_release (key, claim);
  return pending;
}

/* Makes a pending of an entry that restates the state; takes the entry over. */
struct kcp_pending *
kcp_pending_restated (json_t *entry)
{
  struct kcp_pending *pending = pending_new (KCP_PENDING_RESTATED, "", "");

  pending->entry = entry;
  return pending;
}

/* Reports an outcome as recorded, the first time only. */
void
kcp_pending_recorded (struct kcp_pending *pending)
{
  kcp_outcome_done *recorded = pending->recorded;

  pending->recorded = NULL;
  if (recorded != NULL)
    recorded (pending->user);
}

/* Frees it; NULL is allowed. */
void
kcp_pending_free (struct kcp_pending *pending)
{
  if (pending == NULL)
    return;
  json_decref (pending->entry);
  g_free (pending);
}

static struct kcp_pending *
pending_new (enum kcp_pending_kind kind, const char *key, const char *claim)
{
  struct kcp_pending *pending = g_new0 (struct kcp_pending, 1);

  pending->kind = kind;
  g_strlcpy (pending->key, key, sizeof pending->key);
  g_strlcpy (pending->claim, claim, sizeof pending->claim);
  return pending;
}
