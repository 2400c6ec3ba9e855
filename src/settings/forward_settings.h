/* Settings of the route command, which forwards requests according to the routes that the
   operators publish. They are read from an INI file. */
#ifndef KCP_SETTINGS_FORWARD_SETTINGS_H
#define KCP_SETTINGS_FORWARD_SETTINGS_H

#include <glib.h>
#include <stdint.h>

/* The key table in forward_settings.c maps the keys of the file to these members and
   contains their ranges and defaults. The strings are owned by the struct. */
struct kcp_forward_settings
{
  char *vm_id;
  char *vm_data_center;
  int64_t vm_memory_mb;      /* memory that the process may use */
  int64_t callers_bodies_mb; /* of all request bodies together; 0: by vm_memory_mb */
  char *callers_listen;      /* all addresses have the form IP:PORT */
  char *ready_listen;
  char *metrics_listen; /* NULL: metrics are not exported */
  char *peers_listen;   /* for datagrams of other VMs */
  char *store_address;
  int64_t store_timeout_ms;
  int64_t store_poll_ms;   /* interval between reads of the store */
  int64_t store_wait_ms;   /* how long the store may hold a read open for new records */
  double drain_grace_s;    /* the process exits at the latest after this time */
  int64_t drain_notice_ms; /* time for the load balancer to notice the drain */
  int64_t servers_heartbeat_ms;    /* interval at which servers write their entries */
  int64_t servers_expiry_grace_ms; /* time to renew entries that a store outage removed */
  int64_t servers_connect_timeout_ms;
  int64_t servers_ack_timeout_ms; /* limit for data or probes not acknowledged */
  int64_t servers_max_idle_s;     /* idle time after which a connection is not reused */
  int64_t servers_leaving_ms; /* how long a server runs after it says that it leaves */
  double retry_ratio;         /* retries allowed per request */
  double retry_burst;         /* retries allowed in addition to the ratio */
  double retry_window_s;      /* period over which requests and retries are counted */
  double quotas_window_s;     /* see struct kcp_quota_tolerance */
  double quotas_overage;
  double quotas_slack;
  int64_t weights_replace_ms; /* how long replaced weights may be used */
  int64_t orders_min_gap_ms;  /* minimum time between the orders of two VMs */
};

struct kcp_forward_settings *
kcp_forward_settings_load (const char *path, GPtrArray *errors);
struct kcp_forward_settings *
kcp_forward_settings_parse (const char *path, const char *text, GPtrArray *errors);
void kcp_forward_settings_free (struct kcp_forward_settings *settings);
void kcp_forward_settings_compare (const struct kcp_forward_settings *before,
                                   const struct kcp_forward_settings *after,
                                   GString *at_once, GString *at_restart);

#endif
