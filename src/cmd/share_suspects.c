#include "cmd/share_suspects.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"

#define HEX_BASE 16

static void publish_change (void *user, const struct kcp_quarantine_fact *change);
static void deliver_change (void *user, const struct kcp_quarantine_fact *change,
                            kcp_suspects_delivered *delivered, void *delivered_user);
static struct kcp_fact make_fact (const struct kcp_quarantine_fact *change);
static void merge_fact (void *user, const struct kcp_fact *fact);

/* Connects suspects with peer: local changes are published to the other VMs as facts, and
   the facts of other VMs are merged into suspects. */
void
kcp_share_suspects (struct kcp_suspects *suspects, struct kcp_peer *peer)
{
  kcp_suspects_share (suspects, &(struct kcp_suspects_sharing){
                                    .publish = publish_change,
                                    .deliver = deliver_change,
                                    .user = peer,
                                });
  kcp_peer_set_fact_observer (peer, KCP_FACT_QUARANTINE, merge_fact, suspects);
}

static void
publish_change (void *user, const struct kcp_quarantine_fact *change)
{
  struct kcp_peer *peer = user;
  struct kcp_fact fact = make_fact (change);

  (void)kcp_peer_publish_fact (peer, &fact);
}

static void
deliver_change (void *user, const struct kcp_quarantine_fact *change,
                kcp_suspects_delivered *delivered, void *delivered_user)
{
  struct kcp_peer *peer = user;
  struct kcp_fact fact = make_fact (change);

  kcp_peer_deliver_fact (peer, &fact, delivered, delivered_user);
}

static struct kcp_fact
make_fact (const struct kcp_quarantine_fact *change)
{
  struct kcp_fact fact = {
    .kind = KCP_FACT_QUARANTINE,
    .number = change->rank,
    .state = change->crashes[0],
    .expires_ms = kcp_clock_realtime_ms (&kcp_clock_system) + change->remaining_ms,
  };

  (void)snprintf (fact.id, sizeof fact.id, "%016" G_GINT64_MODIFIER "x",
                  change->fingerprint);
  return fact;
}

static void
merge_fact (void *user, const struct kcp_fact *fact)
{
  struct kcp_suspects *suspects = user;
  int64_t remaining_ms = fact->expires_ms - kcp_clock_realtime_ms (&kcp_clock_system);
  struct kcp_quarantine_fact change = {
    .fingerprint = g_ascii_strtoull (fact->id, NULL, HEX_BASE),
    .rank = (uint32_t)fact->number,
    .crashes = { fact->state },
    .remaining_ms = (uint32_t)CLAMP (remaining_ms, 0, G_MAXUINT32),
  };

  if (remaining_ms > 0)
    kcp_suspects_merge (suspects, &change);
}
