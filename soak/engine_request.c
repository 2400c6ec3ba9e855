/* What a soak test's server reads of a request. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/engine.h"

/* Copies the value of a header line of a head, or an empty text. */
static void
copy_header (const char *head, const char *name, char *out, size_t size)
{
  g_autofree char *start = g_strdup_printf ("\r\n%s:", name);
  const char *at = strcasestr (head, start);
  size_t len;

  out[0] = '\0';
  if (at == NULL)
    return;
  at += strlen (start);
  at += strspn (at, " ");
  len = strcspn (at, "\r");
  (void)g_strlcpy (out, at, MIN (size, len + 1));
}

/* Reads what matters of a request's head, which ends with a blank line. */
void
engine_read_head (const char *head, struct engine_request *request)
{
  char value[64];

  *request = (struct engine_request){ .sum = -1 };
  (void)sscanf (head, "%*s %63s", request->path);
  copy_header (head, "Request-Id", request->id, sizeof request->id);
  copy_header (head, "Expect-Instance", request->wanted, sizeof request->wanted);
  copy_header (head, "Last-Event-Id", value, sizeof value);
  request->resume_after = (unsigned)strtoul (value, NULL, 10);
  copy_header (head, "Request-Deadline", value, sizeof value);
  request->deadline_ms = strtol (value, NULL, 10);
  copy_header (head, "Content-Length", value, sizeof value);
  request->length = strtol (value, NULL, 10);
  copy_header (head, "X-Sum", value, sizeof value);
  if (value[0] != '\0')
    request->sum = strtol (value, NULL, 10);
  copy_header (head, "Transfer-Encoding", value, sizeof value);
  if (strcasecmp (value, "chunked") == 0)
    request->length = -1;
}

/* Returns the number of bytes of a body in chunks that begins at text, with its framing,
   or -1 if it isn't whole; adds up its bytes. */
static int64_t
read_chunks (const char *text, size_t len, long *sum)
{
  size_t at = 0;

  for (;;)
    {
      const char *line_end = memmem (text + at, len - at, "\r\n", 2);
      size_t size;

      if (line_end == NULL)
        return -1;
      size = strtoul (text + at, NULL, 16);
      at = (size_t)(line_end - text) + 2;
      if (len - at < size + 2)
        return -1;
      for (size_t i = 0; i < size; i++)
        *sum += (unsigned char)text[at + i];
      at += size + 2;
      if (size == 0)
        return (int64_t)at;
    }
}

/* Returns the number of bytes of the request's body at text, or -1 if it isn't whole;
   adds up its bytes in sum. */
int64_t
engine_read_body (const struct engine_request *request, const char *text, size_t len,
                  long *sum)
{
  *sum = 0;
  if (request->length < 0)
    return read_chunks (text, len, sum);
  if ((int64_t)len < request->length)
    return -1;
  for (int64_t i = 0; i < request->length; i++)
    *sum += (unsigned char)text[i];
  return request->length;
}
