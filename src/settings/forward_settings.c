#include "settings/forward_settings.h"

#include "settings/ini.h"

#define MEMBER(member) offsetof (struct kcp_forward_settings, member)
#define ADDRESS(group_name, key_name, member, is_required)                               \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_ADDRESS,                   \
    .required = (is_required), .offset = MEMBER (member)                                 \
  }
#define NAME(group_name, key_name, member)                                               \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_NAME, .required = true,    \
    .offset = MEMBER (member)                                                            \
  }
#define INT(group_name, key_name, member, minimum, maximum, default_value)               \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_INT, .min = (minimum),     \
    .max = (maximum), .default_int = (default_value), .offset = MEMBER (member)          \
  }
#define REAL(group_name, key_name, member, minimum, maximum, default_value)              \
  {                                                                                      \
    .group = (group_name), .key = (key_name), .type = KCP_INI_REAL, .min = (minimum),    \
    .max = (maximum), .default_real = (default_value), .offset = MEMBER (member)         \
  }

static const struct kcp_ini_key keys[] = {
  NAME ("vm", "id", vm_id),
  NAME ("vm", "data_center", vm_data_center),
  INT ("vm", "memory_mb", vm_memory_mb, 16, 1 << 20, 256),
  ADDRESS ("callers", "listen", callers_listen, true),
  INT ("callers", "bodies_mb", callers_bodies_mb, 0, 1 << 20, 0),
  ADDRESS ("ready", "listen", ready_listen, true),
  ADDRESS ("metrics", "listen", metrics_listen, false),
  ADDRESS ("peers", "listen", peers_listen, true),
  ADDRESS ("store", "address", store_address, true),
  INT ("store", "timeout_ms", store_timeout_ms, 10, 60000, 800),
  INT ("store", "poll_ms", store_poll_ms, 10, 60000, 700),
  INT ("store", "wait_ms", store_wait_ms, 0, 30000, 1500),
  REAL ("drain", "grace_s", drain_grace_s, 1, 3600, 8),
  INT ("drain", "notice_ms", drain_notice_ms, 0, 600000, 2600),
  INT ("servers", "heartbeat_ms", servers_heartbeat_ms, 10, 60000, 1200),
  INT ("servers", "lapse_ms", servers_expiry_grace_ms, 0, 60000, 2300),
  INT ("servers", "connect_ms", servers_connect_timeout_ms, 1, 60000, 250),
  INT ("servers", "silence_ms", servers_ack_timeout_ms, 0, 60000, 1200),
  INT ("servers", "kept_s", servers_max_idle_s, 1, 3600, 3),
  INT ("servers", "leaving_ms", servers_leaving_ms, 0, 3600000, 2000),
  REAL ("retry", "ratio", retry_ratio, 0, 1, 0.1),
  REAL ("retry", "burst", retry_burst, 1, 100000, 10),
  REAL ("retry", "window_s", retry_window_s, 1, 3600, 10),
  REAL ("quotas", "window_s", quotas_window_s, 0, 3600, 0),
  REAL ("quotas", "overage", quotas_overage, 0, 1, 0),
  REAL ("quotas", "slack", quotas_slack, 0, 1e12, 0),
  INT ("weights", "replace_ms", weights_replace_ms, 100, 3600000, 10000),
  INT ("orders", "turn_ms", orders_min_gap_ms, 100, 600000, 3000),
};

static const struct kcp_ini_table ini_table = {
  .keys = keys,
  .count = G_N_ELEMENTS (keys),
  .size = sizeof (struct kcp_forward_settings),
};

/* Reads and checks the settings file at path; see kcp_ini_load(). */
struct kcp_forward_settings *
kcp_forward_settings_load (const char *path, GPtrArray *errors)
{
  return kcp_ini_load (&ini_table, path, errors);
}

/* Parses and checks settings from a string; see kcp_ini_parse(). */
struct kcp_forward_settings *
kcp_forward_settings_parse (const char *path, const char *text, GPtrArray *errors)
{
  return kcp_ini_parse (&ini_table, path, text, errors);
}

/* Frees settings, which may be NULL; see kcp_ini_free(). */
void
kcp_forward_settings_free (struct kcp_forward_settings *settings)
{
  kcp_ini_free (&ini_table, settings);
}

/* Compares two settings and appends the names of the keys that differ, separated by
   commas, to one of two strings: numbers, which take effect immediately, to at_once, and
   names and addresses, which require a restart, to at_restart. */
void
kcp_forward_settings_compare (const struct kcp_forward_settings *before,
                              const struct kcp_forward_settings *after, GString *at_once,
                              GString *at_restart)
{
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      const struct kcp_ini_key *key = &keys[i];
      bool is_number = key->type == KCP_INI_INT || key->type == KCP_INI_REAL;
      GString *list = is_number ? at_once : at_restart;

      if (!kcp_ini_values_equal (key, before, after))
        g_string_append_printf (list, "%s%s.%s", list->len > 0 ? "," : "", key->group,
                                key->key);
    }
}
