/* Keeps records in a topic of the platform's store until they end, so that VMs that all
   restart at once still know them: a VM writes those that it puts, and each VM reads all
   of them once after its start. A write is repeated until it has succeeded. Records that
   the store may have lost are written again, ended ones are deleted. Used on the event
   loop's thread only. */
#ifndef KCP_FORWARD_KEPT_RECORDS_H
#define KCP_FORWARD_KEPT_RECORDS_H

#include "forward/gateway.h"

struct kcp_kept_records;

/* Reads a record of the topic. Returns the Unix time in milliseconds at which it ends, or
   KCP_KEPT_RECORD_INVALID and the reason. The value is never empty. */
typedef int64_t kcp_kept_record_reader (void *user, struct kcp_str key,
                                        struct kcp_str value, const char **reason);

#define KCP_KEPT_RECORD_INVALID INT64_MIN

struct kcp_kept_records_spec
{
  struct kcp_gateway *gateway; /* has to outlive the records, as the store has to */
  const struct kcp_store *store;
  enum kcp_store_topic topic;
  const char *what; /* in the log */
  guint rows_max;   /* records that are known at once; the oldest is forgotten */
  kcp_kept_record_reader *read;
  void *user;
};

struct kcp_kept_records *
kcp_kept_records_start (const struct kcp_kept_records_spec *spec);
void kcp_kept_records_stop (struct kcp_kept_records *records);
void kcp_kept_records_put (struct kcp_kept_records *records, const char *key,
                           const char *value, int64_t until_ms);
bool kcp_kept_records_has (const struct kcp_kept_records *records, const char *key);

#endif
