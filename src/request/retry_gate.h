/* The retry budgets of a VM, one for each data center. Thread-safe. */
#ifndef KCP_REQUEST_RETRY_GATE_H
#define KCP_REQUEST_RETRY_GATE_H

#include <glib.h>

#include "policy/retry.h"

struct kcp_retry_gate;

struct kcp_retry_gate *kcp_retry_gate_new (int64_t budget_percent);
void kcp_retry_gate_free (struct kcp_retry_gate *gate);
void kcp_retry_gate_add_request (struct kcp_retry_gate *gate, GQuark data_center);
enum kcp_retry_decision
kcp_retry_gate_decide (struct kcp_retry_gate *gate, GQuark data_center,
                       const struct kcp_retry_facts *facts);

#endif
