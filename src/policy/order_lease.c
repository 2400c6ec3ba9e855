#include "policy/order_lease.h"

#include <glib.h>
#include <string.h>

/* If no orders are observed for this time, all VMs compete. The time is long enough for
   the leaders of the data centers to send them. */
#define NO_ORDERS_MAX_NS (2500 * (int64_t)1000000)
/* Holder of a lease record that was trimmed before it was read; no VM has this name. */
#define UNKNOWN_HOLDER "?"

/* Offsets of one era are below this power of two. */
#define FENCING_TOKEN_ERA_SHIFT 32

static bool is_own (const struct kcp_order_lease *lease);

/* Initializes a lease with no knowledge of the log. own is the name that this VM keeps
   across restarts. */
void
kcp_order_lease_init (struct kcp_order_lease *lease, const char *own,
                      const struct kcp_order_lease_times *times)
{
  memset (lease, 0, sizeof *lease);
  g_strlcpy (lease->own, own, sizeof lease->own);
  lease->times = *times;
}

/* Returns true if the VM may compete for the lease. Normally only the leader of each
   data center does, so the load on the log does not grow with the number of VMs. If no
   orders are observed, all VMs compete: the leaders may be dead or partitioned without
   the others having noticed. */
bool
kcp_order_lease_may_compete (const struct kcp_order_lease_competitor *competitor)
{
  return competitor->leader || competitor->holds
         || competitor->no_orders_ns >= NO_ORDERS_MAX_NS;
}

/* Returns what to do next. If orders_needed is false, the VM neither takes nor renews
   the lease and waits. Sets until_ns to the time of the next call; for
   KCP_ORDER_LEASE_HELD, to the time until which orders may be sent. */
enum kcp_order_lease_action
kcp_order_lease_step (struct kcp_order_lease *lease, bool orders_needed, int64_t now_ns,
                      int64_t *until_ns)
{
  int64_t takeover_ns;

  *until_ns = now_ns + lease->times.read_interval_ns;
  if (!orders_needed)
    return KCP_ORDER_LEASE_WAIT;
  lease->watched = false;
  if (kcp_order_lease_may_order (lease, now_ns)
      && (lease->call_pending || lease->valid_until_ns - now_ns > lease->times.renew_ns))
    {
      *until_ns = lease->valid_until_ns - lease->times.order_margin_ns;
      return KCP_ORDER_LEASE_HELD;
    }
  if (lease->call_pending)
    return KCP_ORDER_LEASE_WAIT;
  if (now_ns < lease->wait_until_ns)
    {
      *until_ns = lease->wait_until_ns;
      return KCP_ORDER_LEASE_WAIT;
    }
  if (!lease->end_known)
    return KCP_ORDER_LEASE_READ;
  if (now_ns < lease->quiet_until_ns)
    {
      lease->end_known = false;
      lease->wait_until_ns = lease->quiet_until_ns;
      *until_ns = lease->wait_until_ns;
      return KCP_ORDER_LEASE_WAIT;
    }
  if (lease->holder[0] == '\0' || is_own (lease))
    return KCP_ORDER_LEASE_APPEND;
  takeover_ns = lease->seen_ns + lease->times.takeover_delay_ns;
  if (now_ns >= takeover_ns)
    return KCP_ORDER_LEASE_APPEND;
  /* The holder may have renewed the lease; read the log again before the takeover delay
     ends. */
  lease->end_known = false;
  lease->wait_until_ns = MIN (now_ns + lease->times.read_interval_ns, takeover_ns);
  *until_ns = lease->wait_until_ns;
  return KCP_ORDER_LEASE_WAIT;
}

/* Returns what the leader of a data center does while no orders are needed: it reads the
   end of the log once, then it waits. Nobody renews the lease in that time, so a later
   read would find the same record. */
enum kcp_order_lease_action
kcp_order_lease_watch (struct kcp_order_lease *lease, int64_t now_ns)
{
  if (lease->watched || lease->call_pending || now_ns < lease->wait_until_ns)
    return KCP_ORDER_LEASE_WAIT;
  lease->watched = true;
  return KCP_ORDER_LEASE_READ;
}

