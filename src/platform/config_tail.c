#include "platform/config_tail.h"

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>

#include "base/id.h"
#include "base/logger.h"
#include "platform/checkpoint_plan.h"

#define URGENT_POLLS 4   /* random delay of a checkpoint that the log needs */
#define SPREAD_POLLS 120 /* random delay of any other one */
#define ROOT_POLLS   40  /* how long a gap lasts before the stream starts over */
#define LAPSE_POLLS  8   /* a longer pause between reads has the last record compared */

struct kcp_config_tail
{
  struct kcp_platform_log *log;
  struct kcp_config *config;
  struct kcp_timeline *timeline;
  const struct kcp_clock *clock;
  struct kcp_checkpoint_plan plan;
  int64_t poll_ms;
  int64_t read_ns; /* when the last read ended well */
  bool compare;    /* the last record applied is to be read again and compared */
  pthread_t thread;
  int stopping;
};

static void *run (void *user);
static void read_once (struct kcp_config_tail *tail);
static void take_batch (struct kcp_config_tail *tail, const struct kcp_log_batch *batch,
                        int64_t asked_ns);
static bool
log_was_replaced (struct kcp_config_tail *tail, const struct kcp_log_batch *batch);
static void read_again (struct kcp_config_tail *tail, const struct kcp_log_batch *batch);
static bool apply_batch (struct kcp_config_tail *tail, const struct kcp_log_batch *batch);
static void append_checkpoint (struct kcp_config_tail *tail, uint64_t first);
static bool
is_lapsed (const struct kcp_config_tail *tail, int64_t since_ns, int64_t now_ns);
static double random_share (void);

/* Starts following; everything passed in must outlive the thread. poll_ms bounds a long
   poll and the pause after a failed one. A checkpoint is appended after max_records
   records or max_age_s seconds without one, and whenever the log alone no longer gives
   what is in force. */
struct kcp_config_tail *
kcp_config_tail_start (struct kcp_platform_log *log, struct kcp_config *config,
                       struct kcp_timeline *timeline,
                       const struct kcp_config_tail_options *options)
{
  struct kcp_config_tail *tail = g_new0 (struct kcp_config_tail, 1);
  int64_t poll_ns = options->poll_ms * KCP_NS_PER_MS;

  *tail = (struct kcp_config_tail){
    .log = log,
    .config = config,
    .timeline = timeline,
    .clock = options->clock,
    .poll_ms = options->poll_ms,
    .plan = {
      .max_records = options->checkpoint_records,
      .max_age_ns = options->checkpoint_age_s * KCP_NS_PER_S,
      .urgent_ns = URGENT_POLLS * poll_ns,
      .spread_ns = SPREAD_POLLS * poll_ns,
      .root_after_ns = ROOT_POLLS * poll_ns,
    },
  };
  pthread_create (&tail->thread, NULL, run, tail);
  return tail;
}

/* Stops the thread and frees it; NULL is allowed. */
void
kcp_config_tail_stop (struct kcp_config_tail *tail)
{
  if (tail == NULL)
    return;
  ck_pr_store_int (&tail->stopping, 1);
  pthread_join (tail->thread, NULL);
  g_free (tail);
}

static void *
run (void *user)
{
  struct kcp_config_tail *tail = user;

  while (!ck_pr_load_int (&tail->stopping))
    read_once (tail);
  return NULL;
}

/* Reads on from the first offset not applied. After a failure or a pause, in which the
   log may have been put back to an earlier state and filled again, it reads the last
   record applied once more to compare it. */
static void
read_once (struct kcp_config_tail *tail)
{
  int64_t asked_ns = kcp_clock_monotonic_ns (tail->clock);
  uint64_t from = kcp_config_next_offset (tail->config);
  struct kcp_log_batch batch;
  struct kcp_error error;

  if (kcp_config_take_suspicion (tail->config)
      || is_lapsed (tail, tail->read_ns, asked_ns))
    tail->compare = true;
  if (tail->compare && from > 0)
    from--;
  if (kcp_platform_log_read (tail->log, KCP_CONFIG_STREAM, from, tail->poll_ms, &batch,
                             &error))
    {
      take_batch (tail, &batch, asked_ns);
      kcp_log_batch_clear (&batch);
      tail->read_ns = kcp_clock_monotonic_ns (tail->clock);
      return;
    }
  tail->compare = true;
  if (error.code == KCP_ERR_TRIMMED
      && batch.first > kcp_config_next_offset (tail->config))
    {
      kcp_config_log_trimmed (tail->config, batch.first);
      kcp_logger_write (G_LOG_LEVEL_WARNING, "config_log_trimmed", NULL);
      return;
    }
  if (error.code == KCP_ERR_TRIMMED)
    {
      tail->compare = false;
      tail->read_ns = kcp_clock_monotonic_ns (tail->clock);
      return;
    }
  kcp_logger_error ("config_read_failed", NULL, &error);
  g_usleep ((gulong)(tail->poll_ms * G_TIME_SPAN_MILLISECOND));
}

