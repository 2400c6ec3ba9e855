#include "base/decision_log.h"

#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_MAX    (128u << 10) /* bytes that wait for the reader */
#define BYTES_PER_S   (256u << 10) /* a process's budget of lines */
#define LINE_ESTIMATE 512u
#define NAME_MAX_LEN  64

struct log_state
{
  const struct kcp_clock *clock;
  int fd;
  GString *pending;
  char vm[NAME_MAX_LEN];
  char data_center[NAME_MAX_LEN];
  int64_t second;      /* of the monotonic clock, for the budget */
  size_t second_bytes; /* lines made in that second */
  uint64_t dropped;    /* all that were dropped */
  uint64_t reported;   /* of them, said so in a line */
};

static struct log_state state = { .fd = -1 };

static size_t whole_lines (const GString *text);
static bool has_room (void);
static void report_dropped (void);
static void append_head (const char *event);
static void append_field (const struct kcp_log_field *field);
static void append_text (struct kcp_str text);

/* Starts the log on descriptor fd; clock must outlive it. Without this call nothing is
   written. */
void
kcp_decision_log_init (const struct kcp_clock *clock, const char *vm,
                       const char *data_center, int fd)
{
  state.clock = clock;
  state.fd = fd;
  if (state.pending == NULL)
    state.pending = g_string_sized_new (LINE_ESTIMATE);
  g_string_truncate (state.pending, 0);
  g_strlcpy (state.vm, vm, sizeof state.vm);
  g_strlcpy (state.data_center, data_center, sizeof state.data_center);
  state.second_bytes = 0;
  state.dropped = 0;
  state.reported = 0;
}

/* Adds a line of the event and its fields, or counts it as dropped. */
void
kcp_decision_log_write (const char *event, const struct kcp_log_field *fields)
{
  size_t before;

  if (state.fd < 0)
    return;
  if (!has_room ())
    {
      state.dropped++;
      return;
    }
  report_dropped ();
  before = state.pending->len;
  append_head (event);
  for (; fields->kind != KCP_LOG_FIELD_END; fields++)
    append_field (fields);
  g_string_append (state.pending, "}\n");
  state.second_bytes += state.pending->len - before;
}

/* Writes what the reader takes now, and keeps the rest. */
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
  len = whole_lines (state.pending);
  count = write (state.fd, state.pending->str, len);
  if (count > 0)
    g_string_erase (state.pending, 0, count);
}

/* Returns how many lines were dropped so far. */
uint64_t
kcp_decision_log_dropped (void)
{
  return state.dropped;
}

/* Returns the bytes of the lines that fit into one write. A pipe that polls as writable
   takes PIPE_BUF bytes without blocking, and in one piece. */
static size_t
whole_lines (const GString *text)
{
  size_t len = MIN (text->len, (size_t)PIPE_BUF);

  if (len == text->len)
    return len;
  while (len > 0 && text->str[len - 1] != '\n')
    len--;
  return len > 0 ? len : PIPE_BUF;
}

static bool
has_room (void)
{
  int64_t second = kcp_clock_monotonic (state.clock).tv_sec;

  if (second != state.second)
    {
      state.second = second;
      state.second_bytes = 0;
    }
  return state.second_bytes < BYTES_PER_S
         && state.pending->len + LINE_ESTIMATE < BUFFER_MAX;
}

static void
report_dropped (void)
{
  if (state.dropped == state.reported)
    return;
  append_head ("log_lines_dropped");
  g_string_append_printf (state.pending, ",\"count\":%" G_GUINT64_FORMAT "}\n",
                          state.dropped - state.reported);
  state.reported = state.dropped;
}

static void
append_head (const char *event)
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
      append_text (field->text);
      break;
    case KCP_LOG_FIELD_NUMBER:
      g_string_append_printf (state.pending, "%" G_GINT64_FORMAT, field->number);
      break;
    case KCP_LOG_FIELD_END:
      break;
    }
}

static void
append_text (struct kcp_str text)
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
