#include "settings/settings.h"

#include <stddef.h>

#include "settings/ini.h"

#define PORT_MAX 65535

#define TEXT(group_name, key_name, member, is_required, text)                            \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_TEXT,                      \
    .required = (is_required), .default_string = (text),                                 \
    .offset = offsetof (struct kcp_settings, member)                                     \
  }
#define NAME(group_name, key_name, member)                                               \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_NAME, .required = true,    \
    .offset = offsetof (struct kcp_settings, member)                                     \
  }
#define HEX_KEY(group_name, key_name, member)                                            \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_HEX_KEY, .required = true, \
    .offset = offsetof (struct kcp_settings, member)                                     \
  }
#define INT(group_name, key_name, member, minimum, maximum, default_value)               \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_INT, .min = (minimum),     \
    .max = (maximum), .default_int = (default_value),                                    \
    .offset = offsetof (struct kcp_settings, member)                                     \
  }

static const struct kcp_ini_key keys[] = {
  NAME ("vm", "id", vm_id),
  NAME ("vm", "data_center", vm_data_center),
  INT ("vm", "workers", vm_workers, 1, 64, 2),
  INT ("vm", "drain_notice_ms", vm_drain_notice_ms, 0, 600000, 3000),
  INT ("vm", "drain_limit_ms", vm_drain_limit_ms, 0, 3600000, 600000),
  INT ("vm", "timeline_entries", vm_timeline_entries, 16, 1000000, 16384),
  TEXT ("callers", "address", callers_address, false, "127.0.0.1"),
  INT ("callers", "port", callers_port, 0, PORT_MAX, 8080),
  INT ("callers", "threads", callers_threads, 1, 64, 2),
  INT ("callers", "max_body_bytes", callers_max_body_bytes, 1024, 1 << 30, 8 << 20),
  INT ("callers", "max_bodies_bytes", callers_max_bodies_bytes, 0, 1L << 40, 0),
  INT ("callers", "max_header_bytes", callers_max_header_bytes, 1024, 1 << 20, 8 << 10),
  INT ("callers", "max_connections", callers_max_connections, 1, 65536, 4096),
  INT ("callers", "max_json_depth", callers_max_json_depth, 4, 1024, 64),
  INT ("callers", "idle_timeout_s", callers_idle_timeout_s, 1, 3600, 15),
  INT ("callers", "heartbeat_ms", callers_heartbeat_ms, 50, 600000, 5000),
  INT ("callers", "stream_buffer_bytes", callers_stream_buffer_bytes, 1024, 16 << 20,
       32 << 10),
  INT ("callers", "default_deadline_ms", callers_default_deadline_ms, 1, 86400000,
       300000),
  INT ("callers", "max_deadline_ms", callers_max_deadline_ms, 1, 86400000, 3600000),
  TEXT ("callers", "tls_certificate", callers_tls_certificate, false, NULL),
  TEXT ("callers", "tls_key", callers_tls_key, false, NULL),
  TEXT ("operators", "address", operators_address, false, "127.0.0.1"),
  INT ("operators", "port", operators_port, 0, PORT_MAX, 8081),
  TEXT ("operators", "token", operators_token, true, NULL),
  TEXT ("operators", "tls_certificate", operators_tls_certificate, false, NULL),
  TEXT ("operators", "tls_key", operators_tls_key, false, NULL),
  TEXT ("peers", "address", peers_address, false, "127.0.0.1"),
  INT ("peers", "port", peers_port, 0, PORT_MAX, 8082),
  HEX_KEY ("peers", "key", peers_key),
  INT ("peers", "probe_interval_ms", peers_probe_interval_ms, 10, 60000, 500),
  TEXT ("platform", "log_url", platform_log_url, true, NULL),
  TEXT ("platform", "list_url", platform_list_url, true, NULL),
  INT ("platform", "timeout_ms", platform_timeout_ms, 10, 60000, 1000),
  INT ("platform", "poll_ms", platform_poll_ms, 10, 60000, 500),
  INT ("platform", "checkpoint_records", platform_checkpoint_records, 1, 1000000, 512),
  INT ("platform", "checkpoint_age_s", platform_checkpoint_age_s, 1, 86400, 3600),
  INT ("backends", "connect_timeout_ms", backends_connect_timeout_ms, 1, 60000, 250),
  INT ("backends", "idle_timeout_ms", backends_idle_timeout_ms, 10, 3600000, 5000),
  INT ("backends", "load_poll_ms", backends_load_poll_ms, 10, 60000, 200),
  INT ("backends", "believed_blocks", backends_cache_index_blocks, 1024, 1 << 26,
       1 << 18),
  INT ("backends", "concurrency", backends_concurrency, 1, 65536, 64),
  INT ("backends", "max_loading", backends_max_loading, 1, 64, 2),
  INT ("backends", "order_lease_ms", backends_order_lease_ms, 500, 600000, 5000),
  INT ("booking", "partitions", booking_partitions, 1, 1024, 4),
  INT ("booking", "batch_ms", booking_batch_ms, 0, 1000, 2),
  INT ("booking", "dedupe_window_s", booking_dedupe_window_s, 1, 31536000, 86400),
  INT ("booking", "checkpoint_ms", booking_checkpoint_ms, 100, 86400000, 3600000),
  INT ("booking", "outcome_retry_ms", booking_outcome_retry_ms, 0, 86400000, 600000),
  INT ("retry", "budget_percent", retry_budget_percent, 0, 100, 10),
  INT ("retry", "quarantine_s", quarantine_s, 1, 86400, 3600),
};

