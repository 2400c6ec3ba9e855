#include "policy/order_lease.h"

#include <glib.h>
#include <string.h>

/* When all VMs contend: those that should give orders have had the time to. */
#define QUIET_MOST_NS (2500 * (int64_t)1000000)
/* No VM's name. */
#define UNKNOWN_HOLDER "?"

static bool is_own (const struct kcp_order_lease *claim);

/* Starts without knowledge of the log; own names this VM for all its starts. */
void
kcp_order_lease_init (struct kcp_order_lease *claim, const char *own,
                      const struct kcp_order_lease_times *times)
{
  memset (claim, 0, sizeof *claim);
  g_strlcpy (claim->own, own, sizeof claim->own);
  claim->times = *times;
}

/* Tells whether a VM contends for the right. One of each data center is enough, and its
   questions to the log do not grow with the VMs; if no orders are seen, all do, since the
   first ones may be dead or cut off without the others knowing yet. */
bool
kcp_order_lease_may_compete (const struct kcp_order_lease_competitor *competitor)
{
  return competitor->first || competitor->holds
         || competitor->no_orders_ns >= QUIET_MOST_NS;
}

/* Tells what to do next if orders are wanted. until_ns receives when to ask again, or for
   KCP_ORDER_LEASE_HELD the end of the right. */
enum kcp_order_lease_action
kcp_order_lease_step (struct kcp_order_lease *claim, bool wanted, int64_t now_ns,
                      int64_t *until_ns)
{
  int64_t free_ns;

  *until_ns = now_ns + claim->times.read_interval_ns;
  if (!wanted)
    return KCP_ORDER_LEASE_WAIT;
  if (kcp_order_lease_may_order (claim, now_ns)
      && (claim->appending || claim->valid_until_ns - now_ns > claim->times.renew_ns))
    {
      *until_ns = claim->valid_until_ns - claim->times.order_margin_ns;
      return KCP_ORDER_LEASE_HELD;
    }
  if (claim->appending)
    return KCP_ORDER_LEASE_WAIT;
  if (now_ns < claim->wait_until_ns)
    {
      *until_ns = claim->wait_until_ns;
      return KCP_ORDER_LEASE_WAIT;
    }
  if (!claim->known)
    return KCP_ORDER_LEASE_READ;
  if (claim->holder[0] == '\0' || is_own (claim))
    return KCP_ORDER_LEASE_APPEND;
  free_ns = claim->seen_ns + claim->times.takeover_delay_ns;
  if (now_ns >= free_ns)
    return KCP_ORDER_LEASE_APPEND;
  /* The holder may have renewed it, so look again before its pause ends. */
  claim->known = false;
  claim->wait_until_ns = MIN (now_ns + claim->times.read_interval_ns, free_ns);
  *until_ns = claim->wait_until_ns;
  return KCP_ORDER_LEASE_WAIT;
}

/* Notes that a reading or an append was sent. */
void
kcp_order_lease_on_sent (struct kcp_order_lease *claim, int64_t now_ns)
{
  claim->appending = true;
  claim->sent_ns = now_ns;
}

/* Takes in what was read: the log's end and its newest claim; holder NULL: there is none.
 */
void
kcp_order_lease_on_read (struct kcp_order_lease *claim, int64_t end, const char *holder,
                         int64_t offset, int64_t now_ns)
{
  claim->appending = false;
  claim->known = true;
  claim->end = end;
  if (holder == NULL)
    {
      claim->holder[0] = '\0';
      return;
    }
  if (offset != claim->offset || strcmp (holder, claim->holder) != 0)
    claim->seen_ns = now_ns;
  g_strlcpy (claim->holder, holder, sizeof claim->holder);
  claim->offset = offset;
}

/* Takes in that the records behind the known end were dropped, up to end. One of them may
   have been a claim that still holds, so that the pause is kept as for one just read. */
void
kcp_order_lease_on_trimmed (struct kcp_order_lease *claim, int64_t end, int64_t now_ns)
{
  kcp_order_lease_on_read (claim, end, UNKNOWN_HOLDER, end, now_ns);
}

/* Takes in that this VM's claim lies at that offset. */
void
kcp_order_lease_on_appended (struct kcp_order_lease *claim, int64_t offset,
                             int64_t now_ns)
{
  claim->appending = false;
  claim->known = true;
  claim->offset = offset;
  claim->end = offset + 1;
  claim->seen_ns = now_ns;
  g_strlcpy (claim->holder, claim->own, sizeof claim->holder);
  claim->valid_until_ns = claim->sent_ns + claim->times.valid_ns;
}

/* Takes in that a reading or an append failed, was refused, or got no answer: the log has
   to be read again, not before retry_ns have passed. */
void
kcp_order_lease_on_failed (struct kcp_order_lease *claim, int64_t retry_ns,
                           int64_t now_ns)
{
  claim->appending = false;
  claim->known = false;
  claim->wait_until_ns = now_ns + retry_ns;
}

/* Tells whether this VM may send an order now, so that it arrives within the right. To be
   asked right before the sending. */
bool
kcp_order_lease_may_order (const struct kcp_order_lease *claim, int64_t now_ns)
{
  return kcp_order_lease_is_held (claim, now_ns + claim->times.order_margin_ns);
}

/* Tells whether this VM holds the right at that time. */
bool
kcp_order_lease_is_held (const struct kcp_order_lease *claim, int64_t now_ns)
{
  return is_own (claim) && now_ns < claim->valid_until_ns;
}

/* Returns the fencing token of the held claim; tokens of later claims are greater. */
int64_t
kcp_order_lease_fencing_token (const struct kcp_order_lease *claim)
{
  return claim->offset + 1;
}

static bool
is_own (const struct kcp_order_lease *claim)
{
  return claim->holder[0] != '\0' && strcmp (claim->holder, claim->own) == 0;
}
