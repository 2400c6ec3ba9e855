#include "request/admit.h"

#include <ck_pr.h>
#include <string.h>
#include <xxhash.h>

#include "policy/prefix.h"
#include "policy/quarantine.h"

#define STEP                   "queue"
#define SCAN_INTERVAL_MS       50  /* maximum time between two scans of the queue */
#define RUN_MEAN_DIVISOR       8   /* a new answer has a weight of 1/8 in the mean */
#define ANSWER_WORK_TOKENS     500 /* cost of generating an answer, in prompt tokens */
#define SHUTDOWN_RETRY_AFTER_S 1

struct kcp_admit
{
  struct kcp_router *router;
  const struct kcp_admit_events *events;
  pthread_t thread;
  /* Taken after a request's lock and before those of registry and engine facts. */
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool stopping;
  struct kcp_admission *queue;
  GHashTable *waiting;          /* set of struct kcp_request, each with a reference */
  uint64_t run_ns[KCP_CLASSES]; /* atomic; moving average, see kcp_admit_mean_run_ns() */
  unsigned waiting_count;       /* atomic; number of waiting requests */
  int wake_pending;             /* atomic; a slot may have become free */
};

/* A scan of the queue for a request that can start. */
struct search
{
  struct kcp_admit *admit;
  struct kcp_choice choice;
};

static void *run (void *user);
static void start_queued_requests (struct kcp_admit *admit);
static bool can_start (void *user, struct kcp_admission_item *item);
static void refuse_expired (struct kcp_admit *admit);
static void refuse_all (struct kcp_admit *admit);
static void set_shutdown_error (struct kcp_error *error);
static void init_item (struct kcp_admit *admit, struct kcp_request *request);
static uint64_t pool_hash (const struct kcp_request *request);
static void set_overload_error (struct kcp_request *request, int64_t retry_after_s,
                                struct kcp_error *error);
static struct kcp_request *
dequeue (struct kcp_admit *admit, struct kcp_admission_item *item);
static void refuse_queued_request (struct kcp_admit *admit, struct kcp_request *request,
                                   const struct kcp_error *error);
static struct kcp_admission_now current_time (const struct kcp_admit *admit);

/* Starts the queue and its thread. router and events must outlive it. */
struct kcp_admit *
kcp_admit_start (struct kcp_router *router, const struct kcp_admit_events *events)
{
  struct kcp_admit *admit = g_new0 (struct kcp_admit, 1);

  admit->router = router;
  admit->events = events;
  admit->queue = kcp_admission_new ();
  admit->waiting = g_hash_table_new (NULL, NULL);
  pthread_mutex_init (&admit->lock, NULL);
  pthread_cond_init (&admit->changed, NULL);
  pthread_create (&admit->thread, NULL, run, admit);
  return admit;
}

/* Stops the thread and refuses the requests that still wait. No request is queued
   afterwards. NULL is allowed. */
void
kcp_admit_stop (struct kcp_admit *admit)
{
  if (admit == NULL)
    return;
  pthread_mutex_lock (&admit->lock);
  admit->stopping = true;
  pthread_cond_signal (&admit->changed);
  pthread_mutex_unlock (&admit->lock);
  pthread_join (admit->thread, NULL);
  refuse_all (admit);
}

/* Frees a stopped queue. All requests must have ended. NULL is allowed. */
void
kcp_admit_free (struct kcp_admit *admit)
{
  if (admit == NULL)
    return;
  kcp_admission_free (admit->queue);
  g_hash_table_unref (admit->waiting);
  pthread_cond_destroy (&admit->changed);
  pthread_mutex_destroy (&admit->lock);
  g_free (admit);
}

/* Places a request, queues it behind those that wait, or refuses it at once if its
   deadline cannot be met. A request that was dispatched before does not wait for a free
   slot. The request's lock must be held. Sets choice if it returns KCP_ADMIT_PLACED, and
   error if it returns KCP_ADMIT_REFUSED. */
enum kcp_admit_result
kcp_admit_request (struct kcp_admit *admit, struct kcp_request *request,
                   struct kcp_choice *choice, struct kcp_error *error)
{
  struct kcp_admission_now now = current_time (admit);
  struct kcp_admission_verdict verdict = { 0 };
  bool stopping;
  bool ignore_limit = request->attempts > 0;
  bool queue_is_empty = ck_pr_load_uint (&admit->waiting_count) == 0;

