#include "tests/harness/free_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Below the ports that the kernel gives to outgoing connections: one of those may be
   taken by any process before the program listens, and between two of its starts. */
#define PORT_FIRST  12000
#define PORT_BEHIND 32000
#define TRIES       1000

static bool can_bind (int type, int port);

/* Returns a port of the loopback address that is free now; type as of socket(). */
int
free_port (int type)
{
  for (int i = 0; i < TRIES; i++)
    {
      int port = g_random_int_range (PORT_FIRST, PORT_BEHIND);

      if (can_bind (type, port))
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
