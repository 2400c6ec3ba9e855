#include "logstore/config_tail.h"

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>

#include "base/counter.h"
#include "base/id.h"
#include "base/logger.h"
#include "logstore/config_reader.h"

struct kcp_config_tail
{
  struct kcp_platform_log *log;
  struct kcp_config *config;
  const struct kcp_clock *clock;
  struct kcp_config_reader reader;
  int64_t poll_ms;
  pthread_t thread;
  int stopping;
};

static void *run (void *user);
static void read_once (struct kcp_config_tail *tail);
static void process_batch (struct kcp_config_tail *tail,
                           const struct kcp_log_batch *batch, int64_t read_start_ns);
static void
append_checkpoint (struct kcp_config_tail *tail, enum kcp_checkpoint_kind kind);
static double random_fraction (void);

/* Starts the thread. log, config, timeline and the clock must outlive it; timeline may be
   NULL. poll_ms is the maximum duration of a long poll and the pause after a failed one.
   A checkpoint is appended after checkpoint_records records or checkpoint_age_s seconds
   without one, and whenever the log alone no longer yields the entries in force. */
struct kcp_config_tail *
kcp_config_tail_start (struct kcp_platform_log *log, struct kcp_config *config,
                       struct kcp_timeline *timeline,
                       const struct kcp_config_tail_options *options)
{
  struct kcp_config_tail *tail = g_new0 (struct kcp_config_tail, 1);

  *tail = (struct kcp_config_tail){
    .log = log,
    .config = config,
    .clock = options->clock,
    .poll_ms = options->poll_ms,
  };
  kcp_config_reader_init (&tail->reader, config, timeline,
                          options->poll_ms * KCP_NS_PER_MS);
  tail->reader.plan.max_records = options->checkpoint_records;
  tail->reader.plan.max_age_ns = options->checkpoint_age_s * KCP_NS_PER_S;
  pthread_create (&tail->thread, NULL, run, tail);
  return tail;
}

/* Stops the thread and frees its state. tail may be NULL. */
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

static void
read_once (struct kcp_config_tail *tail)
{
  int64_t read_start_ns = kcp_clock_monotonic_ns (tail->clock);
  uint64_t from = kcp_config_reader_begin_read (&tail->reader, read_start_ns);
  struct kcp_log_batch batch;
  struct kcp_error error;

  if (kcp_platform_log_read (tail->log, KCP_CONFIG_STREAM, from, tail->poll_ms, &batch,
                             &error))
    {
      process_batch (tail, &batch, read_start_ns);
      kcp_log_batch_clear (&batch);
      return;
    }
  if (error.code == KCP_ERR_TRIMMED)
    {
      kcp_config_reader_on_trimmed (&tail->reader, batch.first);
      return;
    }
  kcp_config_reader_on_failed (&tail->reader);
  kcp_logger_error ("config_read_failed", NULL, &error);
  g_usleep ((gulong)(tail->poll_ms * G_TIME_SPAN_MILLISECOND));
}

static void
process_batch (struct kcp_config_tail *tail, const struct kcp_log_batch *batch,
               int64_t read_start_ns)
{
  enum kcp_checkpoint_kind kind = kcp_config_reader_on_batch (
      &tail->reader, batch, read_start_ns, kcp_clock_monotonic_ns (tail->clock),
      random_fraction ());

  if (kind != KCP_CHECKPOINT_NONE)
    append_checkpoint (tail, kind);
}

static void
append_checkpoint (struct kcp_config_tail *tail, enum kcp_checkpoint_kind kind)
{
  json_t *record = kcp_config_checkpoint (tail->config, kind == KCP_CHECKPOINT_ROOT);
  struct kcp_error error;
  uint64_t offset;

  if (record == NULL)
    return;
  if (kcp_platform_log_append (tail->log, KCP_CONFIG_STREAM, record, &offset, &error))
    kcp_counter_add (KCP_COUNT_CONFIG_CHECKPOINTS, 1);
  else
    kcp_logger_error ("config_checkpoint_failed", NULL, &error);
  json_decref (record);
}

static double
random_fraction (void)
{
  return (double)(kcp_id_random_u64 () >> 11) / (double)(1ULL << 53);
}
