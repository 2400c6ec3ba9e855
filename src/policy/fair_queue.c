#include "policy/fair_queue.h"

#include <string.h>

#include "base/clock.h"

#define RATE_SAMPLE_NS  (250 * KCP_NS_PER_MS) /* busy time per sample of the rate */
#define RATE_WEIGHT     0.3                   /* weight of the newest sample */
#define FLOWS_TRIED_MAX 4                     /* flows tried for one free slot */
/* A sweep takes place when there are more than SWEEP_FACTOR flows per flow with waiting
   requests plus SWEEP_MIN. */
#define SWEEP_FACTOR 2
#define SWEEP_MIN    64

static struct kcp_flow *
find_flow (struct kcp_fair_queue *queue, const struct kcp_admission_item *item);
static void flow_free (gpointer data);
static gboolean is_removable (gpointer key, gpointer value, gpointer user);
static struct kcp_admission_item *first_item (const struct kcp_flow *flow);
static gint by_deadline (gconstpointer a, gconstpointer b, gpointer user);
static gint by_start (gconstpointer a, gconstpointer b, gpointer user);
static void sweep_flows (struct kcp_fair_queue *queue);
static void update_rate (struct kcp_fair_queue *queue, int64_t now_ns);

/* Creates an empty queue. */
struct kcp_fair_queue *
kcp_fair_queue_new (uint64_t pool, enum kcp_class class)
{
  struct kcp_fair_queue *queue = g_new0 (struct kcp_fair_queue, 1);

  queue->pool = pool;
  queue->class = class;
  queue->flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, flow_free);
  queue->order = g_sequence_new (NULL);
  queue->busy_since_ns = -1;
  return queue;
}

/* Frees the queue, but not the requests that wait in it. NULL is allowed. */
void
kcp_fair_queue_free (struct kcp_fair_queue *queue)
{
  if (queue == NULL)
    return;
  g_sequence_free (queue->order);
  g_hash_table_unref (queue->flows);
  g_free (queue);
}

/* Adds a request to the flow of its team. A team that had no waiting request starts at
   the virtual time of the queue, so it neither gains nor loses from having been idle. */
void
kcp_fair_queue_push (struct kcp_fair_queue *queue, struct kcp_admission_item *item,
                     int64_t now_ns)
{
  struct kcp_flow *flow = find_flow (queue, item);

  item->position = g_sequence_insert_sorted (flow->items, item, by_deadline, NULL);
  if (flow->order_position == NULL)
    flow->order_position = g_sequence_insert_sorted (queue->order, flow, by_start, NULL);
  flow->work += item->work;
  queue->work += item->work;
  queue->count++;
  if (queue->busy_since_ns < 0)
    queue->busy_since_ns = now_ns;
}

/* Removes a request without starting it. */
void
kcp_fair_queue_remove (struct kcp_fair_queue *queue, struct kcp_admission_item *item,
                       int64_t now_ns)
{
  struct kcp_flow *flow = g_hash_table_lookup (queue->flows, &item->team);

  update_rate (queue, now_ns);
  g_sequence_remove (item->position);
  item->position = NULL;
  if (g_sequence_is_empty (flow->items))
    {
      g_sequence_remove (flow->order_position);
      flow->order_position = NULL;
    }
  flow->work -= item->work;
  queue->work -= item->work;
  queue->count--;
  if (queue->count == 0)
    queue->busy_since_ns = -1;
}

/* Removes a request that starts, and charges its work to its team. This is start-time
   fair queueing (Goyal, Vin and Cheng, 1996) with requests instead of packets. */
void
kcp_fair_queue_start (struct kcp_fair_queue *queue, struct kcp_admission_item *item,
                      int64_t now_ns)
{
  struct kcp_flow *flow = g_hash_table_lookup (queue->flows, &item->team);

  queue->virtual_time = MAX (queue->virtual_time, flow->start);
  flow->start += (double)item->work / flow->share;
  g_sequence_sort_changed (flow->order_position, by_start, NULL);
  queue->started_work += item->work;
  kcp_fair_queue_remove (queue, item, now_ns);
  sweep_flows (queue);
}

/* Returns the first request in order that fits, or NULL. Only the request with the
   earliest deadline of each team is tried. */
struct kcp_admission_item *
kcp_fair_queue_find (struct kcp_fair_queue *queue, kcp_admission_fits *fits, void *user)
{
  GSequenceIter *at = g_sequence_get_begin_iter (queue->order);

  for (int tried = 0; tried < FLOWS_TRIED_MAX && !g_sequence_iter_is_end (at); tried++)
    {
      struct kcp_admission_item *item = first_item (g_sequence_get (at));

      if (fits (user, item))
        return item;
      at = g_sequence_iter_next (at);
    }
  return NULL;
}

/* Returns a request that can no longer be answered by its deadline, or NULL. */
struct kcp_admission_item *
kcp_fair_queue_expired (struct kcp_fair_queue *queue, int64_t now_ns)
{
  GSequenceIter *at = g_sequence_get_begin_iter (queue->order);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      struct kcp_admission_item *item = first_item (g_sequence_get (at));

      if (item->deadline_ns - item->run_ns < now_ns)
        return item;
    }
  return NULL;
}

/* Returns the work that starts before the item: that of its own team and, for each other
   team, as much as its share allows in the meantime. */
