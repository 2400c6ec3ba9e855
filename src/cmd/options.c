#include "cmd/options.h"

#include <stdio.h>

/* Parses the options of a subcommand. example is shown by --help. Returns false after
   printing an error message to standard error. */
bool
kcp_options_parse (int *argc, char ***argv, const GOptionEntry *entries,
                   const char *parameters, const char *example)
{
  g_autoptr (GOptionContext) context = g_option_context_new (parameters);
  g_autofree char *description = g_strconcat ("Example:\n  ", example, NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, description);
  if (g_option_context_parse (context, argc, argv, &error))
    return true;
  (void)fprintf (stderr, "kingcuppoint: %s\n", error->message);
  return false;
}
