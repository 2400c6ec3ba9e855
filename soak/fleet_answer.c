#include "soak/fleet_answer.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define READ_BLOCK_BYTES 16384

static bool read_head (struct fleet_answer *answer, size_t *head_len, gint64 *length);
static bool
copy_header (const char *head, size_t len, const char *name, char *out, size_t size);
static bool read_chunks (struct fleet_answer *answer, size_t at);
static bool is_whole (struct fleet_answer *answer);
static bool wait_for_bytes (int fd, gint64 end_us);

void
fleet_answer_init (struct fleet_answer *answer)
{
  *answer = (struct fleet_answer){ .bytes = g_string_new (NULL),
                                   .body = g_string_new (NULL) };
}

void
fleet_answer_clear (struct fleet_answer *answer)
{
  g_string_free (answer->bytes, TRUE);
  g_string_free (answer->body, TRUE);
}

/* Copies the value of a header line of the head. Returns false if there is none. */
static bool
copy_header (const char *head, size_t len, const char *name, char *out, size_t size)
{
  g_autofree char *text = g_strndup (head, len);
  g_autofree char *start = g_strdup_printf ("\r\n%s:", name);
  const char *at = strcasestr (text, start);
  size_t value;

  out[0] = '\0';
  if (at == NULL)
    return false;
  at += strlen (start);
  at += strspn (at, " ");
  value = strcspn (at, "\r");
  (void)g_strlcpy (out, at, MIN (size, value + 1));
  return true;
}

/* Reads the head, if it is there whole. length is -1 with chunks, -2 without framing. */
static bool
read_head (struct fleet_answer *answer, size_t *head_len, gint64 *length)
{
  const char *head = answer->bytes->str;
  const char *end = strstr (head, "\r\n\r\n");
  char value[64];

  if (end == NULL || strlen (head) < 12)
    return false;
  *head_len = (size_t)(end - head) + 4;
  answer->status = atoi (head + 9);
  (void)copy_header (head, *head_len, "Request-Id", answer->id, sizeof answer->id);
  answer->signed_ = copy_header (head, *head_len, "Server-Seal", value, sizeof value);
  answer->retry_after_s = 0;
  if (copy_header (head, *head_len, "Retry-After", value, sizeof value))
    answer->retry_after_s = g_ascii_strtod (value, NULL);
  answer->closing = copy_header (head, *head_len, "Connection", value, sizeof value)
                    && g_ascii_strcasecmp (value, "close") == 0;
  *length = -2;
  if (copy_header (head, *head_len, "Content-Length", value, sizeof value))
    *length = g_ascii_strtoll (value, NULL, 10);
  if (copy_header (head, *head_len, "Transfer-Encoding", value, sizeof value)
      && g_ascii_strcasecmp (value, "chunked") == 0)
    *length = -1;
  answer->by_close = *length == -2;
  return true;
}

/* Takes the bytes of the chunks from an offset on as the body. Returns true if the last
   chunk is there. */
static bool
read_chunks (struct fleet_answer *answer, size_t at)
{
  const char *text = answer->bytes->str;
  size_t len = answer->bytes->len;

  g_string_truncate (answer->body, 0);
  for (;;)
    {
      const char *line_end = memmem (text + at, len - at, "\r\n", 2);
      size_t size;

      if (line_end == NULL)
        return false;
      size = strtoul (text + at, NULL, 16);
      at = (size_t)(line_end - text) + 2;
      g_string_append_len (answer->body, text + at, (gssize)MIN (size, len - at));
      if (len - at < size + 2)
        return false;
      at += size + 2;
      if (size == 0)
        return true;
    }
}

/* Returns true if the answer has ended by its framing. */
static bool
is_whole (struct fleet_answer *answer)
{
  size_t head;
  gint64 length;

  if (!read_head (answer, &head, &length))
    return false;
  if (length == -1)
    return read_chunks (answer, head);
  g_string_truncate (answer->body, 0);
  g_string_append_len (answer->body, answer->bytes->str + head,
                       (gssize)(answer->bytes->len - head));
  return length >= 0 && answer->body->len >= (size_t)length;
}

/* Waits until the connection has bytes or has ended. Returns false at end_us. */
static bool
wait_for_bytes (int fd, gint64 end_us)
{
  struct pollfd item = { .fd = fd, .events = POLLIN };
  gint64 remaining_us = end_us - g_get_monotonic_time ();

  return remaining_us > 0 && poll (&item, 1, (int)(remaining_us / 1000) + 1) > 0;
}

/* Reads one answer until its end, the end of the connection or a monotonic time in
   microseconds. */
void
fleet_answer_read (struct fleet_answer *answer, int fd, gint64 end_us)
{
  char block[READ_BLOCK_BYTES];

  g_string_truncate (answer->bytes, 0);
  g_string_truncate (answer->body, 0);
  answer->status = 0;
  answer->id[0] = '\0';
  answer->signed_ = false;
  for (;;)
    {
      ssize_t count;

      answer->end = FLEET_TIMEOUT;
      if (!wait_for_bytes (fd, end_us))
        return;
      count = recv (fd, block, sizeof block, 0);
      answer->end = count == 0 ? FLEET_CLOSED : FLEET_RESET;
      if (count == 0 && answer->status != 0 && answer->by_close)
        answer->end = FLEET_WHOLE;
      if (count <= 0)
        return;
      g_string_append_len (answer->bytes, block, count);
      answer->end = FLEET_WHOLE;
      if (is_whole (answer))
        return;
    }
}
