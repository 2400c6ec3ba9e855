#include <glib.h>

#include "base/counter.h"
#include "booking/entry.h"
#include "booking/partition_private.h"

#define MAINTENANCE_INTERVAL_MIN_MS 100
#define MAINTENANCE_INTERVAL_MAX_MS 30000
#define MAINTENANCE_PER_CHECKPOINT  8
#define JITTER_DIVISOR              4

/* Starts a checkpoint if one is due. If the state is incomplete, requests an empty record
   instead when the log time lags behind, so that the log time advances and the window
   passes. */
void
kcp_partition_maintain (struct kcp_partition *partition, int64_t now_ms)
{
  struct kcp_claims *claims = partition->claims;
  char id[KCP_ID_LEN + 1];

  partition->phase = PHASE_IDLE;
  partition->maintain_at_ms
      = now_ms
        + CLAMP (partition->options.checkpoint_ms / MAINTENANCE_PER_CHECKPOINT,
                 MAINTENANCE_INTERVAL_MIN_MS, MAINTENANCE_INTERVAL_MAX_MS);
  if (!kcp_claims_is_complete (claims))
    {
      partition->tick_due
          = now_ms > kcp_claims_log_time_ms (claims) + MAINTENANCE_INTERVAL_MAX_MS;
      return;
    }
  if (now_ms < partition->checkpoint_at_ms || kcp_claims_next_offset (claims) == 0)
    return;
  kcp_id_random (id);
  json_decref (partition->checkpoint_parts);
  partition->checkpoint_parts = kcp_claims_snapshot (claims, id);
  partition->checkpoint_as_of = kcp_claims_next_offset (claims);
  kcp_counter_add (KCP_COUNT_BOOKING_CHECKPOINTS, 1);
  partition->checkpoint_at_ms = now_ms + partition->options.checkpoint_ms;
}

/* Postpones the next checkpoint if a new one was read. Adds a jitter that depends on the
   writer id, so that the VMs do not all write a checkpoint at the same time. */
void
kcp_partition_schedule_checkpoint (struct kcp_partition *partition, int64_t now_ms)
{
  uint64_t seen = kcp_claims_checkpoint_offset (partition->claims);
  int64_t period_ms = partition->options.checkpoint_ms;
  int64_t jitter_ms
      = g_str_hash (partition->options.writer) % MAX (period_ms / JITTER_DIVISOR, 1);

  if (seen == partition->checkpoint_seen_offset && partition->checkpoint_at_ms > 0)
    return;
  partition->checkpoint_seen_offset = seen;
  partition->checkpoint_at_ms = now_ms + period_ms + jitter_ms;
}

/* Queues entries that restore the keys of the state, for a log that lost records. */
void
kcp_partition_queue_restore (struct kcp_partition *partition)
{
  json_t *entries = kcp_claims_restore_entries (partition->claims);
  json_t *entry;
  size_t i;

  partition->restore_due = false;
  json_array_foreach (entries, i, entry)
      kcp_partition_enqueue (partition, kcp_pending_new_restore (json_incref (entry)));
  json_decref (entries);
}

/* Returns the action that appends the next part of a checkpoint. */
struct kcp_partition_action
kcp_partition_append_part (struct kcp_partition *partition, int64_t now_ms)
{
  partition->record_is_checkpoint_part = true;
  partition->record = kcp_entry_record (partition->options.writer, ++partition->seq,
                                        now_ms, json_array ());
  json_object_update (partition->record, json_array_get (partition->checkpoint_parts, 0));
  partition->phase = PHASE_APPENDING;
  return (struct kcp_partition_action){ .step = KCP_PARTITION_APPEND,
                                        .record = partition->record };
}
