#include <stdio.h>
#include <stdlib.h>

#include "base/timeline_merge.h"
#include "cmd/admin_client.h"
#include "cmd/cmd.h"
#include "cmd/options.h"

static bool add_admin (json_t *events, const char *url, const char *token_path);
static bool add_file (json_t *events, const char *path);
static void add_events (json_t *events, json_t *list);
static void print_events (const json_t *events);

/* Merges the time lines of processes into one, ordered by stamp, as JSON lines. */
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
    done = add_file (events, argv[i]) && done;
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
  add_events (events, list);
  json_decref (list);
  return list != NULL;
}

/* Reads a file that holds the answer of /admin/v1/timeline, or JSON lines as printed
   here. */
static bool
add_file (json_t *events, const char *path)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      (void)fprintf (stderr, "kingcuppoint: %s\n", error->message);
      return false;
    }
  lines = g_strsplit (text, "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    {
      json_error_t where;
      json_t *line;

      if (lines[i][0] == '\0')
        continue;
      line = json_loads (lines[i], 0, &where);
      if (line == NULL)
        {
          (void)fprintf (stderr, "%s:%d: %s\n", path, i + 1, where.text);
          return false;
        }
      add_events (events, line);
      json_decref (line);
    }
  return true;
}

/* Takes an array of events or one event. */
static void
add_events (json_t *events, json_t *list)
{
  if (json_is_object (list))
    json_array_append (events, list);
  else
    json_array_extend (events, list);
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
