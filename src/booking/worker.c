#include "booking/worker.h"

#include <glib.h>
#include <pthread.h>

#include "base/logger.h"
#include "booking/hint.h"
#include "booking/layout.h"

#define STEP                     "booking"
#define POLL_INTERVAL_MS         100
#define STOP_TIMEOUT_MS          2000
#define LAYOUT_RETRY_INTERVAL_MS 250
#define RETRY_AFTER_S            1
#define STREAM_NAME_FORMAT       "booking-%u"

/* A partition served by a worker. */
struct served
{
  unsigned index;
  char *stream;
  struct kcp_partition *partition; /* used by the worker's thread only */
  struct kcp_pending_queue posted; /* guarded by the worker's lock */
  CK_STAILQ_ENTRY (served) link;
};

CK_STAILQ_HEAD (served_list, served);

struct kcp_booking_worker
{
  struct kcp_booking_worker_options options;
  pthread_t thread;
  pthread_mutex_t lock; /* guards served, the posted queues, post_count and stopping */
  pthread_cond_t posted;
  struct served_list served;
  uint64_t post_count;
  bool stopping;
  /* Used by the worker's thread only: */
  bool layout_agreed;
  int64_t layout_append_at_ms; /* time of day of the next append of the layout */
  int64_t layout_retry_at_ms;
  struct kcp_error layout_error;
};

static void *run (void *user);
static bool wait_for_work (struct kcp_booking_worker *worker);
static void serve (struct kcp_booking_worker *worker, struct served *served);
static void
take_posted (struct kcp_booking_worker *worker, struct served *served, bool agreed);
static void post (struct kcp_booking_worker *worker, struct served *served,
                  struct kcp_pending *pending, bool agreed);
static bool check_layout (struct kcp_booking_worker *worker);
static bool step (struct kcp_booking_worker *worker, struct served *served);
static void
append (struct kcp_booking_worker *worker, struct served *served, json_t *record);
static void
read_from (struct kcp_booking_worker *worker, struct served *served, uint64_t from);
static void drain (struct kcp_booking_worker *worker);
static void refuse_posted (struct served *served);
static struct served *find_or_create (struct kcp_booking_worker *worker, unsigned index);
static int64_t now_ms (const struct kcp_booking_worker *worker);
static void refuse (struct kcp_pending *pending, const struct kcp_error *error);

/* Starts a worker and its thread. Entries wait up to batch_ms milliseconds, so that
   several are appended in one record. */
struct kcp_booking_worker *
kcp_booking_worker_start (const struct kcp_booking_worker_options *options)
{
  struct kcp_booking_worker *worker = g_new0 (struct kcp_booking_worker, 1);
  pthread_condattr_t attr;

  worker->options = *options;
  pthread_mutex_init (&worker->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&worker->posted, &attr);
  pthread_condattr_destroy (&attr);
  CK_STAILQ_INIT (&worker->served);
  pthread_create (&worker->thread, NULL, run, worker);
  return worker;
}

/* Processes the queued entries for at most about STOP_TIMEOUT_MS, stops the thread and
   frees the worker; NULL is allowed. */
void
kcp_booking_worker_stop (struct kcp_booking_worker *worker)
{
  struct served *served;

  if (worker == NULL)
    return;
  pthread_mutex_lock (&worker->lock);
  worker->stopping = true;
  pthread_cond_signal (&worker->posted);
  pthread_mutex_unlock (&worker->lock);
  pthread_join (worker->thread, NULL);
  while ((served = CK_STAILQ_FIRST (&worker->served)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&worker->served, link);
      refuse_posted (served);
      kcp_partition_free (served->partition);
      g_free (served->stream);
      g_free (served);
    }
  pthread_cond_destroy (&worker->posted);
  pthread_mutex_destroy (&worker->lock);
  g_free (worker);
}

/* Passes an entry to a partition and takes ownership of it. */
void
kcp_booking_worker_post (struct kcp_booking_worker *worker, unsigned partition,
                         struct kcp_pending *pending)
{
  struct served *served;

