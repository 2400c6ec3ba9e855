/* The settings of a VM that routes by the operators' routes, read from an INI file. */
#ifndef KCP_SETTINGS_FORWARD_SETTINGS_H
#define KCP_SETTINGS_FORWARD_SETTINGS_H

#include <glib.h>
#include <stdint.h>

/* Every member is filled from the key table in forward_settings.c. Texts are owned. */
struct kcp_forward_settings
{
  char *vm_id;
  char *vm_data_center;
  char *callers_listen; /* addresses are IP:PORT */
  char *ready_listen;
  char *metrics_listen; /* NULL: none */
  char *peers_listen;   /* datagrams of other VMs */
  char *store_address;
  int64_t store_timeout_ms;
  int64_t store_poll_ms;
  int64_t store_wait_ms;
  double drain_grace_s;
  int64_t drain_notice_ms;
  int64_t servers_lapse_ms;
  int64_t servers_connect_ms;
  int64_t servers_silence_ms;
  int64_t servers_kept_s;
  double retry_ratio;
  double retry_burst;
  double retry_window_s;
  int64_t weights_replace_ms;
  int64_t orders_turn_ms;
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
