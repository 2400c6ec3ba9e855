/* One VM's part of a team's quota: what it was granted and has not used, and what it may
   use while the VM that grants the quota does not answer. The result depends on the
   arguments alone.

   Load pattern: VMs, links and the granting VM fail while a team is at its quota. Without
   an answer a VM goes on at the rate at which it was granted before, or at half of it if
   the team is at its quota. The rates of all VMs added up to the quota at most, so they
   do on both sides of a cut. */
#ifndef KCP_QUOTA_POOL_H
#define KCP_QUOTA_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "quota/bucket.h"

#define KCP_QUOTA_SLOTS 4u

struct kcp_quota_pool
{
  double credit; /* granted and not used */
  int64_t credit_until_ns;
  int64_t refused_until_ns;     /* nothing is asked for before */
  int64_t promised_ns;          /* callers refused by this VM return up to then */
  double used[KCP_QUOTA_SLOTS]; /* by second */
  int64_t newest_slot;
  double unanswered_credit; /* while no VM grants */
  int64_t unanswered_ns;    /* time at which it held; 0: grants are answered */
};

bool kcp_quota_pool_take (struct kcp_quota_pool *pool, int64_t cost, int64_t now_ns);
void kcp_quota_pool_give_back (struct kcp_quota_pool *pool, int64_t cost, int64_t now_ns);
int64_t kcp_quota_pool_reserve (struct kcp_quota_pool *pool, int64_t now_ns);
void kcp_quota_pool_receive (struct kcp_quota_pool *pool,
                             const struct kcp_quota_grant *grant, int64_t now_ns);
bool kcp_quota_pool_is_refused (const struct kcp_quota_pool *pool, int64_t now_ns);
int64_t kcp_quota_pool_promise (struct kcp_quota_pool *pool, int64_t cost, double per_s,
                                int64_t now_ns);
bool kcp_quota_pool_take_unanswered (struct kcp_quota_pool *pool, int64_t cost,
                                     double least_per_s, int64_t now_ns);

#endif
