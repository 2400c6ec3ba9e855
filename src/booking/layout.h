/* The number of booking streams, which must be the same at all VMs because it determines
   the stream of a key. */
#ifndef KCP_BOOKING_LAYOUT_H
#define KCP_BOOKING_LAYOUT_H

#include "base/error.h"
#include "logstore/platform_log.h"

bool kcp_layout_append (struct kcp_platform_log *log, int64_t partitions,
                        struct kcp_error *error);
bool kcp_layout_check (struct kcp_platform_log *log, int64_t partitions,
                       struct kcp_error *error);

#endif
