#include "policy/hop.h"

static bool is_better (const struct kcp_hop_candidate *a,
                       const struct kcp_hop_candidate *b, bool prefer_remote);

/* Returns the index of the chosen VM, or KCP_HOP_NONE if none is usable: one that is not
   suspected, in the own data center unless prefer_remote is true, and the one with the
   fewest requests in flight. random_value breaks ties. */
int
kcp_hop_choose (const struct kcp_hop_candidate *candidates, size_t count,
                bool prefer_remote, uint64_t random_value)
{
  int best = KCP_HOP_NONE;

  for (size_t i = 0; i < count; i++)
    {
      size_t at = (i + random_value % count) % count;

      if (candidates[at].usable
          && (best == KCP_HOP_NONE
              || is_better (&candidates[at], &candidates[best], prefer_remote)))
        best = (int)at;
    }
  return best;
}

static bool
is_better (const struct kcp_hop_candidate *a, const struct kcp_hop_candidate *b,
           bool prefer_remote)
{
  if (a->suspected != b->suspected)
    return b->suspected;
  if (a->local != b->local)
    return a->local != prefer_remote;
  return a->in_flight < b->in_flight;
}
