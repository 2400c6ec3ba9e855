/* Chooses which servers are brought to new weights next. Pure: facts in, decision out.

   Load pattern: new weights are named while traffic goes on, sometimes again before the
   last ones are everywhere. Only a share of the servers load at once, so that the others
   carry the traffic and none loads slower than it must. The servers that are furthest
   behind go first, so that none is left out when versions come faster than they are
   loaded; among them the data centre with the fewest current servers, and there the
   server with the least to do. */
#ifndef KCP_POLICY_ROLLOUT_H
#define KCP_POLICY_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_ROLLOUT_NONE (-1)

struct kcp_rollout_server
{
  bool eligible;        /* ready, carries the model, and no order is to be kept from it */
  int64_t version;      /* of its weights */
  bool loading;         /* an order is under way there, or its outcome is not known */
  unsigned data_center; /* small number */
  unsigned in_flight;   /* requests in flight there */
};

unsigned kcp_rollout_limit (size_t count);
int kcp_rollout_choose (const struct kcp_rollout_server *servers, size_t count,
                        int64_t wanted, unsigned limit);

#endif
