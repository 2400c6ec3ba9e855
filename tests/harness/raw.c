#include "tests/harness/raw.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BLOCK_BYTES 4096

static int connect_and_send (const char *own_address, int port, const char *text,
                             int receive_buffer);

/* Connects to a port of the loopback address and sends a text. receive_buffer is the size
   of the socket's receive buffer in bytes; 0 keeps the default. Returns the socket, to be
   closed with close(). */
int
raw_connect_and_send (int port, const char *text, int receive_buffer)
{
  return connect_and_send (NULL, port, text, receive_buffer);
}

/* As raw_connect_and_send(), from an address of this machine; NULL: any. */
static int
connect_and_send (const char *own_address, int port, const char *text, int receive_buffer)
{
  struct sockaddr_in own = { .sin_family = AF_INET };
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)port),
    .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (receive_buffer > 0)
    (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (own_address != NULL
      && (inet_pton (AF_INET, own_address, &own.sin_addr) != 1
          || bind (fd, (struct sockaddr *)&own, sizeof own) != 0))
    abort ();
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      || write (fd, text, strlen (text)) != (ssize_t)strlen (text))
    abort ();
  return fd;
}

/* Sends a text on a new connection and reads until the server closes the connection or
   timeout_ms milliseconds have passed. */
struct raw_answer
raw_exchange (int port, const char *text, int64_t timeout_ms)
{
  return raw_exchange_from (NULL, port, text, timeout_ms);
}

/* As raw_exchange(), from an address of this machine; NULL: any. */
struct raw_answer
raw_exchange_from (const char *own_address, int port, const char *text,
                   int64_t timeout_ms)
{
  struct raw_answer answer = { .text = g_string_new (NULL) };
  int64_t start_us = g_get_monotonic_time ();
  int fd = connect_and_send (own_address, port, text, 0);
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  char block[READ_BLOCK_BYTES];

  while (!answer.closed && answer.elapsed_ms < timeout_ms)
    {
      ssize_t count;

      if (poll (&wait, 1, (int)(timeout_ms - answer.elapsed_ms)) > 0)
        {
          count = read (fd, block, sizeof block);
          answer.closed = count <= 0;
          answer.reset = count < 0;
          g_string_append_len (answer.text, block, MAX (count, 0));
        }
      answer.elapsed_ms = (g_get_monotonic_time () - start_us) / G_TIME_SPAN_MILLISECOND;
    }
  (void)close (fd);
  return answer;
}

/* Frees the members of an answer. */
void
raw_answer_clear (struct raw_answer *answer)
{
  g_string_free (answer->text, TRUE);
}
