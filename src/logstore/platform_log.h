/* A client of the platform's append-only log. The log consists of named streams; the
   offsets of records start at 0 in each stream. */
#ifndef KCP_LOGSTORE_PLATFORM_LOG_H
#define KCP_LOGSTORE_PLATFORM_LOG_H

#include <jansson.h>
#include <stdint.h>

#include "base/error.h"

struct kcp_platform_log
{
  char *url;
  int64_t timeout_ms;
};

/* The result of one read. records is an array of {"offset": N, "record": …}. */
struct kcp_log_batch
{
  json_t *records;
  uint64_t first; /* the first offset that the log retains */
  uint64_t next;  /* the offset that the next append will get */
};

struct kcp_platform_log *kcp_platform_log_new (const char *url, int64_t timeout_ms);
void kcp_platform_log_free (struct kcp_platform_log *log);
bool kcp_platform_log_append (struct kcp_platform_log *log, const char *stream,
                              json_t *record, uint64_t *offset, struct kcp_error *error);
bool kcp_platform_log_read (struct kcp_platform_log *log, const char *stream,
                            uint64_t from, int64_t wait_ms, struct kcp_log_batch *batch,
                            struct kcp_error *error);
void kcp_log_batch_clear (struct kcp_log_batch *batch);

#endif
