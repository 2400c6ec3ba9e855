#include "policy/fair_queue.h"

#include <string.h>

#include "base/clock.h"

#define RATE_SAMPLE_NS  (250 * KCP_NS_PER_MS) /* busy time of one sample of the rate */
#define RATE_WEIGHT     0.3                   /* of the newest sample */
#define FLOWS_TRIED_MAX 4                     /* flows looked at for one free place */
#define SWEEP_FACTOR    2 /* flows kept for one with requests, before a sweep */
#define SWEEP_LEAST     64

static struct kcp_flow *
find_flow (struct kcp_fair_queue *lane, const struct kcp_admission_item *item);
static void flow_free (gpointer data);
static gboolean is_spent (gpointer key, gpointer value, gpointer user);
static struct kcp_admission_item *first_item (const struct kcp_flow *flow);
static gint by_deadline (gconstpointer a, gconstpointer b, gpointer user);
static gint by_start (gconstpointer a, gconstpointer b, gpointer user);
static void sweep (struct kcp_fair_queue *lane);
static void count_busy (struct kcp_fair_queue *lane, int64_t now_ns);

/* Makes an empty lane. */
struct kcp_fair_queue *
kcp_fair_queue_new (uint64_t pool, enum kcp_class class)
{
  struct kcp_fair_queue *lane = g_new0 (struct kcp_fair_queue, 1);

  lane->pool = pool;
  lane->class = class;
  lane->flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, flow_free);
  lane->order = g_sequence_new (NULL);
  lane->busy_since_ns = -1;
  return lane;
}

/* Frees the lane, but not the requests that wait in it; NULL is allowed. */
void
kcp_fair_queue_free (struct kcp_fair_queue *lane)
{
  if (lane == NULL)
    return;
  g_sequence_free (lane->order);
  g_hash_table_unref (lane->flows);
  g_free (lane);
}

/* Adds a request to its team's flow. A team that had none waiting starts at the lane's
   virtual time, so that it neither gains nor loses by having been idle. */
void
kcp_fair_queue_push (struct kcp_fair_queue *lane, struct kcp_admission_item *item,
                     int64_t now_ns)
{
  struct kcp_flow *flow = find_flow (lane, item);

  item->position = g_sequence_insert_sorted (flow->items, item, by_deadline, NULL);
  if (flow->place == NULL)
    flow->place = g_sequence_insert_sorted (lane->order, flow, by_start, NULL);
  flow->work += item->work;
  lane->work += item->work;
  lane->count++;
  if (lane->busy_since_ns < 0)
    lane->busy_since_ns = now_ns;
}

/* Takes a request out that does not start. */
void
kcp_fair_queue_remove (struct kcp_fair_queue *lane, struct kcp_admission_item *item,
                       int64_t now_ns)
{
  struct kcp_flow *flow = g_hash_table_lookup (lane->flows, &item->team);

  count_busy (lane, now_ns);
  g_sequence_remove (item->position);
  item->position = NULL;
  if (g_sequence_is_empty (flow->items))
    {
      g_sequence_remove (flow->place);
      flow->place = NULL;
    }
  flow->work -= item->work;
  lane->work -= item->work;
  lane->count--;
  if (lane->count == 0)
    lane->busy_since_ns = -1;
}

/* Takes a request out that starts, and charges its team. This is start-time fair queueing
   (Goyal, Vin and Cheng, 1996) with requests in place of packets. */
void
kcp_fair_queue_start (struct kcp_fair_queue *lane, struct kcp_admission_item *item,
                      int64_t now_ns)
{
  struct kcp_flow *flow = g_hash_table_lookup (lane->flows, &item->team);

  lane->virtual_time = MAX (lane->virtual_time, flow->start);
  flow->start += (double)item->work / flow->share;
  g_sequence_sort_changed (flow->place, by_start, NULL);
  lane->started_work += item->work;
  kcp_fair_queue_remove (lane, item, now_ns);
  sweep (lane);
}

/* Returns the first request in order that fits, or NULL. Of each team only the request
   with the earliest deadline is tried. */
struct kcp_admission_item *
kcp_fair_queue_find (struct kcp_fair_queue *lane, kcp_admission_fits *fits, void *user)
{
  GSequenceIter *at = g_sequence_get_begin_iter (lane->order);

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
kcp_fair_queue_expired (struct kcp_fair_queue *lane, int64_t now_ns)
{
  GSequenceIter *at = g_sequence_get_begin_iter (lane->order);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      struct kcp_admission_item *item = first_item (g_sequence_get (at));

      if (item->deadline_ns - item->run_ns < now_ns)
        return item;
    }
  return NULL;
}

