#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/admin_client.h"
#include "cmd/cmd.h"
#include "cmd/options.h"

struct filter
{
  char *request;
  char *vm;
  char *kind;
};

static bool add_admin (GPtrArray *events, const char *url, const char *token_path);
static bool add_file (GPtrArray *events, const char *path);
static void add_events (GPtrArray *events, const json_t *list);
static int compare (gconstpointer a, gconstpointer b);
static bool matches (const struct filter *filter, const json_t *event);
static bool member_is (const json_t *event, const char *member, const char *wanted);
static void print_events (const GPtrArray *events, const struct filter *filter);
static void release (gpointer event);

/* Merges the time lines of processes into one, ordered by stamp, as JSON lines. */
int
kcp_cmd_timeline (int argc, char **argv)
{
  g_auto (GStrv) urls = NULL;
  g_autofree char *token_path = NULL;
  struct filter filter = { 0 };
  const GOptionEntry entries[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &urls,
      "admin API of a VM; may be repeated", "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_path,
      "file with the operators' token, in place of KINGCUPPOINT_TOKEN", "FILE" },
    { "request", 'r', 0, G_OPTION_ARG_STRING, &filter.request, "only this request",
      "ID" },
    { "vm", 'v', 0, G_OPTION_ARG_STRING, &filter.vm, "only this VM", "NAME" },
    { "kind", 'k', 0, G_OPTION_ARG_STRING, &filter.kind, "only this kind of event",
      "KIND" },
    { 0 },
  };
  g_autoptr (GPtrArray) events = g_ptr_array_new_with_free_func (release);
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
  g_ptr_array_sort (events, compare);
  print_events (events, &filter);
  code = done ? KCP_EXIT_OK : KCP_EXIT_FAILED;
out:
  g_free (filter.request);
  g_free (filter.vm);
  g_free (filter.kind);
  return code;
}

static bool
add_admin (GPtrArray *events, const char *url, const char *token_path)
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
add_file (GPtrArray *events, const char *path)
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
add_events (GPtrArray *events, const json_t *list)
{
  json_t *event;
  size_t i;

  if (json_is_object (list))
    g_ptr_array_add (events, json_incref ((json_t *)list));
  json_array_foreach (list, i, event)
  {
    g_ptr_array_add (events, json_incref (event));
  }
}

/* Orders by stamp, then by VM, so that the result does not depend on the order of
   arguments. */
static int
compare (gconstpointer a, gconstpointer b)
{
  const json_t *first = *(json_t *const *)a;
  const json_t *second = *(json_t *const *)b;
  json_int_t x = json_integer_value (json_object_get (first, "stamp"));
  json_int_t y = json_integer_value (json_object_get (second, "stamp"));

  if (x != y)
    return x < y ? -1 : 1;
  return g_strcmp0 (json_string_value (json_object_get (first, "vm")),
                    json_string_value (json_object_get (second, "vm")));
}

static bool
matches (const struct filter *filter, const json_t *event)
{
  return member_is (event, "request", filter->request)
         && member_is (event, "vm", filter->vm)
         && member_is (event, "event", filter->kind);
}

static bool
member_is (const json_t *event, const char *member, const char *wanted)
{
  return wanted == NULL
         || g_strcmp0 (json_string_value (json_object_get (event, member)), wanted) == 0;
}

static void
print_events (const GPtrArray *events, const struct filter *filter)
{
  for (guint i = 0; i < events->len; i++)
    {
      const json_t *event = g_ptr_array_index (events, i);
      char *text;

      if (!matches (filter, event))
        continue;
      text = json_dumps (event, JSON_COMPACT);
      (void)puts (text);
      free (text);
    }
}

static void
release (gpointer event)
{
  json_decref (event);
}