  pthread_mutex_lock (&worker->lock);
  served = find_or_create (worker, partition);
  CK_STAILQ_INSERT_TAIL (&served->posted, pending, link);
  worker->post_count++;
  pthread_cond_signal (&worker->posted);
  pthread_mutex_unlock (&worker->lock);
}

static void *
run (void *user)
{
  struct kcp_booking_worker *worker = user;
  struct served *served;
  struct served *next;

  while (wait_for_work (worker))
    {
      pthread_mutex_lock (&worker->lock);
      served = CK_STAILQ_FIRST (&worker->served);
      pthread_mutex_unlock (&worker->lock);
      for (; served != NULL; served = next)
        {
          serve (worker, served);
          pthread_mutex_lock (&worker->lock);
          next = CK_STAILQ_NEXT (served, link);
          pthread_mutex_unlock (&worker->lock);
        }
    }
  drain (worker);
  return NULL;
}

/* Waits for an entry, for at most POLL_INTERVAL_MS. Returns false if the worker must
   stop. */
static bool
wait_for_work (struct kcp_booking_worker *worker)
{
  int64_t until_ns
      = kcp_clock_monotonic_ns (&kcp_clock_system) + POLL_INTERVAL_MS * KCP_NS_PER_MS;
  struct timespec limit = kcp_timespec_from_ns (until_ns);
  bool stopping;
  bool woken;

  pthread_mutex_lock (&worker->lock);
  while (worker->post_count == 0 && !worker->stopping
         && pthread_cond_timedwait (&worker->posted, &worker->lock, &limit) == 0)
    continue;
  stopping = worker->stopping;
  woken = worker->post_count > 0;
  worker->post_count = 0;
  pthread_mutex_unlock (&worker->lock);
  if (woken && !stopping && worker->options.batch_ms > 0)
    g_usleep ((gulong)(worker->options.batch_ms * G_TIME_SPAN_MILLISECOND));
  return !stopping;
}

/* Performs all actions that are due for a partition. */
static void
serve (struct kcp_booking_worker *worker, struct served *served)
{
  if (served->partition == NULL)
    {
      served->partition = kcp_partition_new (&worker->options.partition, now_ms (worker));
      kcp_partition_start_at (served->partition,
                              kcp_hint_read (worker->options.log, served->stream));
    }
  take_posted (worker, served, check_layout (worker));
  while (step (worker, served))
    take_posted (worker, served, worker->layout_agreed);
}

static void
take_posted (struct kcp_booking_worker *worker, struct served *served, bool agreed)
{
  struct kcp_pending_queue taken = CK_STAILQ_HEAD_INITIALIZER (taken);
  struct kcp_pending *pending;

  pthread_mutex_lock (&worker->lock);
  CK_STAILQ_CONCAT (&taken, &served->posted);
  pthread_mutex_unlock (&worker->lock);
  while ((pending = CK_STAILQ_FIRST (&taken)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&taken, link);
      post (worker, served, pending, agreed);
    }
}

static void
post (struct kcp_booking_worker *worker, struct served *served,
      struct kcp_pending *pending, bool agreed)
{
  if (pending->kind == KCP_PENDING_CLAIM && !agreed)
    refuse (pending, &worker->layout_error);
  else
    kcp_partition_post (served->partition, pending, now_ms (worker));
}

/* Returns true if the VMs agree on the number of partitions. The number is checked until
   it has matched once; it is appended again at the interval of checkpoints. */
static bool
check_layout (struct kcp_booking_worker *worker)
{
  int64_t now = now_ms (worker);
  int64_t count = worker->options.partitions;

  if (now >= worker->layout_append_at_ms && now >= worker->layout_retry_at_ms)
    {
      worker->layout_retry_at_ms = now + LAYOUT_RETRY_INTERVAL_MS;
      if (kcp_layout_append (worker->options.log, count, &worker->layout_error))
        worker->layout_append_at_ms = now + worker->options.partition.checkpoint_ms;
      if (!worker->layout_agreed && worker->layout_append_at_ms > now)
        worker->layout_agreed
            = kcp_layout_check (worker->options.log, count, &worker->layout_error);
      if (!worker->layout_agreed)
        worker->layout_append_at_ms = 0;
    }
  return worker->layout_agreed;
}

