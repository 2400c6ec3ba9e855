#include "quota/bucket.h"

#include <glib.h>

#include "base/clock.h"

/* Callers are told to return within this time. */
#define PROMISE_MAX_NS (10 * KCP_NS_PER_S)
/* Reserves leave this part of the burst in the bucket: the inverse. */
#define KEEP_DIVISOR 2
/* Part of the tolerance that serves callers: a team whose requests are large compared
   with its burst would else be refused below its rate. The rest is for what the VMs
   cannot know of each other. */
#define TOLERANCE_USED 0.3

static int64_t promise (struct kcp_quota_bucket *bucket, int64_t cost, int64_t now_ns);
static void refill (struct kcp_quota_bucket *bucket, int64_t now_ns);
static double rate (const struct kcp_quota_bucket *bucket);
static double capacity (const struct kcp_quota_bucket *bucket);

/* Returns the limit with the part of the tolerance added to its burst that may be used.
 */
struct kcp_quota_limit
kcp_quota_limit_with_tolerance (const struct kcp_quota_limit *limit,
                                const struct kcp_quota_tolerance *tolerance)
{
  double allowed = (double)limit->per_s * tolerance->window_s + (double)limit->burst;
  double excess = allowed * tolerance->overage + tolerance->slack;

  return (struct kcp_quota_limit){
    .per_s = limit->per_s,
    .burst = limit->burst + (int64_t)(excess * TOLERANCE_USED),
  };
}

/* Sets the limit and the share of it that the bucket grants. */
void
kcp_quota_bucket_set (struct kcp_quota_bucket *bucket,
                      const struct kcp_quota_limit *limit, double share, int64_t now_ns)
{
  refill (bucket, now_ns);
  bucket->limit = *limit;
  bucket->share = share;
  bucket->credit = MIN (bucket->credit, capacity (bucket));
}

/* Empties the bucket, as another VM may have granted its content. */
void
kcp_quota_bucket_empty (struct kcp_quota_bucket *bucket, int64_t now_ns)
{
  bucket->credit = 0;
  bucket->credited_ns = now_ns;
  bucket->promised_ns = now_ns;
}

/* Grants what the bucket has. */
struct kcp_quota_grant
kcp_quota_bucket_ask (struct kcp_quota_bucket *bucket, const struct kcp_quota_ask *ask,
                      int64_t now_ns)
{
  struct kcp_quota_grant grant = { 0 };
  double spare;

  refill (bucket, now_ns);
  for (; grant.count < ask->count && bucket->credit > 0; grant.count++)
    {
      bucket->credit -= (double)ask->costs[grant.count];
      grant.granted += ask->costs[grant.count];
    }
  if (grant.count < ask->count)
    {
      grant.retry_ms
          = (promise (bucket, ask->costs[grant.count], now_ns) - now_ns) / KCP_NS_PER_MS
            + 1;
      return grant;
    }
  spare = bucket->credit - capacity (bucket) / KEEP_DIVISOR;
  if (spare > 0)
    {
      int64_t reserve = MIN (ask->reserve, (int64_t)spare);

      bucket->credit -= (double)reserve;
      grant.granted += reserve;
    }
  return grant;
}

/* Returns when a request that is refused may come again. The next one gets a later
   time. */
static int64_t
promise (struct kcp_quota_bucket *bucket, int64_t cost, int64_t now_ns)
{
  int64_t room_ns
      = now_ns + (int64_t)(MAX (-bucket->credit, 0) / rate (bucket) * KCP_NS_PER_S);

  room_ns = MIN (MAX (room_ns, bucket->promised_ns), now_ns + PROMISE_MAX_NS);
  bucket->promised_ns = room_ns + (int64_t)((double)cost / rate (bucket) * KCP_NS_PER_S);
  return room_ns;
}

static void
refill (struct kcp_quota_bucket *bucket, int64_t now_ns)
{
  double elapsed_s = (double)MAX (now_ns - bucket->credited_ns, 0) / KCP_NS_PER_S;

  bucket->credit = MIN (bucket->credit + rate (bucket) * elapsed_s, capacity (bucket));
  bucket->credited_ns = now_ns;
}

/* Returns the units a second that the bucket grants; at least a fraction of one, as it is
   a divisor. */
static double
rate (const struct kcp_quota_bucket *bucket)
{
  return MAX ((double)bucket->limit.per_s * bucket->share, 1e-3);
}

/* A bucket that holds nothing could never grant a request. */
static double
capacity (const struct kcp_quota_bucket *bucket)
{
  return MAX ((double)bucket->limit.burst * bucket->share, 1);
}
