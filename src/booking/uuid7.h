/* The timestamp of a UUID version 7 (RFC 9562). */
#ifndef KCP_BOOKING_UUID7_H
#define KCP_BOOKING_UUID7_H

#include <stdint.h>

int64_t kcp_uuid7_time_ms (const char *text);

#endif
