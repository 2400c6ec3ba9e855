#include "policy/server_limit.h"

#include <glib.h>

#include "base/clock.h"

/* A limit of which nothing has been heard for this long no longer holds. */
#define FORGET_NS (60 * KCP_NS_PER_S)
/* A server with a lower limit still gets this many requests in 1000 seconds: only its
   answers tell when the limit is lifted. */
#define LIMIT_MIN 500
/* Changes of less than this part of a limit need not be told at once: the inverse. */
#define SMALL_CHANGE_DIVISOR 10
/* Credit that a request takes. A VM owes no more than that either. */
#define REQUEST 1.0
/* Users of a limit of 0, and further ones for each request a second. */
#define USERS_MIN   3u
#define USERS_PER_S 1u
/* Requests that all users together may send at once after a time in which they sent none:
   those of a limit of 0, and further ones for each request a second. */
#define BURST_MIN   3.0
#define BURST_PER_S 2.0
/* Part of the needs of a VM that is out of touch which the others leave to it: it may
   have ended, or be cut off and send requests. */
#define UNSEEN_WEIGHT 0.5
/* Room is reserved for refused callers up to this far ahead. */
#define RESERVE_MAX_NS (10 * KCP_NS_PER_S)

static double requests_per_s (int64_t per_1000s);
static size_t max_users (int64_t per_1000s);
static gint compare_descending (gconstpointer a, gconstpointer b);
static double credit_max (int64_t per_1000s);
static double credit_at (const struct kcp_server_limit *limit, int64_t now_ns);
static int64_t interval_ns (const struct kcp_server_limit *limit);

/* Records that an answer which arrived at heard_ns, at this VM or another, named a limit.
   phase is that of kcp_server_limit_phase(). Returns true if other VMs should be told at
   once. */
bool
kcp_server_limit_name (struct kcp_server_limit *limit, int64_t per_1000s,
                       int64_t heard_ns, double phase)
{
  bool changed;

  if (heard_ns <= limit->lifted_ns || (limit->named && heard_ns <= limit->heard_ns))
    return false;
  changed
      = !limit->named
        || ABS (per_1000s - limit->per_1000s) > limit->per_1000s / SMALL_CHANGE_DIVISOR;
  if (!limit->named)
    *limit = (struct kcp_server_limit){
      .named = true,
      .lifted_ns = limit->lifted_ns,
      .credit = REQUEST * phase,
      .credited_ns = heard_ns,
    };
  limit->per_1000s = per_1000s;
  limit->heard_ns = heard_ns;
  return changed;
}

/* Records that the answer to a request that was sent at sent_ns named no limit. One that
   was named after that still holds: answers of a server may overtake each other. Returns
   true if this lifts the limit. */
bool
kcp_server_limit_lift (struct kcp_server_limit *limit, int64_t sent_ns)
{
  bool lifts = limit->named && sent_ns > limit->heard_ns;

  limit->lifted_ns = MAX (limit->lifted_ns, sent_ns);
  if (lifts)
    limit->named = false;
  return lifts;
}

/* Returns true if requests to the server have to be counted. */
bool
kcp_server_limit_is_in_force (const struct kcp_server_limit *limit, int64_t now_ns)
{
  return limit->named && now_ns - limit->heard_ns < FORGET_NS;
}

/* Returns the share of this VM, vms[own], in requests a second. vms are all VMs that are
   known. */
double
kcp_server_limit_divide (int64_t per_1000s, const struct kcp_server_limit_user *vms,
                         size_t count, size_t own)
{
  uint64_t least = kcp_server_limit_least_rank (per_1000s, vms, count);
  double needs = 0;

  if (vms[own].rank < least)
    return 0;
  for (size_t i = 0; i < count; i++)
    if (vms[i].rank >= least)
      needs += MAX (vms[i].needs, 1u) * (vms[i].in_touch ? 1 : UNSEEN_WEIGHT);
  return requests_per_s (per_1000s) * MAX (vms[own].needs, 1u) / needs;
}

/* Returns the part of its first request, from 0 to below 1, that this VM, vms[own], has
   ready when a limit is first named: another one for each user, so that their requests
   are spread evenly. */