/* Returns the work that would start before the item: that of its own team, and of each
   other team as much as its share lets it start in the meantime. */
double
kcp_fair_queue_work_ahead (const struct kcp_fair_queue *lane,
                           const struct kcp_admission_item *item)
{
  const struct kcp_flow *own = g_hash_table_lookup (lane->flows, &item->team);
  double own_work = own != NULL ? (double)own->work : 0.0;
  double ahead = own_work;
  GSequenceIter *at = g_sequence_get_begin_iter (lane->order);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      const struct kcp_flow *flow = g_sequence_get (at);
      double fair = (own_work + (double)item->work) * flow->share / item->share;

      if (flow != own)
        ahead += MIN ((double)flow->work, fair);
    }
  return ahead;
}

/* Returns the work promised in so many windows from the present one. */
int64_t
kcp_fair_queue_reserved_work (const struct kcp_fair_queue *lane, int64_t windows)
{
  int64_t work = 0;

  for (int64_t i = 0; i < MIN (windows, KCP_FAIR_QUEUE_WINDOWS); i++)
    work += lane->promised[i];
  return work;
}

/* Remembers work that was told to come back in a window; one beyond the last that is
   remembered counts there. */
void
kcp_fair_queue_reserve (struct kcp_fair_queue *lane, int64_t window, int64_t work)
{
  int64_t at = CLAMP (window - lane->first_window, 0, KCP_FAIR_QUEUE_WINDOWS - 1);

  lane->promised[at] += work;
}

/* Takes back what was promised to work that has come. */
void
kcp_fair_queue_release (struct kcp_fair_queue *lane, int64_t window, int64_t work)
{
  int64_t at = CLAMP (window - lane->first_window, 0, KCP_FAIR_QUEUE_WINDOWS - 1);

  lane->promised[at] = MAX (lane->promised[at] - work, 0);
}

/* Forgets the promises of windows before the given one. */
void
kcp_fair_queue_advance (struct kcp_fair_queue *lane, int64_t window)
{
  int64_t passed = CLAMP (window - lane->first_window, 0, KCP_FAIR_QUEUE_WINDOWS);
  size_t kept = (size_t)(KCP_FAIR_QUEUE_WINDOWS - passed);

  if (passed == 0)
    return;
  memmove (lane->promised, lane->promised + passed, kept * sizeof lane->promised[0]);
  memset (lane->promised + kept, 0, (size_t)passed * sizeof lane->promised[0]);
  lane->first_window = window;
}

static struct kcp_flow *
find_flow (struct kcp_fair_queue *lane, const struct kcp_admission_item *item)
{
  struct kcp_flow *flow = g_hash_table_lookup (lane->flows, &item->team);

  if (flow != NULL)
    {
      if (g_sequence_is_empty (flow->items))
        flow->start = MAX (flow->start, lane->virtual_time);
      return flow;
    }
  flow = g_new0 (struct kcp_flow, 1);
  flow->team = item->team;
  flow->share = MAX (item->share, 1);
  flow->start = lane->virtual_time;
  flow->items = g_sequence_new (NULL);
  g_hash_table_insert (lane->flows, &flow->team, flow);
  return flow;
}

static void
flow_free (gpointer data)
{
  struct kcp_flow *flow = data;

  g_sequence_free (flow->items);
  g_free (flow);
}

/* Tells whether a flow has nothing waiting and has not had more than its share. */
static gboolean
is_spent (gpointer key, gpointer value, gpointer user)
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

/* By start, then by team. */
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

/* Forgets the flows that have nothing waiting, once they are the most. */
static void
sweep (struct kcp_fair_queue *lane)
{
  guint waiting = (guint)g_sequence_get_length (lane->order);

  if (g_hash_table_size (lane->flows) > SWEEP_FACTOR * waiting + SWEEP_LEAST)
    g_hash_table_foreach_remove (lane->flows, is_spent, &lane->virtual_time);
}

static void
count_busy (struct kcp_fair_queue *lane, int64_t now_ns)
{
  double sample;

  if (lane->busy_since_ns >= 0)
    lane->busy_ns += now_ns - lane->busy_since_ns;
  lane->busy_since_ns = now_ns;
  if (lane->busy_ns < RATE_SAMPLE_NS)
    return;
  sample = (double)lane->started_work * KCP_NS_PER_S / (double)lane->busy_ns;
  lane->rate
      = lane->rate > 0.0 ? lane->rate + RATE_WEIGHT * (sample - lane->rate) : sample;
  lane->busy_ns = 0;
  lane->started_work = 0;
}
