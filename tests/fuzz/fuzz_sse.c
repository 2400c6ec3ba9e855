#include <glib.h>
#include <stdlib.h>

#include "backend/sse.h"
#include "tests/fuzz/fuzz.h"

#define EVENT_BYTES_MAX 256
#define PIECE_BYTES     7

static bool
read_events (struct kcp_sse *sse, struct kcp_str piece, GString *out)
{
  struct kcp_sse_event event;

  if (!kcp_sse_feed (sse, piece))
    return false;
  while (kcp_sse_next (sse, &event))
    g_string_append_printf (out, "[%.*s|%.*s|%.*s]", KCP_STR_ARG (event.name),
                            KCP_STR_ARG (event.id), KCP_STR_ARG (event.data));
  return true;
}

void
fuzz_sse (struct kcp_str bytes)
{
  struct kcp_sse unsplit;
  struct kcp_sse split;
  g_autoptr (GString) unsplit_events = g_string_new (NULL);
  g_autoptr (GString) split_events = g_string_new (NULL);
  bool accepted = true;

  kcp_sse_init (&unsplit, SIZE_MAX / 2);
  kcp_sse_init (&split, EVENT_BYTES_MAX);
  (void)read_events (&unsplit, bytes, unsplit_events);
  for (size_t at = 0; accepted && at < bytes.len; at += PIECE_BYTES)
    {
      struct kcp_str piece = kcp_str_skip (bytes, at);

      piece.len = MIN (piece.len, PIECE_BYTES);
      accepted = read_events (&split, piece, split_events);
      if (split.pending->len + split.data->len > 2 * (EVENT_BYTES_MAX + PIECE_BYTES))
        abort ();
    }
  if (accepted && !g_string_equal (unsplit_events, split_events))
    abort ();
  kcp_sse_clear (&unsplit);
  kcp_sse_clear (&split);
}
