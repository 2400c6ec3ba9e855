#include "tests/harness/free_port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

/* The range is below the kernel's ephemeral ports. The kernel may assign one of those to
   an outgoing connection of any process before the program listens or while it
   restarts. */
#define PORT_FIRST   12000
#define PORT_END     32000
#define ATTEMPTS_MAX 1000

#define FOLDER_MODE 0700
#define FILE_MODE   0600

static bool can_bind (int type, int port);
static bool reserve_port (int port);

/* Returns a free port of the loopback address and reserves it, so that other test
   programs do not get it while this process runs. type is the type argument of socket().
   Aborts if no free port is found in ATTEMPTS_MAX attempts. */
int
free_port (int type)
{
  for (int i = 0; i < ATTEMPTS_MAX; i++)
    {
      int port = g_random_int_range (PORT_FIRST, PORT_END);

      if (can_bind (type, port) && reserve_port (port))
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

/* Reserves a port by locking the file named after it. Returns true if the lock was
   acquired. The descriptor stays open, so the lock is held until this process ends and
   the program that uses the port can restart in between. */
static bool
reserve_port (int port)
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
