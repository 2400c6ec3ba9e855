#include "quota/pool.h"

#include <glib.h>

#include "base/clock.h"

/* What is granted and not used after this time is dropped: the VM that granted it counts
   it as used. */
#define CREDIT_NS KCP_NS_PER_S
/* A VM asks for what it uses in this part of a second: the inverse. */
#define RESERVE_DIVISOR 3
/* After a refusal nothing is asked for within this time, which bounds the messages. */
#define REFUSED_MAX_NS (100 * KCP_NS_PER_MS)
#define PROMISE_MAX_NS (10 * KCP_NS_PER_S)
/* When grants begin to be unanswered, what the recent use comes to in the time for which
   the asks have waited is ready: the inverse of a part of a second. */
#define UNANSWERED_START_DIVISOR 6

/* A VM that was refused within this time goes on at a part of its rate (the inverse): the
   team is at its quota, and VMs on the other side of a cut may be granted all of it. */
#define AT_QUOTA_NS      (10 * KCP_NS_PER_S)
#define AT_QUOTA_DIVISOR 2

static void record_use (struct kcp_quota_pool *pool, double cost, int64_t now_ns);
static void advance (struct kcp_quota_pool *pool, int64_t now_ns);
static double recent_per_s (struct kcp_quota_pool *pool, int64_t now_ns);

/* Takes the cost of a request from what was granted. Returns false if that is less. */
bool
kcp_quota_pool_take (struct kcp_quota_pool *pool, int64_t cost, int64_t now_ns)
{
  if (now_ns >= pool->credit_until_ns)
    pool->credit = 0;
  if (pool->credit < (double)cost)
    return false;
  pool->credit -= (double)cost;
  record_use (pool, (double)cost, now_ns);
  return true;
}

/* Gives back the cost of a request that did not run. */
void
kcp_quota_pool_give_back (struct kcp_quota_pool *pool, int64_t cost, int64_t now_ns)
{
  if (now_ns >= pool->credit_until_ns)
    pool->credit = 0;
  pool->credit += (double)cost;
  pool->credit_until_ns = now_ns + CREDIT_NS;
}

/* Returns what the VM should ask for beyond the requests that wait. */
int64_t
kcp_quota_pool_reserve (struct kcp_quota_pool *pool, int64_t now_ns)
{
  return (int64_t)(recent_per_s (pool, now_ns) / RESERVE_DIVISOR);
}

/* Takes an answer of the VM that grants. */
void
kcp_quota_pool_receive (struct kcp_quota_pool *pool, const struct kcp_quota_grant *grant,
                        int64_t now_ns)
{
  pool->unanswered_ns = 0;
  if (grant->granted > 0)
    kcp_quota_pool_give_back (pool, grant->granted, now_ns);
  if (grant->retry_ms == 0)
    return;
  pool->refused_until_ns = now_ns + MIN (grant->retry_ms * KCP_NS_PER_MS, REFUSED_MAX_NS);
  pool->promised_ns = MAX (pool->promised_ns, now_ns + grant->retry_ms * KCP_NS_PER_MS);
}

/* Returns true if a request is refused without asking. */
bool
kcp_quota_pool_is_refused (const struct kcp_quota_pool *pool, int64_t now_ns)
{
  return now_ns < pool->refused_until_ns;
}

/* Returns when a caller that is refused now should return. per_s is this VM's part of the
   limit; the next caller gets a later time, so that they do not return together. */
int64_t
kcp_quota_pool_promise (struct kcp_quota_pool *pool, int64_t cost, double per_s,
                        int64_t now_ns)
{
  int64_t room_ns = CLAMP (pool->promised_ns, now_ns, now_ns + PROMISE_MAX_NS);

  pool->promised_ns = room_ns + (int64_t)((double)cost / MAX (per_s, 1) * KCP_NS_PER_S);
  return room_ns;
}

/* Takes the cost of a request while no VM grants: by the recent use, or least_per_s if
   that is more. */
bool
kcp_quota_pool_take_unanswered (struct kcp_quota_pool *pool, int64_t cost,
                                double least_per_s, int64_t now_ns)
{
  double per_s = MAX (recent_per_s (pool, now_ns), least_per_s);
  double elapsed_s = (double)(now_ns - pool->unanswered_ns) / KCP_NS_PER_S;

  if (pool->refused_until_ns != 0 && now_ns - pool->refused_until_ns < AT_QUOTA_NS)
    per_s /= AT_QUOTA_DIVISOR;
  if (pool->unanswered_ns == 0)
    pool->unanswered_credit = per_s / UNANSWERED_START_DIVISOR;
  else
    pool->unanswered_credit
        = MIN (pool->unanswered_credit + per_s * elapsed_s, MAX (per_s, 1));
  pool->unanswered_ns = now_ns;
  if (pool->unanswered_credit <= 0)
    return false;
  pool->unanswered_credit -= (double)cost;
  record_use (pool, (double)cost, now_ns);
  return true;
}

static void
record_use (struct kcp_quota_pool *pool, double cost, int64_t now_ns)
{
  advance (pool, now_ns);
  pool->used[pool->newest_slot % KCP_QUOTA_SLOTS] += cost;
}

/* Clears the seconds that began since the last call. */
static void
advance (struct kcp_quota_pool *pool, int64_t now_ns)
{
  int64_t newest = now_ns / KCP_NS_PER_S;

  for (int64_t slot = MAX (pool->newest_slot + 1, newest - KCP_QUOTA_SLOTS + 1);
       slot <= newest; slot++)
    pool->used[slot % KCP_QUOTA_SLOTS] = 0;
  pool->newest_slot = MAX (pool->newest_slot, newest);
}

/* Returns the use of the last seconds, for one second. */
static double
recent_per_s (struct kcp_quota_pool *pool, int64_t now_ns)
{
  double sum = 0;

  advance (pool, now_ns);
  for (unsigned i = 0; i < KCP_QUOTA_SLOTS; i++)
    sum += pool->used[i];
  return sum / KCP_QUOTA_SLOTS;
}
