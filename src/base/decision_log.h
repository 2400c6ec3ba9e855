/* Log of routing decisions: one JSON object per line on standard output. Lines are kept
   in a bounded buffer and written without blocking. If the reader stops reading, lines
   are dropped, counted and reported, but requests are not affected. Not thread-safe. */
#ifndef KCP_BASE_DECISION_LOG_H
#define KCP_BASE_DECISION_LOG_H

#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

enum kcp_log_field_kind
{
  KCP_LOG_FIELD_END,
  KCP_LOG_FIELD_TEXT,
  KCP_LOG_FIELD_NUMBER
};

struct kcp_log_field
{
  enum kcp_log_field_kind kind;
  const char *name;
  union
  {
    struct kcp_str text;
    int64_t number;
  };
};

#define KCP_LOG_TEXT(key, value)                                                         \
  {                                                                                      \
    .kind = KCP_LOG_FIELD_TEXT, .name = (key), .text = kcp_str_from_c (value)            \
  }
#define KCP_LOG_STR(key, value)                                                          \
  {                                                                                      \
    .kind = KCP_LOG_FIELD_TEXT, .name = (key), .text = (value)                           \
  }
#define KCP_LOG_INT(key, value)                                                          \
  {                                                                                      \
    .kind = KCP_LOG_FIELD_NUMBER, .name = (key), .number = (int64_t)(value)              \
  }

/* Logs an event with fields that are made by the macros above. */
#define KCP_LOG(event, ...)                                                              \
  kcp_decision_log_write (event, (const struct kcp_log_field[]){                         \
                                     __VA_ARGS__, { .kind = KCP_LOG_FIELD_END } })

void kcp_decision_log_init (const struct kcp_clock *clock, const char *vm,
                            const char *data_center, int fd);
void kcp_decision_log_write (const char *event, const struct kcp_log_field *fields);
void kcp_decision_log_flush (void);
uint64_t kcp_decision_log_dropped (void);

#endif
