#include "profile/config_record.h"

#include <string.h>

#include "profile/config_entry.h"

#define STEP "config"

static bool read_offset (json_t *record, const char *key, uint64_t *out);

/* Returns a new record that writes a document, or deletes it if document is NULL. */
json_t *
kcp_config_record_new_change (const char *id, const char *key,
                              const struct kcp_config_base *base, json_t *document)
{
  return json_pack ("{sssssssIsssO*}", "op", document != NULL ? "put" : "delete", "id",
                    id, "key", key, "base", (json_int_t)base->version, "base_id",
                    base->id, "doc", document);
}

/* Returns true if a record is a checkpoint. */
bool
kcp_config_record_is_checkpoint (json_t *record)
{
  const char *op = json_string_value (json_object_get (record, "op"));

  return op != NULL && strcmp (op, "checkpoint") == 0;
}

/* Parses a checkpoint record except for its members "entries" and "carried". On failure
   sets an error and returns false. */
bool
kcp_config_record_parse_checkpoint (json_t *record,
                                    struct kcp_config_checkpoint *checkpoint,
                                    struct kcp_error *error)
{
  checkpoint->root = json_is_true (json_object_get (record, "root"));
  if (read_offset (record, "upto", &checkpoint->upto)
      && read_offset (record, "version", &checkpoint->version))
    return true;
  kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                 "checkpoint without upto or version");
  return false;
}

/* Parses an object that maps keys to entries, and appends the entries to an array. Sets
   an error and returns false if one of them is invalid. */
bool
kcp_config_record_parse_entries (json_t *object, GPtrArray *entries,
                                 struct kcp_error *error)
{
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "entries are missing");
      return false;
    }
  json_object_foreach (object, key, value)
  {
    struct kcp_config_entry *entry = kcp_config_entry_from_json (key, value, error);

    if (entry == NULL)
      return false;
    g_ptr_array_add (entries, entry);
  }
  return true;
}

static bool
read_offset (json_t *record, const char *key, uint64_t *out)
{
  json_t *value = json_object_get (record, key);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = (uint64_t)json_integer_value (value);
  return true;
}
