/* A thread that performs the I/O of a set of partitions and calls the callbacks of their
   entries. */
#ifndef KCP_BOOKING_WORKER_H
#define KCP_BOOKING_WORKER_H

#include "base/clock.h"
#include "booking/partition.h"

/* log and clock must outlive the worker. */
struct kcp_booking_worker_options
{
  struct kcp_platform_log *log;
  const struct kcp_clock *clock;
  int64_t partitions; /* total number in the deployment */
  int64_t batch_ms;
  struct kcp_partition_options partition;
};

struct kcp_booking_worker;

struct kcp_booking_worker *
kcp_booking_worker_start (const struct kcp_booking_worker_options *options);
void kcp_booking_worker_stop (struct kcp_booking_worker *worker);
void kcp_booking_worker_post (struct kcp_booking_worker *worker, unsigned partition,
                              struct kcp_pending *pending);

#endif
