/* Finds out whether the process of a server has outlived an answer that ended with its
   connection: asks the server for its report. One call at a time is sent to a server, and
   decides for all answers that had ended by then. A check waits for a call that is in
   progress, and then for its own, each KCP_ANSWER_END_MAX_WAIT_NS at most. Used on the
   event loop's thread only. */
#ifndef KCP_FORWARD_END_CHECK_H
#define KCP_FORWARD_END_CHECK_H

#include "forward/gateway.h"
#include "policy/answer_end.h"

/* What is known of the time at which the request was sent. */
struct kcp_end_check_sent
{
  int64_t sent_ns;
  int64_t server_start_ms; /* start of the server's process, a Unix time; 0: not known */
};

/* How a check ended. */
struct kcp_end_check_result
{
  struct kcp_end_verdict end; /* never KCP_ANSWER_END_ASK_AGAIN */
  unsigned calls;
  int64_t waited_ms;
  int64_t evidence_ms; /* from the answer's end until the call that decided was sent */
};

typedef void kcp_end_check_done (void *user, const struct kcp_end_check_result *result);

struct kcp_end_check;

struct kcp_end_check *
kcp_end_check_start (struct kcp_gateway *gateway, struct kcp_server *server,
                     const struct kcp_end_check_sent *sent, kcp_end_check_done *done,
                     void *user);
void kcp_end_check_cancel (struct kcp_end_check *check);

#endif
