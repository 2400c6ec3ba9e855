/* Decides whether an answer is whole that has neither a length nor chunks and has ended
   with its connection. The result depends on the arguments alone.

   Load pattern: a server ends such an answer in order and serves on; or its process is
   killed while it writes, whereupon the kernel closes the connection in order as well.
   The two look alike on that connection. Only what the server does afterwards tells them
   apart, so it is asked who it is: the process that wrote the answer lives on, another
   one has taken its address, or none listens there. A server that is busy may be late,
   answer with an error or turn away a connection, which does not show that it has ended.
 */
#ifndef KCP_POLICY_ANSWER_END_H
#define KCP_POLICY_ANSWER_END_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* An end counts as not whole if nothing has confirmed it this long after the first call.
 */
#define KCP_ANSWER_END_MAX_WAIT_NS (2 * KCP_NS_PER_S)

/* Clocks of VMs and servers are taken to differ by this at most. */
#define KCP_ANSWER_END_CLOCK_MARGIN_MS 3000

/* What is known of the server since the connection was closed. */
struct kcp_answer_end_facts
{
  bool refused;              /* its address refuses connections */
  int64_t taken_start_ms;    /* of a later process that the servers' list names at its
                                address; 0: it names none */
  int64_t sent_ms;           /* Unix time at which the request was sent; 0: not known */
  bool answered;             /* it has answered a call that names the expected instance */
  bool other_instance;       /* it answered that it is another instance */
  int64_t expected_start_ms; /* of the process that wrote the answer; 0: not known */
  int64_t reported_start_ms; /* of the one that answered the call; 0: it does not say */
  int64_t waited_ns;         /* since the first call after the connection was closed */
};

enum kcp_answer_end_decision
{
  KCP_ANSWER_END_WHOLE,
  KCP_ANSWER_END_CUT_OFF,
  KCP_ANSWER_END_ASK_AGAIN
};

/* What decided. */
enum kcp_answer_end_evidence
{
  KCP_ANSWER_END_NOTHING,
  KCP_ANSWER_END_REFUSED,
  KCP_ANSWER_END_ADDRESS_TAKEN,
  KCP_ANSWER_END_OTHER_INSTANCE,
  KCP_ANSWER_END_OTHER_START,
  KCP_ANSWER_END_SAME_START,
  KCP_ANSWER_END_STARTED_BEFORE, /* later than expected, but before the request */
  KCP_ANSWER_END_ANSWERED, /* by the expected instance, without the time of its start */
  KCP_ANSWER_END_EVIDENCE_COUNT
};

struct kcp_end_verdict
{
  enum kcp_answer_end_decision decision;
  enum kcp_answer_end_evidence evidence;
};

struct kcp_end_verdict kcp_answer_end_decide (const struct kcp_answer_end_facts *facts);
const char *kcp_answer_end_decision_name (enum kcp_answer_end_decision decision);
const char *kcp_answer_end_evidence_name (enum kcp_answer_end_evidence evidence);

#endif
