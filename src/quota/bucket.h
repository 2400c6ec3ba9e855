/* The token bucket of one team, kept by the VM that grants the team's quota to all VMs.
   The result depends on the arguments alone.

   Load pattern: a team sends several times its quota through many VMs, in requests whose
   costs differ a hundredfold. A request is granted whenever the bucket is not empty, and
   its whole cost is taken, so that large requests are refused no more often than small
   ones; the debt delays the next grants. Refused callers get times to return one after
   the other. While the bucket is half full or more, VMs also get a reserve, so that few
   requests wait for a grant. */
#ifndef KCP_QUOTA_BUCKET_H
#define KCP_QUOTA_BUCKET_H

#include <stdint.h>

/* In units of cost, tokens or requests. */
struct kcp_quota_limit
{
  int64_t per_s; /* 0: no limit */
  int64_t burst;
};

/* What may be exceeded in any window, as the operators accept it: VMs that do not reach
   each other cannot keep a limit exactly. All members are 0 where nothing is accepted. */
struct kcp_quota_tolerance
{
  double window_s;
  double overage; /* part of what the limit allows in the window */
  double slack;   /* units beyond that */
};

struct kcp_quota_bucket
{
  struct kcp_quota_limit limit;
  double share;  /* of the limit, that this bucket may grant */
  double credit; /* as of credited_ns; negative: a debt */
  int64_t credited_ns;
  int64_t promised_ns; /* refused callers were told to return up to then */
};

#define KCP_QUOTA_ASK_MAX 64u

/* What a VM asks for: requests that wait, in their order, and a reserve. */
struct kcp_quota_ask
{
  int64_t costs[KCP_QUOTA_ASK_MAX];
  unsigned count;
  int64_t reserve; /* for requests to come */
};

struct kcp_quota_grant
{
  unsigned count;   /* requests granted, the first ones */
  int64_t granted;  /* their cost and the reserve */
  int64_t retry_ms; /* if not all are granted: when the next one may come again */
};

struct kcp_quota_limit
kcp_quota_limit_with_tolerance (const struct kcp_quota_limit *limit,
                                const struct kcp_quota_tolerance *tolerance);
void
kcp_quota_bucket_set (struct kcp_quota_bucket *bucket,
                      const struct kcp_quota_limit *limit, double share, int64_t now_ns);
void kcp_quota_bucket_empty (struct kcp_quota_bucket *bucket, int64_t now_ns);
struct kcp_quota_grant
kcp_quota_bucket_ask (struct kcp_quota_bucket *bucket, const struct kcp_quota_ask *ask,
                      int64_t now_ns);

#endif
