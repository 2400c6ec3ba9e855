/* Gathers the facts about the servers that may run a request, lets the policy choose, and
   says what the router adds to the request on its way there. */
#ifndef KCP_FORWARD_CHOOSE_H
#define KCP_FORWARD_CHOOSE_H

#include "forward/gateway.h"
#include "forward/prompt_levels.h"

/* A request's needs, and the choice for its next attempt. */
struct kcp_choice
{
  /* Needs. */
  const struct kcp_inbound *inbound;
  const struct kcp_route *route;
  const struct kcp_team_access *team; /* NULL: none */
  const char *service;
  const GPtrArray *tried; /* struct kcp_server that are not to be taken again */
  GArray *levels; /* struct kcp_prompt_level, owned; NULL until the first choice */
  /* The choice. */
  struct kcp_server *server; /* borrowed; NULL: none can be used */
  int64_t weights;           /* version there of the inbound's model; 0: no model */
  int64_t uncached_tokens;   /* believed */
  char *cache_space;         /* owned; NULL without a model */
  const char *fetch_from;    /* borrowed from servers or routes */
  const char *save_to;
  int64_t cost_us;
  int64_t wait_us;    /* until the server can begin with the request */
  int64_t prefill_us; /* that it then reads the prompt for; 0: no model */
  unsigned usable;    /* servers that could be chosen */
  int64_t
      soonest_free_ns; /* when a server is believed to take requests again; 0: unknown */
};

void kcp_choose (struct kcp_gateway *gateway, struct kcp_choice *choice);
void kcp_choice_clear (struct kcp_choice *choice);
void kcp_choice_remember (struct kcp_gateway *gateway, const struct kcp_choice *choice);

#endif
