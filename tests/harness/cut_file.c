#include "tests/harness/cut_file.h"

#include <glib.h>

/* Has the processes that are started from now on read cut files. */
void
cut_file_begin_preload (void)
{
  const char *build = g_getenv ("BUILD") != NULL ? g_getenv ("BUILD") : "build";
  g_autofree char *folder = g_get_current_dir ();
  g_autofree char *library
      = g_build_filename (g_path_is_absolute (build) ? "" : folder, build, "tests",
                          "preload", "cut_paths.so", NULL);

  if (!g_file_test (library, G_FILE_TEST_EXISTS))
    g_error ("there is no %s", library);
  (void)g_setenv ("ASAN_OPTIONS", "verify_asan_link_order=0", TRUE);
  (void)g_setenv ("LD_PRELOAD", library, TRUE);
}

/* Ends what cut_file_begin_preload() began. */
void
cut_file_end_preload (void)
{
  g_unsetenv ("LD_PRELOAD");
}

/* Returns the cut file of a VM with these settings, to be freed with g_free(). */
char *
cut_file_path (const char *settings_path)
{
  return g_strconcat (settings_path, ".cut", NULL);
}

/* Writes a cut file, which takes effect at once. Returns false if that failed. */
bool
cut_file_write (const char *path, const struct cut_file *cut)
{
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_printf (text, "%d %d", cut->silent_port, cut->live_on);
  for (size_t i = 0; i < cut->count; i++)
    g_string_append_printf (text, " %d", cut->ports[i]);
  return g_file_set_contents (path, text->str, -1, NULL);
}
