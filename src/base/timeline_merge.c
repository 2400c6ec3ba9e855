#include "base/timeline_merge.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

static bool is_kept (json_t *entry, const struct kcp_timeline_filter *filter);
static bool matches (json_t *entry, const char *key, const char *wanted);
static gint compare_entries (gconstpointer a, gconstpointer b);
static const char *text_of (json_t *entry, const char *key);

/* Returns the entries of count time lines, each as kcp_timeline_to_json() gives it, as
   one new array ordered by stamp and then by VM; entries of one VM with one stamp stay in
   their order. Anything that is not an entry is left out. */
json_t *
kcp_timeline_merge (json_t *const *lists, size_t count,
                    const struct kcp_timeline_filter *filter)
{
  g_autoptr (GList) entries = NULL;
  json_t *merged = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      json_t *entry;
      size_t at;

      json_array_foreach (lists[i], at, entry)
      {
        if (is_kept (entry, filter))
          entries = g_list_prepend (entries, entry);
      }
    }
  entries = g_list_sort (g_list_reverse (entries), compare_entries);
  for (GList *at = entries; at != NULL; at = at->next)
    json_array_append (merged, at->data);
  return merged;
}

static bool
is_kept (json_t *entry, const struct kcp_timeline_filter *filter)
{
  return json_is_integer (json_object_get (entry, "stamp"))
         && matches (entry, "request", filter->request)
         && matches (entry, "vm", filter->vm) && matches (entry, "event", filter->event);
}

static bool
matches (json_t *entry, const char *key, const char *wanted)
{
  return wanted == NULL || strcmp (text_of (entry, key), wanted) == 0;
}

/* g_list_sort() keeps the order of equal entries. */
static gint
compare_entries (gconstpointer a, gconstpointer b)
{
  json_int_t stamp_a = json_integer_value (json_object_get (a, "stamp"));
  json_int_t stamp_b = json_integer_value (json_object_get (b, "stamp"));

  if (stamp_a != stamp_b)
    return stamp_a < stamp_b ? -1 : 1;
  return strcmp (text_of ((json_t *)a, "vm"), text_of ((json_t *)b, "vm"));
}

static const char *
text_of (json_t *entry, const char *key)
{
  const char *text = json_string_value (json_object_get (entry, key));

  return text != NULL ? text : "";
}
