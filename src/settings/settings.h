/* Settings of the serve command, read from an INI file. */
#ifndef KCP_SETTINGS_SETTINGS_H
#define KCP_SETTINGS_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The key table in settings.c maps the keys of the file to these members and contains
   their ranges and defaults. The strings are owned by the struct. */
struct kcp_settings
{
  char *vm_id;
  char *vm_data_center;
  int64_t vm_workers;         /* threads that make HTTP calls to backend servers */
  int64_t vm_drain_notice_ms; /* time for others to notice the drain */
  int64_t vm_drain_limit_ms;  /* how long a drain waits for requests in flight */
  int64_t vm_timeline_entries;
  char *callers_address;
  int64_t callers_port;
  int64_t callers_threads;
  int64_t callers_max_body_bytes;
  int64_t callers_max_bodies_bytes; /* all bodies together; 0: by the line above */
  int64_t callers_max_header_bytes;
  int64_t callers_max_connections;
  int64_t callers_max_json_depth;
  int64_t callers_idle_timeout_s;
  int64_t callers_heartbeat_ms; /* interval between comments on an idle stream */
  int64_t callers_stream_buffer_bytes;
  int64_t callers_default_deadline_ms;
  int64_t callers_max_deadline_ms;
  char *callers_tls_certificate;
  char *callers_tls_key;
  char *operators_address;
  int64_t operators_port;
  char *operators_token;
  char *operators_tls_certificate;
  char *operators_tls_key;
  char *peers_address;
  int64_t peers_port;
  char *peers_key;
  int64_t peers_probe_interval_ms;
  char *platform_log_url;
  char *platform_list_url;
  int64_t platform_timeout_ms;
  int64_t platform_poll_ms;
  int64_t platform_checkpoint_records; /* records after which a checkpoint is appended */
  int64_t platform_checkpoint_age_s;   /* age at which a newer one is appended */
  int64_t backends_connect_timeout_ms;
  int64_t backends_idle_timeout_ms;
  int64_t backends_load_poll_ms;
  int64_t backends_concurrency;        /* maximum requests in flight per server */
  int64_t backends_cache_index_blocks; /* capacity of the cache index */
  int64_t backends_max_loading;        /* engines that may load weights at a time */
  int64_t backends_order_lease_ms;
  int64_t booking_partitions;
  int64_t booking_batch_ms; /* how long an entry waits for others to share its append */
  int64_t booking_dedupe_window_s; /* how long idempotency keys are remembered */
  int64_t booking_checkpoint_ms;
  int64_t booking_outcome_retry_ms; /* how long appends of an outcome are retried */
  int64_t retry_budget_percent;
  int64_t quarantine_s;
};

struct kcp_settings *kcp_settings_load (const char *path, GPtrArray *errors);
struct kcp_settings *
kcp_settings_parse (const char *path, const char *text, GPtrArray *errors);
void kcp_settings_free (struct kcp_settings *settings);

#endif
