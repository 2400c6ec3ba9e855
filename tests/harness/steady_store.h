/* Parts of a store stand-in whose content never comes back from an older copy. */
#ifndef KCP_TESTS_HARNESS_STEADY_STORE_H
#define KCP_TESTS_HARNESS_STEADY_STORE_H

#include "forward/dialect.h"

int64_t steady_store_era (void *self);
void steady_store_watch_era (void *self, kcp_store_era_handler *handler, void *user);

#endif
