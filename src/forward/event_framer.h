/* Cuts a stream of server-sent events behind whole events, and knows the id of the last
   one, so that a stream that breaks off in the middle of an event can go on elsewhere
   without a piece missing or coming twice. */
#ifndef KCP_FORWARD_EVENT_FRAMER_H
#define KCP_FORWARD_EVENT_FRAMER_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

struct kcp_event_framer
{
  GString *pending; /* an event that is not whole yet */
  GString *last_id; /* of the last whole event that had one */
};

void kcp_event_framer_init (struct kcp_event_framer *framer);
void kcp_event_framer_clear (struct kcp_event_framer *framer);
bool kcp_event_framer_feed (struct kcp_event_framer *framer, struct kcp_str bytes,
                            GString *out);
void kcp_event_framer_discard_partial (struct kcp_event_framer *framer);

#endif
