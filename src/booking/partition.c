#include "booking/partition_private.h"

#include <glib.h>

#include "base/counter.h"
#include "base/logger.h"
#include "booking/entry.h"

#define STEP               "booking"
#define RETRY_INTERVAL_MS  250
#define RETRY_AFTER_S      1
#define ENTRIES_PER_RECORD 256

static bool has_claim_of_held_key (struct kcp_partition *partition);
static void drop_old_outcomes (struct kcp_partition *partition, int64_t now_ms);
static struct kcp_partition_action
append_waiting (struct kcp_partition *partition, int64_t now_ms);
static struct kcp_partition_action
read_next (struct kcp_partition *partition, enum kcp_partition_phase phase);
static json_t *
get_entry (const struct kcp_partition *partition, struct kcp_pending *pending);
static bool skip_trimmed (struct kcp_partition *partition, uint64_t first);
static void apply (struct kcp_partition *partition, const struct kcp_log_batch *batch);
static bool
has_lost_records (struct kcp_partition *partition, const struct kcp_log_batch *batch);
static void continue_phase (struct kcp_partition *partition, bool at_end, int64_t now_ms);
static void
continue_lookup (struct kcp_partition *partition, bool at_end, int64_t now_ms);
static void
continue_confirming (struct kcp_partition *partition, bool at_end, int64_t now_ms);

/* Creates a partition that has not read any record. */
struct kcp_partition *
kcp_partition_new (const struct kcp_partition_options *options, int64_t now_ms)
{
  struct kcp_partition *partition = g_new0 (struct kcp_partition, 1);

  partition->options = *options;
  partition->claims = kcp_claims_new (options->window_ms);
  partition->maintain_at_ms = now_ms;
  partition->checkpoint_parts = json_array ();
  CK_STAILQ_INIT (&partition->waiting);
  CK_STAILQ_INIT (&partition->in_flight);
  kcp_partition_schedule_checkpoint (partition, now_ms);
  return partition;
}

/* Starts reading at the offset of a checkpoint instead of at the start of the stream. A
   wrong offset is safe: the state is incomplete until a checkpoint has been read, and if
   there is none, the stream is read from its start. */
void
kcp_partition_start_at (struct kcp_partition *partition, uint64_t as_of)
{
  if (as_of == 0)
    return;
  kcp_claims_skip_to (partition->claims, as_of);
  partition->started_at_hint = true;
}

/* Returns true, once for each checkpoint, if this VM's last checkpoint is complete in the
   log, and stores its offset in as_of. */
bool
kcp_partition_take_hint (struct kcp_partition *partition, uint64_t *as_of)
{
  bool due = partition->hint_due;

  partition->hint_due = false;
  *as_of = partition->checkpoint_as_of;
  return due;
}

/* Refuses the undecided claims and frees the partition; NULL is allowed. A refused claim
   may hold its key until the window has passed, but its call is never dispatched. */
void
kcp_partition_free (struct kcp_partition *partition)
{
  struct kcp_pending *pending;
  struct kcp_error error;

  if (partition == NULL)
    return;
  kcp_error_set (&error, KCP_ERR_SHUTDOWN, STEP, NULL, "this VM is shutting down");
  error.retry_after_s = RETRY_AFTER_S;
  CK_STAILQ_CONCAT (&partition->waiting, &partition->in_flight);
  while ((pending = CK_STAILQ_FIRST (&partition->waiting)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->waiting, link);
      kcp_pending_notify_recorded (pending);
      kcp_pending_report_lost (pending);
      kcp_pending_refuse (pending, &error);
    }
  json_decref (partition->record);
  json_decref (partition->checkpoint_parts);
  kcp_claims_free (partition->claims);
  g_free (partition);
}

/* Queues an entry and takes ownership of it. A claim is answered at once if it can be
   decided without reading the log, or refused at once while the log is known to be
   unavailable or too many entries are waiting. */
void
kcp_partition_post (struct kcp_partition *partition, struct kcp_pending *pending,
                    int64_t now_ms)
{
  pending->since_ms = now_ms;
  if (pending->kind == KCP_PENDING_CLAIM
      && kcp_partition_answer_early (partition, pending, now_ms))
    return;
  kcp_partition_enqueue (partition, pending);
}

