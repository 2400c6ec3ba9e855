#include "policy/admission.h"

#include <math.h>

#include "base/clock.h"
#include "policy/fair_queue.h"

#define WINDOW_MS       1000 /* length of a window to which retries are assigned */
#define WINDOW_CYCLE    8    /* windows after which the window of a request recurs */
#define WINDOW_GRACE_MS 400  /* how late a retry may arrive after its window */
#define RETRY_MAX_S     60   /* longest time after which a retry is expected */

struct kcp_admission
{
  GPtrArray *queues; /* struct kcp_fair_queue, sorted by class, then by pool */
  size_t waiting;
};

static struct kcp_fair_queue *
find_queue (struct kcp_admission *admission, const struct kcp_admission_item *item);
static gint by_class (gconstpointer a, gconstpointer b);
static void queue_free (gpointer data);
static int64_t window_of (const struct kcp_admission_now *now);
static bool
is_due (const struct kcp_fair_queue *queue, const struct kcp_admission_item *item,
        const struct kcp_admission_now *now);
static int64_t
slack_ns (const struct kcp_admission_item *item, const struct kcp_admission_now *now);
static int64_t expected_wait_ns (const struct kcp_fair_queue *queue,
                                 const struct kcp_admission_item *item,
                                 const struct kcp_admission_now *now);
static int64_t work_ns (const struct kcp_fair_queue *queue, double work);

/* Creates an empty queue. */
struct kcp_admission *
kcp_admission_new (void)
{
  struct kcp_admission *admission = g_new0 (struct kcp_admission, 1);

  admission->queues = g_ptr_array_new_with_free_func (queue_free);
  return admission;
}

/* Frees the queue, but not the requests that wait in it. NULL is allowed. */
void
kcp_admission_free (struct kcp_admission *admission)
{
  if (admission == NULL)
    return;
  g_ptr_array_unref (admission->queues);
  g_free (admission);
}

/* Queues the request, or refuses it if it could not be answered by its deadline. */
struct kcp_admission_verdict
kcp_admission_offer (struct kcp_admission *admission, struct kcp_admission_item *item,
                     const struct kcp_admission_now *now)
{
  struct kcp_fair_queue *queue = find_queue (admission, item);
  struct kcp_admission_verdict verdict = { 0 };

  kcp_fair_queue_advance (queue, window_of (now));
  verdict.wait_ns = expected_wait_ns (queue, item, now);
  verdict.queued = verdict.wait_ns <= slack_ns (item, now);
  if (!verdict.queued)
    {
      verdict.retry_after_s = kcp_admission_retry_after_s (admission, item, now);
      return verdict;
    }
  if (is_due (queue, item, now))
    kcp_fair_queue_release (queue, window_of (now), item->work);
  kcp_fair_queue_push (queue, item, now->monotonic_ns);
  admission->waiting++;
  return verdict;
}

/* Returns true if the request would be queued if it were offered now. */
bool
kcp_admission_would_queue (struct kcp_admission *admission,
                           const struct kcp_admission_item *item,
                           const struct kcp_admission_now *now)
{
  struct kcp_fair_queue *queue = find_queue (admission, item);

  return expected_wait_ns (queue, item, now) <= slack_ns (item, now);
}

/* Returns the number of whole seconds after which the caller should send a refused
   request again, and reserves capacity for it then. The window of the retry follows from
   the fingerprint of the request. All VMs compute the same windows, so any VM recognizes
   the retry without communication between VMs. */
int64_t
kcp_admission_retry_after_s (struct kcp_admission *admission,
                             const struct kcp_admission_item *item,
                             const struct kcp_admission_now *now)
{
  struct kcp_fair_queue *queue = find_queue (admission, item);
  int64_t window = window_of (now);
  int64_t phase = (int64_t)(item->fingerprint % WINDOW_CYCLE);
  int64_t work_ahead
      = queue->work + kcp_fair_queue_reserved_work (queue, KCP_FAIR_QUEUE_WINDOWS);
  int64_t first = 1 + work_ns (queue, (double)work_ahead) / KCP_NS_PER_S;
  int64_t at;

  first = MIN (first, RETRY_MAX_S - WINDOW_CYCLE);
  at = window + first;
  at += (phase - at % WINDOW_CYCLE + WINDOW_CYCLE) % WINDOW_CYCLE;
  kcp_fair_queue_reserve (queue, at, item->work);
  return at - window;
}

/* Removes and returns the next request that fits, or returns NULL. More urgent classes
   come first. */
struct kcp_admission_item *
kcp_admission_next (struct kcp_admission *admission, kcp_admission_fits *fits, void *user,
                    int64_t now_ns)
{
  for (guint i = 0; i < admission->queues->len && admission->waiting > 0; i++)
    {
      struct kcp_fair_queue *queue = g_ptr_array_index (admission->queues, i);
      struct kcp_admission_item *item
          = queue->count > 0 ? kcp_fair_queue_find (queue, fits, user) : NULL;

      if (item == NULL)
        continue;
      kcp_fair_queue_start (queue, item, now_ns);
      admission->waiting--;
      return item;
    }
  return NULL;
}

