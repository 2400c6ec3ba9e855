/* Chooses the servers that load new weights next. The result depends on the arguments
   alone.

   Load pattern: new weights are published during normal traffic, sometimes before the
   previous ones are loaded on all servers. Only a fraction of the servers loads at the
   same time, so that the others can serve the traffic and loads do not slow each other
   down. Under load a server needs longer to complete its requests than to load, so
   further servers may do that meanwhile; else the last one loads after the time for which
   replaced weights may be used. More may load at once, up to half, if the last one would
   still be too late: a server whose weights are refused serves nothing until it loads.
   Servers with the fewest orders without effect come first: such an order may be carried
   out late, and each server should have had one before any has a second. Among these, the
   ones with the oldest weights come first, so that none is left out when versions are
   published faster than they are loaded, then the data center with the fewest current
   servers, and within it the server with the fewest requests in flight. */
#ifndef KCP_POLICY_ROLLOUT_H
#define KCP_POLICY_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_ROLLOUT_NONE (-1)

struct kcp_rollout_server
{
  bool eligible;          /* ready, serves the model, and may receive orders */
  int64_t version;        /* version of its weights */
  bool loading;           /* an order is in progress there, or its outcome is unknown */
  unsigned data_center;   /* index of its data center */
  unsigned in_flight;     /* requests in flight at the server */
  unsigned failed_orders; /* orders for the desired version without effect so far */
};

/* Progress of a rollout towards the time at which all servers must have loaded. */
struct kcp_rollout_pace
{
  unsigned outdated; /* servers that lack the desired version, those with an order too */
  int64_t order_ns;  /* time from an order until the server has loaded */
  int64_t left_ns;   /* until they must have loaded; negative: since then */
};

unsigned kcp_rollout_limit (size_t count);
unsigned kcp_rollout_paced_limit (size_t count, const struct kcp_rollout_pace *pace);
int kcp_rollout_choose (const struct kcp_rollout_server *servers, size_t count,
                        int64_t desired_version, unsigned limit);

#endif
