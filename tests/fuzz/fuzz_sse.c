#include <glib.h>
#include <stdlib.h>

#include "backend/sse.h"
#include "tests/fuzz/fuzz.h"

#define LIMIT_BYTES 256
#define PIECE_BYTES 7

static bool
read_all (struct kcp_sse *sse, struct kcp_str piece, GString *out)
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
  struct kcp_sse whole;
  struct kcp_sse cut;
  g_autoptr (GString) whole_events = g_string_new (NULL);
  g_autoptr (GString) cut_events = g_string_new (NULL);
  bool accepted = true;

  kcp_sse_init (&whole, SIZE_MAX / 2);
  kcp_sse_init (&cut, LIMIT_BYTES);
  (void)read_all (&whole, bytes, whole_events);
  for (size_t at = 0; accepted && at < bytes.len; at += PIECE_BYTES)
    {
      struct kcp_str piece = kcp_str_skip (bytes, at);

      piece.len = MIN (piece.len, PIECE_BYTES);
      accepted = read_all (&cut, piece, cut_events);
      if (cut.pending->len + cut.data->len > 2 * (LIMIT_BYTES + PIECE_BYTES))
        abort ();
    }
  if (accepted && !g_string_equal (whole_events, cut_events))
    abort ();
  kcp_sse_clear (&whole);
  kcp_sse_clear (&cut);
}
