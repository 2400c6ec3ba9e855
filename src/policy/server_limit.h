/* Decides when this VM may send a request to a server that has named a limit of requests
   a second for all VMs together. The result depends on the arguments alone.

   Load pattern: servers in need name a limit of a few requests a second, all at once or
   one by one, while many VMs send each of them more than that. Callers are spread
   unevenly over the VMs, and VMs start, end, and are cut off from each other. Each VM
   takes a share of the limit in proportion to the requests that it has for the service
   (see limit_needs.h), and sends them at an even pace. Of many VMs only a few, the users
   of the limit, send the server requests at all, since each may have one request ready.
   VMs that are out of touch stay among the users, so that all groups of VMs have the same
   ones. */
#ifndef KCP_POLICY_SERVER_LIMIT_H
#define KCP_POLICY_SERVER_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KCP_SERVER_LIMIT_SCALE 1000 /* limits are counted in requests in 1000 seconds */

struct kcp_server_limit
{
  bool named;          /* false: the members below but lifted_ns have no meaning */
  int64_t per_1000s;   /* requests in 1000 seconds, for all VMs together */
  int64_t heard_ns;    /* when the newest answer that named it arrived */
  int64_t lifted_ns;   /* when the newest request was sent whose answer named none */
  double share;        /* requests a second of this VM */
  double credit;       /* requests that this VM may send now */
  int64_t credited_ns; /* time at which credit held */
  int64_t reserved_until_ns; /* room is reserved for refused callers up to then */
};

/* A VM that may be a user of the limit. */
struct kcp_server_limit_user
{
  uint64_t rank;  /* a hash of the VM and the server; the greatest ones come first */
  unsigned needs; /* its recent requests for the server's service */
  bool in_touch;
};

bool kcp_server_limit_name (struct kcp_server_limit *limit, int64_t per_1000s,
                            int64_t heard_ns, double phase);
bool kcp_server_limit_lift (struct kcp_server_limit *limit, int64_t sent_ns);
bool kcp_server_limit_is_in_force (const struct kcp_server_limit *limit, int64_t now_ns);
uint64_t
kcp_server_limit_least_rank (int64_t per_1000s, const struct kcp_server_limit_user *vms,
                             size_t count);
double kcp_server_limit_phase (int64_t per_1000s, const struct kcp_server_limit_user *vms,
                               size_t count, size_t own);
double
kcp_server_limit_divide (int64_t per_1000s, const struct kcp_server_limit_user *vms,
                         size_t count, size_t own);
void
kcp_server_limit_set_share (struct kcp_server_limit *limit, double share, int64_t now_ns);
bool kcp_server_limit_has_room (const struct kcp_server_limit *limit, int64_t now_ns);
void kcp_server_limit_take (struct kcp_server_limit *limit, int64_t now_ns);
int64_t kcp_server_limit_room_ns (const struct kcp_server_limit *limit, int64_t now_ns);
int64_t kcp_server_limit_reserve (struct kcp_server_limit *limit, int64_t now_ns);

#endif
