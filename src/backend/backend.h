/* A backend server as this VM sees it. */
#ifndef KCP_BACKEND_BACKEND_H
#define KCP_BACKEND_BACKEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "logstore/vm_list.h"

#define KCP_INCARNATION_MAX 40 /* bytes with the terminating NUL */
#define KCP_WEIGHTS_MAX     40 /* bytes with the terminating NUL */

enum kcp_backend_state
{
  KCP_BACKEND_LIVE,
  KCP_BACKEND_LEAVING, /* marked as leaving on the VM list; receives no new requests */
  KCP_BACKEND_DEAD     /* a connection failed; presumed dead until its next load report */
};

/* The last load report of a server and the time at which it was received. */
struct kcp_backend_report
{
  int64_t arrived_ns;                    /* monotonic; 0: no report yet */
  char incarnation[KCP_INCARNATION_MAX]; /* changes when the server restarts */
  char weights[KCP_WEIGHTS_MAX];         /* version of the loaded weights */
  int64_t running;                       /* requests in execution */
  int64_t waiting;                       /* requests queued at the server */
  int64_t waiting_tokens;                /* prompt tokens queued at the server */
};

/* The first group of members is constant. The second group is guarded by the lock of the
   registry. */
struct kcp_backend
{
  enum kcp_member_kind kind;
  char *id;
  char *url; /* http://address:port */
  GQuark data_center;
  char *model;
  char *service;
  bool checks_fencing;
  uint64_t hash; /* hash of id, for rendezvous hashing */

  enum kcp_backend_state state;
  struct kcp_backend_report report;
  int64_t in_flight;   /* attempts of this VM in flight */
  int64_t sent_tokens; /* uncached prompt tokens this VM has sent since the last report */
  int64_t net_attempts_since_report; /* started minus ended since the last report */
};

struct kcp_backend *kcp_backend_new (const struct kcp_member *member);
struct kcp_backend *kcp_backend_ref (struct kcp_backend *backend);
void kcp_backend_unref (struct kcp_backend *backend);
const char *kcp_backend_state_name (enum kcp_backend_state state);

#endif
