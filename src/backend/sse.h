/* Incremental parser of server-sent events. */
#ifndef KCP_BACKEND_SSE_H
#define KCP_BACKEND_SSE_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

/* One event. Texts live until the next call of the parser. */
struct kcp_sse_event
{
  struct kcp_str name; /* empty if the stream gave none */
  struct kcp_str id;   /* empty if the event gave none */
  struct kcp_str data;
};

struct kcp_sse
{
  GString *pending;       /* bytes not yet parsed */
  size_t parsed;          /* bytes of pending already parsed */
  size_t max_event_bytes; /* bytes of one event at most */
  bool event_returned;    /* the texts below belong to the event given last */
  GString *name;
  GString *id;
  GString *data;
};

void kcp_sse_init (struct kcp_sse *sse, size_t max_event_bytes);
void kcp_sse_clear (struct kcp_sse *sse);
bool kcp_sse_feed (struct kcp_sse *sse, struct kcp_str bytes);
bool kcp_sse_next (struct kcp_sse *sse, struct kcp_sse_event *event);

#endif
