#include "policy/admission.h"

#include <math.h>

#include "base/clock.h"
#include "policy/fair_queue.h"

#define WINDOW_MS       1000 /* of time in which refused requests are told to come back */
#define WINDOW_CYCLE    8    /* windows after which a request's turn comes again */
#define WINDOW_GRACE_MS 400  /* by which a returning request may be late */
#define RETRY_MAX_S     60

struct kcp_admission
{
  GPtrArray *lanes; /* struct kcp_fair_queue, by class and then by pool */
  size_t waiting;
};

static struct kcp_fair_queue *
find_lane (struct kcp_admission *admission, const struct kcp_admission_item *item);
static gint by_class (gconstpointer a, gconstpointer b);
static void lane_release (gpointer data);
static int64_t window_of (const struct kcp_admission_now *now);
static bool
is_due (const struct kcp_fair_queue *lane, const struct kcp_admission_item *item,
        const struct kcp_admission_now *now);
static int64_t
slack_ns (const struct kcp_admission_item *item, const struct kcp_admission_now *now);
static int64_t expected_wait_ns (const struct kcp_fair_queue *lane,
                                 const struct kcp_admission_item *item,
                                 const struct kcp_admission_now *now);
static int64_t work_ns (const struct kcp_fair_queue *lane, double work);

/* Makes an empty queue. */
struct kcp_admission *
kcp_admission_new (void)
{
  struct kcp_admission *admission = g_new0 (struct kcp_admission, 1);

  admission->lanes = g_ptr_array_new_with_free_func (lane_release);
  return admission;
}

/* Frees the queue, but not the requests that wait in it; NULL is allowed. */
void
kcp_admission_free (struct kcp_admission *admission)
{
  if (admission == NULL)
    return;
  g_ptr_array_unref (admission->lanes);
  g_free (admission);
}

/* Queues a request, or refuses it if it could not be answered by its deadline. */
struct kcp_admission_verdict
kcp_admission_offer (struct kcp_admission *admission, struct kcp_admission_item *item,
                     const struct kcp_admission_now *now)
{
  struct kcp_fair_queue *lane = find_lane (admission, item);
  struct kcp_admission_verdict verdict = { 0 };

  kcp_fair_queue_advance (lane, window_of (now));
  verdict.wait_ns = expected_wait_ns (lane, item, now);
  verdict.queued = verdict.wait_ns <= slack_ns (item, now);
  if (!verdict.queued)
    {
      verdict.retry_after_s = kcp_admission_retry_after_s (admission, item, now);
      return verdict;
    }
  if (is_due (lane, item, now))
    kcp_fair_queue_release (lane, window_of (now), item->work);
  kcp_fair_queue_push (lane, item, now->monotonic_ns);
  admission->waiting++;
  return verdict;
}

/* Tells whether the request would be queued if it were offered now. */
bool
kcp_admission_would_queue (struct kcp_admission *admission,
                           const struct kcp_admission_item *item,
                           const struct kcp_admission_now *now)
{
  struct kcp_fair_queue *lane = find_lane (admission, item);

  return expected_wait_ns (lane, item, now) <= slack_ns (item, now);
}

/* Returns the time after which a refused request can come back, in whole seconds, and
   promises it a place then. Its turn comes in the windows that its fingerprint names, the
   same on every VM, so that whichever VM it comes back to knows it without being told. */
int64_t
kcp_admission_retry_after_s (struct kcp_admission *admission,
                             const struct kcp_admission_item *item,
                             const struct kcp_admission_now *now)
{
  struct kcp_fair_queue *lane = find_lane (admission, item);
  int64_t window = window_of (now);
  int64_t turn = (int64_t)(item->fingerprint % WINDOW_CYCLE);
  int64_t owed = lane->work + kcp_fair_queue_reserved_work (lane, KCP_FAIR_QUEUE_WINDOWS);
  int64_t first = 1 + work_ns (lane, (double)owed) / KCP_NS_PER_S;
  int64_t at;

  first = MIN (first, RETRY_MAX_S - WINDOW_CYCLE);
  at = window + first;
  at += (turn - at % WINDOW_CYCLE + WINDOW_CYCLE) % WINDOW_CYCLE;
  kcp_fair_queue_reserve (lane, at, item->work);
  return at - window;
}

/* Returns the next request that fits, taken out of the queue, or NULL. Classes come in
   order of urgency. */
