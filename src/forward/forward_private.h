/* Declarations shared by the forward*.c files. */
#ifndef KCP_FORWARD_FORWARD_PRIVATE_H
#define KCP_FORWARD_FORWARD_PRIVATE_H

#include "forward/choose.h"
#include "forward/end_check.h"
#include "forward/event_framer.h"
#include "forward/forward.h"
#include "forward/resume_lookup.h"
#include "policy/resend.h"

/* One dispatch of the request to one server. */
struct kcp_attempt
{
  struct kcp_http_call *call;       /* NULL: not in progress */
  struct kcp_end_check *end_check;  /* of the answer, which has ended; NULL: none */
  struct kcp_http_result unchecked; /* how it ended, while that is being checked */
  int64_t server_start_ms; /* start of the server's process, as known when it was sent */
  struct kcp_server *server; /* a reference; NULL: there is no attempt */
  struct kcp_answer_head head;
  GPtrArray *headers;            /* of the answer: name, value, ... */
  GString *buffered_body;        /* body of an answer that is not streamed */
  enum kcp_http_framing framing; /* of the answer, once it has ended */
  size_t partial_event_len;      /* bytes after the last complete event, likewise */
  int own_port;                  /* of its connection, likewise; 0: it was not sent */
  bool reused;    /* its connection had carried an earlier call, likewise */
  bool passed_on; /* server is another VM, which sends the request to a server */
  enum kcp_hop_end hop_end; /* how that VM ended the request, as it says */
  int64_t sent_ns;
  uint64_t software; /* version of the server when it was sent; see kcp_software_key() */
  unsigned
      events_before; /* events of the stream that came from servers before this one */
  /* Why this VM ended the answer, for the log: the limit that it exceeds, or an event
     that does not belong to its stream; NULL: it did not. */
  const char *limit;
  bool paused;           /* the server is not read, since the caller does not read */
  int64_t first_byte_ns; /* when the first byte of the answer arrived; 0: not yet */
  int64_t prefill_tokens_pending; /* part of the server's count due to this attempt */
  bool found_idle; /* the server seemed to have no other request when it was sent */
};

struct kcp_forward
{
  struct kcp_gateway *gateway;
  struct kcp_inbound *inbound; /* owned */
  struct kcp_answer *answer;
  struct kcp_routes *routes; /* the version in force when the request was accepted */
  struct kcp_choice choice;
  struct kcp_attempt attempt;
  struct kcp_resume_lookup lookup;
  struct kcp_event_framer framer;
  struct kcp_loop_timer deadline_timer;
  struct kcp_loop_timer unpause_timer;
  size_t answer_bytes; /* memory of the answer, part of the gateway's sum */
  GPtrArray *tried;    /* struct kcp_server, references */
  GString *reached;    /* ids of those of them that were reached, separated by commas */
  /* Equal for all copies of the request, on all VMs. The parts are those that other
     requests may share: all but the last. */
  struct kcp_crash_causes causes;
  int64_t arrived_ns;
  int64_t deadline_ns;
  struct kcp_quota_wait quota_wait;
  int64_t quota_cost;       /* taken from the quota of the team; 0: nothing */
  unsigned runs;            /* attempts that may have run the request */
  unsigned refusals;        /* attempts that did not run the request */
  unsigned unsent;          /* those of them that reached no server */
  unsigned declines;        /* VMs that declined it */
  bool route_sets_deadline; /* the deadline is the route's, not the caller's */
  bool version_unknown;     /* only another VM may know which version began the stream */
};

/* forward_attempt.c */
void kcp_forward_begin_attempt (struct kcp_forward *forward, struct kcp_server *server);
bool
kcp_forward_needs_new_connection (const struct kcp_forward *forward, const char *address);
void kcp_forward_send_attempt (struct kcp_forward *forward, struct curl_slist *headers,
                               bool new_connection);
void kcp_forward_start_attempt (struct kcp_forward *forward);
int64_t kcp_forward_remaining_ms (const struct kcp_forward *forward);
void kcp_forward_end_attempt (struct kcp_forward *forward);

/* forward_outcome.c */
void
kcp_forward_conclude (struct kcp_forward *forward, const struct kcp_http_result *result);

/* forward_quota.c */
void kcp_forward_admit_by_quota (struct kcp_forward *forward);
void kcp_forward_cancel_quota (struct kcp_forward *forward);
void kcp_forward_give_back_quota (struct kcp_forward *forward);

/* forward_hop.c */
bool kcp_forward_is_from_vm (const struct kcp_forward *forward);
struct kcp_server *kcp_forward_choose_hop (const struct kcp_forward *forward);
bool kcp_forward_pass_on (struct kcp_forward *forward);
void kcp_forward_conclude_hop (struct kcp_forward *forward,
                               const struct kcp_http_result *result);

/* forward_unframed.c */
bool
kcp_forward_check_end (struct kcp_forward *forward, const struct kcp_http_result *result);

/* forward_crash.c */
void kcp_forward_watch_for_crash (struct kcp_forward *forward, enum kcp_attempt_end end,
                                  const struct kcp_http_result *result);
void kcp_forward_watch_server (const struct kcp_forward *forward,
                               enum kcp_crash_watch_probe probing);
void kcp_forward_record_success (const struct kcp_forward *forward, long status);
void kcp_forward_record_error (const struct kcp_forward *forward, long status);

/* forward_answer.c */
bool kcp_forward_take_bytes (struct kcp_forward *forward, struct kcp_str bytes);
bool kcp_forward_is_streamed (const struct kcp_forward *forward, long status);
bool kcp_forward_answer_matches (const struct kcp_forward *forward);
void kcp_forward_release_answer (struct kcp_forward *forward);

/* forward_end.c */
void kcp_forward_begin_streaming (struct kcp_forward *forward, unsigned status);
void kcp_forward_end_stream (struct kcp_forward *forward, unsigned status);
void kcp_forward_relay_answer (struct kcp_forward *forward, unsigned status);
bool kcp_forward_may_relay_status (long status);
void kcp_forward_decline (struct kcp_forward *forward, const char *reason);
void kcp_forward_refuse (struct kcp_forward *forward, const char *reason);
void kcp_forward_refuse_over_quota (struct kcp_forward *forward, int64_t return_ns);
void kcp_forward_end_with_problem (struct kcp_forward *forward, unsigned status,
                                   const char *execution, const char *reason);
void kcp_forward_interrupt (struct kcp_forward *forward, const char *reason);
void kcp_forward_finish (struct kcp_forward *forward, enum kcp_answer_end end,
                         const char *outcome, const char *reason);

/* forward_resume.c */
bool kcp_forward_look_up_version (struct kcp_forward *forward);
void kcp_forward_leave_to_other_vm (struct kcp_forward *forward);
void kcp_forward_skip_known_events (struct kcp_forward *forward);
const char *kcp_forward_last_event (const struct kcp_forward *forward);
bool kcp_forward_is_resumed (const struct kcp_forward *forward);
void kcp_forward_note_sent (struct kcp_forward *forward);
void kcp_forward_bind_version (struct kcp_forward *forward);

/* forward.c */
void kcp_forward_begin (struct kcp_forward *forward);
void kcp_forward_send_next (struct kcp_forward *forward);
void kcp_forward_after_attempt (struct kcp_forward *forward, enum kcp_attempt_end end,
                                long status);

#endif
