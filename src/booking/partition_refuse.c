/* Handles entries whose append failed and claims that cannot be decided. They are queued
   again or refused. */
#include "booking/partition_private.h"

#define STEP "booking"

/* Returns true if the entries in flight include a claim. */
bool
kcp_partition_has_claims_in_flight (const struct kcp_partition *partition)
{
  struct kcp_pending *pending;

  CK_STAILQ_FOREACH (pending, &partition->in_flight, link)
  if (pending->kind == KCP_PENDING_CLAIM)
    return true;
  return false;
}

/* Moves the entries in flight that are not claims back to the waiting queue. Appending
   them twice is harmless. */
void
kcp_partition_requeue_non_claims (struct kcp_partition *partition)
{
  struct kcp_pending_queue claims = CK_STAILQ_HEAD_INITIALIZER (claims);
  struct kcp_pending *pending;

  while ((pending = CK_STAILQ_FIRST (&partition->in_flight)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->in_flight, link);
      if (pending->kind == KCP_PENDING_CLAIM)
        {
          CK_STAILQ_INSERT_TAIL (&claims, pending, link);
          continue;
        }
      kcp_partition_enqueue (partition, pending);
      kcp_pending_notify_recorded (pending);
    }
  CK_STAILQ_CONCAT (&partition->in_flight, &claims);
}

/* Refuses the claims in flight and frees the other entries. */
void
kcp_partition_refuse_in_flight (struct kcp_partition *partition,
                                const struct kcp_error *error)
{
  struct kcp_pending *pending;

  while ((pending = CK_STAILQ_FIRST (&partition->in_flight)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->in_flight, link);
      kcp_pending_refuse (pending, error);
    }
}

/* Refuses the claims in flight; their calls are never dispatched. Their releases are
   queued for the next record. That record voids the claims if they are not in the log
   before it, and releases their keys if they are. */
void
kcp_partition_abandon_claims (struct kcp_partition *partition,
                              const struct kcp_error *error)
{
  struct kcp_pending *pending;

  CK_STAILQ_FOREACH (pending, &partition->in_flight, link)
  if (pending->kind == KCP_PENDING_CLAIM)
    kcp_partition_enqueue (partition,
                           kcp_pending_new_release (pending->key, pending->claim));
  partition->phase = PHASE_IDLE;
  kcp_partition_refuse_in_flight (partition, error);
}

/* Refuses the claims that have waited longer than decision_timeout_ms while the log is
   read. Reading the log continues. */
void
kcp_partition_refuse_overdue (struct kcp_partition *partition, int64_t now_ms)
{
  int64_t since_ms = now_ms - partition->options.decision_timeout_ms;
  const struct kcp_pending *oldest = CK_STAILQ_FIRST (&partition->in_flight);

  kcp_error_set (&partition->last_error, KCP_ERR_PLATFORM, STEP, NULL,
                 "the booking log is still being read");
  if (oldest != NULL && oldest->since_ms < since_ms)
    {
      kcp_partition_abandon_claims (partition, &partition->last_error);
      partition->maintain_at_ms = now_ms;
    }
  kcp_partition_refuse_waiting (partition, since_ms);
}

/* Refuses the waiting claims that were posted before before_ms. */
void
kcp_partition_refuse_waiting (struct kcp_partition *partition, int64_t before_ms)
{
  struct kcp_pending_queue remaining = CK_STAILQ_HEAD_INITIALIZER (remaining);
  struct kcp_pending *pending;

  while ((pending = CK_STAILQ_FIRST (&partition->waiting)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->waiting, link);
      if (pending->kind == KCP_PENDING_CLAIM && pending->since_ms < before_ms)
        {
          partition->waiting_count--;
          kcp_pending_refuse (pending, &partition->last_error);
        }
      else
        CK_STAILQ_INSERT_TAIL (&remaining, pending, link);
    }
  CK_STAILQ_CONCAT (&partition->waiting, &remaining);
}

/* Frees the record that is being appended. */
void
kcp_partition_drop_record (struct kcp_partition *partition)
{
  json_decref (partition->record);
  partition->record = NULL;
}
