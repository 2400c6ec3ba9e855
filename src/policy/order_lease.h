/* Lease that allows one VM at a time to send orders to the backend servers. The module
   performs no I/O: it is given the records read from the platform's log and the current
   time, and decides what to do next.

   A VM takes the lease by appending a lease record to the log, on the condition that
   nothing was appended since it read the log. The record is valid for a fixed time from
   the moment at which the append was sent. Another VM may append its own record only
   after a delay that begins when it reads the newest one. The delay is long enough for
   the lease of the previous holder to expire and for the minimum time between the orders
   of two VMs to pass after the last order of that holder. The leader of a data center
   therefore reads the newest record also when no orders are needed, so that the delay is
   over once they are, if the holder is gone. The same delay begins when the
   log has lost records, one of which may be that of a holder. The offset of the record
   and the era of the log's offsets determine the fencing token. The decision log calls
   the records claims. */
#ifndef KCP_POLICY_ORDER_LEASE_H
#define KCP_POLICY_ORDER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_ORDER_LEASE_HOLDER_MAX 64 /* bytes of a name with its terminating NUL */

enum kcp_order_lease_action
{
  KCP_ORDER_LEASE_WAIT,   /* do nothing until the given time */
  KCP_ORDER_LEASE_READ,   /* read the end of the log */
  KCP_ORDER_LEASE_APPEND, /* append a record at the known end of the log */
  KCP_ORDER_LEASE_HELD    /* orders may be sent until the given time */
};

struct kcp_order_lease_times
{
  int64_t valid_ns; /* validity of a record, from the time at which its append was sent */
  int64_t renew_ns; /* time before expiry at which the holder renews the lease */
  int64_t takeover_delay_ns; /* time from reading another VM's record until it may be
                                superseded */
  int64_t read_interval_ns;  /* interval of reads while another VM holds the lease */
  int64_t order_margin_ns;   /* minimum validity that must remain when an order is sent */
};

struct kcp_order_lease
{
  char own[KCP_ORDER_LEASE_HOLDER_MAX]; /* name of this VM */
  struct kcp_order_lease_times times;
  bool end_known;    /* the end of the log has been read */
  bool watched;      /* it has been since orders were last needed, or is being read */
  bool call_pending; /* an append or a read is in progress */
  int64_t end;       /* offset after the newest record */
  char holder[KCP_ORDER_LEASE_HOLDER_MAX]; /* holder of the newest record; empty: none */
  int64_t offset;                          /* offset of the newest record */
  int64_t seen_ns;                         /* when the newest record was first read */
  int64_t valid_until_ns;                  /* end of this VM's lease; 0: none */
  int64_t sent_ns;                         /* when the pending call was sent */
  int64_t wait_until_ns;                   /* no call is sent before this time */
  int64_t era;            /* of the log's offsets; rises when the log loses records */
  int64_t quiet_until_ns; /* no record is appended before this time */
};

/* Facts from which kcp_order_lease_may_compete() decides. */
struct kcp_order_lease_competitor
{
  bool leader; /* first live VM of its data center, in an order common to all VMs */
  bool holds;  /* holds the lease now */
  int64_t no_orders_ns; /* time since orders became necessary, or were last observed */
};

bool kcp_order_lease_may_compete (const struct kcp_order_lease_competitor *competitor);
void kcp_order_lease_init (struct kcp_order_lease *lease, const char *own,
                           const struct kcp_order_lease_times *times);
enum kcp_order_lease_action
kcp_order_lease_step (struct kcp_order_lease *lease, bool orders_needed, int64_t now_ns,
                      int64_t *until_ns);
enum kcp_order_lease_action
kcp_order_lease_watch (struct kcp_order_lease *lease, int64_t now_ns);
void kcp_order_lease_on_sent (struct kcp_order_lease *lease, int64_t now_ns);
void kcp_order_lease_on_read (struct kcp_order_lease *lease, int64_t end,
                              const char *holder, int64_t offset, int64_t now_ns);
void
kcp_order_lease_on_trimmed (struct kcp_order_lease *lease, int64_t end, int64_t now_ns);
void kcp_order_lease_on_appended (struct kcp_order_lease *lease, int64_t offset,
                                  int64_t now_ns);
void kcp_order_lease_on_failed (struct kcp_order_lease *lease, int64_t retry_ns,
                                int64_t now_ns);
void
kcp_order_lease_on_new_era (struct kcp_order_lease *lease, int64_t era, int64_t now_ns);
bool kcp_order_lease_may_order (const struct kcp_order_lease *lease, int64_t now_ns);
bool kcp_order_lease_is_held (const struct kcp_order_lease *lease, int64_t now_ns);
int64_t kcp_order_lease_fencing_token (const struct kcp_order_lease *lease);

#endif
