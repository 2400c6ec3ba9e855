/* Chooses the backend server of a request that the serve command handles. The result
   depends on the arguments alone. */
#ifndef KCP_POLICY_PLACEMENT_H
#define KCP_POLICY_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_PLACEMENT_NONE (-1)

/* A server that the profile allows and that accepts new requests. */
struct kcp_placement_candidate
{
  uint64_t hash;         /* hash of the server's id */
  int64_t queued_tokens; /* prompt tokens queued there, according to its last report */
  int64_t report_age_ns; /* age of the last report */
  int64_t sent_tokens;   /* uncached prompt tokens sent by this VM since the report */
  int64_t in_flight;     /* requests reported, plus those sent by this VM since */
  int64_t limit;         /* maximum of in_flight for a request of this class */
  int64_t slot_wait_ns;  /* expected time until in_flight is below the limit */
  int64_t cached_tokens; /* tokens of this prompt that the index lists as cached there */
  int64_t transfer_ns;   /* transfer time of the prompt and of the answer */
};

struct kcp_placement_request
{
  /* Identity of the last block, or of the prompt if it is shorter than a block. */
  uint64_t prefix_head;
  int64_t prompt_tokens;
  bool urgent; /* servers compute it before the requests in their queue */
};

/* Costs that convert tokens to time. */
struct kcp_placement_costs
{
  int64_t ns_per_prompt_token;
  int64_t ns_per_running; /* slowdown per request being computed */
  int64_t tolerance_ns;   /* expected times within this of the lowest count as equal */
  int64_t waste_percent; /* extra cost of uncached tokens, as they delay other requests */
  int64_t waste_rise_ns; /* mean queue that adds waste_percent once more; 0: none does */
  int64_t waste_percent_max;
};

extern const struct kcp_placement_costs kcp_placement_standard_costs;

int kcp_placement_choose (const struct kcp_placement_request *request,
                          const struct kcp_placement_candidate *candidates, size_t count,
                          const struct kcp_placement_costs *costs);
bool kcp_placement_has_slot (const struct kcp_placement_candidate *candidate);
uint64_t kcp_placement_rank (uint64_t prefix_head, uint64_t server);

#endif