/* Returns the next action. Its result must be reported before the next call. */
struct kcp_partition_action
kcp_partition_next (struct kcp_partition *partition, int64_t now_ms)
{
  const struct kcp_partition_action nothing = { .step = KCP_PARTITION_WAIT };

  if (partition->phase != PHASE_IDLE)
    return read_next (partition, partition->phase);
  if (now_ms < partition->retry_at_ms)
    return nothing;
  drop_old_outcomes (partition, now_ms);
  if (!partition->checked && has_claim_of_held_key (partition))
    return read_next (partition, PHASE_CHECKING);
  if (partition->in_doubt || partition->tick_due
      || !CK_STAILQ_EMPTY (&partition->waiting))
    return append_waiting (partition, now_ms);
  if (json_array_size (partition->checkpoint_parts) > 0)
    return kcp_partition_append_part (partition, now_ms);
  if (now_ms >= partition->maintain_at_ms)
    return read_next (partition, PHASE_MAINTAINING);
  return nothing;
}

/* Reports that the record is in the log at offset. This resolves earlier appends with an
   unknown result: their records are below offset or void. */
void
kcp_partition_append_done (struct kcp_partition *partition, uint64_t offset)
{
  struct kcp_pending *pending;

  partition->in_doubt = false;
  partition->tick_due = false;
  if (partition->record_is_checkpoint_part)
    {
      json_array_remove (partition->checkpoint_parts, 0);
      partition->hint_due = json_array_size (partition->checkpoint_parts) == 0;
    }
  kcp_partition_drop_record (partition);
  partition->confirm_offset = offset;
  partition->phase
      = kcp_partition_has_claims_in_flight (partition) ? PHASE_CONFIRMING : PHASE_IDLE;
  CK_STAILQ_FOREACH (pending, &partition->in_flight, link)
  kcp_pending_notify_recorded (pending);
  if (partition->phase == PHASE_IDLE)
    kcp_partition_answer_in_flight (partition, 0);
}

/* Reports that the append failed. The record is not in the log if error->execution is
   KCP_EXECUTION_NOT_RUN; otherwise it may be in the log or appear later. */
void
kcp_partition_append_failed (struct kcp_partition *partition,
                             const struct kcp_error *error, int64_t now_ms)
{
  partition->last_error = *error;
  partition->retry_at_ms = now_ms + RETRY_INTERVAL_MS;
  kcp_partition_drop_record (partition);
  kcp_partition_requeue_non_claims (partition);
  if (error->execution == KCP_EXECUTION_NOT_RUN)
    {
      partition->phase = PHASE_IDLE;
      kcp_partition_refuse_in_flight (partition, error);
      return;
    }
  partition->in_doubt = true;
  partition->phase
      = kcp_partition_has_claims_in_flight (partition) ? PHASE_LOOKUP : PHASE_IDLE;
}

/* Reports the records that a read returned. */
void
kcp_partition_read_done (struct kcp_partition *partition,
                         const struct kcp_log_batch *batch, int64_t now_ms)
{
  bool at_end;

  if (has_lost_records (partition, batch))
    {
      kcp_counter_add (KCP_COUNT_BOOKING_LOG_ROLLBACKS, 1);
      kcp_logger_write (G_LOG_LEVEL_WARNING, "booking_log_went_back", NULL);
      kcp_claims_rewind (partition->claims, batch->first);
      partition->restore_due = true;
      return;
    }
  apply (partition, batch);
  kcp_partition_schedule_checkpoint (partition, now_ms);
  at_end = kcp_claims_next_offset (partition->claims) >= batch->next;
  if (at_end && partition->started_at_hint && !kcp_claims_is_complete (partition->claims))
    {
      partition->started_at_hint = false;
      kcp_claims_rewind (partition->claims, 0);
      return;
    }
  partition->caught_up = partition->caught_up || at_end;
  continue_phase (partition, at_end, now_ms);
  kcp_partition_refuse_overdue (partition, now_ms);
}