  switch (kcp_choose_engine (request, ignore_limit, choice, error))
    {
    case KCP_CHOSEN:
      if (ignore_limit || queue_is_empty)
        return KCP_ADMIT_PLACED;
      kcp_backend_unref (choice->backend);
      break;
    case KCP_CHOOSE_NONE:
      return KCP_ADMIT_REFUSED;
    case KCP_CHOOSE_WAIT:
      break;
    }
  pthread_mutex_lock (&admit->lock);
  init_item (admit, request);
  stopping = admit->stopping;
  if (!stopping)
    verdict = kcp_admission_offer (admit->queue, &request->completion.item, &now);
  if (verdict.queued)
    {
      g_hash_table_add (admit->waiting, kcp_request_ref (request));
      ck_pr_inc_uint (&admit->waiting_count);
    }
  pthread_mutex_unlock (&admit->lock);
  if (verdict.queued)
    {
      kcp_admit_wake (admit);
      kcp_timeline_add (admit->router->timeline, KCP_EVENT_QUEUED, request->id, NULL,
                        verdict.wait_ns / KCP_NS_PER_US);
      return KCP_ADMIT_QUEUED;
    }
  if (stopping)
    set_shutdown_error (error);
  else
    set_overload_error (request, verdict.retry_after_s, error);
  return KCP_ADMIT_REFUSED;
}

/* Removes a request from the queue, if it waits there, because it has ended. The
   request's lock must be held, and the caller must hold a reference of its own. */
void
kcp_admit_remove (struct kcp_admit *admit, struct kcp_request *request)
{
  bool was_queued;

  if (ck_pr_load_uint (&admit->waiting_count) == 0)
    return;
  pthread_mutex_lock (&admit->lock);
  was_queued = g_hash_table_remove (admit->waiting, request);
  if (was_queued)
    {
      kcp_admission_remove (admit->queue, &request->completion.item,
                            kcp_clock_monotonic_ns (admit->router->clock));
      ck_pr_dec_uint (&admit->waiting_count);
    }
  pthread_mutex_unlock (&admit->lock);
  if (was_queued)
    kcp_request_unref (request);
}

/* Updates the moving average of a class with the time from the dispatch to the end of an
   answer. */
void
kcp_admit_record_answer (struct kcp_admit *admit, enum kcp_class class, int64_t run_ns)
{
  int64_t mean = kcp_admit_mean_run_ns (admit, class);

  ck_pr_store_64 (
      &admit->run_ns[class],
      (uint64_t)(mean == 0 ? run_ns : mean + (run_ns - mean) / RUN_MEAN_DIVISOR));
}

/* Returns the moving average of the time from the dispatch to the end of an answer, in
   nanoseconds; 0 before the first answer of the class. */
int64_t
kcp_admit_mean_run_ns (struct kcp_admit *admit, enum kcp_class class)
{
  return (int64_t)ck_pr_load_64 (&admit->run_ns[class]);
}

/* Requests a scan of the queue because a slot may have become free. Does not block: if
   another thread holds the lock, that thread or the next periodic scan finds the slot.
   user is the queue. */
void
kcp_admit_wake (void *user)
{
  struct kcp_admit *admit = user;

  if (ck_pr_load_uint (&admit->waiting_count) == 0)
    return;
  ck_pr_store_int (&admit->wake_pending, 1);
  if (pthread_mutex_trylock (&admit->lock) != 0)
    return;
  pthread_cond_signal (&admit->changed);
  pthread_mutex_unlock (&admit->lock);
}

static void *
run (void *user)
{
  struct kcp_admit *admit = user;

  pthread_mutex_lock (&admit->lock);
  while (!admit->stopping)
    {
      struct timespec until = kcp_clock_realtime (&kcp_clock_system);

      until = kcp_timespec_from_ns (kcp_timespec_ns (until)
                                    + SCAN_INTERVAL_MS * KCP_NS_PER_MS);
      if (ck_pr_load_int (&admit->wake_pending) == 0)
        pthread_cond_timedwait (&admit->changed, &admit->lock, &until);
      ck_pr_store_int (&admit->wake_pending, 0);
      pthread_mutex_unlock (&admit->lock);
      refuse_expired (admit);
      start_queued_requests (admit);
      pthread_mutex_lock (&admit->lock);
    }
  pthread_mutex_unlock (&admit->lock);
  return NULL;
}

/* Starts the queued requests that find a free slot. They are started one at a time, so
   that each choice accounts for the slots taken by the previous ones. */
static void
start_queued_requests (struct kcp_admit *admit)
{
  struct search search = { .admit = admit };
  struct kcp_request *request;

  kcp_engine_facts_clear_waiting (admit->router->facts);
  do
    {
      struct kcp_admission_item *item;

      pthread_mutex_lock (&admit->lock);
      item = kcp_admission_next (admit->queue, can_start, &search,
                                 kcp_clock_monotonic_ns (admit->router->clock));
      request = item != NULL ? dequeue (admit, item) : NULL;
      pthread_mutex_unlock (&admit->lock);
      if (request == NULL)
        return;
      pthread_mutex_lock (&request->lock);
      if (request->ended)
        kcp_backend_unref (search.choice.backend);
      else
        admit->events->placed (request, &search.choice);
      pthread_mutex_unlock (&request->lock);
      kcp_request_unref (request);
    }
  while (request != NULL);
}

/* Returns true, and sets the choice of the search, if the queued request can start now.
   The request's lock is not held: only members that do not change while the request
   waits are read. */
static bool
can_start (void *user, struct kcp_admission_item *item)
{
  struct search *search = user;
  struct kcp_error error;

  return kcp_choose_engine (kcp_request_from_item (item), false, &search->choice, &error)
         == KCP_CHOSEN;
}

