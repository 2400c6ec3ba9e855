/* The right to give orders to servers, held by one VM at a time. Pure: what was read from
   the platform's log and the time go in, decisions come out.

   A claim is a record that was appended on the condition that nothing had been appended
   since the log was read. It is valid for a fixed time from the moment at which its
   append was sent. Another VM may append its own only once a pause has passed since it
   read the newest claim, long enough that the former holder's right has lapsed and its
   last order lies a lease behind. The offset of the claim is the fencing token. */
#ifndef KCP_POLICY_ORDER_LEASE_H
#define KCP_POLICY_ORDER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_ORDER_LEASE_HOLDER_MAX 64

enum kcp_order_lease_action
{
  KCP_ORDER_LEASE_WAIT,   /* nothing until the time given */
  KCP_ORDER_LEASE_READ,   /* read the log's end */
  KCP_ORDER_LEASE_APPEND, /* append a claim at the known end */
  KCP_ORDER_LEASE_HELD    /* orders may be sent until the time given */
};

struct kcp_order_lease_times
{
  int64_t valid_ns;          /* from the append's sending */
  int64_t renew_ns;          /* before its end a held claim is renewed */
  int64_t takeover_delay_ns; /* from another VM's claim being read until it may be
                                superseded */
  int64_t read_interval_ns;  /* between two readings while another VM's claim stands */
  int64_t order_margin_ns;   /* what must be left of the right when an order is sent */
};

struct kcp_order_lease
{
  char own[KCP_ORDER_LEASE_HOLDER_MAX]; /* this VM */
  struct kcp_order_lease_times times;
  bool known;                              /* the log's end was read */
  bool appending;                          /* an append or a reading is under way */
  int64_t end;                             /* the offset behind the newest record */
  char holder[KCP_ORDER_LEASE_HOLDER_MAX]; /* of the newest claim; empty: none */
  int64_t offset;                          /* of the newest claim */
  int64_t seen_ns;                         /* when that claim was first read */
  int64_t valid_until_ns;                  /* of this VM's right; 0: none */
  int64_t sent_ns;                         /* when the append under way was sent */
  int64_t wait_until_ns;
};

/* What decides whether a VM contends for the right. */
struct kcp_order_lease_competitor
{
  bool first; /* of the live VMs of its data center, in an order that all share */
  bool holds; /* it has the right now */
  int64_t no_orders_ns; /* since orders were needed, or were last seen to be given */
};

bool kcp_order_lease_may_compete (const struct kcp_order_lease_competitor *competitor);
void kcp_order_lease_init (struct kcp_order_lease *claim, const char *own,
                           const struct kcp_order_lease_times *times);
enum kcp_order_lease_action
kcp_order_lease_step (struct kcp_order_lease *claim, bool wanted, int64_t now_ns,
                      int64_t *until_ns);
void kcp_order_lease_on_sent (struct kcp_order_lease *claim, int64_t now_ns);
void kcp_order_lease_on_read (struct kcp_order_lease *claim, int64_t end,
                              const char *holder, int64_t offset, int64_t now_ns);
void
kcp_order_lease_on_trimmed (struct kcp_order_lease *claim, int64_t end, int64_t now_ns);
void kcp_order_lease_on_appended (struct kcp_order_lease *claim, int64_t offset,
                                  int64_t now_ns);
void kcp_order_lease_on_failed (struct kcp_order_lease *claim, int64_t retry_ns,
                                int64_t now_ns);
bool kcp_order_lease_may_order (const struct kcp_order_lease *claim, int64_t now_ns);
bool kcp_order_lease_is_held (const struct kcp_order_lease *claim, int64_t now_ns);
int64_t kcp_order_lease_fencing_token (const struct kcp_order_lease *claim);

#endif
