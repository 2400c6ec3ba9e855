/* Splits a stream of server-sent events into complete events and records the id of the
   last one. A stream that is interrupted in the middle of an event can then be resumed
   from another server without a missing or duplicate event. */
#ifndef KCP_FORWARD_EVENT_FRAMER_H
#define KCP_FORWARD_EVENT_FRAMER_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

struct kcp_event_framer
{
  GString *pending;    /* an incomplete event */
  size_t searched;     /* bytes of pending in which no event ends */
  GString *last_id;    /* of the last complete event with an id */
  unsigned events;     /* complete events so far, duplicates included */
  unsigned unnumbered; /* complete events with fields but no id so far */
  bool resumed;        /* the bytes come from another server than the first events */
};

enum kcp_event_framer_result
{
  KCP_EVENT_FRAMER_OK,
  KCP_EVENT_FRAMER_TOO_LONG, /* the incomplete event is longer than allowed */
  KCP_EVENT_FRAMER_FOREIGN   /* an event does not belong to the stream */
};

void kcp_event_framer_init (struct kcp_event_framer *framer);
void kcp_event_framer_start_after (struct kcp_event_framer *framer, const char *id);
void kcp_event_framer_clear (struct kcp_event_framer *framer);
enum kcp_event_framer_result kcp_event_framer_feed (struct kcp_event_framer *framer,
                                                    struct kcp_str bytes, GString *out);
bool kcp_event_framer_is_within_event (const struct kcp_event_framer *framer);
void kcp_event_framer_flush (struct kcp_event_framer *framer, GString *out);
void kcp_event_framer_discard_partial (struct kcp_event_framer *framer);

#endif
