/* Carries out the desired states of engines: the weights to load and the role to
   assume. */
#ifndef KCP_BACKEND_ORDERS_H
#define KCP_BACKEND_ORDERS_H

#include "backend/order_state.h"
#include "backend/registry.h"
#include "base/timeline.h"
#include "logstore/platform_log.h"

#define KCP_ORDER_STREAM "orders"

struct kcp_orders_options
{
  struct kcp_platform_log *log;
  struct kcp_registry *registry;
  const struct kcp_clock *clock;
  struct kcp_timeline *timeline;
  const char *vm;
  GQuark data_center;   /* orders are sent only to engines of this data center */
  unsigned max_loading; /* engines that may load at a time, in the deployment */
  int64_t lease_ms;     /* time for which a grant allows orders to be sent */
  int64_t poll_ms;      /* wait of one log read, and pause after a failed one */
  int64_t timeout_ms;   /* for each query of an engine */
};

struct kcp_orders;

struct kcp_orders *kcp_orders_start (const struct kcp_orders_options *options);
void kcp_orders_stop (struct kcp_orders *orders);
bool kcp_orders_set_desired (struct kcp_orders *orders, const char *engine,
                             const char *weights, const char *role, uint64_t *offset,
                             struct kcp_error *error);
json_t *kcp_orders_to_json (struct kcp_orders *orders);

#endif
