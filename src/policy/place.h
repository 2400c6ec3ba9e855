/* Chooses the server for an attempt of a request that the route command handles, by the
   lowest expected time to the first byte. The result depends on the arguments alone.

   Load pattern: a few long prompts among many short ones, on servers that batch requests.
   The prefill of an uncached prompt delays all other requests of its server. Long prompts
   therefore go to a server that has their prefix cached, unless it already has several
   prompts to prefill; short prompts go to the server with the fewest tokens to prefill. A
   server that failed recently is the last choice but is not excluded, so that suspecting
   all servers by mistake cannot stop the service.

   Hundreds of VMs choose by the same view of the servers, some tenths of a second old. If
   all chose the best one, it would get in that time what all engines together should get.
   A random part of the cost spreads them over servers that are about as good. */
#ifndef KCP_POLICY_PLACE_H
#define KCP_POLICY_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_PLACE_NONE (-1)

/* Relation of a server's weights to the desired ones. */
enum kcp_place_weights
{
  KCP_PLACE_WEIGHTS_CURRENT,
  KCP_PLACE_WEIGHTS_OLD,     /* replaced, but still allowed */
  KCP_PLACE_WEIGHTS_REFUSED, /* must not be used */
};

struct kcp_place_candidate
{
  bool usable;    /* ready, of the right service and model, not tried by this request */
  bool local;     /* in the data center of this VM */
  bool suspected; /* failed or refused recently */
  bool loading;   /* is loading new weights */
  bool leaving;   /* is about to end */
  bool limited;   /* takes a limited number of requests a second */
  enum kcp_place_weights weights;
  unsigned in_flight;             /* requests in flight at the server, as far as known */
  unsigned slots;                 /* requests that the server processes concurrently */
  int64_t prefill_tokens_pending; /* of prompts in flight there, not prefilled yet */
  int64_t uncached_tokens; /* of this request's prompt, not cached according to this VM */
  /* Uncached tokens that are not counted as a cost, so that all VMs prefer the same
     server for a prefix that no server has cached. */
  int64_t discount_tokens;
  /* Uncached tokens that another server has prefilled, is prefilling, or was sent
     recently. */
  int64_t repeated_tokens;
  bool preferred;     /* first in the server order of the prompt's session */
  int64_t slowness;   /* of its work; see policy/server_speed.h; 0: not known */
  int64_t failing_us; /* cost of its failures; see policy/server_health.h */
};

/* Costs in microseconds. */
struct kcp_place_costs
{
  int64_t per_token;     /* per prompt token to prefill */
  int64_t per_repeated;  /* per token whose prefill repeats work of another server */
  int64_t per_in_flight; /* per request that shares the batch */
  int64_t per_waiting;   /* per request beyond the slots */
  int64_t remote;        /* server in another data center */
  int64_t old_weights;   /* answer on weights that are being replaced */
  int64_t suspected;     /* server that failed or refused recently */
  int64_t loading;       /* server that is loading new weights */
  int64_t leaving;       /* server that is about to end */
  int64_t not_preferred; /* server other than the preferred one of the session */
  int64_t spread;        /* a random cost of less than this is added; 0: none is */
};

extern const struct kcp_place_costs kcp_place_engine_costs;
extern const struct kcp_place_costs kcp_place_plain_costs;

int64_t kcp_place_spread (unsigned vms);
int kcp_place_choose (const struct kcp_place_candidate *candidates, size_t count,
                      const struct kcp_place_costs *costs, uint64_t random_value);
int64_t kcp_place_wait (const struct kcp_place_candidate *candidate,
                        const struct kcp_place_costs *costs);
int64_t kcp_place_prefill (const struct kcp_place_candidate *candidate,
                           const struct kcp_place_costs *costs);
int64_t kcp_place_cost (const struct kcp_place_candidate *candidate,
                        const struct kcp_place_costs *costs);

#endif
