#include "tests/harness/steady_store.h"

/* The first era, for the member era of struct kcp_store. */
int64_t
steady_store_era (void *self)
{
  (void)self;
  return 0;
}

/* Does nothing, as the era never rises, for the member watch_era of struct kcp_store. */
void
steady_store_watch_era (void *self, kcp_store_era_handler *handler, void *user)
{
  (void)self;
  (void)handler;
  (void)user;
}
