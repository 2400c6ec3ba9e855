#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/document_file.h"
#include "cmd/options.h"
#include "settings/forward_settings.h"
#include "settings/settings.h"

static int check_settings (const char *path);
static bool has_route_settings (const char *path);
static int check_profiles (char **paths);

/* Validates a settings file, or profile and team files. Prints all errors of a settings
   file, but only the first error of each profile or team file. */
int
kcp_cmd_check (int argc, char **argv)
{
  g_autofree char *settings = NULL;
  g_auto (GStrv) profiles = NULL;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &settings, "settings to validate",
      "FILE" },
    { "profile", 'p', 0, G_OPTION_ARG_FILENAME_ARRAY, &profiles,
      "profile or team to validate; may be repeated", "FILE" },
    { 0 },
  };

  if (!kcp_options_parse (&argc, &argv, entries, NULL,
                          "kingcuppoint check --settings kingcuppoint.ini"))
    return KCP_EXIT_USAGE;
  if ((settings == NULL) == (profiles == NULL) || argc > 1)
    {
      (void)fprintf (stderr, "kingcuppoint: check: give --settings or --profile\n");
      return KCP_EXIT_USAGE;
    }
  return settings != NULL ? check_settings (settings) : check_profiles (profiles);
}

static int
check_settings (const char *path)
{
  g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
  struct kcp_forward_settings *forward = NULL;
  struct kcp_settings *settings = NULL;
  bool valid;

  if (has_route_settings (path))
    forward = kcp_forward_settings_load (path, errors);
  else
    settings = kcp_settings_load (path, errors);
  for (guint i = 0; i < errors->len; i++)
    (void)fprintf (stderr, "%s\n", (char *)g_ptr_array_index (errors, i));
  valid = forward != NULL || settings != NULL;
  kcp_forward_settings_free (forward);
  kcp_settings_free (settings);
  return valid ? KCP_EXIT_OK : KCP_EXIT_USAGE;
}

/* Returns true if the file contains settings of the route command, the only ones with a
   [store] group. */
static bool
has_route_settings (const char *path)
{
  g_autofree char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return false;
  return g_str_has_prefix (text, "[store]") || strstr (text, "\n[store]") != NULL;
}

static int
check_profiles (char **paths)
{
  int code = KCP_EXIT_OK;

  for (char **path = paths; *path != NULL; path++)
    {
      struct kcp_document_file file;

      if (kcp_document_file_load (*path, &file))
        kcp_document_file_clear (&file);
      else
        code = KCP_EXIT_USAGE;
    }
  return code;
}
