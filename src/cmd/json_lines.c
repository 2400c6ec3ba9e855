#include "cmd/json_lines.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static bool add_strict (json_t *lines, const char *path, int number, const char *text);
static bool add_logged (json_t *lines, const char *text);
static void add (json_t *lines, json_t *value);

/* Parses each line of a file and appends objects, and the elements of arrays, to lines.
   Returns false after printing an error message to standard error if the file cannot be
   read or, in strict mode, contains a line that is not valid JSON. */
bool
kcp_json_lines_read (json_t *lines, const char *path, enum kcp_json_lines_mode mode)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) split = NULL;
  unsigned skipped = 0;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      (void)fprintf (stderr, "kingcuppoint: %s\n", error->message);
      return false;
    }
  split = g_strsplit (text, "\n", -1);
  for (int i = 0; split[i] != NULL; i++)
    {
      if (split[i][0] == '\0')
        continue;
      switch (mode)
        {
        case KCP_JSON_LINES_STRICT:
          if (!add_strict (lines, path, i + 1, split[i]))
            return false;
          break;
        case KCP_JSON_LINES_LOG:
          skipped += !add_logged (lines, split[i]);
          break;
        }
    }
  if (skipped > 0)
    (void)fprintf (stderr, "kingcuppoint: %s: skipped %u lines without a JSON object\n",
                   path, skipped);
  return true;
}

static bool
add_strict (json_t *lines, const char *path, int number, const char *text)
{
  json_error_t where;
  json_t *value = json_loads (text, 0, &where);

  if (value == NULL)
    {
      (void)fprintf (stderr, "%s:%d: %s\n", path, number, where.text);
      return false;
    }
  add (lines, value);
  return true;
}

static bool
add_logged (json_t *lines, const char *text)
{
  const char *start = strchr (text, '{');
  json_t *value = start != NULL ? json_loads (start, 0, NULL) : NULL;

  if (value == NULL)
    return false;
  add (lines, value);
  return true;
}

static void
add (json_t *lines, json_t *value)
{
  if (json_is_object (value))
    json_array_append (lines, value);
  else
    json_array_extend (lines, value);
  json_decref (value);
}
