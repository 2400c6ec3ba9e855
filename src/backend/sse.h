/* An incremental parser of server-sent events. */
#ifndef KCP_BACKEND_SSE_H
#define KCP_BACKEND_SSE_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

/* One event. The strings are valid until the next call of the parser. */
struct kcp_sse_event
{
  struct kcp_str name; /* empty: the event has no event field */
  struct kcp_str id;   /* empty: the event has no id field */
  struct kcp_str data;
};

struct kcp_sse
{
  GString *pending;       /* bytes received and not yet discarded */
  size_t parsed;          /* number of bytes of pending that are already parsed */
  size_t max_event_bytes; /* maximum size of one event */
  bool event_returned;    /* name, id and data belong to the last event returned */
  GString *name;
  GString *id;
  GString *data;
};

void kcp_sse_init (struct kcp_sse *sse, size_t max_event_bytes);
void kcp_sse_clear (struct kcp_sse *sse);
bool kcp_sse_feed (struct kcp_sse *sse, struct kcp_str bytes);
bool kcp_sse_next (struct kcp_sse *sse, struct kcp_sse_event *event);

#endif
