/* Chooses the backend server of a request. Pure: facts in, decision out. */
#ifndef KCP_POLICY_PLACEMENT_H
#define KCP_POLICY_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_PLACEMENT_NONE (-1)

/* One server that the profile allows and that takes new work. */
struct kcp_placement_candidate
{
  uint64_t hash;         /* of the server's id */
  int64_t queued_tokens; /* prompt tokens queued there, by its last report */
  int64_t report_age_ns; /* of that report */
  int64_t sent_tokens;   /* uncached prompt tokens sent by this VM since then */
  int64_t in_flight;     /* requests there: reported, and this VM's since then */
  int64_t limit;         /* of in_flight for a request of this class */
  int64_t slot_wait_ns;  /* expected until in_flight is below the limit */
  int64_t cached_tokens; /* of this request's prompt, as far as is believed */
  int64_t transfer_ns;   /* for the prompt to get there and the answer back */
};

struct kcp_placement_request
{
  uint64_t prefix_head; /* identity of the last block, or of the prompt if it is short */
  int64_t prompt_tokens;
  bool urgent; /* servers compute it before what is queued there */
};

/* Costs that turn tokens into time. */
struct kcp_placement_costs
{
  int64_t ns_per_prompt_token;
  int64_t ns_per_running; /* slowdown by each request being computed */
  int64_t tolerance_ns;   /* expected times this close count as equal */
  int64_t waste_percent;  /* of the uncached tokens' time, for the delay of others */
  int64_t waste_rise_ns;  /* mean queue at which that doubles, and so on; 0: never */
  int64_t waste_percent_max;
};

extern const struct kcp_placement_costs kcp_placement_standard_costs;

int kcp_placement_choose (const struct kcp_placement_request *request,
                          const struct kcp_placement_candidate *candidates, size_t count,
                          const struct kcp_placement_costs *costs);
bool kcp_placement_has_slot (const struct kcp_placement_candidate *candidate);
uint64_t kcp_placement_rank (uint64_t prefix_head, uint64_t server);

#endif
