#include "bench/sim.h"

struct slot
{
  int64_t at_ns;
  uint64_t number;
  sim_event *event;
  void *user;
  void *subject;
};

/* heap is a binary heap whose least element is the first. */
struct sim
{
  int64_t now_ns;
  uint64_t number;
  GArray *heap;
  GRand *random;
  GRand *noise;
};

static bool comes_first (const struct slot *a, const struct slot *b);
static void sift_up (GArray *heap, guint at);
static void sift_down (GArray *heap, guint at);
static struct slot pop (GArray *heap);

/* Makes a simulation at time 0. */
struct sim *
sim_new (guint32 seed)
{
  struct sim *sim = g_new0 (struct sim, 1);

  sim->heap = g_array_new (FALSE, FALSE, sizeof (struct slot));
  sim->random = g_rand_new_with_seed (seed);
  sim->noise = g_rand_new_with_seed (~seed);
  return sim;
}

/* Frees the simulation with the events that have not come. */
void
sim_free (struct sim *sim)
{
  g_array_unref (sim->heap);
  g_rand_free (sim->random);
  g_rand_free (sim->noise);
  g_free (sim);
}

/* Returns the virtual time in nanoseconds. */
int64_t
sim_now (const struct sim *sim)
{
  return sim->now_ns;
}

/* Returns the randomness of the callers, which draw the same in every run of a seed. */
GRand *
sim_random (struct sim *sim)
{
  return sim->random;
}

/* Returns the randomness of all else. */
GRand *
sim_noise (struct sim *sim)
{
  return sim->noise;
}

/* Calls event after a delay of virtual time. */
void
sim_after (struct sim *sim, int64_t delay_ns, sim_event *event, void *user, void *subject)
{
  struct slot slot = { sim->now_ns + delay_ns, sim->number++, event, user, subject };

  g_array_append_val (sim->heap, slot);
  sift_up (sim->heap, sim->heap->len - 1);
}

/* Runs all events up to a time. */
void
sim_run (struct sim *sim, int64_t until_ns)
{
  while (sim->heap->len > 0
         && g_array_index (sim->heap, struct slot, 0).at_ns <= until_ns)
    {
      struct slot slot = pop (sim->heap);

      sim->now_ns = slot.at_ns;
      slot.event (slot.user, slot.subject);
    }
  sim->now_ns = until_ns;
}

static bool
comes_first (const struct slot *a, const struct slot *b)
{
  return a->at_ns < b->at_ns || (a->at_ns == b->at_ns && a->number < b->number);
}

static void
sift_up (GArray *heap, guint at)
{
  struct slot *slots = (struct slot *)(void *)heap->data;

  while (at > 0 && comes_first (&slots[at], &slots[(at - 1) / 2]))
    {
      struct slot parent = slots[(at - 1) / 2];

      slots[(at - 1) / 2] = slots[at];
      slots[at] = parent;
      at = (at - 1) / 2;
    }
}

static void
sift_down (GArray *heap, guint at)
{
  struct slot *slots = (struct slot *)(void *)heap->data;

  while (2 * at + 1 < heap->len)
    {
      guint child = 2 * at + 1;
      struct slot moved = slots[at];

      if (child + 1 < heap->len && comes_first (&slots[child + 1], &slots[child]))
        child++;
      if (!comes_first (&slots[child], &slots[at]))
        return;
      slots[at] = slots[child];
      slots[child] = moved;
      at = child;
    }
}

static struct slot
pop (GArray *heap)
{
  struct slot first = g_array_index (heap, struct slot, 0);

  g_array_index (heap, struct slot, 0) = g_array_index (heap, struct slot, heap->len - 1);
  g_array_set_size (heap, heap->len - 1);
  sift_down (heap, 0);
  return first;
}
