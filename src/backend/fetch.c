#include "backend/fetch.h"

#include <ck_queue.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "backend/poller.h"
#include "base/http_head.h"
#include "base/ref.h"
#include "base/send_guard.h"

#define POLL_TIMEOUT_MS       50
#define CONNECTION_CACHE_MAX  256 /* connections of one worker */
#define IDLE_SCAN_INTERVAL_NS (50 * KCP_NS_PER_MS)
#define CONNECTION_IDLE_MAX_S 30L /* idle time after which a connection is not reused */
#define READ_BUFFER_BYTES     (4L << 10)

enum command_kind
{
  COMMAND_START,
  COMMAND_CANCEL,
  COMMAND_UNPAUSE
};

struct command
{
  enum command_kind kind;
  struct kcp_fetch *fetch; /* an owned reference */
  CK_STAILQ_ENTRY (command) link;
};

CK_STAILQ_HEAD (command_queue, command);

struct worker
{
  pthread_t thread;
  pthread_mutex_t lock; /* guards commands and stopping */
  struct command_queue commands;
  bool stopping;
  int64_t next_idle_scan_ns; /* time of the next scan for idle transfers */
  struct kcp_poller *poller;
  CURLM *multi;                                 /* the multi handle of the poller */
  CK_LIST_HEAD (active_list, kcp_fetch) active; /* accessed only by the worker's thread */
  const struct kcp_clock *clock;
};

struct kcp_fetch_pool
{
  unsigned count;
  unsigned next;
  struct worker *workers;
};

/* After kcp_fetch_start(), only the worker's thread accesses the members. */
struct kcp_fetch
{
  struct worker *worker;
  CURL *curl;
  struct curl_slist *headers;
  char *method;
  char *url;
  char *body;
  size_t body_len;
  int64_t connect_timeout_ms;
  int64_t idle_timeout_ms;
  int64_t total_timeout_ms;
  bool reuse;
  struct kcp_send_guard guard;
  struct kcp_http_head head;
  const struct kcp_fetch_events *events;
  void *user;
  bool active;
  bool paused;
  bool aborted;
  int64_t last_received_ns;
  CK_LIST_ENTRY (kcp_fetch) link;
};

static void worker_start (struct worker *worker, const struct kcp_clock *clock);
static void worker_stop (struct worker *worker);
static bool worker_cancel_pending (struct worker *worker);
static void worker_clear (struct worker *worker);
static void *worker_run (void *user);
static bool worker_run_commands (struct worker *worker);
static struct command *pop_command (struct worker *worker);
static void worker_read_messages (struct worker *worker);
static void worker_end_idle (struct worker *worker);
static void post_command (struct kcp_fetch *fetch, enum command_kind kind);
static void start_transfer (struct kcp_fetch *fetch);
static void finish_transfer (struct kcp_fetch *fetch, enum kcp_fetch_result result);
static void resume_transfer (struct kcp_fetch *fetch);
static enum kcp_fetch_result result_of (const struct kcp_fetch *fetch, CURLcode rc);
static int
on_connected (void *user, char *address, char *own_address, int port, int own_port);
static size_t on_header (char *data, size_t size, size_t count, void *user);
static size_t on_data (char *data, size_t size, size_t count, void *user);
static void fetch_clear (gpointer data);

/* Creates a pool and starts its worker threads. The clock must outlive the pool. */
struct kcp_fetch_pool *
kcp_fetch_pool_new (const struct kcp_clock *clock, unsigned workers)
{
  struct kcp_fetch_pool *pool = g_new0 (struct kcp_fetch_pool, 1);

  pool->count = workers;
  pool->workers = g_new0 (struct worker, workers);
  for (unsigned i = 0; i < workers; i++)
    worker_start (&pool->workers[i], clock);
  return pool;
}

/* Cancels every call, waits for the workers and frees the pool. NULL is allowed. */
void
kcp_fetch_pool_free (struct kcp_fetch_pool *pool)
{
  if (pool == NULL)
    return;
  for (unsigned i = 0; i < pool->count; i++)
    worker_stop (&pool->workers[i]);
  /* The done callback of one call may have started another call on any worker. */
  for (bool cancelled = true; cancelled;)
    {
      cancelled = false;
      for (unsigned i = 0; i < pool->count; i++)
        cancelled = worker_cancel_pending (&pool->workers[i]) || cancelled;
    }
  for (unsigned i = 0; i < pool->count; i++)
    worker_clear (&pool->workers[i]);
  g_free (pool->workers);
  g_free (pool);
}

