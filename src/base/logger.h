/* Log of the process: one JSON object per line on standard error, written through GLib's
   structured logging. */
#ifndef KCP_BASE_LOGGER_H
#define KCP_BASE_LOGGER_H

#include <glib.h>

#include "base/error.h"

void kcp_logger_init (const char *vm, const char *data_center);
void
kcp_logger_write (GLogLevelFlags level, const char *event, ...) G_GNUC_NULL_TERMINATED;
void kcp_logger_error (const char *event, const char *request_id,
                       const struct kcp_error *error);

#endif
