#include <stdio.h>
#include <stdlib.h>

#include "base/timeline_merge.h"
#include "cmd/admin_client.h"
#include "cmd/cmd.h"
#include "cmd/json_lines.h"
#include "cmd/options.h"

static bool add_admin (json_t *events, const char *url, const char *token_path);
static void print_events (const json_t *events);

/* Merges the timelines of processes and prints the events in JSON Lines format, sorted by
   stamp. */
int
kcp_cmd_timeline (int argc, char **argv)
{
  g_auto (GStrv) urls = NULL;
  g_autofree char *token_path = NULL;
  g_autofree char *request = NULL;
  g_autofree char *vm = NULL;
  g_autofree char *kind = NULL;
  const GOptionEntry entries[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &urls,
      "admin API of a VM; may be repeated", "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_path,
      "file with the operators' token, in place of KINGCUPPOINT_TOKEN", "FILE" },
    { "request", 'r', 0, G_OPTION_ARG_STRING, &request, "only this request", "ID" },
    { "vm", 'v', 0, G_OPTION_ARG_STRING, &vm, "only this VM", "NAME" },
    { "kind", 'k', 0, G_OPTION_ARG_STRING, &kind, "only this kind of event", "KIND" },
    { 0 },
  };
  json_t *events = json_array ();
  json_t *merged;
  int code = KCP_EXIT_USAGE;
  bool done = true;

  if (!kcp_options_parse (&argc, &argv, entries, "[FILE…]",
                          "kingcuppoint timeline --admin http://10.0.0.5:8081 "
                          "--admin http://10.0.0.6:8081 --kind refused"))
    goto out;
  if (urls == NULL && argc < 2)
    {
      (void)fprintf (stderr, "kingcuppoint: timeline: give --admin URL or FILE\n");
      goto out;
    }
  for (char **url = urls; url != NULL && *url != NULL; url++)
    done = add_admin (events, *url, token_path) && done;
  for (int i = 1; i < argc; i++)
    done = kcp_json_lines_read (events, argv[i], KCP_JSON_LINES_STRICT) && done;
  merged = kcp_timeline_merge (
      &events, 1,
      &(struct kcp_timeline_filter){ .request = request, .vm = vm, .event = kind });
  print_events (merged);
  json_decref (merged);
  code = done ? KCP_EXIT_OK : KCP_EXIT_FAILED;
out:
  json_decref (events);
  return code;
}

static bool
add_admin (json_t *events, const char *url, const char *token_path)
{
  struct kcp_admin_client client;
  json_t *list = NULL;

  if (kcp_admin_client_init (&client, url, token_path))
    list = kcp_admin_client_get (&client, "/admin/v1/timeline");
  kcp_admin_client_clear (&client);
  json_array_extend (events, list);
  json_decref (list);
  return list != NULL;
}

static void
print_events (const json_t *events)
{
  json_t *event;
  size_t i;

  json_array_foreach (events, i, event)
  {
    char *text = json_dumps (event, JSON_COMPACT);

    (void)puts (text);
    free (text);
  }
}
