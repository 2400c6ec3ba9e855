#include "http/close_delimited.h"

#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>

#include "base/decision_log.h"

static void set_reset_on_close (int fd, bool reset);

/* Has the kernel reset the connection fd when it is closed, also because the process was
   killed, until the answer is complete. */
void
kcp_close_delimited_begin (int fd)
{
  set_reset_on_close (fd, true);
}

/* Has the connection close in order, now that all of the answer has been written to it.
 */
void
kcp_close_delimited_complete (int fd)
{
  set_reset_on_close (fd, false);
}

/* Resets the connection at once. To be called before libmicrohttpd closes it, which first
   shuts down the sending side in order. */
void
kcp_close_delimited_abort (int fd)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  if (connect (fd, &none, sizeof none) != 0)
    KCP_LOG ("reset_failed", KCP_LOG_TEXT ("reason", strerror (errno)));
}

static void
set_reset_on_close (int fd, bool reset)
{
  const struct linger linger = { .l_onoff = reset, .l_linger = 0 };

  if (setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) != 0)
    KCP_LOG ("linger_failed", KCP_LOG_TEXT ("reason", strerror (errno)));
}