static void check_combinations (const char *path, const char *text, const void *user,
                                GPtrArray *errors);
static void check_tls_pair (const char *path, const char *text, const char *group,
                            const char *certificate, const char *key, GPtrArray *errors);

static const struct kcp_ini_table ini_table = {
  .keys = keys,
  .count = G_N_ELEMENTS (keys),
  .size = sizeof (struct kcp_settings),
  .check = check_combinations,
};

/* Reads and checks the settings file at path; see kcp_ini_load(). */
struct kcp_settings *
kcp_settings_load (const char *path, GPtrArray *errors)
{
  return kcp_ini_load (&ini_table, path, errors);
}

/* Parses and checks settings from a string; see kcp_ini_parse(). */
struct kcp_settings *
kcp_settings_parse (const char *path, const char *text, GPtrArray *errors)
{
  return kcp_ini_parse (&ini_table, path, text, errors);
}

/* Frees settings, which may be NULL; see kcp_ini_free(). */
void
kcp_settings_free (struct kcp_settings *settings)
{
  kcp_ini_free (&ini_table, settings);
}

/* Checks the constraints between several keys. */
static void
check_combinations (const char *path, const char *text, const void *user,
                    GPtrArray *errors)
{
  const struct kcp_settings *settings = user;

  check_tls_pair (path, text, "callers", settings->callers_tls_certificate,
                  settings->callers_tls_key, errors);
  check_tls_pair (path, text, "operators", settings->operators_tls_certificate,
                  settings->operators_tls_key, errors);
  if (settings->callers_default_deadline_ms > settings->callers_max_deadline_ms)
    kcp_ini_add_error (errors, path, text, "callers", "default_deadline_ms",
                       "default_deadline_ms", "greater than callers.max_deadline_ms");
}

/* Appends an error if a group contains only one of tls_certificate and tls_key. */
static void
check_tls_pair (const char *path, const char *text, const char *group,
                const char *certificate, const char *key, GPtrArray *errors)
{
  if (certificate != NULL && key == NULL)
    kcp_ini_add_error (errors, path, text, group, "tls_certificate", "tls_key",
                       "missing, required with tls_certificate");
  if (key != NULL && certificate == NULL)
    kcp_ini_add_error (errors, path, text, group, "tls_key", "tls_certificate",
                       "missing, required with tls_key");
}
