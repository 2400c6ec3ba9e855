/* Limits the memory for answers that the route command holds for its callers: bodies that
   are not complete yet, events that are not complete yet, and bytes that a caller has not
   read. The result depends on the arguments alone.

   Load pattern: a few servers send without end, or a few callers do not read, among many
   ordinary requests. One answer may hold only so much, and a stream's server is read no
   faster than its caller reads. When all answers together reach their limit, the large
   ones that still grow are ended; small ones go on, so that the ordinary requests are
   still answered. */
#ifndef KCP_POLICY_ANSWER_LIMITS_H
#define KCP_POLICY_ANSWER_LIMITS_H

#include <stddef.h>
#include <stdint.h>

#define KCP_ANSWER_SMALL_BYTES (64u << 10)

/* Limits in bytes. */
struct kcp_answer_limits
{
  size_t one;
  size_t all; /* for the answers larger than KCP_ANSWER_SMALL_BYTES */
};

/* The limit that an answer has reached. */
enum kcp_answer_limit
{
  KCP_ANSWER_LIMIT_NONE,
  KCP_ANSWER_LIMIT_ONE,
  KCP_ANSWER_LIMIT_ALL
};

struct kcp_answer_limits kcp_answer_limits_for (int64_t memory_bytes);
enum kcp_answer_limit
kcp_answer_limits_check (const struct kcp_answer_limits *limits, size_t own, size_t all);
size_t
kcp_answer_limits_pause_at (const struct kcp_answer_limits *limits, unsigned requests);

#endif
