#include "forward/event_framer.h"

#include <string.h>

#define EVENT_MAX (1u << 20) /* bytes of one event */

static size_t event_len (const GString *text);
static void emit_event (struct kcp_event_framer *framer, size_t len, GString *out);
static struct kcp_str find_id (struct kcp_str event);
static bool is_duplicate (const struct kcp_event_framer *framer, struct kcp_str id);

/* Initializes the framer for the start of a stream. */
void
kcp_event_framer_init (struct kcp_event_framer *framer)
{
  framer->pending = g_string_new (NULL);
  framer->last_id = g_string_new (NULL);
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
   was interrupted. Returns false if the incomplete event is longer than EVENT_MAX. */
bool
kcp_event_framer_feed (struct kcp_event_framer *framer, struct kcp_str bytes,
                       GString *out)
{
  size_t len;

  g_string_append_len (framer->pending, bytes.data, (gssize)bytes.len);
  while ((len = event_len (framer->pending)) > 0)
    emit_event (framer, len, out);
  return framer->pending->len <= EVENT_MAX;
}

/* Discards the incomplete event. */
void
kcp_event_framer_discard_partial (struct kcp_event_framer *framer)
{
  g_string_truncate (framer->pending, 0);
}

/* Returns the length of the first event including its blank line, or 0 if the event is
   incomplete. */
static size_t
event_len (const GString *text)
{
  for (size_t i = 0; i + 1 < text->len; i++)
    {
      if (text->str[i] != '\n')
        continue;
      if (text->str[i + 1] == '\n')
        return i + 2;
      if (i + 2 < text->len && text->str[i + 1] == '\r' && text->str[i + 2] == '\n')
        return i + 3;
    }
  return 0;
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
  g_string_erase (framer->pending, 0, (gssize)len);
}

/* Returns the id of an event; empty if it has none. */
static struct kcp_str
find_id (struct kcp_str event)
{
  const struct kcp_str field = KCP_STR ("id:");

  while (event.len > 0)
    {
      const char *end = memchr (event.data, '\n', event.len);
      size_t len = end != NULL ? (size_t)(end - event.data) : event.len;
      struct kcp_str line = { .data = event.data, .len = len };

      if (kcp_str_has_prefix (line, field))
        return kcp_str_trim (kcp_str_skip (line, field.len));
      event = kcp_str_skip (event, len + 1);
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