/* Starts a call and returns a reference to it. All strings of the spec are copied. The
   done callback runs exactly once, possibly before this function returns. A call is sent
   once and ends as interrupted if a reused connection closes before the first byte of the
   response; one that may_repeat is sent again by libcurl then. */
struct kcp_fetch *
kcp_fetch_start (struct kcp_fetch_pool *pool, const struct kcp_fetch_spec *spec)
{
  struct kcp_fetch *fetch = kcp_ref_new (sizeof (struct kcp_fetch));
  unsigned index = __atomic_fetch_add (&pool->next, 1, __ATOMIC_RELAXED) % pool->count;

  fetch->worker = &pool->workers[index];
  fetch->method = g_strdup (spec->method);
  fetch->url = g_strdup (spec->url);
  fetch->body = g_memdup2 (spec->body.data, spec->body.len);
  fetch->body_len = spec->body.len;
  fetch->connect_timeout_ms = spec->connect_timeout_ms;
  fetch->idle_timeout_ms = spec->idle_timeout_ms;
  fetch->total_timeout_ms = spec->total_timeout_ms;
  fetch->reuse = spec->reuse;
  fetch->guard.may_repeat = spec->may_repeat;
  fetch->events = spec->events;
  fetch->user = spec->user;
  fetch->headers = curl_slist_append (NULL, "Expect:");
  for (char **line = spec->headers; line != NULL && *line != NULL; line++)
    fetch->headers = curl_slist_append (fetch->headers, *line);
  post_command (fetch, COMMAND_START);
  return fetch;
}

/* Cancels a call. Its done callback receives KCP_FETCH_CANCELLED unless the call has
   already ended. */
void
kcp_fetch_cancel (struct kcp_fetch *fetch)
{
  post_command (fetch, COMMAND_CANCEL);
}

/* Resumes a paused call. */
void
kcp_fetch_unpause (struct kcp_fetch *fetch)
{
  post_command (fetch, COMMAND_UNPAUSE);
}

/* Acquires a reference. */
struct kcp_fetch *
kcp_fetch_ref (struct kcp_fetch *fetch)
{
  return kcp_ref_acquire (fetch);
}

/* Releases a reference. NULL is allowed. */
void
kcp_fetch_unref (struct kcp_fetch *fetch)
{
  if (fetch != NULL)
    kcp_ref_release (fetch, fetch_clear);
}

