/* The logic of following the configuration stream, without I/O. It determines the offset
   to read from, processes the records that were read and determines when a checkpoint is
   to be appended. */
#ifndef KCP_LOGSTORE_CONFIG_READER_H
#define KCP_LOGSTORE_CONFIG_READER_H

#include "base/timeline.h"
#include "logstore/checkpoint_plan.h"
#include "logstore/platform_log.h"

struct kcp_config_reader
{
  struct kcp_config *config;
  struct kcp_timeline *timeline; /* may be NULL */
  struct kcp_checkpoint_plan plan;
  int64_t compare_interval_ns; /* between comparisons of the last record with the log */
  int64_t last_compared_ns;    /* monotonic time of the last comparison */
  bool compare_requested; /* the next read is to include the last record, to compare it */
  bool comparing;         /* the current read includes it */
};

void kcp_config_reader_init (struct kcp_config_reader *reader, struct kcp_config *config,
                             struct kcp_timeline *timeline, int64_t poll_ns);
uint64_t kcp_config_reader_begin_read (struct kcp_config_reader *reader, int64_t now_ns);
enum kcp_checkpoint_kind
kcp_config_reader_on_batch (struct kcp_config_reader *reader,
                            const struct kcp_log_batch *batch, int64_t read_start_ns,
                            int64_t now_ns, double random);
void kcp_config_reader_on_trimmed (struct kcp_config_reader *reader, uint64_t first);
void kcp_config_reader_on_failed (struct kcp_config_reader *reader);

#endif
