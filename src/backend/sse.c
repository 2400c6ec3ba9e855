#include "backend/sse.h"

#include <string.h>

static bool next_line (struct kcp_sse *sse, struct kcp_str *line);
static void parse_field (struct kcp_sse *sse, struct kcp_str line);

/* Initializes a parser that accepts events of up to max_event_bytes bytes. */
void
kcp_sse_init (struct kcp_sse *sse, size_t max_event_bytes)
{
  *sse = (struct kcp_sse){
    .pending = g_string_new (NULL),
    .max_event_bytes = max_event_bytes,
    .name = g_string_new (NULL),
    .id = g_string_new (NULL),
    .data = g_string_new (NULL),
  };
}

/* Frees the buffers of the parser. A zeroed parser is allowed. */
void
kcp_sse_clear (struct kcp_sse *sse)
{
  GString **texts[] = { &sse->pending, &sse->name, &sse->id, &sse->data };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (*texts[i] != NULL)
      {
        g_string_free (*texts[i], TRUE);
        *texts[i] = NULL;
      }
}

/* Adds bytes of the stream. Returns false if the event that was incomplete before the
   call already exceeds the size limit. */
bool
kcp_sse_feed (struct kcp_sse *sse, struct kcp_str bytes)
{
  g_string_erase (sse->pending, 0, (gssize)sse->parsed);
  sse->parsed = 0;
  g_string_append_len (sse->pending, bytes.data, (gssize)bytes.len);
  return sse->pending->len + sse->data->len <= sse->max_event_bytes + bytes.len;
}

/* Stores the next complete event in *event. Returns false if there is none yet. */
bool
kcp_sse_next (struct kcp_sse *sse, struct kcp_sse_event *event)
{
  struct kcp_str line;

  if (sse->event_returned)
    {
      g_string_truncate (sse->name, 0);
      g_string_truncate (sse->id, 0);
      g_string_truncate (sse->data, 0);
      sse->event_returned = false;
    }
  while (next_line (sse, &line))
    {
      if (line.len > 0)
        {
          parse_field (sse, line);
          continue;
        }
      if (sse->data->len == 0 && sse->name->len == 0)
        continue;
      *event = (struct kcp_sse_event){
        .name = { sse->name->str, sse->name->len },
        .id = { sse->id->str, sse->id->len },
        .data = { sse->data->str, sse->data->len },
      };
      sse->event_returned = true;
      return true;
    }
  return false;
}

static bool
next_line (struct kcp_sse *sse, struct kcp_str *line)
{
  const char *start = sse->pending->str + sse->parsed;
  size_t remaining = sse->pending->len - sse->parsed;
  const char *end = remaining > 0 ? memchr (start, '\n', remaining) : NULL;

  if (end == NULL)
    return false;
  *line = (struct kcp_str){ .data = start, .len = (size_t)(end - start) };
  sse->parsed += line->len + 1;
  if (line->len > 0 && line->data[line->len - 1] == '\r')
    line->len--;
  return true;
}

static void
parse_field (struct kcp_sse *sse, struct kcp_str line)
{
  const char *colon = memchr (line.data, ':', line.len);
  struct kcp_str name = { line.data, colon ? (size_t)(colon - line.data) : line.len };
  struct kcp_str value = kcp_str_skip (line, name.len + 1);

  if (value.len > 0 && value.data[0] == ' ')
    value = kcp_str_skip (value, 1);
  if (kcp_str_equal (name, KCP_STR ("data")))
    {
      if (sse->data->len > 0)
        g_string_append_c (sse->data, '\n');
      g_string_append_len (sse->data, value.data, (gssize)value.len);
    }
  else if (kcp_str_equal (name, KCP_STR ("event")))
    {
      g_string_truncate (sse->name, 0);
      g_string_append_len (sse->name, value.data, (gssize)value.len);
    }
  else if (kcp_str_equal (name, KCP_STR ("id")))
    {
      g_string_truncate (sse->id, 0);
      g_string_append_len (sse->id, value.data, (gssize)value.len);
    }
}