struct kcp_admission_item *
kcp_admission_next (struct kcp_admission *admission, kcp_admission_fits *fits, void *user,
                    int64_t now_ns)
{
  for (guint i = 0; i < admission->lanes->len && admission->waiting > 0; i++)
    {
      struct kcp_fair_queue *lane = g_ptr_array_index (admission->lanes, i);
      struct kcp_admission_item *item
          = lane->count > 0 ? kcp_fair_queue_find (lane, fits, user) : NULL;

      if (item == NULL)
        continue;
      kcp_fair_queue_start (lane, item, now_ns);
      admission->waiting--;
      return item;
    }
  return NULL;
}

/* Takes a request out whose caller has gone. Harmless if it does not wait. */
void
kcp_admission_remove (struct kcp_admission *admission, struct kcp_admission_item *item,
                      int64_t now_ns)
{
  if (item->position == NULL)
    return;
  kcp_fair_queue_remove (find_lane (admission, item), item, now_ns);
  admission->waiting--;
}

/* Returns a request that can no longer be answered by its deadline, taken out of the
   queue, or NULL. */
struct kcp_admission_item *
kcp_admission_expired (struct kcp_admission *admission, int64_t now_ns)
{
  for (guint i = 0; i < admission->lanes->len && admission->waiting > 0; i++)
    {
      struct kcp_fair_queue *lane = g_ptr_array_index (admission->lanes, i);
      struct kcp_admission_item *item
          = lane->count > 0 ? kcp_fair_queue_expired (lane, now_ns) : NULL;

      if (item == NULL)
        continue;
      kcp_admission_remove (admission, item, now_ns);
      return item;
    }
  return NULL;
}

/* Returns the number of requests that wait. */
size_t
kcp_admission_waiting (const struct kcp_admission *admission)
{
  return admission->waiting;
}

/* Lanes are few: one for each class and set of servers in use. They stay for the life of
   the queue, with the rates measured in them. */
static struct kcp_fair_queue *
find_lane (struct kcp_admission *admission, const struct kcp_admission_item *item)
{
  struct kcp_fair_queue *lane;

  for (guint i = 0; i < admission->lanes->len; i++)
    {
      lane = g_ptr_array_index (admission->lanes, i);
      if (lane->pool == item->pool && lane->class == item->class)
        return lane;
    }
  lane = kcp_fair_queue_new (item->pool, item->class);
  g_ptr_array_add (admission->lanes, lane);
  g_ptr_array_sort (admission->lanes, by_class);
  return lane;
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
lane_release (gpointer data)
{
  kcp_fair_queue_free (data);
}

static int64_t
window_of (const struct kcp_admission_now *now)
{
  return now->realtime_ms / WINDOW_MS;
}

/* Tells whether the present window, or one that ended just now, is the request's turn,
   and returns were promised at all. */
static bool
is_due (const struct kcp_fair_queue *lane, const struct kcp_admission_item *item,
        const struct kcp_admission_now *now)
{
  int64_t turn = (int64_t)(item->fingerprint % WINDOW_CYCLE);
  int64_t window = window_of (now);
  int64_t before = (now->realtime_ms - WINDOW_GRACE_MS) / WINDOW_MS;

  return kcp_fair_queue_reserved_work (lane, KCP_FAIR_QUEUE_WINDOWS) > 0
         && (window % WINDOW_CYCLE == turn || before % WINDOW_CYCLE == turn);
}

/* Returns the time until the last possible start. */
static int64_t
slack_ns (const struct kcp_admission_item *item, const struct kcp_admission_now *now)
{
  return item->deadline_ns - item->run_ns - now->monotonic_ns;
}

/* What comes back when it was told to goes before what is new: the work promised for the
   time up to a new request's last possible start counts as work ahead of it. */
static int64_t
expected_wait_ns (const struct kcp_fair_queue *lane,
                  const struct kcp_admission_item *item,
                  const struct kcp_admission_now *now)
{
  double ahead = kcp_fair_queue_work_ahead (lane, item);
  int64_t windows = 1 + slack_ns (item, now) / (WINDOW_MS * KCP_NS_PER_MS);

  if (lane->count > 0 && !is_due (lane, item, now))
    ahead += (double)kcp_fair_queue_reserved_work (lane, windows);
  return work_ns (lane, ahead);
}

/* Returns the time that the lane takes to start so much work; 0 while its rate has not
   been measured. */
static int64_t
work_ns (const struct kcp_fair_queue *lane, double work)
{
  if (work <= 0.0 || lane->rate <= 0.0)
    return 0;
  return (int64_t)fmin (work / lane->rate * KCP_NS_PER_S, (double)(INT64_MAX / 4));
}
