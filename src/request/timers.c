#include "request/timers.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "base/ref.h"

struct kcp_timers
{
  pthread_t thread;
  pthread_mutex_t lock; /* guards all below; no other lock is taken under it */
  pthread_cond_t changed;
  const struct kcp_clock *clock;
  GSequence *queue; /* struct kcp_timer, the one due first in front */
  bool stopping;
};

/* References: one of the queue or the thread that fires it, one of who added it. */
struct kcp_timer
{
  struct kcp_timers *timers;
  int64_t due_ns;
  kcp_timer_fire *fire;
  kcp_timer_release *release;
  void *user;
  GSequenceIter *position; /* NULL while it is not queued */
  bool cancelled;
};

static void *run (void *user);
static struct kcp_timer *wait_for_due (struct kcp_timers *timers);
static void fire (struct kcp_timer *timer);
static void release_timer (struct kcp_timer *timer);
static gint compare (gconstpointer a, gconstpointer b, gpointer user);

/* Starts the thread; clock must outlive it. */
struct kcp_timers *
kcp_timers_new (const struct kcp_clock *clock)
{
  struct kcp_timers *timers = g_new0 (struct kcp_timers, 1);
  pthread_condattr_t attributes;

  pthread_mutex_init (&timers->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&timers->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  timers->clock = clock;
  timers->queue = g_sequence_new (NULL);
  pthread_create (&timers->thread, NULL, run, timers);
  return timers;
}

/* Stops the thread and releases the timers that are left; NULL is allowed. */
void
kcp_timers_free (struct kcp_timers *timers)
{
  if (timers == NULL)
    return;
  pthread_mutex_lock (&timers->lock);
  timers->stopping = true;
  pthread_cond_signal (&timers->changed);
  pthread_mutex_unlock (&timers->lock);
  pthread_join (timers->thread, NULL);
  while (!g_sequence_is_empty (timers->queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (timers->queue);
      struct kcp_timer *timer = g_sequence_get (first);

      g_sequence_remove (first);
      timer->position = NULL;
      timer->timers = NULL;
      release_timer (timer);
    }
  g_sequence_free (timers->queue);
  pthread_cond_destroy (&timers->changed);
  pthread_mutex_destroy (&timers->lock);
  g_free (timers);
}

/* Adds a timer. The result is to be given to kcp_timer_cancel(), once. */
struct kcp_timer *
kcp_timers_add (struct kcp_timers *timers, int64_t due_ns, kcp_timer_fire *fire_timer,
                kcp_timer_release *release, void *user)
{
  struct kcp_timer *timer = kcp_ref_new (sizeof (struct kcp_timer));

  *timer = (struct kcp_timer){
    .timers = timers,
    .due_ns = due_ns,
    .fire = fire_timer,
    .release = release,
    .user = user,
  };
  kcp_ref_acquire (timer);
  pthread_mutex_lock (&timers->lock);
  timer->position = g_sequence_insert_sorted (timers->queue, timer, compare, NULL);
  if (g_sequence_iter_is_begin (timer->position))
    pthread_cond_signal (&timers->changed);
  pthread_mutex_unlock (&timers->lock);
  return timer;
}

/* Gives a timer back. It does not fire any more, unless it is firing now; allowed while
   it fires, and with locks held that it takes. */
void
kcp_timer_cancel (struct kcp_timer *timer)
{
  struct kcp_timers *timers = timer->timers;
  bool queued = false;

  if (timers != NULL)
    {
      pthread_mutex_lock (&timers->lock);
      queued = timer->position != NULL;
      if (queued)
        g_sequence_remove (timer->position);
      timer->position = NULL;
      timer->cancelled = true;
      pthread_mutex_unlock (&timers->lock);
    }
  if (queued)
    release_timer (timer);
  kcp_ref_release (timer, NULL);
}

static void *
run (void *user)
{
  struct kcp_timers *timers = user;
  struct kcp_timer *timer;

  while ((timer = wait_for_due (timers)) != NULL)
    fire (timer);
  return NULL;
}

/* Takes the next timer that is due off the queue; NULL once the thread is to stop. */
static struct kcp_timer *
wait_for_due (struct kcp_timers *timers)
{
  struct kcp_timer *timer = NULL;

  pthread_mutex_lock (&timers->lock);
  while (!timers->stopping)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (timers->queue);
      struct timespec due;

      if (g_sequence_iter_is_end (first))
        {
          pthread_cond_wait (&timers->changed, &timers->lock);
          continue;
        }
      timer = g_sequence_get (first);
      if (timer->due_ns <= kcp_clock_monotonic_ns (timers->clock))
        {
          g_sequence_remove (first);
          timer->position = NULL;
          break;
        }
      due = kcp_timespec_from_ns (timer->due_ns);
      timer = NULL;
      (void)pthread_cond_timedwait (&timers->changed, &timers->lock, &due);
    }
  pthread_mutex_unlock (&timers->lock);
  return timer;
}

static void
fire (struct kcp_timer *timer)
{
  struct kcp_timers *timers = timer->timers;
  int64_t next_ns = timer->fire (timer->user);
  bool repeat;

  pthread_mutex_lock (&timers->lock);
  repeat = next_ns != KCP_TIMER_END && !timer->cancelled;
  if (repeat)
    {
      timer->due_ns = next_ns;
      timer->position = g_sequence_insert_sorted (timers->queue, timer, compare, NULL);
    }
  pthread_mutex_unlock (&timers->lock);
  if (!repeat)
    release_timer (timer);
}

static void
release_timer (struct kcp_timer *timer)
{
  timer->release (timer->user);
  kcp_ref_release (timer, NULL);
}

static gint
compare (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct kcp_timer *left = a;
  const struct kcp_timer *right = b;

  (void)user;
  return (left->due_ns > right->due_ns) - (left->due_ns < right->due_ns);
}
