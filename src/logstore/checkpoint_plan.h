/* Decides when this VM appends a checkpoint to the configuration stream. Every VM decides
   alone; a random delay makes it likely that one comes first and the others see it. */
#ifndef KCP_LOGSTORE_CHECKPOINT_PLAN_H
#define KCP_LOGSTORE_CHECKPOINT_PLAN_H

#include "profile/config.h"

enum kcp_checkpoint_kind
{
  KCP_CHECKPOINT_NONE,
  KCP_CHECKPOINT_ORDINARY,
  KCP_CHECKPOINT_ROOT
};

struct kcp_checkpoint_plan
{
  uint64_t max_records;  /* since the newest checkpoint */
  int64_t max_age_ns;    /* of the newest checkpoint */
  int64_t urgent_ns;     /* random delay where the log alone gives no state, at most */
  int64_t spread_ns;     /* random delay otherwise, at most */
  int64_t root_after_ns; /* how long a gap lasts before the stream starts over */

  int64_t seen_ns; /* when the newest checkpoint was first seen */
  uint64_t seen_upto;
  bool seen;
  int reason;
  int64_t due_ns;
};

enum kcp_checkpoint_kind
kcp_checkpoint_plan_step (struct kcp_checkpoint_plan *plan,
                          const struct kcp_config_status *status, uint64_t first,
                          int64_t now_ns, double random);

#endif