static void
worker_start (struct worker *worker, const struct kcp_clock *clock)
{
  pthread_mutex_init (&worker->lock, NULL);
  CK_STAILQ_INIT (&worker->commands);
  CK_LIST_INIT (&worker->active);
  worker->clock = clock;
  worker->poller = kcp_poller_new (clock);
  worker->multi = kcp_poller_multi (worker->poller);
  curl_multi_setopt (worker->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTION_CACHE_MAX);
  curl_multi_setopt (worker->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  pthread_create (&worker->thread, NULL, worker_run, worker);
}

static void
worker_stop (struct worker *worker)
{
  pthread_mutex_lock (&worker->lock);
  worker->stopping = true;
  pthread_mutex_unlock (&worker->lock);
  kcp_poller_wake (worker->poller);
  pthread_join (worker->thread, NULL);
}

/* Cancels the calls that were posted after the worker's thread ended. Returns false if
   there were none. */
static bool
worker_cancel_pending (struct worker *worker)
{
  struct command *command;
  bool cancelled = false;

  while ((command = pop_command (worker)) != NULL)
    {
      if (command->kind == COMMAND_START)
        command->fetch->events->done (command->fetch->user, KCP_FETCH_CANCELLED, 0);
      kcp_fetch_unref (command->fetch);
      g_free (command);
      cancelled = true;
    }
  return cancelled;
}

static void
worker_clear (struct worker *worker)
{
  kcp_poller_free (worker->poller);
  pthread_mutex_destroy (&worker->lock);
}

static void *
worker_run (void *user)
{
  struct worker *worker = user;
  struct kcp_fetch *fetch;
  struct kcp_fetch *next;

  while (worker_run_commands (worker))
    {
      kcp_poller_run_once (worker->poller, POLL_TIMEOUT_MS);
      worker_read_messages (worker);
      worker_end_idle (worker);
    }
  CK_LIST_FOREACH_SAFE (fetch, &worker->active, link, next)
  finish_transfer (fetch, KCP_FETCH_CANCELLED);
  return NULL;
}

/* Runs the posted commands. Returns false if the worker has to stop. */
static bool
worker_run_commands (struct worker *worker)
{
  struct command *command;
  bool stopping;

  while ((command = pop_command (worker)) != NULL)
    {
      switch (command->kind)
        {
        case COMMAND_START:
          start_transfer (command->fetch);
          break;
        case COMMAND_CANCEL:
          if (command->fetch->active)
            finish_transfer (command->fetch, KCP_FETCH_CANCELLED);
          break;
        case COMMAND_UNPAUSE:
          if (command->fetch->active)
            resume_transfer (command->fetch);
          break;
        }
      kcp_fetch_unref (command->fetch);
      g_free (command);
    }
  pthread_mutex_lock (&worker->lock);
  stopping = worker->stopping;
  pthread_mutex_unlock (&worker->lock);
  return !stopping;
}

static struct command *
pop_command (struct worker *worker)
{
  struct command *command;

  pthread_mutex_lock (&worker->lock);
  command = CK_STAILQ_FIRST (&worker->commands);
  if (command != NULL)
    CK_STAILQ_REMOVE_HEAD (&worker->commands, link);
  pthread_mutex_unlock (&worker->lock);
  return command;
}

static void
worker_read_messages (struct worker *worker)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (worker->multi, &remaining)) != NULL)
    {
      struct kcp_fetch *fetch = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &fetch);
      finish_transfer (fetch, result_of (fetch, message->data.result));
    }
}

/* Ends the transfers that have received nothing for longer than their idle timeout. A
   scan visits every transfer, so it runs once per IDLE_SCAN_INTERVAL_NS and not in every
   iteration of the loop. */
static void
worker_end_idle (struct worker *worker)
{
  int64_t now = kcp_clock_monotonic_ns (worker->clock);
  struct kcp_fetch *fetch;
  struct kcp_fetch *next;

  if (now < worker->next_idle_scan_ns)
    return;
  worker->next_idle_scan_ns = now + IDLE_SCAN_INTERVAL_NS;
  CK_LIST_FOREACH_SAFE (fetch, &worker->active, link, next)
  if (fetch->idle_timeout_ms > 0 && !fetch->paused
      && now - fetch->last_received_ns > fetch->idle_timeout_ms * KCP_NS_PER_MS)
    finish_transfer (fetch, KCP_FETCH_IDLE_TIMEOUT);
}

static void
post_command (struct kcp_fetch *fetch, enum command_kind kind)
{
  struct worker *worker = fetch->worker;
  struct command *command = g_new0 (struct command, 1);

  command->kind = kind;
  command->fetch = kcp_fetch_ref (fetch);
  pthread_mutex_lock (&worker->lock);
  CK_STAILQ_INSERT_TAIL (&worker->commands, command, link);
  pthread_mutex_unlock (&worker->lock);
  kcp_poller_wake (worker->poller);
}

static void
start_transfer (struct kcp_fetch *fetch)
{
  CURL *curl = curl_easy_init ();

  fetch->curl = curl;
  curl_easy_setopt (curl, CURLOPT_URL, fetch->url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, fetch->reuse ? 0L : 1L);
  curl_easy_setopt (curl, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_MAX_S);
  curl_easy_setopt (curl, CURLOPT_BUFFERSIZE, READ_BUFFER_BYTES);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, on_connected);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, fetch);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, fetch);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, fetch->method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, fetch->headers);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)fetch->connect_timeout_ms);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)fetch->total_timeout_ms);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, fetch);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, fetch);
  if (fetch->body_len > 0)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)fetch->body_len);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, fetch->body);
    }
  fetch->last_received_ns = kcp_clock_monotonic_ns (fetch->worker->clock);
  fetch->active = true;
  kcp_fetch_ref (fetch);
  CK_LIST_INSERT_HEAD (&fetch->worker->active, fetch, link);
  curl_multi_add_handle (fetch->worker->multi, curl);
}

