#include "bench/sim.h"

struct event
{
  int64_t time_ns;
  uint64_t sequence;
  sim_callback *callback;
  void *user;
  void *arg;
};

/* heap is a binary min-heap: its first element is the next event. */
struct sim
{
  int64_t now_ns;
  uint64_t sequence;
  GArray *heap;
  GRand *workload_random;
  GRand *noise;
};

static bool precedes (const struct event *a, const struct event *b);
static void sift_up (GArray *heap, guint pos);
static void sift_down (GArray *heap, guint pos);
static struct event pop (GArray *heap);

/* Creates a simulator at time 0. Its random number generators are seeded from seed, so
   the same seed always gives the same run. */
struct sim *
sim_new (guint32 seed)
{
  struct sim *sim = g_new0 (struct sim, 1);

  sim->heap = g_array_new (FALSE, FALSE, sizeof (struct event));
  sim->workload_random = g_rand_new_with_seed (seed);
  sim->noise = g_rand_new_with_seed (~seed);
  return sim;
}

/* Frees the simulator and the events that are still scheduled. */
void
sim_free (struct sim *sim)
{
  g_array_unref (sim->heap);
  g_rand_free (sim->workload_random);
  g_rand_free (sim->noise);
  g_free (sim);
}

/* Returns the current virtual time in nanoseconds. */
int64_t
sim_now (const struct sim *sim)
{
  return sim->now_ns;
}

/* Returns the random number generator of the workload. Only callers use it, so every
   policy is given the same requests for the same seed. */
GRand *
sim_workload_random (struct sim *sim)
{
  return sim->workload_random;
}

/* Returns the random number generator for everything except the workload, such as network
   delays and lost events. */
GRand *
sim_noise (struct sim *sim)
{
  return sim->noise;
}

/* Schedules a call of callback after a delay in virtual time. */
void
sim_schedule (struct sim *sim, int64_t delay_ns, sim_callback *callback, void *user,
              void *arg)
{
  struct event event = { sim->now_ns + delay_ns, sim->sequence++, callback, user, arg };

  g_array_append_val (sim->heap, event);
  sift_up (sim->heap, sim->heap->len - 1);
}

/* Runs all events up to and including until_ns and sets the clock to that time. */
void
sim_run (struct sim *sim, int64_t until_ns)
{
  while (sim->heap->len > 0
         && g_array_index (sim->heap, struct event, 0).time_ns <= until_ns)
    {
      struct event event = pop (sim->heap);

      sim->now_ns = event.time_ns;
      event.callback (event.user, event.arg);
    }
  sim->now_ns = until_ns;
}

static bool
precedes (const struct event *a, const struct event *b)
{
  return a->time_ns < b->time_ns
         || (a->time_ns == b->time_ns && a->sequence < b->sequence);
}

static void
sift_up (GArray *heap, guint pos)
{
  struct event *events = (struct event *)(void *)heap->data;

  while (pos > 0 && precedes (&events[pos], &events[(pos - 1) / 2]))
    {
      struct event parent = events[(pos - 1) / 2];

      events[(pos - 1) / 2] = events[pos];
      events[pos] = parent;
      pos = (pos - 1) / 2;
    }
}

static void
sift_down (GArray *heap, guint pos)
{
  struct event *events = (struct event *)(void *)heap->data;

  while (2 * pos + 1 < heap->len)
    {
      guint child = 2 * pos + 1;
      struct event moved = events[pos];

      if (child + 1 < heap->len && precedes (&events[child + 1], &events[child]))
        child++;
      if (!precedes (&events[child], &events[pos]))
        return;
      events[pos] = events[child];
      events[child] = moved;
      pos = child;
    }
}

static struct event
pop (GArray *heap)
{
  struct event first = g_array_index (heap, struct event, 0);

  g_array_index (heap, struct event, 0)
      = g_array_index (heap, struct event, heap->len - 1);
  g_array_set_size (heap, heap->len - 1);
  sift_down (heap, 0);
  return first;
}
