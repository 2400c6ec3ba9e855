#include "forward/event_framer.h"

#include <string.h>

#define EVENT_MAX         (1u << 20) /* bytes of one event */
#define COMMENT_START     ':'
#define STATUS_LINE_START "HTTP/1."

static bool is_foreign (const struct kcp_event_framer *framer, size_t len);
static bool has_status_line (struct kcp_str event);
static bool has_fields (struct kcp_str event);
static size_t event_len (struct kcp_event_framer *framer);
static bool may_lack_lf (struct kcp_str text, size_t line_end);
static size_t line_end_len (struct kcp_str text);
static struct kcp_str take_line (struct kcp_str *text, bool *terminated);
static void emit_event (struct kcp_event_framer *framer, size_t len, GString *out);
static struct kcp_str find_id (struct kcp_str event);
static bool is_duplicate (const struct kcp_event_framer *framer, struct kcp_str id);

/* Initializes the framer for the start of a stream. */
void
kcp_event_framer_init (struct kcp_event_framer *framer)
{
  framer->pending = g_string_new (NULL);
  framer->last_id = g_string_new (NULL);
  framer->searched = 0;
  framer->events = 0;
  framer->unnumbered = 0;
  framer->resumed = false;
}

/* Has a stream go on after the event with this id: the caller has the events up to it. */
void
kcp_event_framer_start_after (struct kcp_event_framer *framer, const char *id)
{
  g_string_assign (framer->last_id, id);
}

/* Frees the contents of the framer. */
void
kcp_event_framer_clear (struct kcp_event_framer *framer)
{
  g_string_free (framer->pending, TRUE);
  g_string_free (framer->last_id, TRUE);
}

/* Consumes bytes and appends the events that are now complete to out. Drops an event
   whose numeric id is not greater than the last one's: it was forwarded before the stream
   was interrupted. Stops where the server has sent something else: at an event without an
   id, such as the text of an error, where a stream is resumed whose events have ids; at
   the head of another answer, which a server may send late. */
enum kcp_event_framer_result
kcp_event_framer_feed (struct kcp_event_framer *framer, struct kcp_str bytes,
                       GString *out)
{
  size_t len;

  g_string_append_len (framer->pending, bytes.data, (gssize)bytes.len);
  while ((len = event_len (framer)) > 0)
    {
      if (is_foreign (framer, len))
        return KCP_EVENT_FRAMER_FOREIGN;
      emit_event (framer, len, out);
    }
  return framer->pending->len <= EVENT_MAX ? KCP_EVENT_FRAMER_OK
                                           : KCP_EVENT_FRAMER_TOO_LONG;
}

/* Returns true if the first event, of length len, has the first line of another answer;
   or if it has fields but no id, although the stream is resumed after an event with one.
 */
static bool
is_foreign (const struct kcp_event_framer *framer, size_t len)
{
  struct kcp_str event = { .data = framer->pending->str, .len = len };

  if (has_status_line (event))
    return true;
  return framer->resumed && framer->last_id->len > 0 && find_id (event).len == 0
         && has_fields (event);
}

/* Returns true if a line begins like the head of an HTTP answer. No field of an event has
   such a name. */
static bool
has_status_line (struct kcp_str event)
{
  while (event.len > 0)
    {
      bool terminated;
      struct kcp_str line = take_line (&event, &terminated);

      if (kcp_str_has_prefix (line, KCP_STR (STATUS_LINE_START)))
        return true;
    }
  return false;
}

/* Returns true unless all lines are blank or comments. */
static bool
has_fields (struct kcp_str event)
{
  while (event.len > 0)
    {
      bool terminated;
      struct kcp_str line = take_line (&event, &terminated);

      if (line.len > 0 && line.data[0] != COMMENT_START)
        return true;
    }
  return false;
}

/* Returns true if the bytes so far end within an event: in the middle of a line, or after
   a field of an event whose blank line is missing. Blank lines and comments between
   events belong to none. */
bool
kcp_event_framer_is_within_event (const struct kcp_event_framer *framer)
{
  struct kcp_str rest = { .data = framer->pending->str, .len = framer->pending->len };

  while (rest.len > 0)
    {
      bool terminated;
      struct kcp_str line = take_line (&rest, &terminated);

      if (!terminated || (line.len > 0 && line.data[0] != COMMENT_START))
        return true;
    }
  return false;
}

