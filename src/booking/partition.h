/* One VM's view of a booking stream: the claims that wait for a decision, the append in
   progress and the next action. The partition does no I/O and reads no clock: the owner
   performs the actions that it returns and passes the time of day. Not thread-safe. */
#ifndef KCP_BOOKING_PARTITION_H
#define KCP_BOOKING_PARTITION_H

#include "base/error.h"
#include "booking/claims.h"
#include "booking/pending.h"
#include "logstore/platform_log.h"

/* Strings are borrowed and must outlive the partition. */
struct kcp_partition_options
{
  const char *vm;
  const char *writer;          /* random id, new at each start of the process */
  int64_t window_ms;           /* time for which a key is kept */
  int64_t checkpoint_ms;       /* interval between checkpoints */
  int64_t outcome_retry_ms;    /* time for which appending an outcome is retried */
  int64_t decision_timeout_ms; /* maximum time that a claim waits while the log is read */
  /* Returns true if a VM is presumed alive. NULL: all VMs are presumed alive. */
  bool (*is_alive) (void *user, const char *vm);
  void *user;
};

enum kcp_partition_step
{
  KCP_PARTITION_WAIT,   /* no action is due */
  KCP_PARTITION_APPEND, /* append record and report the result */
  KCP_PARTITION_READ    /* read from offset from and report the result */
};

struct kcp_partition_action
{
  enum kcp_partition_step step;
  json_t *record; /* borrowed until the result is reported */
  uint64_t from;
};

struct kcp_partition;

struct kcp_partition *
kcp_partition_new (const struct kcp_partition_options *options, int64_t now_ms);
void kcp_partition_free (struct kcp_partition *partition);
void kcp_partition_start_at (struct kcp_partition *partition, uint64_t as_of);
bool kcp_partition_take_hint (struct kcp_partition *partition, uint64_t *as_of);
void kcp_partition_post (struct kcp_partition *partition, struct kcp_pending *pending,
                         int64_t now_ms);
struct kcp_partition_action
kcp_partition_next (struct kcp_partition *partition, int64_t now_ms);
void kcp_partition_append_done (struct kcp_partition *partition, uint64_t offset);
void kcp_partition_append_failed (struct kcp_partition *partition,
                                  const struct kcp_error *error, int64_t now_ms);
void kcp_partition_read_done (struct kcp_partition *partition,
                              const struct kcp_log_batch *batch, int64_t now_ms);
void kcp_partition_read_failed (struct kcp_partition *partition,
                                const struct kcp_log_batch *batch,
                                const struct kcp_error *error, int64_t now_ms);
bool kcp_partition_is_idle (const struct kcp_partition *partition);
const struct kcp_claims *kcp_partition_claims (const struct kcp_partition *partition);

#endif
