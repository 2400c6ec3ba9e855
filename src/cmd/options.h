/* Parses the command line options of the subcommands with GLib. */
#ifndef KCP_CMD_OPTIONS_H
#define KCP_CMD_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

bool kcp_options_parse (int *argc, char ***argv, const GOptionEntry *entries,
                        const char *parameters, const char *example);

#endif
