#include "request/timers.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "base/ref.h"

struct kcp_timers
{
  pthread_t thread;
  pthread_mutex_t lock; /* guards the members below; no lock is taken under it */
  pthread_cond_t changed;
  const struct kcp_clock *clock;
  GSequence *queue; /* struct kcp_timer in order of due_ns */
  bool stopping;
};

/* One reference is held by the queue, or by the thread while the timer fires; another
   one is held by the caller that added the timer. */
struct kcp_timer
{
  struct kcp_timers *timers;
  int64_t due_ns;
  kcp_timer_fire *fire;
  kcp_timer_release *release;
  void *user;
  GSequenceIter *position; /* NULL while the timer is not queued */
  bool cancelled;
};

static void *run (void *user);
static struct kcp_timer *wait_for_due (struct kcp_timers *timers);
static void fire (struct kcp_timer *timer);
static void release_timer (struct kcp_timer *timer);
static gint compare (gconstpointer a, gconstpointer b, gpointer user);

/* Starts the thread. clock must outlive it. */
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

/* Stops the thread and releases the remaining timers; NULL is allowed. */
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

/* Adds a timer that fires at due_ns, in monotonic nanoseconds. The caller must pass the
   result to kcp_timer_cancel() exactly once. */
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

/* Cancels a timer and drops the caller's reference. The timer does not fire again, but a
   call that is in progress is completed. May be called from the timer's own function,
   and with locks held that the function takes. */
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

/* Waits for the next timer that is due and removes it from the queue. Returns NULL once
   the thread must stop. */
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
