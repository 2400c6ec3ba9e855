/* The weights and role that an engine reports when queried directly. */
#ifndef KCP_BACKEND_ORDER_REPORT_H
#define KCP_BACKEND_ORDER_REPORT_H

#include "backend/backend.h"
#include "backend/order_state.h"

struct kcp_order_report
{
  bool reachable;
  bool loading;
  char weights[KCP_WEIGHTS_MAX];
  char role[KCP_WEIGHTS_MAX];
};

struct kcp_order_report kcp_order_report_fetch (const char *url, int64_t timeout_ms);
bool kcp_order_report_meets (const struct kcp_order_report *report,
                             const struct kcp_order_desired *desired);

#endif