static void
take_batch (struct kcp_config_tail *tail, const struct kcp_log_batch *batch,
            int64_t asked_ns)
{
  struct kcp_config_status status;

  if (log_was_replaced (tail, batch))
    {
      read_again (tail, batch);
      return;
    }
  tail->compare = false;
  if (!apply_batch (tail, batch))
    return;
  kcp_config_status (tail->config, &status);
  if (status.next < batch->next)
    return;
  if (!status.gap)
    kcp_config_confirm (tail->config, asked_ns);
  if (!is_lapsed (tail, asked_ns, kcp_clock_monotonic_ns (tail->clock)))
    append_checkpoint (tail, batch->first);
}

/* Tells whether the log holds another record where the last one was applied, or none. */
static bool
log_was_replaced (struct kcp_config_tail *tail, const struct kcp_log_batch *batch)
{
  uint64_t next = kcp_config_next_offset (tail->config);
  json_t *item = json_array_get (batch->records, 0);
  uint64_t offset = (uint64_t)json_integer_value (json_object_get (item, "offset"));

  if (batch->next < next)
    return true;
  if (item == NULL || offset >= next)
    return false;
  return !kcp_config_log_matches (tail->config, offset, json_object_get (item, "record"));
}

static void
read_again (struct kcp_config_tail *tail, const struct kcp_log_batch *batch)
{
  kcp_config_log_replaced (tail->config, batch->next);
  kcp_logger_write (G_LOG_LEVEL_WARNING, "config_log_replaced", NULL);
}

/* Returns false if the log is to be read again from an earlier offset. */
static bool
apply_batch (struct kcp_config_tail *tail, const struct kcp_log_batch *batch)
{
  json_t *item;
  size_t i;

  json_array_foreach (batch->records, i, item)
  {
    uint64_t offset = (uint64_t)json_integer_value (json_object_get (item, "offset"));
    json_t *record = json_object_get (item, "record");
    struct kcp_error error;
    enum kcp_config_result result
        = kcp_config_apply (tail->config, offset, record, &error);

    if (result == KCP_CONFIG_REPLACED)
      read_again (tail, batch);
    if (result == KCP_CONFIG_REPLACED || result == KCP_CONFIG_REWOUND)
      return false;
    if (result == KCP_CONFIG_APPLIED)
      kcp_timeline_add (tail->timeline, KCP_EVENT_CONFIG_IN_FORCE, NULL,
                        json_string_value (json_object_get (record, "key")),
                        (int64_t)offset);
  }
  return true;
}

static void
append_checkpoint (struct kcp_config_tail *tail, uint64_t first)
{
  struct kcp_config_status status;
  enum kcp_checkpoint_kind kind;
  struct kcp_error error;
  json_t *record;
  uint64_t offset;

  kcp_config_status (tail->config, &status);
  kind = kcp_checkpoint_plan_step (&tail->plan, &status, first,
                                   kcp_clock_monotonic_ns (tail->clock), random_share ());
  if (kind == KCP_CHECKPOINT_NONE)
    return;
  record = kcp_config_checkpoint (tail->config, kind == KCP_CHECKPOINT_ROOT);
  if (record == NULL)
    return;
  if (!kcp_platform_log_append (tail->log, KCP_CONFIG_STREAM, record, &offset, &error))
    kcp_logger_error ("config_checkpoint_failed", NULL, &error);
  json_decref (record);
}

static bool
is_lapsed (const struct kcp_config_tail *tail, int64_t since_ns, int64_t now_ns)
{
  return now_ns - since_ns > LAPSE_POLLS * tail->poll_ms * KCP_NS_PER_MS;
}

static double
random_share (void)
{
  return (double)(kcp_id_random_u64 () >> 11) / (double)(1ULL << 53);
}
