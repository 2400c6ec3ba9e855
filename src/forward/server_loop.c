#include "forward/server_loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#define STEP "listen"
/* The daemon checks for idle connections only when it runs, so it runs at least this
   often. */
#define MAX_RUN_INTERVAL_NS    KCP_NS_PER_S
#define RUNS_PER_ITERATION_MAX 4

static void on_ready (void *user, uint32_t events);
static void run (void *user);

/* Parses "A.B.C.D:PORT" into out. Returns false and sets error if text has no colon or no
   IPv4 address before it. The port is not checked. */
bool
kcp_server_loop_parse_address (const char *text, struct sockaddr_in *out,
                               struct kcp_error *error)
{
  const char *colon = strchr (text, ':');
  g_autofree char *host = colon != NULL ? g_strndup (text, colon - text) : NULL;
  gint64 port;

  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  if (colon == NULL || inet_pton (AF_INET, host, &out->sin_addr) != 1
      || !g_ascii_string_to_signed (colon + 1, 10, 0, UINT16_MAX, &port, NULL))
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, text, "not an address");
      return false;
    }
  out->sin_port = htons ((uint16_t)port);
  return true;
}

/* Registers a daemon with the loop, which then runs it. The daemon must have been started
   with MHD_USE_EPOLL and without a thread. If daemon is NULL, it could not be started at
   address: sets error from errno and returns false. */
bool
kcp_server_loop_start (struct kcp_server_loop *server, struct kcp_loop *loop,
                       struct MHD_Daemon *daemon, const char *address,
                       struct kcp_error *error)
{
  const union MHD_DaemonInfo *info;

  server->loop = loop;
  server->daemon = daemon;
  if (daemon == NULL)
    {
      kcp_error_set (error, KCP_ERR_INTERNAL, STEP, address, "cannot listen: %s",
                     g_strerror (errno));
      return false;
    }
  info = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server->daemon_epoll_fd = info->epoll_fd;
  kcp_poller_watch (kcp_loop_poller (loop), server->daemon_epoll_fd, EPOLLIN, on_ready,
                    server);
  kcp_loop_add_step (loop, run, server);
  return true;
}

/* Stops the daemon, if it runs, and closes its connections. */
void
kcp_server_loop_stop (struct kcp_server_loop *server)
{
  if (server->daemon == NULL)
    return;
  kcp_poller_unwatch (kcp_loop_poller (server->loop), server->daemon_epoll_fd);
  MHD_stop_daemon (server->daemon);
  server->daemon = NULL;
}

static void
on_ready (void *user, uint32_t events)
{
  struct kcp_server_loop *server = user;

  (void)events;
  server->run_pending = true;
}

static void
run (void *user)
{
  struct kcp_server_loop *server = user;
  int64_t now = kcp_loop_now (server->loop);

  if (server->daemon == NULL)
    return;
  if (!server->run_pending && now - server->last_run_ns < MAX_RUN_INTERVAL_NS)
    return;
  server->last_run_ns = now;
  for (int i = 0; i < RUNS_PER_ITERATION_MAX; i++)
    {
      MHD_UNSIGNED_LONG_LONG wait_ms;

      server->run_pending = false;
      MHD_run (server->daemon);
      if (!server->run_pending
          && (MHD_get_timeout (server->daemon, &wait_ms) != MHD_YES || wait_ms > 0))
        return;
    }
  kcp_poller_wake (kcp_loop_poller (server->loop));
  server->run_pending = true;
}
