#include "backend/poller.h"

#include <glib.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define EVENTS_MAX 256
#define NO_TIMER   (-1)

/* A file descriptor that does not belong to libcurl. */
struct watch
{
  kcp_poller_handler *handler;
  void *user;
};

struct kcp_poller
{
  const struct kcp_clock *clock;
  GHashTable *watches; /* file descriptor -> struct watch */
  CURLM *multi;
  int epoll;
  int wakeup;     /* eventfd */
  int64_t due_ns; /* when the timer of libcurl expires, or NO_TIMER */
};

static int
on_socket (CURL *curl, curl_socket_t socket, int what, void *user, void *socket_data);
static int on_timer (CURLM *multi, long timeout_ms, void *user);
static int wait_ms (const struct kcp_poller *poller, int64_t timeout_ms);
static void handle_event (struct kcp_poller *poller, const struct epoll_event *event);
static void run_timer (struct kcp_poller *poller);

/* Creates a poller with its own multi handle. The clock must outlive the poller. All
   functions except kcp_poller_wake() must be called from a single thread. Aborts the
   process if no file descriptor is available. */
struct kcp_poller *
kcp_poller_new (const struct kcp_clock *clock)
{
  struct kcp_poller *poller = g_new0 (struct kcp_poller, 1);
  struct epoll_event event = { .events = EPOLLIN };

  poller->clock = clock;
  poller->due_ns = NO_TIMER;
  poller->watches = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  poller->multi = curl_multi_init ();
  poller->epoll = epoll_create1 (EPOLL_CLOEXEC);
  poller->wakeup = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  event.data.fd = poller->wakeup;
  if (poller->epoll < 0 || poller->wakeup < 0
      || epoll_ctl (poller->epoll, EPOLL_CTL_ADD, poller->wakeup, &event) != 0)
    abort ();
  curl_multi_setopt (poller->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (poller->multi, CURLMOPT_SOCKETDATA, poller);
  curl_multi_setopt (poller->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (poller->multi, CURLMOPT_TIMERDATA, poller);
  return poller;
}

/* Closes the idle connections and frees the poller. No easy handle may be left in its
   multi handle. */
void
kcp_poller_free (struct kcp_poller *poller)
{
  curl_multi_cleanup (poller->multi);
  g_hash_table_unref (poller->watches);
  (void)close (poller->wakeup);
  (void)close (poller->epoll);
  g_free (poller);
}

/* Returns the multi handle, to which easy handles are added. */
CURLM *
kcp_poller_multi (struct kcp_poller *poller)
{
  return poller->multi;
}

/* Calls handler whenever one of the epoll events occurs on fd, until
   kcp_poller_unwatch(). EPOLLERR and EPOLLHUP are always reported. Aborts the process if
   the kernel does not accept the descriptor. */
void
kcp_poller_watch (struct kcp_poller *poller, int fd, uint32_t events,
                  kcp_poller_handler *handler, void *user)
{
  struct epoll_event event = { .events = events, .data.fd = fd };
  struct watch *watch = g_new0 (struct watch, 1);

  watch->handler = handler;
  watch->user = user;
  g_hash_table_replace (poller->watches, GINT_TO_POINTER (fd), watch);
  if (epoll_ctl (poller->epoll, EPOLL_CTL_ADD, fd, &event) != 0
      && epoll_ctl (poller->epoll, EPOLL_CTL_MOD, fd, &event) != 0)
    abort ();
}

/* Stops watching fd. Must be called before fd is closed. May be called from a handler. */
void
kcp_poller_unwatch (struct kcp_poller *poller, int fd)
{
  if (g_hash_table_remove (poller->watches, GINT_TO_POINTER (fd)))
    (void)epoll_ctl (poller->epoll, EPOLL_CTL_DEL, fd, NULL);
}

/* Makes the current or next kcp_poller_run_once() return immediately. May be called from
   any thread. */
void
kcp_poller_wake (struct kcp_poller *poller)
{
  uint64_t one = 1;

  if (write (poller->wakeup, &one, sizeof one) < 0)
    return; /* the counter is at its maximum, so the poller wakes up anyway */
}

/* Waits up to timeout_ms milliseconds for events or the timer of libcurl and handles
   them. */
void
kcp_poller_run_once (struct kcp_poller *poller, int64_t timeout_ms)
{
  struct epoll_event events[EVENTS_MAX];
  int count
      = epoll_wait (poller->epoll, events, EVENTS_MAX, wait_ms (poller, timeout_ms));

  for (int i = 0; i < count; i++)
    handle_event (poller, &events[i]);
  run_timer (poller);
}

/* Called by libcurl to change the events to wait for on a socket. socket_data is NULL
   until the socket has been added to the epoll instance. */
static int
on_socket (CURL *curl, curl_socket_t socket, int what, void *user, void *socket_data)
{
  struct kcp_poller *poller = user;
  struct epoll_event event = { .data.fd = socket };
  int operation = socket_data != NULL ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

  (void)curl;
  if (what == CURL_POLL_REMOVE)
    {
      (void)epoll_ctl (poller->epoll, EPOLL_CTL_DEL, socket, NULL);
      curl_multi_assign (poller->multi, socket, NULL);
      return 0;
    }
  event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U)
                 | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
  if (epoll_ctl (poller->epoll, operation, socket, &event) != 0)
    return -1;
  curl_multi_assign (poller->multi, socket, poller);
  return 0;
}

/* Called by libcurl to set its timer, or to cancel it if timeout_ms is negative. */
static int
on_timer (CURLM *multi, long timeout_ms, void *user)
{
  struct kcp_poller *poller = user;

  (void)multi;
  poller->due_ns = timeout_ms < 0 ? NO_TIMER
                                  : kcp_clock_monotonic_ns (poller->clock)
                                        + timeout_ms * KCP_NS_PER_MS;
  return 0;
}

/* Returns the smaller of timeout_ms and the time until the timer of libcurl expires, in
   milliseconds. The latter is rounded up, so that the timer has expired after the
   wait. */
static int
wait_ms (const struct kcp_poller *poller, int64_t timeout_ms)
{
  int64_t remaining_ns;

  if (poller->due_ns == NO_TIMER)
    return (int)timeout_ms;
  remaining_ns = poller->due_ns - kcp_clock_monotonic_ns (poller->clock);
  if (remaining_ns <= 0)
    return 0;
  return (int)MIN (timeout_ms, remaining_ns / KCP_NS_PER_MS + 1);
}

static void
handle_event (struct kcp_poller *poller, const struct epoll_event *event)
{
  const struct watch *watch
      = g_hash_table_lookup (poller->watches, GINT_TO_POINTER (event->data.fd));
  uint64_t count;
  int running;
  int flags = ((event->events & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0)
              | ((event->events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0)
              | ((event->events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0);

  if (watch != NULL)
    watch->handler (watch->user, event->events);
  else if (event->data.fd != poller->wakeup)
    curl_multi_socket_action (poller->multi, event->data.fd, flags, &running);
  else if (read (poller->wakeup, &count, sizeof count) < 0)
    return; /* the counter was already reset */
}

static void
run_timer (struct kcp_poller *poller)
{
  int running;

  if (poller->due_ns == NO_TIMER
      || kcp_clock_monotonic_ns (poller->clock) < poller->due_ns)
    return;
  poller->due_ns = NO_TIMER;
  curl_multi_socket_action (poller->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}
