#include "policy/answer_limits.h"

#include <glib.h>

#define ONE_MAX_BYTES (8u << 20)
/* All large answers together may take one part in ALL_DIVISOR of the memory. The rest is
   for the small ones, connections, the tables and what the allocator cannot reuse. */
#define ALL_DIVISOR 4
/* One answer may take one part in ONE_DIVISOR of what all may take. */
#define ONE_DIVISOR         2
#define PAUSE_AT_MIN_BYTES  (16u << 10)
#define PAUSE_AT_MAX_BYTES  KCP_ANSWER_SMALL_BYTES
#define STREAMS_ALL_DIVISOR 2 /* part of all answers that unread streams may take */

/* Returns the limits for a process that may use memory_bytes of memory. */
struct kcp_answer_limits
kcp_answer_limits_for (int64_t memory_bytes)
{
  size_t all = (size_t)memory_bytes / ALL_DIVISOR;

  return (struct kcp_answer_limits){
    .one = MIN (all / ONE_DIVISOR, ONE_MAX_BYTES),
    .all = all,
  };
}

/* Returns the limit that an answer that holds own bytes has reached, while all answers
   together hold all bytes. */
enum kcp_answer_limit
kcp_answer_limits_check (const struct kcp_answer_limits *limits, size_t own, size_t all)
{
  if (own > limits->one)
    return KCP_ANSWER_LIMIT_ONE;
  if (all > limits->all && own > KCP_ANSWER_SMALL_BYTES)
    return KCP_ANSWER_LIMIT_ALL;
  return KCP_ANSWER_LIMIT_NONE;
}

/* Returns the number of bytes that the caller of a stream may leave unread before its
   server is read no further, while requests are in progress. */
size_t
kcp_answer_limits_pause_at (const struct kcp_answer_limits *limits, unsigned requests)
{
  size_t share = limits->all / STREAMS_ALL_DIVISOR / MAX (requests, 1);

  return CLAMP (share, PAUSE_AT_MIN_BYTES, PAUSE_AT_MAX_BYTES);
}