/* Records that a read or an append was sent. */
void
kcp_order_lease_on_sent (struct kcp_order_lease *lease, int64_t now_ns)
{
  lease->call_pending = true;
  lease->sent_ns = now_ns;
}

/* Processes the result of a read: the end of the log and its newest lease record. holder
   is NULL if there is no record. */
void
kcp_order_lease_on_read (struct kcp_order_lease *lease, int64_t end, const char *holder,
                         int64_t offset, int64_t now_ns)
{
  lease->call_pending = false;
  lease->end_known = true;
  lease->end = end;
  if (holder == NULL)
    {
      lease->holder[0] = '\0';
      return;
    }
  if (offset != lease->offset || strcmp (holder, lease->holder) != 0)
    lease->seen_ns = now_ns;
  g_strlcpy (lease->holder, holder, sizeof lease->holder);
  lease->offset = offset;
}

/* Processes a read that found the records after the known end trimmed, up to end. One of
   them may have been a lease record that is still valid, so the takeover delay starts as
   if one had just been read. */
void
kcp_order_lease_on_trimmed (struct kcp_order_lease *lease, int64_t end, int64_t now_ns)
{
  kcp_order_lease_on_read (lease, end, UNKNOWN_HOLDER, end, now_ns);
}

/* Processes a successful append of this VM's lease record at the given offset. */
void
kcp_order_lease_on_appended (struct kcp_order_lease *lease, int64_t offset,
                             int64_t now_ns)
{
  lease->call_pending = false;
  lease->end_known = true;
  lease->offset = offset;
  lease->end = offset + 1;
  lease->seen_ns = now_ns;
  g_strlcpy (lease->holder, lease->own, sizeof lease->holder);
  lease->valid_until_ns = lease->sent_ns + lease->times.valid_ns;
}

/* Processes a read or an append that failed, was refused or got no answer. The log must
   be read again, but not before retry_ns have passed. */
void
kcp_order_lease_on_failed (struct kcp_order_lease *lease, int64_t retry_ns,
                           int64_t now_ns)
{
  lease->call_pending = false;
  lease->end_known = false;
  lease->watched = false;
  lease->wait_until_ns = now_ns + retry_ns;
}

/* Processes that the log has lost its newest records and gives out their offsets again.
   The lease of this VM ends, since its record may be lost. So may be that of another VM,
   which may send orders until it learns of this: the takeover delay begins. */
void
kcp_order_lease_on_new_era (struct kcp_order_lease *lease, int64_t era, int64_t now_ns)
{
  lease->era = era;
  lease->end_known = false;
  lease->watched = false;
  lease->end = 0;
  lease->holder[0] = '\0';
  lease->offset = 0;
  lease->valid_until_ns = 0;
  lease->quiet_until_ns = now_ns + lease->times.takeover_delay_ns;
}

/* Returns true if an order sent now arrives while this VM holds the lease. Must be
   called immediately before each order is sent. */
bool
kcp_order_lease_may_order (const struct kcp_order_lease *lease, int64_t now_ns)
{
  return kcp_order_lease_is_held (lease, now_ns + lease->times.order_margin_ns);
}

/* Returns true if this VM holds the lease at the given time. */
bool
kcp_order_lease_is_held (const struct kcp_order_lease *lease, int64_t now_ns)
{
  return is_own (lease) && now_ns < lease->valid_until_ns;
}

/* Returns the fencing token of the lease, which this VM must hold. Later lease records
   have higher tokens. */
int64_t
kcp_order_lease_fencing_token (const struct kcp_order_lease *lease)
{
  return (lease->era << FENCING_TOKEN_ERA_SHIFT) + lease->offset + 1;
}

static bool
is_own (const struct kcp_order_lease *lease)
{
  return lease->holder[0] != '\0' && strcmp (lease->holder, lease->own) == 0;
}
