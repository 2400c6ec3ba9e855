#include "profile/config_entry.h"

#include <string.h>
#include <xxhash.h>

#define STEP           "config"
#define NAME_MAX_BYTES 63

static bool parse (struct kcp_config_entry *entry, struct kcp_error *error);
static bool name_is_valid (const char *name);
static void entry_clear (gpointer data);

/* Creates an entry of version 0 and validates its document. A NULL document makes the
   entry that of a deleted document. On failure returns NULL and sets an error that names
   the document, the key and the reason. */
struct kcp_config_entry *
kcp_config_entry_new (const char *key, json_t *document, struct kcp_error *error)
{
  struct kcp_config_entry *entry = g_atomic_rc_box_new0 (struct kcp_config_entry);

  entry->key = g_strdup (key);
  entry->document = json_deep_copy (document);
  if (parse (entry, error))
    return entry;
  kcp_config_entry_unref (entry);
  return NULL;
}

/* Parses and validates an object that kcp_config_entry_to_json() returned. On failure
   returns NULL and sets an error. */
struct kcp_config_entry *
kcp_config_entry_from_json (const char *key, json_t *value, struct kcp_error *error)
{
  json_t *version = json_object_get (value, "version");
  const char *id = json_string_value (json_object_get (value, "id"));
  struct kcp_config_entry *entry;

  if (!json_is_integer (version) || json_integer_value (version) <= 0 || id == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "%s: version or id is wrong",
                     key);
      return NULL;
    }
  entry = kcp_config_entry_new (key, json_object_get (value, "doc"), error);
  if (entry == NULL)
    return NULL;
  entry->version = (uint64_t)json_integer_value (version);
  g_strlcpy (entry->id, id, sizeof entry->id);
  return entry;
}

/* Returns a new JSON object that describes the entry. */
json_t *
kcp_config_entry_to_json (const struct kcp_config_entry *entry)
{
  return json_pack ("{sIsssO*}", "version", (json_int_t)entry->version, "id", entry->id,
                    "doc", entry->document);
}

/* Adds a reference to the entry and returns it. */
struct kcp_config_entry *
kcp_config_entry_ref (struct kcp_config_entry *entry)
{
  return g_atomic_rc_box_acquire (entry);
}

/* Drops a reference. entry may be NULL. */
void
kcp_config_entry_unref (gpointer entry)
{
  if (entry != NULL)
    g_atomic_rc_box_release_full (entry, entry_clear);
}

/* Returns true if entry is to replace other, which may be NULL. Two different entries of
   the same version exist only if the log was restored to an earlier state and used
   offsets twice. The publication ids then decide, with the same result on every VM. */
bool
kcp_config_entry_is_newer (const struct kcp_config_entry *entry,
                           const struct kcp_config_entry *other)
{
  if (other == NULL || entry->version != other->version)
    return other == NULL || entry->version > other->version;
  return strcmp (entry->id, other->id) > 0;
}

/* Returns a hash of the key, version and id. The digest of a configuration is the
   exclusive or of the hashes of its entries. */
uint64_t
kcp_config_entry_digest (const struct kcp_config_entry *entry)
{
  XXH64_hash_t seed = XXH3_64bits (entry->key, strlen (entry->key));

  return XXH3_64bits_withSeed (entry->id, strlen (entry->id), seed ^ entry->version);
}

static bool
parse (struct kcp_config_entry *entry, struct kcp_error *error)
{
  const char *slash = strchr (entry->key, '/');
  bool profile = g_str_has_prefix (entry->key, "profiles/");
  bool team = g_str_has_prefix (entry->key, "teams/");

  if (!profile && !team)
    kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "%s: unknown kind of document",
                   entry->key);
  else if (!name_is_valid (slash + 1))
    kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                   "%s: name: 1 to %d letters, digits, '-', '_' or '.' are allowed",
                   entry->key, NAME_MAX_BYTES);
  else if (entry->document == NULL)
    return true;
  else if (profile)
    entry->profile = kcp_profile_parse (slash + 1, entry->document, error);
  else
    entry->team = kcp_team_parse (slash + 1, entry->document, error);
  return entry->profile != NULL || entry->team != NULL;
}

static bool
name_is_valid (const char *name)
{
  size_t len = strlen (name);

  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isalnum (name[i]) && strchr ("-_.", name[i]) == NULL)
      return false;
  return len > 0 && len <= NAME_MAX_BYTES;
}

static void
entry_clear (gpointer data)
{
  struct kcp_config_entry *entry = data;

  g_free (entry->key);
  json_decref (entry->document);
  kcp_profile_unref (entry->profile);
  kcp_team_unref (entry->team);
}

/* Creates an empty array that holds references to entries. */
GPtrArray *
kcp_config_entries_new (void)
{
  return g_ptr_array_new_with_free_func (kcp_config_entry_unref);
}

/* Appends to out references to those entries of table whose version is greater than
   version and that are newer than the entry with the same key in other_table, which may
   be NULL. */
void
kcp_config_entries_collect (GHashTable *table, GHashTable *other_table, uint64_t version,
                            GPtrArray *out)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct kcp_config_entry *entry = value;
      const struct kcp_config_entry *other
          = other_table != NULL ? g_hash_table_lookup (other_table, key) : NULL;

      if (entry->version > version && kcp_config_entry_is_newer (entry, other))
        g_ptr_array_add (out, kcp_config_entry_ref (entry));
    }
}

/* Returns a new JSON object that maps the keys of the entries to their descriptions. */
json_t *
kcp_config_entries_to_json (const GPtrArray *entries)
{
  json_t *object = json_object ();

  for (guint i = 0; i < entries->len; i++)
    {
      const struct kcp_config_entry *entry = g_ptr_array_index (entries, i);

      json_object_set_new (object, entry->key, kcp_config_entry_to_json (entry));
    }
  return object;
}
