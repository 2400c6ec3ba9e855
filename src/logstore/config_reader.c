#include "logstore/config_reader.h"

#include "base/logger.h"

#define URGENT_POLLS  4   /* random delay of a checkpoint that the log needs */
#define SPREAD_POLLS  120 /* random delay of any other one */
#define ROOT_POLLS    40  /* how long a gap lasts before the stream starts over */
#define COMPARE_POLLS 4

static bool
log_was_replaced (struct kcp_config_reader *reader, const struct kcp_log_batch *batch);
static bool can_compare (const struct kcp_config_reader *reader, uint64_t next);
static bool
apply_batch (struct kcp_config_reader *reader, const struct kcp_log_batch *batch);
static void
note_in_force (struct kcp_config_reader *reader, json_t *record, uint64_t offset);

/* Prepares a reader of a stream that is read again every poll_ns nanoseconds at the
   latest. The caller sets max_records and max_age_ns of the plan. */
void
kcp_config_reader_init (struct kcp_config_reader *reader, struct kcp_config *config,
                        struct kcp_timeline *timeline, int64_t poll_ns)
{
  *reader = (struct kcp_config_reader){
    .config = config,
    .timeline = timeline,
    .compare_ns = COMPARE_POLLS * poll_ns,
    .plan = {
      .urgent_ns = URGENT_POLLS * poll_ns,
      .spread_ns = SPREAD_POLLS * poll_ns,
      .root_after_ns = ROOT_POLLS * poll_ns,
    },
  };
}

/* Returns the offset to read from: the first one not applied or, from time to time and
   whenever there is cause, the one before it. */
uint64_t
kcp_config_reader_from (struct kcp_config_reader *reader, int64_t now_ns)
{
  uint64_t next = kcp_config_next_offset (reader->config);

  if (kcp_config_take_suspicion (reader->config)
      || now_ns - reader->compared_ns > reader->compare_ns)
    reader->compare = true;
  reader->comparing = reader->compare && can_compare (reader, next);
  return reader->comparing ? next - 1 : next;
}

/* Takes what was read from that offset. New records are applied only if the same read
   showed that the record before them is the one applied here: a log that was put back to
   an earlier state and filled again differs in it. asked_ns is when the read began;
   random is from 0 to 1. Returns the kind of checkpoint that is to be appended now. */
enum kcp_checkpoint_kind
kcp_config_reader_take (struct kcp_config_reader *reader,
                        const struct kcp_log_batch *batch, int64_t asked_ns,
                        int64_t now_ns, double random)
{
  struct kcp_config_status status;
  uint64_t next = kcp_config_next_offset (reader->config);
  bool compared = reader->comparing || !can_compare (reader, next);

  if (log_was_replaced (reader, batch))
    {
      kcp_config_log_restarted (reader->config, 0);
      kcp_logger_write (G_LOG_LEVEL_WARNING, "config_log_replaced", NULL);
      return KCP_CHECKPOINT_NONE;
    }
  reader->compare = !compared && batch->next > next;
  if (reader->compare || !apply_batch (reader, batch))
    return KCP_CHECKPOINT_NONE;
  kcp_config_status (reader->config, &status);
  reader->compare = status.next < batch->next;
  if (reader->compare)
    return KCP_CHECKPOINT_NONE;
  if (!status.gap)
    kcp_config_confirm (reader->config, asked_ns);
  if (!compared || now_ns - asked_ns > reader->compare_ns)
    return KCP_CHECKPOINT_NONE;
  reader->compared_ns = now_ns;
  return kcp_checkpoint_plan_step (&reader->plan, &status, batch->first, now_ns, random);
}

/* Takes the answer that records from that offset on were trimmed; first is the first
   offset kept. */
void
kcp_config_reader_trimmed (struct kcp_config_reader *reader, uint64_t first)
{
  uint64_t next = kcp_config_next_offset (reader->config);

  if (first <= next)
    {
      kcp_config_log_doubted (reader->config);
      return;
    }
  kcp_config_log_restarted (reader->config, first);
  kcp_logger_write (G_LOG_LEVEL_WARNING, "config_log_trimmed", NULL);
}

/* Notes that a read failed. */
void
kcp_config_reader_failed (struct kcp_config_reader *reader)
{
  reader->compare = true;
}

/* Tells whether the log holds another record where the last one was applied, or none. */
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

/* Tells whether the record before the next offset is known here and may still be kept. */
static bool
can_compare (const struct kcp_config_reader *reader, uint64_t next)
{
  return next > 0 && kcp_config_can_compare (reader->config);
}

/* Returns false if the log is to be read again from an earlier offset. */
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
      note_in_force (reader, record, offset);
  }
  return true;
}

static void
note_in_force (struct kcp_config_reader *reader, json_t *record, uint64_t offset)
{
  const char *key = json_string_value (json_object_get (record, "key"));

  if (reader->timeline != NULL)
    kcp_timeline_add (reader->timeline, KCP_EVENT_CONFIG_IN_FORCE, NULL, key,
                      (int64_t)offset);
}
