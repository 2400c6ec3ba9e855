/* The offset of the last checkpoint of a booking stream, kept in a second stream, so that
   a starting VM need not read the booking stream from its start. */
#ifndef KCP_BOOKING_HINT_H
#define KCP_BOOKING_HINT_H

#include "logstore/platform_log.h"

void kcp_hint_write (struct kcp_platform_log *log, const char *stream, uint64_t as_of);
uint64_t kcp_hint_read (struct kcp_platform_log *log, const char *stream);

#endif
