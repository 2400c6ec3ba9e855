#include <curl/curl.h>
#include <locale.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/options.h"
#include "cmd/signals.h"

#define VERSION "0.1.0"

struct command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
  bool keeps_signals; /* until it can act on them, see cmd/signals.h */
};

static int show_version (int argc, char **argv);
static int show_help (int argc, char **argv);
static const struct command *find_command (const char *name);

static const struct command commands[] = {
  { "serve", kcp_cmd_serve, "run the entry process of one VM", false },
  { "route", kcp_cmd_route, "run a VM that routes by operators' routes", true },
  { "check", kcp_cmd_check, "validate settings, profile and team files", false },
  { "publish", kcp_cmd_publish, "publish profiles and teams", false },
  { "profiles", kcp_cmd_profiles, "show the profiles and teams in force", false },
  { "status", kcp_cmd_status, "show configuration, VMs and backend servers", false },
  { "timeline", kcp_cmd_timeline, "merge the timelines of processes", false },
  { "explain", kcp_cmd_explain, "show what happened to one request, from logs", false },
  { "version", show_version, "print the version", false },
  { "--help", show_help, "print this text", false },
};

/* Runs the subcommand given by the first argument. */
int
main (int argc, char **argv)
{
  const struct command *command = argc > 1 ? find_command (argv[1]) : NULL;

  if (command != NULL && command->keeps_signals)
    kcp_signals_block ();
  (void)setlocale (LC_ALL, "");
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    {
      (void)fprintf (stderr, "kingcuppoint: cannot initialize libsodium or libcurl\n");
      return KCP_EXIT_FAILED;
    }
  if (command != NULL)
    return command->run (argc - 1, argv + 1);
  (void)show_help (argc, argv);
  return KCP_EXIT_USAGE;
}

/* Returns the command of that name, or NULL. */
static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static int
show_version (int argc, char **argv)
{
  const GOptionEntry entries[] = { { 0 } };

  if (!kcp_options_parse (&argc, &argv, entries, NULL, "kingcuppoint version"))
    return KCP_EXIT_USAGE;
  (void)puts ("kingcuppoint " VERSION);
  return KCP_EXIT_OK;
}

static int
show_help (int argc, char **argv)
{
  (void)argc;
  (void)argv;
  (void)puts ("usage: kingcuppoint COMMAND [OPTION...]\n\ncommands:");
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    (void)printf ("  %-10s %s\n", commands[i].name, commands[i].summary);
  (void)puts ("\nexample: kingcuppoint serve --settings /etc/kingcuppoint.ini");
  return KCP_EXIT_OK;
}
