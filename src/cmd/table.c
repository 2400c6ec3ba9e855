#include "cmd/table.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

static char *cell_text (const json_t *value);
static void print_cell (const char *text, int width, bool last);

/* Prints the titles of the columns. */
void
kcp_table_print_header (const struct kcp_table_column *columns)
{
  for (const struct kcp_table_column *column = columns; column->title != NULL; column++)
    print_cell (column->title, column->width, column[1].title == NULL);
}

/* Prints one object as a row, with "-" for members that are missing or empty. */
void
kcp_table_print_row (const struct kcp_table_column *columns, const json_t *row)
{
  for (const struct kcp_table_column *column = columns; column->title != NULL; column++)
    {
      g_autofree char *text = cell_text (json_object_get (row, column->member));

      print_cell (text, column->width, column[1].title == NULL);
    }
}

/* Prints the titles and one row per object of an array. */
void
kcp_table_print (const struct kcp_table_column *columns, const json_t *rows)
{
  json_t *row;
  size_t i;

  kcp_table_print_header (columns);
  json_array_foreach (rows, i, row)
  {
    kcp_table_print_row (columns, row);
  }
}

static char *
cell_text (const json_t *value)
{
  if (json_is_string (value))
    return g_strdup (json_string_length (value) > 0 ? json_string_value (value) : "-");
  if (json_is_integer (value))
    return g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (value));
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "yes" : "no");
  return g_strdup ("-");
}

static void
print_cell (const char *text, int width, bool last)
{
  if (last)
    (void)printf ("%s\n", text);
  else
    (void)printf ("%-*s ", width, text);
}
