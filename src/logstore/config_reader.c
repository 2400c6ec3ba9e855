#include "logstore/config_reader.h"

#include "base/logger.h"

/* Times as multiples of the poll interval; see struct kcp_checkpoint_plan for the first
   three. */
#define MAX_URGENT_DELAY_POLLS  4
#define MAX_ROUTINE_DELAY_POLLS 120
#define GAP_TIMEOUT_POLLS       40
#define COMPARE_INTERVAL_POLLS  4

static bool
log_was_replaced (struct kcp_config_reader *reader, const struct kcp_log_batch *batch);
static bool can_compare (const struct kcp_config_reader *reader, uint64_t next);
static bool
apply_batch (struct kcp_config_reader *reader, const struct kcp_log_batch *batch);
static void
record_in_force (struct kcp_config_reader *reader, json_t *record, uint64_t offset);

/* Initializes a reader. timeline may be NULL. poll_ns is the maximum time between two
   reads of the stream, in nanoseconds; the delays of checkpoints are multiples of it. The
   caller sets max_records and max_age_ns of the plan. */
void
kcp_config_reader_init (struct kcp_config_reader *reader, struct kcp_config *config,
                        struct kcp_timeline *timeline, int64_t poll_ns)
{
  *reader = (struct kcp_config_reader){
    .config = config,
    .timeline = timeline,
    .compare_interval_ns = COMPARE_INTERVAL_POLLS * poll_ns,
    .plan = {
      .max_urgent_delay_ns = MAX_URGENT_DELAY_POLLS * poll_ns,
      .max_routine_delay_ns = MAX_ROUTINE_DELAY_POLLS * poll_ns,
      .gap_timeout_ns = GAP_TIMEOUT_POLLS * poll_ns,
    },
  };
}

/* Prepares the next read and returns the offset to read from. This is the first offset
   that was not applied or, if the last record is to be compared with the log, the one
   before it. A comparison is made at regular intervals and whenever the log may have been
   replaced. */
uint64_t
kcp_config_reader_begin_read (struct kcp_config_reader *reader, int64_t now_ns)
{
  uint64_t next = kcp_config_next_offset (reader->config);

  if (kcp_config_take_log_check_request (reader->config)
      || now_ns - reader->last_compared_ns > reader->compare_interval_ns)
    reader->compare_requested = true;
  reader->comparing = reader->compare_requested && can_compare (reader, next);
  return reader->comparing ? next - 1 : next;
}

/* Processes the records that were read from the offset that
   kcp_config_reader_begin_read() returned. New records are applied only if the same read
   showed that the record before them is the one that was applied here. A log that was
   restored to an earlier state and then received other records differs in that record.
   read_start_ns is the monotonic time at which the read began; random is from 0 to 1.
   Returns the kind of checkpoint that is to be appended now. */
enum kcp_checkpoint_kind
kcp_config_reader_on_batch (struct kcp_config_reader *reader,
                            const struct kcp_log_batch *batch, int64_t read_start_ns,
                            int64_t now_ns, double random)
{
  struct kcp_config_status status;
  uint64_t next = kcp_config_next_offset (reader->config);
  bool compared = reader->comparing || !can_compare (reader, next);

  if (log_was_replaced (reader, batch))
    {
      kcp_config_restart_log (reader->config, 0);
      kcp_logger_write (G_LOG_LEVEL_WARNING, "config_log_replaced", NULL);
      return KCP_CHECKPOINT_NONE;
    }
  reader->compare_requested = !compared && batch->next > next;
  if (reader->compare_requested || !apply_batch (reader, batch))
    return KCP_CHECKPOINT_NONE;
  kcp_config_status (reader->config, &status);
  reader->compare_requested = status.next < batch->next;
  if (reader->compare_requested)
    return KCP_CHECKPOINT_NONE;
  if (!status.gap)
    kcp_config_confirm (reader->config, read_start_ns);
  if (!compared || now_ns - read_start_ns > reader->compare_interval_ns)
    return KCP_CHECKPOINT_NONE;
  reader->last_compared_ns = now_ns;
  return kcp_checkpoint_plan_step (&reader->plan, &status, batch->first, now_ns, random);
}

/* Handles a read that failed because the records at its offset were trimmed. first is the
   first offset that the log retains. */
void
kcp_config_reader_on_trimmed (struct kcp_config_reader *reader, uint64_t first)
{
  uint64_t next = kcp_config_next_offset (reader->config);

  if (first <= next)
    {
      kcp_config_mark_log_unverified (reader->config);
      return;
    }
  kcp_config_restart_log (reader->config, first);
  kcp_logger_write (G_LOG_LEVEL_WARNING, "config_log_trimmed", NULL);
}

/* Handles a read that failed. The next read compares the last record with the log. */
void
kcp_config_reader_on_failed (struct kcp_config_reader *reader)
{
  reader->compare_requested = true;
}

/* Returns true if the log ends before the last record that was applied, or has another
   record at its offset. */
static bool
log_was_replaced (struct kcp_config_reader *reader, const struct kcp_log_batch *batch)
{
  uint64_t next = kcp_config_next_offset (reader->config);
  json_t *item = json_array_get (batch->records, 0);
  uint64_t offset = (uint64_t)json_integer_value (json_object_get (item, "offset"));

  if (batch->next < next)
    return true;
  if (item == NULL || offset >= next)
    return false;
  return !kcp_config_log_matches (reader->config, offset,
                                  json_object_get (item, "record"));
}

/* Returns true if the record before the next offset is known and can be compared with the
   log. */
static bool
can_compare (const struct kcp_config_reader *reader, uint64_t next)
{
  return next > 0 && kcp_config_can_compare_log (reader->config);
}

/* Applies the records of a batch. Returns false if a checkpoint requires that the log is
   read again from an earlier offset. */
static bool
apply_batch (struct kcp_config_reader *reader, const struct kcp_log_batch *batch)
{
  json_t *item;
  size_t i;

  json_array_foreach (batch->records, i, item)
  {
    uint64_t offset = (uint64_t)json_integer_value (json_object_get (item, "offset"));
    json_t *record = json_object_get (item, "record");
    struct kcp_error error;
    enum kcp_config_result result
        = kcp_config_apply (reader->config, offset, record, &error);

    if (result == KCP_CONFIG_REWOUND)
      return false;
    if (result == KCP_CONFIG_APPLIED)
      record_in_force (reader, record, offset);
  }
  return true;
}

static void
record_in_force (struct kcp_config_reader *reader, json_t *record, uint64_t offset)
{
  const char *key = json_string_value (json_object_get (record, "key"));

  if (reader->timeline != NULL)
    kcp_timeline_add (reader->timeline, KCP_EVENT_CONFIG_IN_FORCE, NULL, key,
                      (int64_t)offset);
}