double
kcp_server_limit_phase (int64_t per_1000s, const struct kcp_server_limit_user *vms,
                        size_t count, size_t own)
{
  size_t users = CLAMP (max_users (per_1000s), 1, MAX (count, 1));
  size_t before = 0;

  for (size_t i = 0; i < count; i++)
    before += vms[i].rank > vms[own].rank;
  return (double)(before % users) / (double)users;
}

/* Returns the rank that a VM needs to be a user of the limit. */
uint64_t
kcp_server_limit_least_rank (int64_t per_1000s, const struct kcp_server_limit_user *vms,
                             size_t count)
{
  size_t allowed = max_users (per_1000s);
  g_autoptr (GArray) ranks = NULL;

  if (count <= allowed)
    return 0;
  ranks = g_array_sized_new (FALSE, FALSE, sizeof (uint64_t), (guint)count);
  for (size_t i = 0; i < count; i++)
    g_array_append_val (ranks, vms[i].rank);
  g_array_sort (ranks, compare_descending);
  return g_array_index (ranks, uint64_t, allowed - 1);
}

static gint
compare_descending (gconstpointer a, gconstpointer b)
{
  const uint64_t *left = a;
  const uint64_t *right = b;

  return (*left < *right) - (*left > *right);
}

static double
requests_per_s (int64_t per_1000s)
{
  return (double)MAX (per_1000s, LIMIT_MIN) / KCP_SERVER_LIMIT_SCALE;
}

static size_t
max_users (int64_t per_1000s)
{
  int64_t further = per_1000s * USERS_PER_S / KCP_SERVER_LIMIT_SCALE;

  return USERS_MIN + (size_t)MIN (further, INT32_MAX);
}

/* Sets the share of this VM. */
void
kcp_server_limit_set_share (struct kcp_server_limit *limit, double share, int64_t now_ns)
{
  limit->credit = credit_at (limit, now_ns);
  limit->credited_ns = now_ns;
  limit->share = share;
}

static double
credit_at (const struct kcp_server_limit *limit, int64_t now_ns)
{
  double elapsed_s = (double)MAX (now_ns - limit->credited_ns, 0) / KCP_NS_PER_S;

  return MIN (limit->credit + limit->share * elapsed_s, credit_max (limit->per_1000s));
}

/* Returns the requests that one VM may have ready. */
static double
credit_max (int64_t per_1000s)
{
  double burst = BURST_MIN + BURST_PER_S * (double)per_1000s / KCP_SERVER_LIMIT_SCALE;

  return burst / (double)max_users (per_1000s);
}

/* Returns true if this VM may send the server a request now. */
bool
kcp_server_limit_has_room (const struct kcp_server_limit *limit, int64_t now_ns)
{
  return !kcp_server_limit_is_in_force (limit, now_ns)
         || credit_at (limit, now_ns) >= REQUEST;
}

/* Counts a request that is sent to the server. Calls that do not wait for room leave one
   request at most to be made up for, so that a VM with many calls is not shut out. */
void
kcp_server_limit_take (struct kcp_server_limit *limit, int64_t now_ns)
{
  if (!limit->named)
    return;
  limit->credit = MAX (credit_at (limit, now_ns) - 1, -REQUEST);
  limit->credited_ns = now_ns;
}

/* Returns when this VM may send the next request, or some VM if this one has no share. It
   is not earlier than what refused callers have been told. */
int64_t
kcp_server_limit_room_ns (const struct kcp_server_limit *limit, int64_t now_ns)
{
  double missing = REQUEST - credit_at (limit, now_ns);

  if (!kcp_server_limit_is_in_force (limit, now_ns))
    return now_ns;
  return MAX (now_ns + (int64_t)(MAX (missing, 0) * (double)interval_ns (limit)),
              limit->reserved_until_ns);
}

/* Reserves the next room for a caller that is refused now, and returns when there is any.
   The next one gets a later time, so that they do not return together. */
int64_t
kcp_server_limit_reserve (struct kcp_server_limit *limit, int64_t now_ns)
{
  int64_t room_ns
      = MIN (kcp_server_limit_room_ns (limit, now_ns), now_ns + RESERVE_MAX_NS);

  limit->reserved_until_ns = room_ns + interval_ns (limit);
  return room_ns;
}

/* Returns the time between two requests. */
static int64_t
interval_ns (const struct kcp_server_limit *limit)
{
  double per_s = limit->share > 0 ? limit->share : requests_per_s (limit->per_1000s);

  return (int64_t)(KCP_NS_PER_S / per_s);
}
