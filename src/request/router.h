/* State that all requests of a VM share. */
#ifndef KCP_REQUEST_ROUTER_H
#define KCP_REQUEST_ROUTER_H

#include "backend/fetch.h"
#include "backend/orders.h"
#include "backend/registry.h"
#include "base/timeline.h"
#include "booking/booking.h"
#include "policy/placement.h"
#include "profile/config.h"
#include "request/engine_facts.h"
#include "request/open_requests.h"
#include "request/retry_gate.h"
#include "request/suspects.h"
#include "request/timers.h"
#include "settings/settings.h"

/* The source of the other VMs' reports. list returns a new array of objects with "vm",
   "data_center", "state" and "version", the highest version of kcp_config_position()
   that the VM has reported. The array excludes this VM. It is NULL if this VM knows of
   no other. */
struct kcp_vm_source
{
  json_t *(*list) (void *user);
  void *user;
};

struct kcp_admit;

/* All pointers must outlive the requests. */
struct kcp_router
{
  const struct kcp_settings *settings;
  const struct kcp_clock *clock;
  struct kcp_timeline *timeline;
  struct kcp_config *config;
  struct kcp_registry *registry;
  struct kcp_fetch_pool *fetch_pool;
  struct kcp_booking *booking;
  struct kcp_orders *orders;
  struct kcp_placement_costs costs;
  struct kcp_vm_source vm_source;
  struct kcp_open_requests *open_requests;
  struct kcp_timers *timers;
  struct kcp_retry_gate *retry_gate;
  struct kcp_engine_facts *facts;
  struct kcp_admit *admit;
  struct kcp_suspects *suspects;
  GQuark data_center;
  int draining; /* atomic; 1 once the VM is shutting down */
};

#endif
