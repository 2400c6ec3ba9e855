#include "base/timeline_merge.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

static bool is_selected (json_t *entry, const struct kcp_timeline_filter *filter);
static bool matches (json_t *entry, const char *key, const char *expected);
static gint compare_entries (gconstpointer a, gconstpointer b);
static const char *get_string (json_t *entry, const char *key);

/* Merges count timelines, as returned by kcp_timeline_to_json(), into a new JSON array of
   the entries that match the filter. The entries are sorted by timestamp and then by VM;
   entries that are equal in both keep their order. Values that are not timeline entries
   are ignored. */
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
        if (is_selected (entry, filter))
          entries = g_list_prepend (entries, entry);
      }
    }
  entries = g_list_sort (g_list_reverse (entries), compare_entries);
  for (GList *at = entries; at != NULL; at = at->next)
    json_array_append (merged, at->data);
  return merged;
}

static bool
is_selected (json_t *entry, const struct kcp_timeline_filter *filter)
{
  return json_is_integer (json_object_get (entry, "stamp"))
         && matches (entry, "request", filter->request)
         && matches (entry, "vm", filter->vm) && matches (entry, "event", filter->event);
}

static bool
matches (json_t *entry, const char *key, const char *expected)
{
  return expected == NULL || strcmp (get_string (entry, key), expected) == 0;
}

/* Orders entries by timestamp and VM. Returns 0 for other entries, whose order the stable
   g_list_sort() preserves. */
static gint
compare_entries (gconstpointer a, gconstpointer b)
{
  json_int_t stamp_a = json_integer_value (json_object_get (a, "stamp"));
  json_int_t stamp_b = json_integer_value (json_object_get (b, "stamp"));

  if (stamp_a != stamp_b)
    return stamp_a < stamp_b ? -1 : 1;
  return strcmp (get_string ((json_t *)a, "vm"), get_string ((json_t *)b, "vm"));
}

/* Returns a string member of an entry, or the empty string if there is none. */
static const char *
get_string (json_t *entry, const char *key)
{
  const char *text = json_string_value (json_object_get (entry, key));

  return text != NULL ? text : "";
}
