/* Decides when this VM appends a checkpoint to the configuration stream. Each VM decides
   on its own. Random delays make it likely that one VM appends a checkpoint first, and
   that the others read it before their own is due and append none. */
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
  uint64_t max_records;         /* records after the newest checkpoint */
  int64_t max_age_ns;           /* age of the newest checkpoint */
  int64_t max_urgent_delay_ns;  /* random delay if the log alone is insufficient */
  int64_t max_routine_delay_ns; /* random delay of other checkpoints */
  int64_t gap_timeout_ns;       /* age of a gap at which a root's urgent delay begins */

  int64_t seen_ns;    /* when the newest checkpoint was first seen */
  uint64_t seen_upto; /* the first offset that this checkpoint does not cover */
  bool seen;          /* seen_ns and seen_upto are set */
  int reason;         /* why a checkpoint is due at due_ns, if one is */
  int64_t due_ns;     /* monotonic */
};

enum kcp_checkpoint_kind
kcp_checkpoint_plan_step (struct kcp_checkpoint_plan *plan,
                          const struct kcp_config_status *status, uint64_t first,
                          int64_t now_ns, double random);

#endif
