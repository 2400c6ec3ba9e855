/* Deliveries of facts to the other VMs of the data center that are awaited. Not
   thread-safe; uses no clock. */
#ifndef KCP_PEER_DELIVERIES_H
#define KCP_PEER_DELIVERIES_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Called once, when all VMs have acknowledged the fact or the delivery has timed out. */
typedef void kcp_delivery_done (void *user);

struct kcp_delivery
{
  uint64_t number; /* of the probes that carry the fact */
  size_t awaited;  /* acknowledgements still to come */
  int64_t due_ns;  /* monotonic; the delivery times out then */
  kcp_delivery_done *done;
  void *user;
};

struct kcp_deliveries;

struct kcp_deliveries *kcp_deliveries_new (void);
void kcp_deliveries_free (struct kcp_deliveries *deliveries);
void kcp_deliveries_add (struct kcp_deliveries *deliveries,
                         const struct kcp_delivery *delivery);
void kcp_deliveries_acknowledge (struct kcp_deliveries *deliveries, uint64_t number);
GArray *kcp_deliveries_take_ended (struct kcp_deliveries *deliveries, int64_t now_ns);

#endif
