#include "forward/loop.h"

#define MAX_WAIT_MS 1000 /* for events in one iteration */
/* An iteration that takes longer than its wait by more than this is a stall. */
#define STALL_MIN_NS (250 * KCP_NS_PER_MS)

struct step
{
  kcp_loop_step *run;
  void *user;
};

struct kcp_loop
{
  const struct kcp_clock *clock;
  struct kcp_poller *poller;
  GSequence *timers; /* struct kcp_loop_timer, the earliest first */
  GArray *steps;
  int64_t iteration_ns; /* start of the current iteration; 0: none */
  int64_t wait_ns;      /* how long it may wait for events */
  int64_t stall_ns;     /* end of the last stall; 0: none */
  bool stopping;
};

static void begin_iteration (struct kcp_loop *loop);
static bool is_stalled (const struct kcp_loop *loop, int64_t now_ns);
static int64_t next_wait_ms (const struct kcp_loop *loop, int64_t now_ns);
static void fire_timers (struct kcp_loop *loop);
static gint compare_timers (gconstpointer a, gconstpointer b, gpointer user);

/* Creates a loop. clock must outlive it. */
struct kcp_loop *
kcp_loop_new (const struct kcp_clock *clock)
{
  struct kcp_loop *loop = g_new0 (struct kcp_loop, 1);

  loop->clock = clock;
  loop->poller = kcp_poller_new (clock);
  loop->timers = g_sequence_new (NULL);
  loop->steps = g_array_new (FALSE, TRUE, sizeof (struct step));
  return loop;
}

/* Frees a loop whose transfers have ended; pending timers do not fire. loop may be
   NULL. */
void
kcp_loop_free (struct kcp_loop *loop)
{
  if (loop == NULL)
    return;
  g_array_unref (loop->steps);
  g_sequence_free (loop->timers);
  kcp_poller_free (loop->poller);
  g_free (loop);
}

struct kcp_poller *
kcp_loop_poller (struct kcp_loop *loop)
{
  return loop->poller;
}

/* Returns the time since boot in nanoseconds. */
int64_t
kcp_loop_now (const struct kcp_loop *loop)
{
  return kcp_clock_boottime_ns (loop->clock);
}

/* Returns true if the loop was kept from handling events for long at some time since
   since_ns: the VM was frozen or slow. Events may have waited for as long. */
bool
kcp_loop_stalled_since (const struct kcp_loop *loop, int64_t since_ns)
{
  return is_stalled (loop, kcp_loop_now (loop)) || loop->stall_ns >= since_ns;
}

/* Registers step to run in each iteration, after the steps that were added before it. */
void
kcp_loop_add_step (struct kcp_loop *loop, kcp_loop_step *step, void *user)
{
  struct step entry = { .run = step, .user = user };

  g_array_append_val (loop->steps, entry);
}

/* Runs iterations until kcp_loop_stop() is called; if that was before, none. It may be
   called again. */
void
kcp_loop_run (struct kcp_loop *loop)
{
  while (!loop->stopping)
    {
      begin_iteration (loop);
      kcp_poller_run_once (loop->poller, loop->wait_ns / KCP_NS_PER_MS);
      fire_timers (loop);
      for (guint i = 0; i < loop->steps->len; i++)
        {
          const struct step *step = &g_array_index (loop->steps, struct step, i);

          step->run (step->user);
        }
    }
  loop->stopping = false;
}

/* Makes kcp_loop_run() return after the current iteration. */
void
kcp_loop_stop (struct kcp_loop *loop)
{
  loop->stopping = true;
}

/* Sets timer to call fire once at due_ns. A pending timer is rescheduled. */
void
kcp_loop_timer_set (struct kcp_loop *loop, struct kcp_loop_timer *timer, int64_t due_ns,
                    void (*fire) (void *user), void *user)
{
  kcp_loop_timer_cancel (timer);
  timer->loop = loop;
  timer->due_ns = due_ns;
  timer->fire = fire;
  timer->user = user;
  timer->position = g_sequence_insert_sorted (loop->timers, timer, compare_timers, NULL);
}

/* Cancels a timer. Does nothing if it is not set. */
void
kcp_loop_timer_cancel (struct kcp_loop_timer *timer)
{
  if (timer->position == NULL)
    return;
  g_sequence_remove (timer->position);
  timer->position = NULL;
}

static void
begin_iteration (struct kcp_loop *loop)
{
  int64_t now = kcp_loop_now (loop);

  if (is_stalled (loop, now))
    loop->stall_ns = now;
  loop->iteration_ns = now;
  loop->wait_ns = next_wait_ms (loop, now) * KCP_NS_PER_MS;
}

static bool
is_stalled (const struct kcp_loop *loop, int64_t now_ns)
{
  return loop->iteration_ns != 0
         && now_ns - loop->iteration_ns - loop->wait_ns > STALL_MIN_NS;
}

static int64_t
next_wait_ms (const struct kcp_loop *loop, int64_t now_ns)
{
  GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);
  const struct kcp_loop_timer *timer;
  int64_t remaining_ns;

  if (g_sequence_iter_is_end (first))
    return MAX_WAIT_MS;
  timer = g_sequence_get (first);
  remaining_ns = timer->due_ns - now_ns;
  if (remaining_ns <= 0)
    return 0;
  return MIN (MAX_WAIT_MS, remaining_ns / KCP_NS_PER_MS + 1);
}

static void
fire_timers (struct kcp_loop *loop)
{
  int64_t now = kcp_loop_now (loop);

  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);
      struct kcp_loop_timer *timer;

      if (g_sequence_iter_is_end (first))
        return;
      timer = g_sequence_get (first);
      if (timer->due_ns > now)
        return;
      kcp_loop_timer_cancel (timer);
      timer->fire (timer->user);
    }
}

static gint
compare_timers (gconstpointer a, gconstpointer b, gpointer user)
{
  int64_t first = ((const struct kcp_loop_timer *)a)->due_ns;
  int64_t second = ((const struct kcp_loop_timer *)b)->due_ns;

  (void)user;
  return first < second ? -1 : first > second;
}