/* Removes a request whose caller has disconnected. Does nothing if the request is not in
   the queue. */
void
kcp_admission_remove (struct kcp_admission *admission, struct kcp_admission_item *item,
                      int64_t now_ns)
{
  if (item->position == NULL)
    return;
  kcp_fair_queue_remove (find_queue (admission, item), item, now_ns);
  admission->waiting--;
}

/* Removes and returns a request that can no longer be answered by its deadline, or
   returns NULL. */
struct kcp_admission_item *
kcp_admission_expired (struct kcp_admission *admission, int64_t now_ns)
{
  for (guint i = 0; i < admission->queues->len && admission->waiting > 0; i++)
    {
      struct kcp_fair_queue *queue = g_ptr_array_index (admission->queues, i);
      struct kcp_admission_item *item
          = queue->count > 0 ? kcp_fair_queue_expired (queue, now_ns) : NULL;

      if (item == NULL)
        continue;
      kcp_admission_remove (admission, item, now_ns);
      return item;
    }
  return NULL;
}

/* Returns the number of waiting requests. */
size_t
kcp_admission_waiting (const struct kcp_admission *admission)
{
  return admission->waiting;
}

/* Finds or creates the queue of the class and pool of an item. There are few of these
   queues, one for each class and set of servers in use. They are kept until the
   admission queue is freed, since they hold the start rates observed so far. */
static struct kcp_fair_queue *
find_queue (struct kcp_admission *admission, const struct kcp_admission_item *item)
{
  struct kcp_fair_queue *queue;

  for (guint i = 0; i < admission->queues->len; i++)
    {
      queue = g_ptr_array_index (admission->queues, i);
      if (queue->pool == item->pool && queue->class == item->class)
        return queue;
    }
  queue = kcp_fair_queue_new (item->pool, item->class);
  g_ptr_array_add (admission->queues, queue);
  g_ptr_array_sort (admission->queues, by_class);
  return queue;
}

static gint
by_class (gconstpointer a, gconstpointer b)
{
  const struct kcp_fair_queue *one = *(struct kcp_fair_queue *const *)a;
  const struct kcp_fair_queue *other = *(struct kcp_fair_queue *const *)b;

  if (one->class != other->class)
    return one->class < other->class ? -1 : 1;
  return (one->pool > other->pool) - (one->pool < other->pool);
}

static void
queue_free (gpointer data)
{
  kcp_fair_queue_free (data);
}

static int64_t
window_of (const struct kcp_admission_now *now)
{
  return now->realtime_ms / WINDOW_MS;
}

/* Returns true if any capacity is reserved for retries and the current window, or the
   one that ended less than WINDOW_GRACE_MS ago, is a window of this request. */
static bool
is_due (const struct kcp_fair_queue *queue, const struct kcp_admission_item *item,
        const struct kcp_admission_now *now)
{
  int64_t phase = (int64_t)(item->fingerprint % WINDOW_CYCLE);
  int64_t window = window_of (now);
  int64_t late_window = (now->realtime_ms - WINDOW_GRACE_MS) / WINDOW_MS;

  return kcp_fair_queue_reserved_work (queue, KCP_FAIR_QUEUE_WINDOWS) > 0
         && (window % WINDOW_CYCLE == phase || late_window % WINDOW_CYCLE == phase);
}

/* Returns the time until the latest start that still meets the deadline. */
static int64_t
slack_ns (const struct kcp_admission_item *item, const struct kcp_admission_now *now)
{
  return item->deadline_ns - item->run_ns - now->monotonic_ns;
}

/* Returns the expected time in the queue. Retries that arrive in their window take
   precedence over new requests: work reserved for the time until the latest start of a
   new request counts as work ahead of it. */
static int64_t
expected_wait_ns (const struct kcp_fair_queue *queue,
                  const struct kcp_admission_item *item,
                  const struct kcp_admission_now *now)
{
  double ahead = kcp_fair_queue_work_ahead (queue, item);
  int64_t windows = 1 + slack_ns (item, now) / (WINDOW_MS * KCP_NS_PER_MS);

  if (queue->count > 0 && !is_due (queue, item, now))
    ahead += (double)kcp_fair_queue_reserved_work (queue, windows);
  return work_ns (queue, ahead);
}

/* Returns the time in which the queue starts this amount of work, or 0 while its rate is
   unknown. */
static int64_t
work_ns (const struct kcp_fair_queue *queue, double work)
{
  if (work <= 0.0 || queue->rate <= 0.0)
    return 0;
  return (int64_t)fmin (work / queue->rate * KCP_NS_PER_S, (double)(INT64_MAX / 4));
}
