/* What the files of the rollout of weights share. */
#ifndef KCP_FORWARD_ROLLOUT_PRIVATE_H
#define KCP_FORWARD_ROLLOUT_PRIVATE_H

#include "forward/rollout.h"
#include "policy/order_lease.h"

/* An order to one server, until its outcome is known. */
struct kcp_rollout_order
{
  struct kcp_rollout *rollout;
  struct kcp_server *server; /* a reference */
  char *model;
  int64_t version;
  bool sent; /* false: the server's report is awaited first */
  struct kcp_http_call *call;
  struct kcp_own_call own; /* lives as long as the call */
  GString *body;           /* of the answer */
  struct kcp_loop_timer timer;
  int64_t sent_ns;
  unsigned failures; /* reports in a row without an answer */
};

struct kcp_rollout
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  struct kcp_order_lease claim;
  GPtrArray *orders; /* struct kcp_rollout_order */
  struct kcp_loop_timer look;
  bool needed;             /* some server lacked named weights at the last look */
  int64_t needed_since_ns; /* when that began */
  GString *record;         /* the claim that is being appended */
};

/* rollout_order.c */
struct kcp_rollout_order *kcp_rollout_find_order (const struct kcp_rollout *rollout,
                                                  const struct kcp_server *server);
void kcp_rollout_begin_order (struct kcp_rollout *rollout, struct kcp_server *server,
                              const struct kcp_named_weights *named);
void kcp_rollout_order_free (gpointer data);

/* rollout_claim.c */
void kcp_rollout_read_claim (struct kcp_rollout *rollout);
void kcp_rollout_append_claim (struct kcp_rollout *rollout);

#endif
