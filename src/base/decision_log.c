#include "base/decision_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_MAX_BYTES    (128u << 10) /* bytes not yet written */
#define MAX_BYTES_PER_S     (256u << 10) /* rate limit of one process */
#define LINE_ESTIMATE_BYTES 512u         /* bytes that must be free for another line */
#define NAME_SIZE           64           /* bytes, with the final NUL */

struct log_state
{
  const struct kcp_clock *clock;
  int fd;
  GString *pending;
  char vm[NAME_SIZE];
  char data_center[NAME_SIZE];
  int64_t second;         /* second of the monotonic clock that the rate limit counts */
  size_t bytes_in_second; /* bytes of the lines added in that second */
  uint64_t dropped;       /* lines dropped since the log was started */
  uint64_t reported;      /* dropped lines that a log line has already reported */
};

static struct log_state state = { .fd = -1 };

static int open_without_blocking (int fd);
static size_t complete_lines_len (const GString *text);
static bool is_within_limits (void);
static void report_dropped (void);
static void append_common_fields (const char *event);
static void append_field (const struct kcp_log_field *field);
static void append_json_string (struct kcp_str text);

/* Starts the log on file descriptor fd and resets its counters. clock must stay valid
   while the log is in use. Until this function is called, events are discarded. The
   process keeps the file descriptor that the log uses until it ends. */
void
kcp_decision_log_init (const struct kcp_clock *clock, const char *vm,
                       const char *data_center, int fd)
{
  state.clock = clock;
  state.fd = isatty (fd) ? open_without_blocking (fd) : fd;
  if (state.pending == NULL)
    state.pending = g_string_sized_new (LINE_ESTIMATE_BYTES);
  g_string_truncate (state.pending, 0);
  g_strlcpy (state.vm, vm, sizeof state.vm);
  g_strlcpy (state.data_center, data_center, sizeof state.data_center);
  state.bytes_in_second = 0;
  state.dropped = 0;
  state.reported = 0;
}

/* Adds a line with the event and its fields to the buffer. The line is counted as dropped
   if the buffer is full or the rate limit is reached. */
void
kcp_decision_log_write (const char *event, const struct kcp_log_field *fields)
{
  size_t before;

  if (state.fd < 0)
    return;
  if (!is_within_limits ())
    {
      state.dropped++;
      return;
    }
  report_dropped ();
  before = state.pending->len;
  append_common_fields (event);
  for (; fields->kind != KCP_LOG_FIELD_END; fields++)
    append_field (fields);
  g_string_append (state.pending, "}\n");
  state.bytes_in_second += state.pending->len - before;
}

/* Writes buffered lines if the file descriptor is writable, at most PIPE_BUF bytes, and
   keeps the rest for the next call. Does not block on a pipe that this process alone
   writes to, nor on a terminal; a write to a file lasts as long as its storage takes. */
void
kcp_decision_log_flush (void)
{
  struct pollfd ready = { .fd = state.fd, .events = POLLOUT };
  size_t len;
  ssize_t count;

  if (state.fd < 0 || state.pending->len == 0)
    return;
  if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    return;
  len = complete_lines_len (state.pending);
  count = write (state.fd, state.pending->str, len);
  if (count > 0)
    g_string_erase (state.pending, 0, count);
}

/* Returns the number of lines dropped since the log was started. */
uint64_t
kcp_decision_log_dropped (void)
{
  return state.dropped;
}

/* Returns a file descriptor of its own for the terminal at fd, whose writes do not block:
   a terminal polls as writable with room for one byte, and a longer write then waits
   until somebody reads. fd itself is left as it is, since other processes may share it.
   Returns fd if the terminal cannot be opened again; the log then may block. */
static int
open_without_blocking (int fd)
{
  g_autofree char *path = g_strdup_printf ("/proc/self/fd/%d", fd);
  int own = open (path, O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);

  if (own < 0)
    (void)fprintf (stderr, "kingcuppoint: the log may block, no second %s: %s\n", path,
                   g_strerror (errno));
  return own >= 0 ? own : fd;
}

/* Returns the length in bytes of the complete lines that fit into one write, or PIPE_BUF
   if the first line is longer. A pipe that polls as writable accepts PIPE_BUF bytes
   without blocking, and writes them atomically. */
static size_t
complete_lines_len (const GString *text)
{
  size_t len = MIN (text->len, (size_t)PIPE_BUF);

  if (len == text->len)
    return len;
  while (len > 0 && text->str[len - 1] != '\n')
    len--;
  return len > 0 ? len : PIPE_BUF;
}

/* Returns true if neither the rate limit nor the buffer limit is reached. */
static bool
is_within_limits (void)
{
  int64_t second = kcp_clock_monotonic (state.clock).tv_sec;

  if (second != state.second)
    {
      state.second = second;
      state.bytes_in_second = 0;
    }
  return state.bytes_in_second < MAX_BYTES_PER_S
         && state.pending->len + LINE_ESTIMATE_BYTES < BUFFER_MAX_BYTES;
}

/* Adds a line with the number of lines dropped since the last such report, if any. */
static void
report_dropped (void)
{
  if (state.dropped == state.reported)
    return;
  append_common_fields ("log_lines_dropped");
  g_string_append_printf (state.pending, ",\"count\":%" G_GUINT64_FORMAT "}\n",
                          state.dropped - state.reported);
  state.reported = state.dropped;
}

static void
append_common_fields (const char *event)
{
  g_string_append_printf (
      state.pending,
      "{\"t_ms\":%" G_GINT64_FORMAT ",\"vm\":\"%s\",\"dc\":\"%s\",\"event\":\"%s\"",
      kcp_clock_realtime_ms (state.clock), state.vm, state.data_center, event);
}

static void
append_field (const struct kcp_log_field *field)
{
  g_string_append_printf (state.pending, ",\"%s\":", field->name);
  switch (field->kind)
    {
    case KCP_LOG_FIELD_TEXT:
      append_json_string (field->text);
      break;
    case KCP_LOG_FIELD_NUMBER:
      g_string_append_printf (state.pending, "%" G_GINT64_FORMAT, field->number);
      break;
    case KCP_LOG_FIELD_END:
      break;
    }
}

/* Appends text as a JSON string. Bytes other than printable ASCII become "?". */
static void
append_json_string (struct kcp_str text)
{
  g_string_append_c (state.pending, '"');
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char c = (unsigned char)text.data[i];

      if (c == '"' || c == '\\')
        g_string_append_c (state.pending, '\\');
      if (c < 0x20 || c > 0x7e)
        g_string_append_c (state.pending, '?');
      else
        g_string_append_c (state.pending, (char)c);
    }
  g_string_append_c (state.pending, '"');
}
