#include <stdio.h>
#include <string.h>

#include "cmd/admin_client.h"
#include "cmd/cmd.h"
#include "cmd/document_file.h"
#include "cmd/options.h"

static bool load_files (char **paths, GArray *files);
static bool publish (const struct kcp_admin_client *client,
                     const struct kcp_document_file *file, const char *base);
static bool start_over (const struct kcp_admin_client *client, const GArray *files);
static bool publish_files (const struct kcp_admin_client *client, const GArray *files,
                           const char *base);
static void print_answer (const struct kcp_document_file *file, json_t *answer);
static void print_names (const char *label, json_t *names);
static void clear_file (gpointer file);

/* Validates all files, then publishes them in the given order and stops at the first one
   that is refused. With --start-over, publishes them together as the complete
   configuration. */
int
kcp_cmd_publish (int argc, char **argv)
{
  g_autofree char *url = NULL;
  g_autofree char *token_path = NULL;
  g_autofree char *base = NULL;
  gboolean is_start_over = FALSE;
  g_autoptr (GArray) files
      = g_array_new (FALSE, FALSE, sizeof (struct kcp_document_file));
  const GOptionEntry entries[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING, &url, "admin API of any VM", "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_path,
      "file with the operators' token, in place of KINGCUPPOINT_TOKEN", "FILE" },
    { "base", 'b', 0, G_OPTION_ARG_STRING, &base,
      "ETag that the one FILE is based on; by default the version in force", "ETAG" },
    { "start-over", 0, 0, G_OPTION_ARG_NONE, &is_start_over,
      "publish the files as the complete configuration when no VM holds one any more",
      NULL },
    { 0 },
  };
  struct kcp_admin_client client;
  bool done;

  g_array_set_clear_func (files, clear_file);
  if (!kcp_options_parse (
          &argc, &argv, entries, "FILE…",
          "kingcuppoint publish urgent.json --admin http://10.0.0.5:8081"))
    return KCP_EXIT_USAGE;
  if (argc < 2 || (base != NULL && (argc > 2 || is_start_over)))
    {
      (void)fprintf (stderr, "kingcuppoint: publish: give FILE, one only with --base\n");
      return KCP_EXIT_USAGE;
    }
  if (!load_files (argv + 1, files))
    return KCP_EXIT_USAGE;
  if (!kcp_admin_client_init (&client, url, token_path))
    {
      kcp_admin_client_clear (&client);
      return KCP_EXIT_USAGE;
    }
  done = is_start_over ? start_over (&client, files)
                       : publish_files (&client, files, base);
  kcp_admin_client_clear (&client);
  return done ? KCP_EXIT_OK : KCP_EXIT_FAILED;
}

static bool
publish_files (const struct kcp_admin_client *client, const GArray *files,
               const char *base)
{
  bool done = true;

  for (guint i = 0; i < files->len && done; i++)
    done = publish (client, &g_array_index (files, struct kcp_document_file, i), base);
  return done;
}

static bool
start_over (const struct kcp_admin_client *client, const GArray *files)
{
  json_t *documents = json_object ();
  json_t *body = json_pack ("{so}", "documents", documents);
  struct kcp_http_answer answer;
  bool done;

  for (guint i = 0; i < files->len; i++)
    {
      const struct kcp_document_file *file
          = &g_array_index (files, struct kcp_document_file, i);

      json_object_set (documents, file->key, file->document);
    }
  done = kcp_admin_client_run (client, "PUT", "/admin/v1/config", body, NULL, &answer);
  if (done)
    (void)printf ("configuration version %" JSON_INTEGER_FORMAT "\n",
                  json_integer_value (json_object_get (answer.body, "version")));
  json_decref (body);
  kcp_http_answer_clear (&answer);
  return done;
}

/* Loads all files, even after an error, so that the errors of every file are printed. */
static bool
load_files (char **paths, GArray *files)
{
  bool valid = true;

  for (char **path = paths; *path != NULL; path++)
    {
      struct kcp_document_file file;

      if (kcp_document_file_load (*path, &file))
        g_array_append_val (files, file);
      else
        valid = false;
    }
  return valid;
}

static bool
publish (const struct kcp_admin_client *client, const struct kcp_document_file *file,
         const char *base)
{
  g_autofree char *path = g_strconcat ("/admin/v1/", file->key, NULL);
  g_autofree char *header = base != NULL ? g_strconcat ("If-Match: ", base, NULL) : NULL;
  struct kcp_http_answer answer;
  bool done = kcp_admin_client_run (client, "PUT", path, file->document, header, &answer);

  if (done)
    print_answer (file, answer.body);
  kcp_http_answer_clear (&answer);
  return done;
}

static void
print_answer (const struct kcp_document_file *file, json_t *answer)
{
  (void)printf ("%s version %" JSON_INTEGER_FORMAT, file->key,
                json_integer_value (json_object_get (answer, "version")));
  print_names (" in force on", json_object_get (answer, "in_force"));
  print_names ("; not confirmed by", json_object_get (answer, "not_confirmed"));
  (void)putchar ('\n');
}

static void
print_names (const char *label, json_t *names)
{
  json_t *name;
  size_t i;

  if (json_array_size (names) > 0)
    (void)fputs (label, stdout);
  json_array_foreach (names, i, name)
  {
    (void)printf ("%s %s", i > 0 ? "," : "", json_string_value (name));
  }
}

static void
clear_file (gpointer file)
{
  kcp_document_file_clear (file);
}
