#include "soak/proxy.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK_BYTES  16384
#define PIECE_BYTES  90
#define PIECE_GAP_US 300
#define DELAY_MS     30
#define POLL_MS      20
#define BACKLOG      256 /* connections */

struct proxy
{
  int listener;
  int port;
  int target_port;
  gint fault;      /* enum proxy_fault; atomic */
  gint generation; /* incremented at each change of the fault; atomic */
  gint stopping;   /* atomic */
  gint open_links; /* number of open connections; atomic */
  GThread *thread;
};

struct link
{
  struct proxy *proxy;
  int client;
  int server; /* -1: it accepts no connection */
  int generation;
  bool resets; /* ends with a reset */
  bool lost;   /* bytes to the client were discarded: no later ones may follow them */
};

static gpointer accept_all (gpointer user);
static gpointer run_link (gpointer user);
static bool transfer_block (struct link *link, int from, int to, bool to_client);
static bool must_reset (const struct link *link);
static bool is_stalled (const struct link *link);
static int connect_to (int port);
static void close_with_reset (int fd);

/* Starts a proxy for a port of the loopback address. */
struct proxy *
proxy_start (int target_port)
{
  struct proxy *proxy = g_new0 (struct proxy, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  proxy->target_port = target_port;
  proxy->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (proxy->listener, (struct sockaddr *)&address, len) != 0
      || listen (proxy->listener, BACKLOG) != 0
      || getsockname (proxy->listener, (struct sockaddr *)&address, &len) != 0)
    abort ();
  proxy->port = ntohs (address.sin_port);
  proxy->thread = g_thread_new ("proxy", accept_all, proxy);
  return proxy;
}

/* Stops the proxy, closes its connections and frees it. */
void
proxy_stop (struct proxy *proxy)
{
  g_atomic_int_set (&proxy->stopping, 1);
  (void)g_thread_join (proxy->thread);
  while (g_atomic_int_get (&proxy->open_links) > 0)
    g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
  (void)close (proxy->listener);
  g_free (proxy);
}

/* Returns the port to connect to. */
int
proxy_port (const struct proxy *proxy)
{
  return proxy->port;
}

/* Sets the current fault; PROXY_NONE ends it. */
void
proxy_set_fault (struct proxy *proxy, enum proxy_fault fault)
{
  g_atomic_int_set (&proxy->fault, (gint)fault);
  g_atomic_int_inc (&proxy->generation);
}

static gpointer
accept_all (gpointer user)
{
  struct proxy *proxy = user;
  struct pollfd wait = { .fd = proxy->listener, .events = POLLIN };

  while (!g_atomic_int_get (&proxy->stopping))
    {
      struct link *link;
      int client;

      if (poll (&wait, 1, POLL_MS) <= 0)
        continue;
      client = accept4 (proxy->listener, NULL, NULL, SOCK_CLOEXEC);
      if (client < 0)
        continue;
      if (g_atomic_int_get (&proxy->fault) == PROXY_RESET)
        {
          close_with_reset (client);
          continue;
        }
      link = g_new0 (struct link, 1);
      link->proxy = proxy;
      link->client = client;
      link->server = connect_to (proxy->target_port);
      link->generation = g_atomic_int_get (&proxy->generation);
      g_atomic_int_inc (&proxy->open_links);
      g_thread_unref (g_thread_new ("link", run_link, link));
    }
  return NULL;
}

static gpointer
run_link (gpointer user)
{
  struct link *link = user;
  bool connected = link->server >= 0;

  while (connected && !g_atomic_int_get (&link->proxy->stopping))
    {
      struct pollfd wait[] = { { .fd = link->client, .events = POLLIN },
                               { .fd = link->server, .events = POLLIN } };

      if (must_reset (link))
        {
          link->resets = true;
          break;
        }
      if (is_stalled (link))
        {
          g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
          continue;
        }
      if (poll (wait, 2, POLL_MS) <= 0)
        continue;
      if (wait[0].revents != 0)
        connected = transfer_block (link, link->client, link->server, false);
      if (connected && wait[1].revents != 0)
        connected = transfer_block (link, link->server, link->client, true);
    }
  if (link->resets || link->lost || link->server < 0)
    {
      close_with_reset (link->client);
      if (link->server >= 0)
        close_with_reset (link->server);
    }
  else
    {
      (void)close (link->client);
      (void)close (link->server);
    }
  g_atomic_int_add (&link->proxy->open_links, -1);
  g_free (link);
  return NULL;
}

/* Transfers one block. Returns false if the connection has ended, and notes if it was
   reset. */
static bool
transfer_block (struct link *link, int from, int to, bool to_client)
{
  char block[BLOCK_BYTES];
  enum proxy_fault fault = (enum proxy_fault)g_atomic_int_get (&link->proxy->fault);
  size_t size = fault == PROXY_PIECES ? PIECE_BYTES : sizeof block;
  ssize_t count = recv (from, block, size, 0);
  ssize_t sent = 0;

  if (count <= 0)
    {
      link->resets = link->resets || count < 0;
      return false;
    }
  if (fault == PROXY_DELAY)
    g_usleep (DELAY_MS * G_TIME_SPAN_MILLISECOND);
  if (fault == PROXY_PIECES)
    g_usleep (PIECE_GAP_US);
  if ((fault == PROXY_ONE_WAY || link->lost) && to_client)
    {
      link->lost = true;
      return true;
    }
  while (sent < count)
    {
      ssize_t now = send (to, block + sent, (size_t)(count - sent), MSG_NOSIGNAL);

      if (now <= 0)
        {
          link->resets = true;
          return false;
        }
      sent += now;
    }
  return true;
}

/* Returns true if the connection is to be reset: now, or since the fault has ended in
   which it lost bytes. */
static bool
must_reset (const struct link *link)
{
  enum proxy_fault fault = (enum proxy_fault)g_atomic_int_get (&link->proxy->fault);

  return fault == PROXY_RESET || (link->lost && fault != PROXY_ONE_WAY);
}

/* Returns true if the connection is stalled. A stall applies to the connections that are
   open when it begins, until the fault ends. */
static bool
is_stalled (const struct link *link)
{
  return g_atomic_int_get (&link->proxy->fault) == PROXY_STALL
         && link->generation != g_atomic_int_get (&link->proxy->generation);
}

static int
connect_to (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  (void)close (fd);
  return -1;
}

static void
close_with_reset (int fd)
{
  struct linger now = { .l_onoff = 1, .l_linger = 0 };

  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  (void)close (fd);
}
