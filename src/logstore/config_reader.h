/* Follows the configuration stream without doing I/O: says from where to read, takes what
   was read, and tells when a checkpoint is to be appended. */
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
  int64_t compare_ns;  /* how long the last record goes without being compared */
  int64_t compared_ns; /* when it was compared last */
  bool compare;        /* the last record applied is to be read again and compared */
  bool comparing;      /* the read under way does so */
};

void kcp_config_reader_init (struct kcp_config_reader *reader, struct kcp_config *config,
                             struct kcp_timeline *timeline, int64_t poll_ns);
uint64_t kcp_config_reader_from (struct kcp_config_reader *reader, int64_t now_ns);
enum kcp_checkpoint_kind
kcp_config_reader_take (struct kcp_config_reader *reader,
                        const struct kcp_log_batch *batch, int64_t asked_ns,
                        int64_t now_ns, double random);
void kcp_config_reader_trimmed (struct kcp_config_reader *reader, uint64_t first);
void kcp_config_reader_failed (struct kcp_config_reader *reader);

#endif
