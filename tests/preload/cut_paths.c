/* Preloaded into a VM's process by tests: its connections to some ports of the loopback
   address fail, as if the VM had lost its path to the servers there. */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define PORTS_MAX      128
#define PATH_MAX_BYTES 512

static char cut_path[PATH_MAX_BYTES];

/* The file has the name of the VM's settings, its last argument, and ".cut". It holds a
   port that accepts no connection, or 0 where connections are to be
   refused, whether connections that were established before live on, and then the ports
   that are cut off. */
struct cut
{
  int silent_port;
  int live_on;
  int ports[PORTS_MAX];
  size_t count;
};

typedef ssize_t send_function (int fd, const void *data, size_t len, int flags);
typedef int connect_function (int fd, const struct sockaddr *address, socklen_t len);

__attribute__ ((constructor)) static void
set_path (int argc, char **argv)
{
  if (argc > 0)
    (void)snprintf (cut_path, sizeof cut_path, "%s.cut", argv[argc - 1]);
}

static struct cut
read_cut (void)
{
  struct cut cut = { 0 };
  FILE *file = fopen (cut_path, "re");

  if (file == NULL)
    return cut;
  if (fscanf (file, "%d %d", &cut.silent_port, &cut.live_on) == 2)
    while (cut.count < PORTS_MAX && fscanf (file, "%d", &cut.ports[cut.count]) == 1)
      cut.count++;
  (void)fclose (file);
  return cut;
}

static int
is_cut (const struct cut *cut, const struct sockaddr *address)
{
  const struct sockaddr_in *at = (const struct sockaddr_in *)(const void *)address;

  if (address->sa_family != AF_INET)
    return 0;
  for (size_t i = 0; i < cut->count; i++)
    if (cut->ports[i] == ntohs (at->sin_port))
      return 1;
  return 0;
}

/* Replaces the C library's function: a connection that does not live on is reset. */
ssize_t
send (int fd, const void *data, size_t len, int flags)
{
  send_function *next;
  struct cut cut = read_cut ();
  struct sockaddr_storage peer;
  socklen_t peer_len = sizeof peer;

  *(void **)&next = dlsym (RTLD_NEXT, "send");
  if (cut.count == 0 || cut.live_on
      || getpeername (fd, (struct sockaddr *)&peer, &peer_len) != 0
      || !is_cut (&cut, (const struct sockaddr *)&peer))
    return next (fd, data, len, flags);
  errno = ECONNRESET;
  return -1;
}

/* Replaces the C library's function. */
int
connect (int fd, const struct sockaddr *address, socklen_t len)
{
  connect_function *next;
  struct cut cut = read_cut ();
  struct sockaddr_in silent;

  *(void **)&next = dlsym (RTLD_NEXT, "connect");
  if (!is_cut (&cut, address))
    return next (fd, address, len);
  if (cut.silent_port == 0)
    {
      errno = ECONNREFUSED;
      return -1;
    }
  memcpy (&silent, address, sizeof silent);
  silent.sin_port = htons ((uint16_t)cut.silent_port);
  return next (fd, (const struct sockaddr *)(const void *)&silent, sizeof silent);
}
