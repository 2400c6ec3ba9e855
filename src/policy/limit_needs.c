#include "policy/limit_needs.h"

#include <glib.h>

#include "base/clock.h"

/* Needs of a VM that has stated none, and the least that count. */
#define INITIAL_NEEDS 1u
/* Needs are stated again when they differ from those stated by more than a part of these
   (its inverse) and this many requests, and not more often than at this interval. */
#define SMALL_CHANGE_DIVISOR 4u
#define SMALL_CHANGE         1u
#define STATE_INTERVAL_NS    KCP_NS_PER_S
/* Time after which a statement that is not acknowledged is told again. */
#define TELL_AGAIN_NS (250 * KCP_NS_PER_MS)

static bool is_small_change (const struct kcp_needs_statement *statement, unsigned needs);

/* Takes the present needs of this VM. acknowledged tells whether all other users have
   acknowledged the newest statement. Returns true if there is a new one. */
bool
kcp_own_needs_update (struct kcp_own_needs *own, unsigned needs, bool acknowledged,
                      int64_t now_ns)
{
  needs = MAX (needs, INITIAL_NEEDS);
  if (own->newest.sequence != 0 && acknowledged)
    own->agreed = own->newest.needs;
  if (is_small_change (&own->newest, needs)
      || (own->newest.sequence != 0 && now_ns - own->stated_ns < STATE_INTERVAL_NS))
    return false;
  own->agreed = MIN (kcp_own_needs_agreed (own), needs);
  own->newest.sequence++;
  own->newest.needs = needs;
  own->stated_ns = now_ns;
  return true;
}

static bool
is_small_change (const struct kcp_needs_statement *statement, unsigned needs)
{
  unsigned stated = MAX (statement->needs, INITIAL_NEEDS);
  unsigned change = needs > stated ? needs - stated : stated - needs;

  return change <= stated / SMALL_CHANGE_DIVISOR + SMALL_CHANGE;
}

/* Returns the needs that count for this VM's own share. */
unsigned
kcp_own_needs_agreed (const struct kcp_own_needs *own)
{
  return MAX (own->agreed, INITIAL_NEEDS);
}

/* Returns true if the other VM has the newest statement of this VM, or needs none. */
bool
kcp_own_needs_are_acknowledged (const struct kcp_own_needs *own,
                                const struct kcp_peer_needs *peer)
{
  return peer->acknowledged == own->newest.sequence;
}

/* Stores what another user is to be told now: the newest statement unless it has
   acknowledged that, and an acknowledgement. Returns false if there is nothing to tell.
 */
bool
kcp_own_needs_tell (const struct kcp_own_needs *own, struct kcp_peer_needs *peer,
                    int64_t now_ns, struct kcp_needs_message *message)
{
  bool states = !kcp_own_needs_are_acknowledged (own, peer)
                && (peer->told != own->newest.sequence
                    || now_ns - peer->told_ns >= TELL_AGAIN_NS);

  if (!states && !peer->owes_acknowledgement)
    return false;
  *message = (struct kcp_needs_message){ .acknowledged = peer->newest.sequence };
  peer->owes_acknowledgement = false;
  if (!states)
    return true;
  message->statement = own->newest;
  peer->told = own->newest.sequence;
  peer->told_ns = now_ns;
  return true;
}

/* Applies a message of another VM. Messages may arrive in any order, and more than
   once. */
void
kcp_peer_needs_receive (struct kcp_peer_needs *peer,
                        const struct kcp_needs_message *message)
{
  peer->acknowledged = message->acknowledged;
  if (message->statement.sequence == 0)
    return;
  if (message->statement.sequence > peer->newest.sequence)
    peer->newest = message->statement;
  peer->owes_acknowledgement = true;
}

/* Returns the needs of another VM that count for this VM's share. */
unsigned
kcp_peer_needs_assumed (const struct kcp_peer_needs *peer)
{
  return MAX (peer->newest.needs, INITIAL_NEEDS);
}
