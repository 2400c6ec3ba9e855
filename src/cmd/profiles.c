#include <stdio.h>
#include <stdlib.h>

#include "cmd/admin_client.h"
#include "cmd/cmd.h"
#include "cmd/options.h"

static bool print_list (const struct kcp_admin_client *client, const char *path);
static bool print_one (const struct kcp_admin_client *client, const char *name);

/* Lists the profiles and teams in force, or prints one profile as JSON. */
int
kcp_cmd_profiles (int argc, char **argv)
{
  g_autofree char *url = NULL;
  g_autofree char *token_path = NULL;
  const GOptionEntry entries[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING, &url, "admin API of any VM", "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_path,
      "file with the operators' token, in place of KINGCUPPOINT_TOKEN", "FILE" },
    { 0 },
  };
  struct kcp_admin_client client;
  bool done;

  if (!kcp_options_parse (&argc, &argv, entries, "[NAME]",
                          "kingcuppoint profiles urgent --admin http://10.0.0.5:8081"))
    return KCP_EXIT_USAGE;
  if (!kcp_admin_client_init (&client, url, token_path) || argc > 2)
    {
      kcp_admin_client_clear (&client);
      return KCP_EXIT_USAGE;
    }
  if (argc == 2)
    done = print_one (&client, argv[1]);
  else
    done = print_list (&client, "/admin/v1/profiles")
           && print_list (&client, "/admin/v1/teams");
  kcp_admin_client_clear (&client);
  return done ? KCP_EXIT_OK : KCP_EXIT_FAILED;
}

static bool
print_list (const struct kcp_admin_client *client, const char *path)
{
  json_t *list = kcp_admin_client_get (client, path);
  const char *key;
  json_t *version;

  if (list == NULL)
    return false;
  json_object_foreach (list, key, version)
  {
    (void)printf ("%-40s version %" JSON_INTEGER_FORMAT "\n", key,
                  json_integer_value (version));
  }
  json_decref (list);
  return true;
}

/* Prints a document to standard output, and to standard error its ETag, which can be
   passed to "publish --base". */
static bool
print_one (const struct kcp_admin_client *client, const char *name)
{
  g_autofree char *path = g_strconcat ("/admin/v1/profiles/", name, NULL);
  struct kcp_http_answer answer;
  bool done = kcp_admin_client_run (client, NULL, path, NULL, NULL, &answer);
  char *text = done ? json_dumps (answer.body, JSON_INDENT (2)) : NULL;

  if (done)
    {
      (void)puts (text);
      (void)fprintf (stderr, "ETag: %s\n", answer.etag);
    }
  free (text);
  kcp_http_answer_clear (&answer);
  return done;
}