/* Performs one append or read. Returns false if none is due. */
static bool
step (struct kcp_booking_worker *worker, struct served *served)
{
  struct kcp_partition_action action
      = kcp_partition_next (served->partition, now_ms (worker));

  switch (action.step)
    {
    case KCP_PARTITION_APPEND:
      append (worker, served, action.record);
      return true;
    case KCP_PARTITION_READ:
      read_from (worker, served, action.from);
      return true;
    case KCP_PARTITION_WAIT:
      break;
    }
  return false;
}

static void
append (struct kcp_booking_worker *worker, struct served *served, json_t *record)
{
  struct kcp_error error;
  uint64_t offset;
  uint64_t as_of;

  if (kcp_platform_log_append (worker->options.log, served->stream, record, &offset,
                               &error))
    {
      kcp_partition_append_done (served->partition, offset);
      if (kcp_partition_take_hint (served->partition, &as_of))
        kcp_hint_write (worker->options.log, served->stream, as_of);
      return;
    }
  kcp_logger_error ("booking_append_failed", NULL, &error);
  kcp_partition_append_failed (served->partition, &error, now_ms (worker));
}

static void
read_from (struct kcp_booking_worker *worker, struct served *served, uint64_t from)
{
  struct kcp_log_batch batch;
  struct kcp_error error;

  if (kcp_platform_log_read (worker->options.log, served->stream, from, 0, &batch,
                             &error))
    {
      kcp_partition_read_done (served->partition, &batch, now_ms (worker));
      kcp_log_batch_clear (&batch);
      return;
    }
  kcp_logger_error ("booking_read_failed", NULL, &error);
  kcp_partition_read_failed (served->partition, &batch, &error, now_ms (worker));
}

/* Appends the entries that are still queued, until STOP_TIMEOUT_MS has passed. */
static void
drain (struct kcp_booking_worker *worker)
{
  int64_t deadline_ms = now_ms (worker) + STOP_TIMEOUT_MS;
  struct served *served;

  for (served = CK_STAILQ_FIRST (&worker->served); served != NULL;
       served = CK_STAILQ_NEXT (served, link))
    {
      serve (worker, served);
      while (!kcp_partition_is_idle (served->partition) && now_ms (worker) < deadline_ms)
        {
          g_usleep (G_TIME_SPAN_MILLISECOND);
          serve (worker, served);
        }
    }
}

/* Refuses the entries that were posted after the thread had ended. */
static void
refuse_posted (struct served *served)
{
  struct kcp_pending *pending;
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_SHUTDOWN, STEP, NULL, "this VM is shutting down");
  while ((pending = CK_STAILQ_FIRST (&served->posted)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&served->posted, link);
      kcp_pending_notify_recorded (pending);
      refuse (pending, &error);
    }
}

/* Returns the partition with an index; creates it on first use. The lock must be held. */
static struct served *
find_or_create (struct kcp_booking_worker *worker, unsigned index)
{
  struct served *served;

  CK_STAILQ_FOREACH (served, &worker->served, link)
  if (served->index == index)
    return served;
  served = g_new0 (struct served, 1);
  served->index = index;
  served->stream = g_strdup_printf (STREAM_NAME_FORMAT, index);
  CK_STAILQ_INIT (&served->posted);
  CK_STAILQ_INSERT_TAIL (&worker->served, served, link);
  return served;
}

static int64_t
now_ms (const struct kcp_booking_worker *worker)
{
  return kcp_clock_realtime_ms (worker->options.clock);
}

static void
refuse (struct kcp_pending *pending, const struct kcp_error *error)
{
  struct kcp_claim_answer result = { .result = KCP_CLAIM_REFUSED, .error = *error };

  result.error.execution = KCP_EXECUTION_NOT_RUN;
  result.error.retry_after_s = RETRY_AFTER_S;
  if (pending->done != NULL)
    pending->done (pending->user, &result);
  kcp_pending_free (pending);
}