/* Refuses the queued requests whose deadlines can no longer be met. */
static void
refuse_expired (struct kcp_admit *admit)
{
  struct kcp_request *request;

  do
    {
      struct kcp_admission_now now = current_time (admit);
      struct kcp_admission_item *item;
      struct kcp_error error;
      int64_t retry_after_s = 0;

      pthread_mutex_lock (&admit->lock);
      item = kcp_admission_expired (admit->queue, now.monotonic_ns);
      request = item != NULL ? dequeue (admit, item) : NULL;
      if (request != NULL)
        retry_after_s = kcp_admission_retry_after_s (admit->queue, item, &now);
      pthread_mutex_unlock (&admit->lock);
      if (request == NULL)
        return;
      set_overload_error (request, retry_after_s, &error);
      refuse_queued_request (admit, request, &error);
    }
  while (request != NULL);
}

/* Refuses all queued requests because this VM shuts down. */
static void
refuse_all (struct kcp_admit *admit)
{
  g_autoptr (GPtrArray) requests = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;
  struct kcp_error error;

  pthread_mutex_lock (&admit->lock);
  g_hash_table_iter_init (&iter, admit->waiting);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct kcp_request *request = key;

      kcp_admission_remove (admit->queue, &request->completion.item,
                            kcp_clock_monotonic_ns (admit->router->clock));
      g_ptr_array_add (requests, request);
    }
  g_hash_table_remove_all (admit->waiting);
  ck_pr_store_uint (&admit->waiting_count, 0);
  pthread_mutex_unlock (&admit->lock);
  set_shutdown_error (&error);
  for (guint i = 0; i < requests->len; i++)
    refuse_queued_request (admit, g_ptr_array_index (requests, i), &error);
}

static void
set_shutdown_error (struct kcp_error *error)
{
  kcp_error_set (error, KCP_ERR_SHUTDOWN, STEP, NULL,
                 "this VM stopped before the request was sent");
  error->retry_after_s = SHUTDOWN_RETRY_AFTER_S;
}

static void
init_item (struct kcp_admit *admit, struct kcp_request *request)
{
  const GString *text = request->completion.prompt.text;
  const GString *body = request->call->body;
  struct kcp_str team = kcp_str_from_c (request->team->name);

  request->completion.item = (struct kcp_admission_item){
    .pool = pool_hash (request),
    .class = request->profile->class,
    .team = XXH3_64bits (team.data, team.len),
    .share = request->team->share,
    .importance = request->profile->importance,
    .work
    = ANSWER_WORK_TOKENS + kcp_prefix_tokens ((struct kcp_str){ text->str, text->len }),
    .deadline_ns = request->deadline_ns,
    .run_ns = kcp_admit_mean_run_ns (admit, request->profile->class),
    .fingerprint
    = kcp_quarantine_fingerprint (team, (struct kcp_str){ body->str, body->len }),
  };
}

/* Returns a hash of the request's model and allowed data centers. Requests with the same
   hash compete for the same slots. */
static uint64_t
pool_hash (const struct kcp_request *request)
{
  const struct kcp_profile *profile = request->profile;
  const char *model = request->completion.prompt.model;
  uint64_t pool = XXH3_64bits (model, strlen (model));

  for (unsigned i = 0; i < profile->compute_in.count; i++)
    {
      const char *name = g_quark_to_string (profile->compute_in.members[i]);

      if (kcp_dc_set_has (&profile->prompt_in, profile->compute_in.members[i])
          && kcp_dc_set_has (&profile->cache_in, profile->compute_in.members[i]))
        pool ^= XXH3_64bits (name, strlen (name));
    }
  return pool;
}

static void
set_overload_error (struct kcp_request *request, int64_t retry_after_s,
                    struct kcp_error *error)
{
  kcp_error_set (error, KCP_ERR_OVERLOADED, STEP, NULL,
                 "the queue of class %s is too long for this deadline",
                 kcp_class_name (request->profile->class));
  error->retry_after_s = (int)retry_after_s;
}

/* Removes the request of an item that has left the queue from the set of waiting
   requests. Returns the request with the reference that the set held. The lock must be
   held. */
static struct kcp_request *
dequeue (struct kcp_admit *admit, struct kcp_admission_item *item)
{
  struct kcp_request *request = kcp_request_from_item (item);

  g_hash_table_remove (admit->waiting, request);
  ck_pr_dec_uint (&admit->waiting_count);
  return request;
}

static void
refuse_queued_request (struct kcp_admit *admit, struct kcp_request *request,
                       const struct kcp_error *error)
{
  pthread_mutex_lock (&request->lock);
  admit->events->refused (request, error);
  pthread_mutex_unlock (&request->lock);
  kcp_request_unref (request);
}

static struct kcp_admission_now
current_time (const struct kcp_admit *admit)
{
  const struct kcp_clock *clock = admit->router->clock;

  return (struct kcp_admission_now){ kcp_clock_monotonic_ns (clock),
                                     kcp_clock_realtime_ms (clock) };
}
