/* Collects the facts about the servers that can run a request, applies the placement
   policy to them, and determines what the router adds to the request that it sends. */
#ifndef KCP_FORWARD_CHOOSE_H
#define KCP_FORWARD_CHOOSE_H

#include "forward/gateway.h"
#include "forward/prompt_levels.h"

/* The requirements of a request, and the server chosen for its next attempt. */
struct kcp_choice
{
  /* Requirements. */
  const struct kcp_inbound *inbound;
  const struct kcp_route *route;
  const struct kcp_team_access *team; /* NULL: none */
  const char *service;
  bool bound;             /* only servers with this software version may be chosen */
  uint64_t software;      /* see kcp_software_key() */
  enum kcp_paths paths;   /* from this VM to the servers of the service */
  const GPtrArray *tried; /* struct kcp_server that must not be chosen again */
  GArray *levels; /* struct kcp_prompt_level, owned; NULL until the first choice */
  /* The choice. */
  struct kcp_server *server; /* borrowed; NULL: none is available */
  int64_t weights;           /* version of the model on that server; 0: no model */
  int64_t replaced_ns;       /* since when a newer one is desired; 0: it is not */
  int64_t uncached_tokens;   /* estimate */
  char *cache_scope;         /* owned; see kcp_cache_scope() */
  char *cache_space;         /* owned; NULL without a model */
  const char *fetch_from;    /* address to fetch parts from, borrowed; NULL: none */
  const char *save_to;       /* address to save parts to, borrowed; NULL: none */
  int64_t cost_us;
  int64_t load_age_ns; /* of the oldest load of other VMs that was counted; 0: none */
  bool idle;           /* the server seems to have no other request */
  int64_t slowness;    /* of the server; see policy/server_speed.h */
  struct kcp_outcome_counts service_health; /* of all servers of the service */
  int64_t failing_us; /* part of the cost that is due to failures of the server */
  int64_t wait_us;    /* until the server can start the request */
  int64_t prefill_us; /* time of the prefill after that; 0: no model */
  unsigned usable;    /* number of servers that could be chosen */
  int64_t earliest_available_ns; /* when a server is expected to be free; 0: not known */
  struct kcp_server *earliest_server; /* which one, borrowed; NULL: not known */
};

void kcp_choose (struct kcp_gateway *gateway, struct kcp_choice *choice);
void kcp_choice_clear (struct kcp_choice *choice);
void kcp_choice_record (struct kcp_gateway *gateway, const struct kcp_choice *choice);

#endif
