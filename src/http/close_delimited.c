#include "http/close_delimited.h"

#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>

static void set_reset_on_close (int fd, bool reset);

/* Returns true if an answer of unknown length to a request ends with the connection:
   there are no chunks before HTTP/1.1, and the answer to HEAD ends with its head. */
bool
kcp_close_delimited_applies (const char *version, const char *method)
{
  return strcmp (version, MHD_HTTP_VERSION_1_0) == 0
         && strcmp (method, MHD_HTTP_METHOD_HEAD) != 0;
}

/* Returns false if an answer with this status ends with its head. */
bool
kcp_close_delimited_has_body (unsigned status)
{
  return status != MHD_HTTP_NO_CONTENT && status != MHD_HTTP_NOT_MODIFIED;
}

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
   shuts down the sending side in order. Returns false and sets errno on failure. */
bool
kcp_close_delimited_abort (int fd)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  return connect (fd, &none, sizeof none) == 0;
}

static void
set_reset_on_close (int fd, bool reset)
{
  const struct linger linger = { .l_onoff = reset, .l_linger = 0 };

  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}
