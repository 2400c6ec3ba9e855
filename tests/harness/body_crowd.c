#include "tests/harness/body_crowd.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "tests/harness/raw.h"

#define SEND_TIMEOUT_MS 500 /* for a server that reads no further */
#define BLOCK_BYTES     (64u << 10)

static GString *make_block (const struct body_crowd_spec *spec, size_t *body_bytes);
static void send_body (int fd, const struct body_crowd_spec *spec);
static bool send_all (int fd, const char *data, size_t len);

/* Connects all callers, which send the head and what the specification says, one after
   the other. A caller whose connection the server closes, or does not read, stops. head
   lacks the lines about the body and the empty line. */
void
body_crowd_start (struct body_crowd *crowd, int port, const char *head,
                  const struct body_crowd_spec *spec)
{
  g_autofree char *text
      = spec->framing == BODY_CROWD_CHUNKED
            ? g_strdup_printf ("%sTransfer-Encoding: chunked\r\n\r\n", head)
            : g_strdup_printf ("%sContent-Length: %zu\r\n\r\n", head,
                               spec->announced_bytes);
  struct timeval timeout = { .tv_usec = SEND_TIMEOUT_MS * 1000 };

  for (unsigned i = 0; i < BODY_CROWD_CALLERS; i++)
    {
      crowd->fds[i] = raw_connect_and_send (port, text, 0);
      (void)setsockopt (crowd->fds[i], SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
      send_body (crowd->fds[i], spec);
    }
}

/* Closes the connections that are open. */
void
body_crowd_close (struct body_crowd *crowd)
{
  for (unsigned i = 0; i < BODY_CROWD_CALLERS; i++)
    (void)close (crowd->fds[i]);
}

static void
send_body (int fd, const struct body_crowd_spec *spec)
{
  size_t block_body_bytes;
  g_autoptr (GString) block = make_block (spec, &block_body_bytes);

  for (size_t sent = 0; sent < spec->sent_bytes; sent += block_body_bytes)
    if (!send_all (fd, block->str, block->len))
      return;
}

/* Returns pieces of the body as they are sent, and stores how many bytes of the body they
   hold. */
static GString *
make_block (const struct body_crowd_spec *spec, size_t *body_bytes)
{
  g_autofree char *piece = g_strnfill (spec->piece_bytes, 'x');
  GString *block = g_string_new (NULL);

  for (*body_bytes = 0; *body_bytes == 0 || block->len + spec->piece_bytes < BLOCK_BYTES;
       *body_bytes += spec->piece_bytes)
    {
      if (spec->framing == BODY_CROWD_CHUNKED)
        g_string_append_printf (block, "%zx\r\n", spec->piece_bytes);
      g_string_append_len (block, piece, (gssize)spec->piece_bytes);
      if (spec->framing == BODY_CROWD_CHUNKED)
        g_string_append (block, "\r\n");
    }
  return block;
}

static bool
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t count = send (fd, data, len, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      data += count;
      len -= (size_t)count;
    }
  return true;
}
