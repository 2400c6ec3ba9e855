/* Runs the sessions of tests/golden against one VM and compares the output, with ids and
   times normalized, byte for byte with the recorded output. The argument "record"
   overwrites the recorded output; review the difference before committing it.

   A session NAME.in consists of steps separated by empty lines:
     $ ARGUMENTS                 runs kingcuppoint
     METHOD caller|admin PATH    one HTTP exchange; then headers, "- " and the body
   %ADMIN% is replaced by the URL of the admin API, %ETAG% by the last ETag received and
   %TEAM% by the team's key. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"

#define SESSIONS_DIR "tests/golden"

static const char *const sessions[] = { "admin", "callers", "commands", "files" };

static struct cluster *cluster;
static bool record;
static char *etag;

static void
set_up (void)
{
  cluster = cluster_new ("golden");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_service (cluster, "service-1", "dc1");
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
  etag = g_strdup ("");
}

static void
tear_down (void)
{
  cluster_free (cluster);
  g_free (etag);
}

static void
replace (char **text, const char *pattern, const char *replacement)
{
  g_autoptr (GRegex) regex = g_regex_new (pattern, 0, 0, NULL);
  char *next = g_regex_replace (regex, *text, -1, 0, replacement, 0, NULL);

  g_free (*text);
  *text = next;
}

static char *
expand (const char *text)
{
  g_autofree char *admin
      = g_strdup_printf ("http://127.0.0.1:%d", cluster_vm (cluster, 0)->admin_port);
  GString *out = g_string_new (text);

  g_string_replace (out, "%ADMIN%", admin, 0);
  g_string_replace (out, "%ETAG%", etag, 0);
  g_string_replace (out, "%TEAM%", CLUSTER_TEAM_KEY, 0);
  return g_string_free (out, FALSE);
}

static char *
normalize (const char *text)
{
  char *out = g_strdup (text);

  replace (&out, "127\\.0\\.0\\.1:[0-9]+", "ADDRESS");
  replace (&out, "[0-9a-f]{32}", "ID");
  replace (&out, "\"(stamp|age_ms|created|total_ms|first_token_ms)\":[0-9]+",
           "\"\\1\":N");
  replace (&out, "(yes +no +no +)[0-9]+", "\\1N");
  return out;
}

static void
run_command (const char *arguments, GString *out)
{
  const char *build = g_getenv ("BUILD");
  g_autofree char *line = g_strdup_printf ("%s/kingcuppoint %s",
                                           build != NULL ? build : "build", arguments);
  g_auto (GStrv) argv = NULL;
  g_autofree char *output = NULL;
  g_autofree char *errors = NULL;
  int status = 0;

  ck_assert (g_shell_parse_argv (line, NULL, &argv, NULL));
  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output,
                           &errors, &status, NULL));
  g_string_append_printf (out, "%s%sexit %d\n", output, errors, WEXITSTATUS (status));
}

static void
run_exchange (char **lines, GString *out)
{
  g_auto (GStrv) words = g_strsplit (lines[0], " ", 3);
  bool admin = strcmp (words[1], "admin") == 0;
  struct process *vm = cluster_vm (cluster, 0);
  struct client_call call = { .method = words[0],
                              .port = admin ? vm->admin_port : vm->port,
                              .path = words[2],
                              .key = admin ? CLUSTER_TOKEN : NULL };
  struct client_answer answer;
  g_autofree char *type = NULL;
  g_autofree char *tag = NULL;
  g_autofree char *retry = NULL;

  for (char **line = lines + 1; *line != NULL; line++)
    if (g_str_has_prefix (*line, "- "))
      call.body = *line + 2;
    else if (g_str_has_prefix (*line, "Kingcuppoint-Profile: "))
      call.profile = *line + strlen ("Kingcuppoint-Profile: ");
    else if (g_str_has_prefix (*line, "Idempotency-Key: "))
      call.idempotency_key = *line + strlen ("Idempotency-Key: ");
    else if (g_str_has_prefix (*line, "Authorization: Bearer "))
      call.key = *line + strlen ("Authorization: Bearer ");
    else
      call.header = *line;
  answer = client_run (&call);
  type = client_header (&answer, "Content-Type");
  tag = client_header (&answer, "ETag");
  retry = client_header (&answer, "Retry-After");
  g_string_append_printf (out, "%ld %s\n", answer.status, type != NULL ? type : "-");
  if (retry != NULL)
    g_string_append_printf (out, "Retry-After: %s\n", retry);
  if (tag != NULL)
    {
      g_string_append_printf (out, "ETag: %s\n", tag);
      g_free (etag);
      etag = g_strdup (tag);
    }
  g_string_append_printf (out, "%s\n", answer.body->str);
  client_answer_clear (&answer);
}

START_TEST (test_session_matches_recording)
{
  g_autofree char *input_path = g_strdup_printf (SESSIONS_DIR "/%s.in", sessions[_i]);
  g_autofree char *recorded_path = g_strdup_printf (SESSIONS_DIR "/%s.out", sessions[_i]);
  g_autoptr (GString) out = g_string_new (NULL);
  g_autofree char *text = NULL;
  g_autofree char *recorded = NULL;
  g_autofree char *actual = NULL;
  g_auto (GStrv) steps = NULL;

  ck_assert (g_file_get_contents (input_path, &text, NULL, NULL));
  steps = g_strsplit (g_strchomp (text), "\n\n", -1);
  for (char **step = steps; *step != NULL; step++)
    {
      g_autofree char *expanded = expand (*step);
      g_auto (GStrv) lines = g_strsplit (g_strchomp (expanded), "\n", -1);

      g_string_append_printf (out, "%s\n", *step);
      if (g_str_has_prefix (lines[0], "$ "))
        run_command (lines[0] + 2, out);
      else
        run_exchange (lines, out);
      g_string_append_c (out, '\n');
    }
  actual = normalize (out->str);
  if (record)
    ck_assert (g_file_set_contents (recorded_path, actual, -1, NULL));
  ck_assert (g_file_get_contents (recorded_path, &recorded, NULL, NULL));
  ck_assert_str_eq (actual, recorded);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("golden");

  record = argc > 1 && strcmp (argv[1], "record") == 0;
  (void)g_setenv ("KINGCUPPOINT_TOKEN", CLUSTER_TOKEN, TRUE);
  (void)g_setenv ("LC_ALL", "C.UTF-8", TRUE);
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, test_session_matches_recording, 0,
                       (int)G_N_ELEMENTS (sessions));
  return run_started_suite ();
}
