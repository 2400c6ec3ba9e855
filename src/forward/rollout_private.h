/* Declarations shared by the source files of the rollout. */
#ifndef KCP_FORWARD_ROLLOUT_PRIVATE_H
#define KCP_FORWARD_ROLLOUT_PRIVATE_H

#include "forward/rollout.h"
#include "policy/order_lease.h"

/* An order to one server, followed until its outcome is known. */
struct kcp_rollout_order
{
  struct kcp_rollout *rollout;
  struct kcp_server *server; /* a reference */
  char *model;
  int64_t version;
  bool sent; /* false: waiting for the server's report */
  struct kcp_http_call *call;
  struct kcp_control_call control_call; /* valid until the call ends */
  GString *body;                        /* of the answer */
  struct kcp_loop_timer timer;
  int64_t sent_ns;
  int64_t asked_ns;  /* when the newest report was asked for */
  unsigned failures; /* consecutive report calls without a valid answer */
};

struct kcp_rollout
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  struct kcp_order_lease lease;
  GPtrArray *orders; /* struct kcp_rollout_order */
  struct kcp_loop_timer check;
  bool pending;             /* a server lacked desired weights at the last check */
  int64_t pending_since_ns; /* when pending became true */
  int64_t order_ns; /* time that orders take until the server has loaded, average */
  GString *record;  /* record of the order lease that is being appended */
};

/* rollout_order.c */
struct kcp_rollout_order *kcp_rollout_find_order (const struct kcp_rollout *rollout,
                                                  const struct kcp_server *server);
void kcp_rollout_start_order (struct kcp_rollout *rollout, struct kcp_server *server,
                              const struct kcp_desired_weights *desired);
void kcp_rollout_order_free (gpointer data);

/* rollout_lease.c */
void kcp_rollout_read_lease (struct kcp_rollout *rollout);
void kcp_rollout_append_lease (struct kcp_rollout *rollout);
void kcp_rollout_on_new_era (void *user, int64_t era);

#endif
