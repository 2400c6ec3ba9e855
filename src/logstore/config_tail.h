/* A thread that follows the configuration stream of the platform's log and appends
   checkpoints to it. */
#ifndef KCP_LOGSTORE_CONFIG_TAIL_H
#define KCP_LOGSTORE_CONFIG_TAIL_H

#include "base/timeline.h"
#include "logstore/platform_log.h"
#include "profile/config.h"

#define KCP_CONFIG_STREAM "config"

struct kcp_config_tail;

struct kcp_config_tail_options
{
  const struct kcp_clock *clock;
  int64_t poll_ms;
  uint64_t checkpoint_records;
  int64_t checkpoint_age_s;
};

struct kcp_config_tail *
kcp_config_tail_start (struct kcp_platform_log *log, struct kcp_config *config,
                       struct kcp_timeline *timeline,
                       const struct kcp_config_tail_options *options);
void kcp_config_tail_stop (struct kcp_config_tail *tail);

#endif
