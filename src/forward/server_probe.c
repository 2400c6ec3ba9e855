#include "forward/server_probe.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "forward/server_loop.h"

struct kcp_server_probe
{
  struct kcp_loop *loop;
  int fd; /* -1: none */
  struct kcp_loop_timer timer;
  enum kcp_probe_result result; /* reported when the timer fires */
  kcp_probe_done *done;
  void *user;
};

static bool connect_to (struct kcp_server_probe *probe, const char *address);
static enum kcp_probe_result result_of (int error);
static void on_connect_event (void *user, uint32_t events);
static void finish (void *user);

/* Starts a probe of address, an IP:PORT. done is called once, never from within this
   function, unless the probe is cancelled before. */
struct kcp_server_probe *
kcp_server_probe_start (struct kcp_loop *loop, const char *address, int64_t timeout_ms,
                        kcp_probe_done *done, void *user)
{
  struct kcp_server_probe *probe = g_new0 (struct kcp_server_probe, 1);
  int64_t now = kcp_loop_now (loop);

  probe->loop = loop;
  probe->fd = -1;
  probe->result = KCP_PROBE_NO_ANSWER;
  probe->done = done;
  probe->user = user;
  if (!connect_to (probe, address))
    timeout_ms = 0;
  kcp_loop_timer_set (loop, &probe->timer, now + timeout_ms * KCP_NS_PER_MS, finish,
                      probe);
  return probe;
}

/* Ends a probe without calling done, and frees it; NULL is allowed. */
void
kcp_server_probe_cancel (struct kcp_server_probe *probe)
{
  if (probe == NULL)
    return;
  kcp_loop_timer_cancel (&probe->timer);
  if (probe->fd >= 0)
    {
      kcp_poller_unwatch (kcp_loop_poller (probe->loop), probe->fd);
      (void)close (probe->fd);
    }
  g_free (probe);
}

/* Begins to connect. Returns false if the result is known already. */
static bool
connect_to (struct kcp_server_probe *probe, const char *address)
{
  struct sockaddr_in remote;
  struct kcp_error error;

  if (!kcp_server_loop_parse_address (address, &remote, &error))
    return false;
  probe->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (probe->fd < 0)
    return false;
  if (connect (probe->fd, (const struct sockaddr *)&remote, sizeof remote) != 0
      && errno != EINPROGRESS)
    {
      probe->result = result_of (errno);
      return false;
    }
  kcp_poller_watch (kcp_loop_poller (probe->loop), probe->fd, EPOLLOUT, on_connect_event,
                    probe);
  return true;
}

static enum kcp_probe_result
result_of (int error)
{
  switch (error)
    {
    case 0:
      return KCP_PROBE_CONNECTED;
    case ECONNREFUSED:
      return KCP_PROBE_REFUSED;
    default:
      return KCP_PROBE_NO_ANSWER;
    }
}

static void
on_connect_event (void *user, uint32_t events)
{
  struct kcp_server_probe *probe = user;
  int error = 0;
  socklen_t len = sizeof error;

  (void)events;
  if (getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  probe->result = result_of (error);
  finish (probe);
}

static void
finish (void *user)
{
  struct kcp_server_probe *probe = user;
  kcp_probe_done *done = probe->done;
  void *done_user = probe->user;
  enum kcp_probe_result result = probe->result;

  kcp_server_probe_cancel (probe);
  done (done_user, result);
}
