/* Chooses the server for an attempt by the least expected time to the first byte. Pure:
   facts in, decision out.

   Load pattern: few long prompts among many short ones on servers that batch. A prompt
   that is read for the first time holds up all others of its server, so long prompts go
   where their prefix is kept unless that server has several to read already; short ones
   go where least is to be read. A server that failed lately is taken last, not never, so
   that a wrong suspicion of all of them cannot stop the service. */
#ifndef KCP_POLICY_PLACE_H
#define KCP_POLICY_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_PLACE_NONE (-1)

/* How a server's weights stand to those that are wanted. */
enum kcp_place_weights
{
  KCP_PLACE_WEIGHTS_CURRENT,
  KCP_PLACE_WEIGHTS_OLD,     /* still allowed */
  KCP_PLACE_WEIGHTS_REFUSED, /* not to be used */
};

struct kcp_place_candidate
{
  bool usable;    /* known, not leaving, not tried by this request */
  bool local;     /* in the VM's own data centre */
  bool suspected; /* failed or refused lately */
  bool loading;   /* takes new weights now */
  enum kcp_place_weights weights;
  unsigned in_flight;      /* requests in flight there, as far as known */
  unsigned slots;          /* that it serves at once */
  int64_t unread_tokens;   /* of prompts in flight there that are yet to be read */
  int64_t uncached_tokens; /* of this request's prompt, believed not to be kept there */
  /* Of the uncached tokens, what is not counted, so that all VMs prefer the same server
     for a prefix that nobody keeps. */
  int64_t discount_tokens;
  /* Of the uncached tokens, what another server has read, is reading, or was sent lately.
   */
  int64_t repeated_tokens;
  bool preferred; /* first in the order of servers for the prompt's session */
};

/* Costs in microseconds. */
struct kcp_place_costs
{
  int64_t per_token;     /* of a prompt that is read */
  int64_t per_repeated;  /* of one that another server need not have read again */
  int64_t per_in_flight; /* of each request that shares the batch */
  int64_t per_waiting;   /* of each request beyond the slots */
  int64_t remote;        /* of a server in another data centre */
  int64_t old_weights;   /* of an answer on weights that are being replaced */
  int64_t suspected;
  int64_t loading;
  int64_t not_preferred; /* of a server that is not the session's home */
};

extern const struct kcp_place_costs kcp_place_engine_costs;
extern const struct kcp_place_costs kcp_place_plain_costs;

int kcp_place_choose (const struct kcp_place_candidate *candidates, size_t count,
                      const struct kcp_place_costs *costs, uint64_t draw);
int64_t kcp_place_wait (const struct kcp_place_candidate *candidate,
                        const struct kcp_place_costs *costs);
int64_t kcp_place_cost (const struct kcp_place_candidate *candidate,
                        const struct kcp_place_costs *costs);

#endif
