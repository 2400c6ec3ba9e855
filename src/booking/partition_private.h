/* Members of a partition, shared by the source files that implement it. */
#ifndef KCP_BOOKING_PARTITION_PRIVATE_H
#define KCP_BOOKING_PARTITION_PRIVATE_H

#include "booking/partition.h"

enum kcp_partition_phase
{
  PHASE_IDLE,
  PHASE_APPENDING,
  PHASE_CONFIRMING, /* the record is in the log; reading up to it */
  PHASE_LOOKUP,     /* result of the append unknown; reading to the end to find out */
  PHASE_CHECKING,   /* reading to the end before claiming keys that may be held */
  PHASE_MAINTAINING
};

struct kcp_partition
{
  struct kcp_partition_options options;
  struct kcp_claims *claims;
  enum kcp_partition_phase phase;
  struct kcp_pending_queue waiting;
  size_t waiting_count;
  struct kcp_pending_queue in_flight; /* entries of the record that is being appended */
  json_t *record;                     /* the record that is being appended */
  bool record_is_checkpoint_part;
  uint64_t seq;            /* sequence number of the last record created */
  uint64_t confirm_offset; /* offset of the record whose claims are being confirmed */
  bool in_doubt;           /* an append may still take effect; a later record voids it */
  bool checked;            /* the log was read to its end since the last append */
  bool restore_due;        /* the log lost records; its keys must be appended again */
  bool tick_due;           /* an empty record is due, to advance the log time */
  int64_t retry_at_ms;
  int64_t maintain_at_ms;
  int64_t checkpoint_at_ms;        /* time of day of the next checkpoint */
  uint64_t checkpoint_seen_offset; /* offset after the last complete checkpoint */
  json_t *checkpoint_parts;        /* parts not appended yet */
  uint64_t checkpoint_as_of;       /* offset of this VM's last checkpoint */
  bool hint_due;        /* a checkpoint is complete in the log; record its offset */
  bool caught_up;       /* the end of the log was reached since records were skipped */
  bool started_at_hint; /* started at a checkpoint that has not been read yet */
  struct kcp_error last_error;
};

void kcp_partition_enqueue (struct kcp_partition *partition, struct kcp_pending *pending);
void kcp_partition_maintain (struct kcp_partition *partition, int64_t now_ms);
void kcp_partition_schedule_checkpoint (struct kcp_partition *partition, int64_t now_ms);
void kcp_partition_queue_restore (struct kcp_partition *partition);
struct kcp_partition_action
kcp_partition_append_part (struct kcp_partition *partition, int64_t now_ms);

/* partition_answer.c */
bool kcp_partition_answer_early (struct kcp_partition *partition,
                                 struct kcp_pending *pending, int64_t now_ms);
void kcp_partition_decide_waiting (struct kcp_partition *partition, int64_t now_ms);
void kcp_partition_answer_in_flight (struct kcp_partition *partition, int64_t now_ms);

/* partition_refuse.c */
bool kcp_partition_has_claims_in_flight (const struct kcp_partition *partition);
void kcp_partition_requeue_non_claims (struct kcp_partition *partition);
void kcp_partition_refuse_in_flight (struct kcp_partition *partition,
                                     const struct kcp_error *error);
void kcp_partition_abandon_claims (struct kcp_partition *partition,
                                   const struct kcp_error *error);
void kcp_partition_refuse_overdue (struct kcp_partition *partition, int64_t now_ms);
void kcp_partition_refuse_waiting (struct kcp_partition *partition, int64_t before_ms);
void kcp_partition_drop_record (struct kcp_partition *partition);

#endif
