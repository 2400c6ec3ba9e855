/* One backend server as this VM knows it. */
#ifndef KCP_BACKEND_BACKEND_H
#define KCP_BACKEND_BACKEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "logstore/vm_list.h"

#define KCP_INCARNATION_MAX 40
#define KCP_WEIGHTS_MAX     40

enum kcp_backend_state
{
  KCP_BACKEND_LIVE,
  KCP_BACKEND_LEAVING, /* gets no new work */
  KCP_BACKEND_DEAD     /* refuses new connections */
};

/* What the server reported last, and when it arrived here. */
struct kcp_backend_report
{
  int64_t arrived_ns; /* monotonic; 0: never */
  char incarnation[KCP_INCARNATION_MAX];
  char weights[KCP_WEIGHTS_MAX];
  int64_t running;        /* requests being computed */
  int64_t waiting;        /* requests queued at the server */
  int64_t waiting_tokens; /* prompt tokens queued at the server */
};

/* The first group never changes. The second is guarded by the registry's lock. */
struct kcp_backend
{
  enum kcp_member_kind kind;
  char *id;
  char *url; /* http://address:port */
  GQuark data_center;
  char *model;
  char *service;
  bool checks_fencing;
  uint64_t hash; /* of the id, for rendezvous order */

  enum kcp_backend_state state;
  struct kcp_backend_report report;
  int64_t in_flight;                 /* attempts of this VM */
  int64_t sent_tokens;               /* uncached prompt tokens sent since the report */
  int64_t net_attempts_since_report; /* attempts of this VM begun, less those ended, since
                                        then */
};

struct kcp_backend *kcp_backend_new (const struct kcp_member *member);
struct kcp_backend *kcp_backend_ref (struct kcp_backend *backend);
void kcp_backend_unref (struct kcp_backend *backend);
const char *kcp_backend_state_name (enum kcp_backend_state state);

#endif
