#include "tests/harness/free_port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

/* Below the ports that the kernel gives to outgoing connections: one of those may be
   taken by any process before the program listens, and between two of its starts. */
#define PORT_FIRST  12000
#define PORT_BEHIND 32000
#define TRIES       1000

#define FOLDER_MODE 0700
#define FILE_MODE   0600

static bool can_bind (int type, int port);
static bool reserve (int port);

/* Returns a port of the loopback address that is free now and that no other test program
   is given while this one runs; type as of socket(). */
int
free_port (int type)
{
  for (int i = 0; i < TRIES; i++)
    {
      int port = g_random_int_range (PORT_FIRST, PORT_BEHIND);

      if (can_bind (type, port) && reserve (port))
        return port;
    }
  abort ();
}

static bool
can_bind (int type, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  bool bound = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

  (void)close (fd);
  return bound;
}

/* Locks a file that stands for the port. The lock lasts as long as this process, whose
   descriptor of it stays open: the port's program may end and start again meanwhile. */
static bool
reserve (int port)
{
  g_autofree char *folder = g_build_filename (g_get_tmp_dir (), "kcp-ports", NULL);
  g_autofree char *path = g_strdup_printf ("%s/%d", folder, port);
  int fd;

  (void)g_mkdir_with_parents (folder, FOLDER_MODE);
  fd = open (path, O_CREAT | O_RDWR | O_CLOEXEC, FILE_MODE);
  if (fd >= 0 && flock (fd, LOCK_EX | LOCK_NB) == 0)
    return true;
  if (fd >= 0)
    (void)close (fd);
  return false;
}