/* Reports that a read failed. If error->code is KCP_ERR_TRIMMED, batch->first is the
   first offset kept. */
void
kcp_partition_read_failed (struct kcp_partition *partition,
                           const struct kcp_log_batch *batch,
                           const struct kcp_error *error, int64_t now_ms)
{
  if (error->code == KCP_ERR_TRIMMED && skip_trimmed (partition, batch->first))
    return;
  partition->last_error = *error;
  partition->retry_at_ms = now_ms + RETRY_INTERVAL_MS;
  switch (partition->phase)
    {
    case PHASE_CONFIRMING:
    case PHASE_LOOKUP:
      kcp_partition_abandon_claims (partition, error);
      break;
    case PHASE_CHECKING:
      kcp_partition_refuse_waiting (partition, G_MAXINT64);
      break;
    case PHASE_IDLE:
    case PHASE_APPENDING:
    case PHASE_MAINTAINING:
      break;
    }
  partition->phase = PHASE_IDLE;
}

/* Returns true if no entry waits to be appended or decided. */
bool
kcp_partition_is_idle (const struct kcp_partition *partition)
{
  return partition->phase == PHASE_IDLE && !partition->in_doubt
         && CK_STAILQ_EMPTY (&partition->waiting);
}

/* Returns the state read so far. */
const struct kcp_claims *
kcp_partition_claims (const struct kcp_partition *partition)
{
  return partition->claims;
}

/* Adds an entry to the end of the waiting queue. */
void
kcp_partition_enqueue (struct kcp_partition *partition, struct kcp_pending *pending)
{
  CK_STAILQ_INSERT_TAIL (&partition->waiting, pending, link);
  partition->waiting_count++;
}

/* Returns true if the key of a waiting claim is held or decided. */
static bool
has_claim_of_held_key (struct kcp_partition *partition)
{
  struct kcp_pending *pending;
  struct kcp_claim_view view;

  CK_STAILQ_FOREACH (pending, &partition->waiting, link)
  {
    if (pending->kind != KCP_PENDING_CLAIM)
      continue;
    kcp_claims_lookup (partition->claims, pending->key, &view);
    if (view.state != KCP_CLAIM_NONE)
      return true;
  }
  return false;
}

/* Drops outcomes that could not be appended within outcome_retry_ms. A later call with
   the key of such an outcome is refused because the outcome is unknown. */
static void
drop_old_outcomes (struct kcp_partition *partition, int64_t now_ms)
{
  struct kcp_pending_queue kept = CK_STAILQ_HEAD_INITIALIZER (kept);
  struct kcp_pending *pending;

  while ((pending = CK_STAILQ_FIRST (&partition->waiting)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->waiting, link);
      if (pending->kind == KCP_PENDING_OUTCOME
          && now_ms - pending->since_ms > partition->options.outcome_retry_ms)
        {
          kcp_pending_report_lost (pending);
          kcp_pending_notify_recorded (pending);
          kcp_pending_free (pending);
          partition->waiting_count--;
        }
      else
        CK_STAILQ_INSERT_TAIL (&kept, pending, link);
    }
  CK_STAILQ_CONCAT (&partition->waiting, &kept);
}

static struct kcp_partition_action
append_waiting (struct kcp_partition *partition, int64_t now_ms)
{
  json_t *entries = json_array ();
  struct kcp_pending *pending;

  while ((pending = CK_STAILQ_FIRST (&partition->waiting)) != NULL
         && json_array_size (entries) < ENTRIES_PER_RECORD)
    {
      CK_STAILQ_REMOVE_HEAD (&partition->waiting, link);
      CK_STAILQ_INSERT_TAIL (&partition->in_flight, pending, link);
      partition->waiting_count--;
      json_array_append_new (entries, get_entry (partition, pending));
    }
  partition->checked = false;
  partition->record_is_checkpoint_part = false;
  partition->record
      = kcp_entry_record (partition->options.writer, ++partition->seq, now_ms, entries);
  partition->phase = PHASE_APPENDING;
  return (struct kcp_partition_action){ .step = KCP_PARTITION_APPEND,
                                        .record = partition->record };
}

