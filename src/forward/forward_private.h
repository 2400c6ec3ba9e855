/* What the files of a request's life share. */
#ifndef KCP_FORWARD_FORWARD_PRIVATE_H
#define KCP_FORWARD_FORWARD_PRIVATE_H

#include "forward/choose.h"
#include "forward/event_cutter.h"
#include "forward/forward.h"
#include "policy/resend.h"

/* One sending to one server. */
struct kcp_attempt
{
  struct kcp_http_call *call; /* NULL: none is under way */
  struct kcp_server *server;  /* a reference */
  struct kcp_answer_head head;
  GPtrArray *headers; /* of the answer: name, value, ... */
  GString *collected; /* body of an answer that is not passed on as it arrives */
  int64_t sent_ns;
  int64_t first_ns;               /* when the answer's first byte came; 0: not yet */
  int64_t prefill_tokens_pending; /* that this attempt counts at the server */
};

struct kcp_forward
{
  struct kcp_gateway *gateway;
  struct kcp_inbound *inbound; /* owned */
  struct kcp_answer *answer;
  struct kcp_routes *routes; /* the version under which it was accepted */
  struct kcp_choice choice;
  struct kcp_attempt attempt;
  struct kcp_event_cutter cutter;
  struct kcp_loop_timer limit;
  GPtrArray *tried; /* struct kcp_server, references */
  int64_t arrived_ns;
  int64_t limit_ns;
  unsigned runs;     /* attempts that may have run */
  unsigned refusals; /* attempts that did not */
  bool limited_by_route;
};

/* forward_attempt.c */
void kcp_forward_start_attempt (struct kcp_forward *forward);
int64_t kcp_forward_left_ms (const struct kcp_forward *forward);
void kcp_forward_end_attempt (struct kcp_forward *forward);

/* forward_end.c */
void kcp_forward_begin_streaming (struct kcp_forward *forward, unsigned status);
void kcp_forward_pass_answer (struct kcp_forward *forward, unsigned status);
bool kcp_forward_may_pass_status (long status);
void kcp_forward_refuse (struct kcp_forward *forward, const char *why);
void kcp_forward_end_with (struct kcp_forward *forward, unsigned status,
                           const char *execution, const char *why);
void kcp_forward_break_off (struct kcp_forward *forward, const char *why);
void kcp_forward_finish (struct kcp_forward *forward, enum kcp_answer_end end,
                         const char *outcome, const char *why);

/* forward.c */
void
kcp_forward_follow (struct kcp_forward *forward, enum kcp_attempt_end end, long status);

#endif
