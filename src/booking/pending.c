#include "booking/pending.h"

#include "base/counter.h"
#include "base/logger.h"

#define RETRY_AFTER_S 1

#include <glib.h>

#include "booking/entry.h"

static struct kcp_pending *
pending_new (enum kcp_pending_kind kind, const char *key, const char *claim);

/* Creates a claim of a key with a random claim id. Its log entry is created when it is
   appended. */
struct kcp_pending *
kcp_pending_new_claim (const char *key, const char *body_hash, kcp_claim_done *done,
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

/* Creates the encrypted outcome of a won claim. recorded may be NULL. */
struct kcp_pending *
kcp_pending_new_outcome (const char *key, const char *claim, const char *sealed,
                         kcp_outcome_done *recorded, void *user)
{
  struct kcp_pending *pending = pending_new (KCP_PENDING_OUTCOME, key, claim);

  pending->entry = kcp_entry_outcome (key, claim, sealed);
  pending->recorded = recorded;
  pending->user = user;
  return pending;
}

/* Creates the release of a claim whose call was not dispatched and never will be. */
struct kcp_pending *
kcp_pending_new_release (const char *key, const char *claim)
{
  struct kcp_pending *pending = pending_new (KCP_PENDING_RELEASE, key, claim);

  pending->entry = kcp_entry_release (key, claim);
  return pending;
}

/* Creates a pending entry that restores a key of the state. Takes ownership of entry. */
struct kcp_pending *
kcp_pending_new_restore (json_t *entry)
{
  struct kcp_pending *pending = pending_new (KCP_PENDING_RESTORE, "", "");

  pending->entry = entry;
  return pending;
}

/* Calls the callback of an outcome, the first time only. */
void
kcp_pending_notify_recorded (struct kcp_pending *pending)
{
  kcp_outcome_done *recorded = pending->recorded;

  pending->recorded = NULL;
  if (recorded != NULL)
    recorded (pending->user);
}

/* Frees a pending entry; NULL is allowed. */
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

/* Answers a claim and frees it; other entries are only freed. */
void
kcp_pending_answer (struct kcp_pending *pending, const struct kcp_claim_answer *result)
{
  if (pending->done != NULL)
    pending->done (pending->user, result);
  kcp_pending_free (pending);
}

/* Refuses a claim and frees it; other entries are only freed. */
void
kcp_pending_refuse (struct kcp_pending *pending, const struct kcp_error *error)
{
  struct kcp_claim_answer result = { .result = KCP_CLAIM_REFUSED, .error = *error };

  result.error.execution = KCP_EXECUTION_NOT_RUN;
  result.error.retry_after_s = RETRY_AFTER_S;
  kcp_pending_answer (pending, &result);
}

/* Counts and logs an outcome that was not recorded. Ignores other entries. */
void
kcp_pending_report_lost (const struct kcp_pending *pending)
{
  if (pending->kind != KCP_PENDING_OUTCOME)
    return;
  kcp_counter_add (KCP_COUNT_BOOKING_OUTCOMES_LOST, 1);
  kcp_logger_write (G_LOG_LEVEL_WARNING, "booking_outcome_lost", "key", pending->key,
                    NULL);
}