double
kcp_fair_queue_work_ahead (const struct kcp_fair_queue *queue,
                           const struct kcp_admission_item *item)
{
  const struct kcp_flow *own = g_hash_table_lookup (queue->flows, &item->team);
  double own_work = own != NULL ? (double)own->work : 0.0;
  double ahead = own_work;
  GSequenceIter *at = g_sequence_get_begin_iter (queue->order);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      const struct kcp_flow *flow = g_sequence_get (at);
      double fair = (own_work + (double)item->work) * flow->share / item->share;

      if (flow != own)
        ahead += MIN ((double)flow->work, fair);
    }
  return ahead;
}

/* Returns the work reserved in the given number of windows, counted from the current
   one. */
int64_t
kcp_fair_queue_reserved_work (const struct kcp_fair_queue *queue, int64_t windows)
{
  int64_t work = 0;

  for (int64_t i = 0; i < MIN (windows, KCP_FAIR_QUEUE_WINDOWS); i++)
    work += queue->reserved[i];
  return work;
}

/* Reserves capacity for work that is expected in a window. Windows beyond the last one
   kept are counted in the last one. */
void
kcp_fair_queue_reserve (struct kcp_fair_queue *queue, int64_t window, int64_t work)
{
  int64_t at = CLAMP (window - queue->first_window, 0, KCP_FAIR_QUEUE_WINDOWS - 1);

  queue->reserved[at] += work;
}

/* Releases the reservation of work that has arrived. */
void
kcp_fair_queue_release (struct kcp_fair_queue *queue, int64_t window, int64_t work)
{
  int64_t at = CLAMP (window - queue->first_window, 0, KCP_FAIR_QUEUE_WINDOWS - 1);

  queue->reserved[at] = MAX (queue->reserved[at] - work, 0);
}

/* Drops the reservations of windows before the given one. */
void
kcp_fair_queue_advance (struct kcp_fair_queue *queue, int64_t window)
{
  int64_t passed = CLAMP (window - queue->first_window, 0, KCP_FAIR_QUEUE_WINDOWS);
  size_t kept = (size_t)(KCP_FAIR_QUEUE_WINDOWS - passed);

  if (passed == 0)
    return;
  memmove (queue->reserved, queue->reserved + passed, kept * sizeof queue->reserved[0]);
  memset (queue->reserved + kept, 0, (size_t)passed * sizeof queue->reserved[0]);
  queue->first_window = window;
}

static struct kcp_flow *
find_flow (struct kcp_fair_queue *queue, const struct kcp_admission_item *item)
{
  struct kcp_flow *flow = g_hash_table_lookup (queue->flows, &item->team);

  if (flow != NULL)
    {
      if (g_sequence_is_empty (flow->items))
        flow->start = MAX (flow->start, queue->virtual_time);
      return flow;
    }
  flow = g_new0 (struct kcp_flow, 1);
  flow->team = item->team;
  flow->share = MAX (item->share, 1);
  flow->start = queue->virtual_time;
  flow->items = g_sequence_new (NULL);
  g_hash_table_insert (queue->flows, &flow->team, flow);
  return flow;
}

static void
flow_free (gpointer data)
{
  struct kcp_flow *flow = data;

  g_sequence_free (flow->items);
  g_free (flow);
}

/* Returns true if the flow has no waiting request and has used no more than its share. */
static gboolean
is_removable (gpointer key, gpointer value, gpointer user)
{
  const struct kcp_flow *flow = value;
  const double *virtual_time = user;

  (void)key;
  return g_sequence_is_empty (flow->items) && flow->start <= *virtual_time;
}

/* Returns the request with the earliest deadline, or NULL. */
static struct kcp_admission_item *
first_item (const struct kcp_flow *flow)
{
  if (g_sequence_is_empty (flow->items))
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (flow->items));
}

static gint
by_deadline (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct kcp_admission_item *one = a;
  const struct kcp_admission_item *other = b;

  (void)user;
  return (one->deadline_ns > other->deadline_ns)
         - (one->deadline_ns < other->deadline_ns);
}

/* Compares flows by start, then by team. */
static gint
by_start (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct kcp_flow *one = a;
  const struct kcp_flow *other = b;

  (void)user;
  if (one->start < other->start || one->start > other->start)
    return one->start < other->start ? -1 : 1;
  return (one->team > other->team) - (one->team < other->team);
}

/* Removes the flows that are no longer needed, once there are many of them. */
static void
sweep_flows (struct kcp_fair_queue *queue)
{
  guint waiting = (guint)g_sequence_get_length (queue->order);

  if (g_hash_table_size (queue->flows) > SWEEP_FACTOR * waiting + SWEEP_MIN)
    g_hash_table_foreach_remove (queue->flows, is_removable, &queue->virtual_time);
}

/* Updates the busy time and, when it fills a sample, the start rate. */
static void
update_rate (struct kcp_fair_queue *queue, int64_t now_ns)
{
  double sample;

  if (queue->busy_since_ns >= 0)
    queue->busy_ns += now_ns - queue->busy_since_ns;
  queue->busy_since_ns = now_ns;
  if (queue->busy_ns < RATE_SAMPLE_NS)
    return;
  sample = (double)queue->started_work * KCP_NS_PER_S / (double)queue->busy_ns;
  queue->rate
      = queue->rate > 0.0 ? queue->rate + RATE_WEIGHT * (sample - queue->rate) : sample;
  queue->busy_ns = 0;
  queue->started_work = 0;
}
