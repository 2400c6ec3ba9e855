#include <stdio.h>

#include "cmd/admin_client.h"
#include "cmd/cmd.h"
#include "cmd/options.h"
#include "cmd/table.h"

static bool print_status (const struct kcp_admin_client *client);

static const struct kcp_table_column config_columns[] = {
  { "CONFIGURATION OF", "vm", 20 },
  { "VERSION", "version", 10 },
  { "LOADED", "loaded", 7 },
  { "LOG GAP", "gap", 8 },
  { "AHEAD", "ahead_of_log", 6 },
  { "AGE MS", "age_ms", 0 },
  { NULL, NULL, 0 },
};

static const struct kcp_table_column vm_columns[] = {
  { "VM", "vm", 20 },       { "DATA CENTER", "data_center", 20 },
  { "STATE", "state", 10 }, { "VERSION IN FORCE", "version", 0 },
  { NULL, NULL, 0 },
};

static const struct kcp_table_column server_columns[] = {
  { "BACKEND SERVER", "id", 20 }, { "DATA CENTER", "data_center", 20 },
  { "STATE", "state", 10 },       { "MODEL", "model", 20 },
  { "WEIGHTS", "weights", 10 },   { "IN FLIGHT", "in_flight", 9 },
  { "WAITING", "waiting", 0 },    { NULL, NULL, 0 },
};

/* Prints the configuration in force, the VMs and the backend servers known to one VM. */
int
kcp_cmd_status (int argc, char **argv)
{
  g_autofree char *url = NULL;
  g_autofree char *token_path = NULL;
  const GOptionEntry entries[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING, &url, "admin API of a VM", "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_path,
      "file with the operators' token, in place of KINGCUPPOINT_TOKEN", "FILE" },
    { 0 },
  };
  struct kcp_admin_client client;
  bool done;

  if (!kcp_options_parse (&argc, &argv, entries, NULL,
                          "kingcuppoint status --admin http://10.0.0.5:8081"))
    return KCP_EXIT_USAGE;
  if (!kcp_admin_client_init (&client, url, token_path) || argc > 1)
    {
      kcp_admin_client_clear (&client);
      return KCP_EXIT_USAGE;
    }
  done = print_status (&client);
  kcp_admin_client_clear (&client);
  return done ? KCP_EXIT_OK : KCP_EXIT_FAILED;
}

static bool
print_status (const struct kcp_admin_client *client)
{
  json_t *config = kcp_admin_client_get (client, "/admin/v1/config");
  json_t *servers = kcp_admin_client_get (client, "/admin/v1/backend-servers");
  bool done = config != NULL && servers != NULL;

  if (done)
    {
      kcp_table_print_header (config_columns);
      kcp_table_print_row (config_columns, config);
      (void)putchar ('\n');
      kcp_table_print (vm_columns, json_object_get (config, "vms"));
      (void)putchar ('\n');
      kcp_table_print (server_columns, servers);
    }
  json_decref (config);
  json_decref (servers);
  return done;
}