/* Appends what follows the last event, which must not be part of one, to out. */
void
kcp_event_framer_flush (struct kcp_event_framer *framer, GString *out)
{
  g_string_append_len (out, framer->pending->str, (gssize)framer->pending->len);
  g_string_truncate (framer->pending, 0);
  framer->searched = 0;
}

/* Discards the incomplete event. */
void
kcp_event_framer_discard_partial (struct kcp_event_framer *framer)
{
  g_string_truncate (framer->pending, 0);
  framer->searched = 0;
}

/* Returns the length of the first event including its blank line, or 0 if the event is
   incomplete. Continues where the last search ended. */
static size_t
event_len (struct kcp_event_framer *framer)
{
  const GString *text = framer->pending;
  size_t at = framer->searched;

  while (at < text->len)
    {
      struct kcp_str rest = { .data = text->str + at, .len = text->len - at };
      size_t line_end = line_end_len (rest);
      size_t blank_line = line_end_len (kcp_str_skip (rest, line_end));

      if (line_end > 0 && blank_line > 0 && !may_lack_lf (rest, line_end))
        return at + line_end + blank_line;
      /* What follows a line end near the end of the text is not known yet. */
      if (line_end > 0 && line_end + blank_line == rest.len)
        break;
      at += MAX (line_end, 1);
    }
  framer->searched = at;
  return 0;
}

/* Returns true if text ends with a blank line's CR whose LF may not have arrived yet: the
   line before it does not end with CR alone. line_end is the length of that line's
   end. */
static bool
may_lack_lf (struct kcp_str text, size_t line_end)
{
  bool ends_with_cr = text.len == line_end + 1 && text.data[line_end] == '\r';

  return ends_with_cr && text.data[line_end - 1] != '\r';
}

/* Returns the length of the line end with which text starts, or 0 if it starts with
   another byte. A line ends with CR LF, LF or CR. */
static size_t
line_end_len (struct kcp_str text)
{
  if (kcp_str_has_prefix (text, KCP_STR ("\r\n")))
    return 2;
  return text.len > 0 && (text.data[0] == '\n' || text.data[0] == '\r') ? 1 : 0;
}

/* Removes the first line and its line end from text and returns the line. */
static struct kcp_str
take_line (struct kcp_str *text, bool *terminated)
{
  struct kcp_str line = { .data = text->data, .len = 0 };

  while (line.len < text->len && line_end_len (kcp_str_skip (*text, line.len)) == 0)
    line.len++;
  *terminated = line.len < text->len;
  *text = kcp_str_skip (*text, line.len);
  *text = kcp_str_skip (*text, line_end_len (*text));
  return line;
}

/* Removes the first event, of length len, from pending and appends it to out unless it is
   a duplicate. */
static void
emit_event (struct kcp_event_framer *framer, size_t len, GString *out)
{
  struct kcp_str event = { .data = framer->pending->str, .len = len };
  struct kcp_str id = find_id (event);

  if (!is_duplicate (framer, id))
    {
      g_string_append_len (out, event.data, (gssize)event.len);
      if (id.len > 0)
        {
          g_string_truncate (framer->last_id, 0);
          g_string_append_len (framer->last_id, id.data, (gssize)id.len);
        }
    }
  framer->events++;
  framer->unnumbered += id.len == 0 && has_fields (event);
  g_string_erase (framer->pending, 0, (gssize)len);
  framer->searched = 0;
}

/* Returns the id of an event; empty if it has none. */
static struct kcp_str
find_id (struct kcp_str event)
{
  const struct kcp_str field = KCP_STR ("id:");

  while (event.len > 0)
    {
      bool terminated;
      struct kcp_str line = take_line (&event, &terminated);

      if (kcp_str_has_prefix (line, field))
        return kcp_str_trim (kcp_str_skip (line, field.len));
    }
  return (struct kcp_str){ .data = "", .len = 0 };
}

static bool
is_duplicate (const struct kcp_event_framer *framer, struct kcp_str id)
{
  int64_t last;
  int64_t current;

  if (framer->last_id->len == 0 || id.len == 0 || !kcp_str_to_int64 (id, &current))
    return false;
  if (!kcp_str_to_int64 (kcp_str_from_c (framer->last_id->str), &last))
    return false;
  return current <= last;
}
