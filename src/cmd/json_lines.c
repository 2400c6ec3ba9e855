#include "cmd/json_lines.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static bool
parse_strict_line (json_t *lines, const char *path, int line_number, const char *text);
static bool parse_log_line (json_t *lines, const char *text);
static void append_value (json_t *lines, json_t *value);

/* Parses each line of a file and appends objects, and the elements of arrays, to lines.
   Returns false after printing an error message to standard error if the file cannot be
   read or, in strict mode, contains a line that is not valid JSON. In log mode, the
   number of skipped lines is printed to standard error. */
bool
kcp_json_lines_read (json_t *lines, const char *path, enum kcp_json_lines_mode mode)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) file_lines = NULL;
  unsigned skipped = 0;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      (void)fprintf (stderr, "kingcuppoint: %s\n", error->message);
      return false;
    }
  file_lines = g_strsplit (text, "\n", -1);
  for (int i = 0; file_lines[i] != NULL; i++)
    {
      if (file_lines[i][0] == '\0')
        continue;
      switch (mode)
        {
        case KCP_JSON_LINES_STRICT:
          if (!parse_strict_line (lines, path, i + 1, file_lines[i]))
            return false;
          break;
        case KCP_JSON_LINES_LOG:
          skipped += !parse_log_line (lines, file_lines[i]);
          break;
        }
    }
  if (skipped > 0)
    (void)fprintf (stderr, "kingcuppoint: %s: skipped %u lines without a JSON object\n",
                   path, skipped);
  return true;
}

static bool
parse_strict_line (json_t *lines, const char *path, int line_number, const char *text)
{
  json_error_t where;
  json_t *value = json_loads (text, 0, &where);

  if (value == NULL)
    {
      (void)fprintf (stderr, "%s:%d: %s\n", path, line_number, where.text);
      return false;
    }
  append_value (lines, value);
  return true;
}

static bool
parse_log_line (json_t *lines, const char *text)
{
  const char *start = strchr (text, '{');
  json_t *value = start != NULL ? json_loads (start, 0, NULL) : NULL;

  if (value == NULL)
    return false;
  append_value (lines, value);
  return true;
}

static void
append_value (json_t *lines, json_t *value)
{
  if (json_is_object (value))
    json_array_append (lines, value);
  else
    json_array_extend (lines, value);
  json_decref (value);
}