/* Ends a transfer, calls its done callback and drops the reference that start_transfer()
   acquired. */
static void
finish_transfer (struct kcp_fetch *fetch, enum kcp_fetch_result result)
{
  long status = 0;

  fetch->active = false;
  CK_LIST_REMOVE (fetch, link);
  if (fetch->head.complete)
    curl_easy_getinfo (fetch->curl, CURLINFO_RESPONSE_CODE, &status);
  if (fetch->head.complete && !kcp_http_status_is_final (status))
    {
      status = 0;
      if (result == KCP_FETCH_COMPLETE)
        result = KCP_FETCH_INTERRUPTED;
    }
  curl_multi_remove_handle (fetch->worker->multi, fetch->curl);
  curl_easy_cleanup (fetch->curl);
  fetch->curl = NULL;
  fetch->events->done (fetch->user, result, status);
  kcp_fetch_unref (fetch);
}

static void
resume_transfer (struct kcp_fetch *fetch)
{
  fetch->paused = false;
  fetch->last_received_ns = kcp_clock_monotonic_ns (fetch->worker->clock);
  curl_easy_pause (fetch->curl, CURLPAUSE_CONT);
}

/* Converts the result code of libcurl. Every failure before the connection was ready is
   KCP_FETCH_CONNECT_FAILED, since the server received nothing. libcurl reports success if
   the connection ends, in order, within the head. */
static enum kcp_fetch_result
result_of (const struct kcp_fetch *fetch, CURLcode rc)
{
  if (rc == CURLE_OK && fetch->head.complete)
    return KCP_FETCH_COMPLETE;
  if (fetch->aborted)
    return KCP_FETCH_CANCELLED;
  if (!fetch->guard.sent)
    return KCP_FETCH_CONNECT_FAILED;
  return rc == CURLE_OPERATION_TIMEDOUT ? KCP_FETCH_TIMED_OUT : KCP_FETCH_INTERRUPTED;
}

/* Called by libcurl when a connection is ready, each time before the request is sent. */
static int
on_connected (void *user, char *address, char *own_address, int port, int own_port)
{
  struct kcp_fetch *fetch = user;

  (void)address;
  (void)own_address;
  (void)port;
  (void)own_port;
  if (!kcp_send_guard_allows (&fetch->guard))
    return CURL_PREREQFUNC_ABORT;
  fetch->guard.sent = true;
  return CURL_PREREQFUNC_OK;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct kcp_fetch *fetch = user;
  struct kcp_str line = { .data = data, .len = size * count };

  fetch->last_received_ns = kcp_clock_monotonic_ns (fetch->worker->clock);
  if (kcp_http_head_read (&fetch->head, line).kind == KCP_HTTP_LINE_TOO_LONG)
    return 0;
  if (fetch->events->header != NULL)
    fetch->events->header (fetch->user, kcp_str_trim (line));
  return size * count;
}

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct kcp_fetch *fetch = user;
  struct kcp_str chunk = { .data = data, .len = size * count };
  long status = 0;

  fetch->last_received_ns = kcp_clock_monotonic_ns (fetch->worker->clock);
  curl_easy_getinfo (fetch->curl, CURLINFO_RESPONSE_CODE, &status);
  switch (fetch->events->data (fetch->user, status, chunk))
    {
    case KCP_FETCH_CONTINUE:
      break;
    case KCP_FETCH_PAUSE:
      fetch->paused = true;
      curl_easy_pause (fetch->curl, CURLPAUSE_RECV);
      break;
    case KCP_FETCH_ABORT:
      fetch->aborted = true;
      return 0;
    }
  return chunk.len;
}

static void
fetch_clear (gpointer data)
{
  struct kcp_fetch *fetch = data;

  curl_slist_free_all (fetch->headers);
  g_free (fetch->method);
  g_free (fetch->url);
  g_free (fetch->body);
}
