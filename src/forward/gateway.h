/* State that all requests of a VM share. Not thread-safe: it is used on the event loop's
   thread only, without locks. */
#ifndef KCP_FORWARD_GATEWAY_H
#define KCP_FORWARD_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/crash_watch.h"
#include "forward/dialect.h"
#include "forward/http_client.h"
#include "forward/loop.h"
#include "forward/prefix_index.h"
#include "forward/reach_watch.h"
#include "forward/servers.h"
#include "policy/answer_limits.h"
#include "policy/answered_parts.h"
#include "policy/body_memory.h"
#include "policy/quarantine.h"
#include "policy/resend.h"
#include "policy/suspect.h"
#include "quota/quotas.h"
#include "route/routes.h"
#include "settings/forward_settings.h"

#define KCP_DESIRED_VERSIONS_MAX 16

struct kcp_desired_version
{
  int64_t version;
  int64_t not_before_ns; /* it was not desired before; see kcp_topic_end */
};

/* The versions of a model's weights that operators requested, as known to this VM. */
struct kcp_desired_weights
{
  char *model;
  int64_t version;                                               /* newest */
  struct kcp_desired_version versions[KCP_DESIRED_VERSIONS_MAX]; /* newest first */
  unsigned count;
};

struct kcp_mesh;
struct kcp_blocked_store;
struct kcp_software_versions;
struct kcp_feed;
struct kcp_stream_records;
struct kcp_resume_lookups;

struct kcp_gateway
{
  const struct kcp_forward_settings *settings;
  const struct kcp_dialect *dialect;
  const struct kcp_clock *clock;
  struct kcp_loop *loop;
  struct kcp_http_client *client;
  struct kcp_routes *routes; /* in force; NULL: none received yet */
  struct kcp_servers *servers;
  GPtrArray *desired_weights; /* struct kcp_desired_weights */
  GHashTable *budgets;        /* service -> struct kcp_resend_budget */
  struct kcp_prefix_index *prefixes;
  struct kcp_crash_watch *crash_watch;
  struct kcp_reach_watch *reach_watch;
  struct kcp_version_checks *version_checks;
  /* By enum kcp_suspect_kind; see forward/crash_suspects.h. */
  struct kcp_quarantine *quarantines[KCP_SUSPECT_KINDS];
  struct kcp_answered_parts *answered_parts;
  struct kcp_blocked_store *blocked_store; /* NULL: blocked requests are not stored */
  struct kcp_suspect_store *suspect_store; /* NULL: suspects are not stored */
  struct kcp_feed *feed; /* of the servers' list and the configuration; NULL: none */
  struct kcp_software_versions *software_versions; /* NULL: not kept */
  struct kcp_stream_records *stream_records;       /* NULL: not kept */
  struct kcp_resume_lookups *resume_lookups; /* NULL: streams go on at any version */
  struct kcp_mesh *mesh;                     /* exchange with other VMs; NULL: none */
  bool draining;             /* the load balancer is asked to send no connections */
  bool closing;              /* new requests are refused; the balancer sends none */
  struct kcp_quotas *quotas; /* of teams */
  int64_t quotas_version;    /* configuration by which they were set */
  uint64_t quotas_view;      /* of the VMs, likewise */
  bool has_quotas;           /* some team has one, likewise */
  struct kcp_loop_timer quotas_timer;
  unsigned open_requests;
  size_t answer_bytes;           /* memory of the answers of all open requests */
  struct kcp_body_memory bodies; /* of all requests */
  int64_t speeds_ns;             /* when the servers' slowness was last computed */
  unsigned sharing_vms;          /* VMs among which bursts of retries are divided */
};

void kcp_gateway_init (struct kcp_gateway *gateway,
                       const struct kcp_forward_settings *settings,
                       const struct kcp_dialect *dialect, const struct kcp_clock *clock);
void kcp_gateway_clear (struct kcp_gateway *gateway);
bool kcp_gateway_set_routes (struct kcp_gateway *gateway, struct kcp_routes *routes);
void kcp_gateway_add_desired_weights (struct kcp_gateway *gateway, const char *model,
                                      int64_t version, int64_t not_before_ns);
int64_t kcp_desired_weights_replaced_ns (const struct kcp_desired_weights *desired,
                                         int64_t version);
int64_t
kcp_gateway_replace_left_ns (const struct kcp_gateway *gateway, const char *model);
const struct kcp_desired_weights *
kcp_gateway_desired_weights (const struct kcp_gateway *gateway, const char *model);
struct kcp_resend_budget *
kcp_gateway_retry_budget (struct kcp_gateway *gateway, const char *service);
bool kcp_gateway_is_ready (const struct kcp_gateway *gateway);

#endif
