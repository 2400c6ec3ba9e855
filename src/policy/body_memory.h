/* Bounds the memory of the request bodies that a process holds for its callers. The
   result depends on the arguments alone. Not thread-safe: the caller holds a lock, also
   while it uses a body that is being received.

   Load pattern: many callers send large bodies at once, or stop short of their end and
   keep the connection open, among ordinary callers whose bodies are small and complete
   within milliseconds. When all bodies together reach their limit, the one that has held
   the most memory for the longest is dropped, so ordinary callers are the last to notice.
   Bodies that are complete are never dropped, since their requests may be running. */
#ifndef KCP_POLICY_BODY_MEMORY_H
#define KCP_POLICY_BODY_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

enum kcp_body_state
{
  KCP_BODY_RECEIVING,
  KCP_BODY_COMPLETE,
  KCP_BODY_TOO_LARGE, /* dropped: it exceeds the limit of one body */
  KCP_BODY_DROPPED    /* dropped: all bodies together reached their limit */
};

/* All bodies of a process. */
struct kcp_body_memory
{
  size_t used; /* bytes of all bodies */
  GPtrArray *bodies;
};

/* One body. */
struct kcp_body
{
  struct kcp_body_memory *memory;
  enum kcp_body_state state;
  GString *text;          /* NULL: dropped, or taken by kcp_body_complete() */
  size_t bytes;           /* that count; also after it is complete */
  size_t discarded_bytes; /* received since it was dropped */
  int64_t began_ns;
  guint at; /* in the bodies of the memory */
};

/* Limits in bytes. */
struct kcp_body_limits
{
  size_t one;
  size_t all;
};

size_t kcp_body_limits_all (int64_t process_bytes, size_t one);
void kcp_body_memory_init (struct kcp_body_memory *memory);
void kcp_body_memory_clear (struct kcp_body_memory *memory);
void
kcp_body_begin (struct kcp_body_memory *memory, struct kcp_body *body, int64_t now_ns);
bool kcp_body_receive (struct kcp_body *body, struct kcp_str bytes,
                       const struct kcp_body_limits *limits, int64_t now_ns);
GString *kcp_body_complete (struct kcp_body *body);
void kcp_body_end (struct kcp_body *body);

#endif