static struct kcp_partition_action
read_next (struct kcp_partition *partition, enum kcp_partition_phase phase)
{
  partition->phase = phase;
  return (struct kcp_partition_action){
    .step = KCP_PARTITION_READ,
    .from = kcp_claims_read_offset (partition->claims),
  };
}

/* Continues at the first offset kept. Returns false if the next offset to read was not
   trimmed. */
static bool
skip_trimmed (struct kcp_partition *partition, uint64_t first)
{
  struct kcp_claims *claims = partition->claims;

  if (first > kcp_claims_next_offset (claims))
    {
      kcp_claims_skip_to (claims, first);
      partition->caught_up = false;
    }
  else if (kcp_claims_read_offset (claims) < kcp_claims_next_offset (claims))
    kcp_claims_clear_last_record (claims);
  else
    return false;
  return true;
}

static json_t *
get_entry (const struct kcp_partition *partition, struct kcp_pending *pending)
{
  if (pending->entry == NULL)
    pending->entry = kcp_entry_claim (&(struct kcp_claim_entry){
        .key = pending->key,
        .body_hash = pending->body_hash,
        .claim = pending->claim,
        .vm = partition->options.vm,
        .writer = partition->options.writer,
        .deadline_ms = pending->deadline_ms,
    });
  return json_incref (pending->entry);
}

/* Applies the records in order. Loading a checkpoint moves the state back to the
   checkpoint's offset, where the next read continues. */
static void
apply (struct kcp_partition *partition, const struct kcp_log_batch *batch)
{
  json_t *item;
  size_t i;

  json_array_foreach (batch->records, i, item)
  {
    uint64_t offset = (uint64_t)kcp_entry_int (item, "offset");

    kcp_claims_apply (partition->claims, offset, json_object_get (item, "record"));
    if (kcp_claims_next_offset (partition->claims) <= offset)
      return;
  }
}

/* Returns true if the log no longer holds the records that were read from it. */
static bool
has_lost_records (struct kcp_partition *partition, const struct kcp_log_batch *batch)
{
  const json_t *item = json_array_get (batch->records, 0);

  if (batch->next < kcp_claims_next_offset (partition->claims))
    return true;
  return item != NULL
         && !kcp_claims_matches_last_record (partition->claims,
                                             (uint64_t)kcp_entry_int (item, "offset"),
                                             json_object_get (item, "record"));
}

static void
continue_phase (struct kcp_partition *partition, bool at_end, int64_t now_ms)
{
  if (at_end && partition->restore_due)
    kcp_partition_queue_restore (partition);
  switch (partition->phase)
    {
    case PHASE_CONFIRMING:
      continue_confirming (partition, at_end, now_ms);
      break;
    case PHASE_LOOKUP:
      continue_lookup (partition, at_end, now_ms);
      break;
    case PHASE_CHECKING:
      if (at_end)
        kcp_partition_decide_waiting (partition, now_ms);
      break;
    case PHASE_MAINTAINING:
      if (at_end)
        kcp_partition_maintain (partition, now_ms);
      break;
    case PHASE_IDLE:
    case PHASE_APPENDING:
      break;
    }
}

static void
continue_confirming (struct kcp_partition *partition, bool at_end, int64_t now_ms)
{
  if (kcp_claims_next_offset (partition->claims) > partition->confirm_offset)
    kcp_partition_answer_in_flight (partition, now_ms);
  else if (at_end)
    {
      kcp_error_set (&partition->last_error, KCP_ERR_PLATFORM, STEP, NULL,
                     "the log no longer holds the claim");
      kcp_partition_abandon_claims (partition, &partition->last_error);
    }
}

static void
continue_lookup (struct kcp_partition *partition, bool at_end, int64_t now_ms)
{
  if (kcp_claims_last_seq (partition->claims, partition->options.writer)
      >= partition->seq)
    {
      partition->in_doubt = false;
      partition->retry_at_ms = now_ms;
      kcp_partition_answer_in_flight (partition, now_ms);
    }
  else if (at_end)
    kcp_partition_abandon_claims (partition, &partition->last_error);
}
