#include "profile/config_log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "profile/config_record.h"

#define STEP "config"

static enum kcp_config_result
apply_change (struct kcp_config_log *log, uint64_t offset, json_t *record,
              struct kcp_config_entry **changed, struct kcp_error *error);
static enum kcp_config_result
apply_checkpoint (struct kcp_config_log *log, uint64_t offset, json_t *record,
                  struct kcp_error *error);
static bool
base_is_current (const struct kcp_config_log *log, const char *key, json_t *record);
static bool replace_state (struct kcp_config_log *log, json_t *record, uint64_t version,
                           struct kcp_error *error);
static bool merge_entries (struct kcp_config_log *log, json_t *record, const char *member,
                           struct kcp_error *error);
static void put_entry (struct kcp_config_log *log, struct kcp_config_entry *entry);
static void clear_entries (struct kcp_config_log *log);
static uint64_t hash_record (const json_t *record);

/* Initializes the state to that before the first record. */
void
kcp_config_log_init (struct kcp_config_log *log)
{
  *log = (struct kcp_config_log){ 0 };
  log->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kcp_config_entry_unref);
}

/* Frees the memory that the state owns. */
void
kcp_config_log_clear (struct kcp_config_log *log)
{
  g_hash_table_unref (log->entries);
}

/* Clears the state and continues at first, the first offset that the log retains. If that
   is not 0, records are missing, and the state is unknown until a root checkpoint, or
   one that covers them, is read. */
void
kcp_config_log_restart (struct kcp_config_log *log, uint64_t first)
{
  clear_entries (log);
  log->next = first;
  log->gap = first > 0;
  log->unverified = false;
  log->gap_start = first;
  log->has_checkpoint = false;
  log->records_since_checkpoint = 0;
  log->has_last_hash = false;
}

/* Records that the record before next was trimmed, so that it can no longer be verified
   that this is the log that was read so far. The next checkpoint that is a root or covers
   all records before next replaces the state. */
void
kcp_config_log_mark_unverified (struct kcp_config_log *log)
{
  log->has_last_hash = false;
  if (log->gap)
    return;
  log->unverified = true;
  log->gap_start = log->next;
}

/* Applies the record at an offset. Sets *changed to a borrowed reference to the entry
   that a change record wrote, or to NULL. A checkpoint may change any number of entries.
   error may be NULL. */
enum kcp_config_result
kcp_config_log_apply (struct kcp_config_log *log, uint64_t offset, json_t *record,
                      struct kcp_config_entry **changed, struct kcp_error *error)
{
  enum kcp_config_result result;

  *changed = NULL;
  if (offset < log->next)
    return KCP_CONFIG_ALREADY_APPLIED;
  if (offset > log->next)
    kcp_config_log_restart (log, offset);
  log->next = offset + 1;
  log->has_last_hash = true;
  log->last_hash = hash_record (record);
  log->records_since_checkpoint++;
  result = kcp_config_record_is_checkpoint (record)
               ? apply_checkpoint (log, offset, record, error)
           : log->gap ? KCP_CONFIG_GAP
                      : apply_change (log, offset, record, changed, error);
  return result;
}

/* Returns false if a record that was read at an offset is known to differ from the one
   that was applied there, which means that the log was replaced. */
bool
kcp_config_log_matches_record (const struct kcp_config_log *log, uint64_t offset,
                               const json_t *record)
{
  return !log->has_last_hash || offset + 1 != log->next
         || log->last_hash == hash_record (record);
}

static enum kcp_config_result
apply_change (struct kcp_config_log *log, uint64_t offset, json_t *record,
              struct kcp_config_entry **changed, struct kcp_error *error)
{
  const char *op = json_string_value (json_object_get (record, "op"));
  const char *key = json_string_value (json_object_get (record, "key"));
  const char *id = json_string_value (json_object_get (record, "id"));
  json_t *document = json_object_get (record, "doc");
  struct kcp_config_entry *entry;
  bool delete;

  if (op == NULL || key == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "record without op or key");
      return KCP_CONFIG_INVALID;
    }
  delete = strcmp (op, "delete") == 0;
  if (delete == (document != NULL))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "%s: wrong op", key);
      return KCP_CONFIG_INVALID;
    }
  if (!base_is_current (log, key, record))
    {
      kcp_error_set (error, KCP_ERR_STALE_BASE, STEP, NULL,
                     "%s: based on a version not in force", key);
      return KCP_CONFIG_STALE_BASE;
    }
  entry = kcp_config_entry_new (key, document, error);
  if (entry == NULL)
    return KCP_CONFIG_INVALID;
  entry->version = MAX (log->version, offset) + 1;
  g_strlcpy (entry->id, id != NULL ? id : "", sizeof entry->id);
  put_entry (log, entry);
  kcp_config_entry_unref (entry);
  *changed = entry;
  return KCP_CONFIG_APPLIED;
}

/* A root checkpoint replaces the state. If records are missing or the log may have been
   replaced, any other checkpoint replaces the state too, provided that it covers all
   records before gap_start. Otherwise the entries of a checkpoint are known already, and
   only the entries that its writer carried over from outside the log are merged. */
static enum kcp_config_result
apply_checkpoint (struct kcp_config_log *log, uint64_t offset, json_t *record,
                  struct kcp_error *error)
{
  struct kcp_config_checkpoint checkpoint;
  bool closes_gap;

  if (!kcp_config_record_parse_checkpoint (record, &checkpoint, error)
      || checkpoint.upto > offset)
    return KCP_CONFIG_INVALID;
  closes_gap = !checkpoint.root && (log->gap || log->unverified);
  if (closes_gap && checkpoint.upto < log->gap_start)
    return KCP_CONFIG_GAP;
  if ((checkpoint.root || closes_gap)
      && !replace_state (log, record, checkpoint.version, error))
    return KCP_CONFIG_INVALID;
  log->has_checkpoint = true;
  log->checkpoint_upto = checkpoint.root ? offset : checkpoint.upto;
  log->records_since_checkpoint = 0;
  log->gap = false;
  log->unverified = false;
  if (closes_gap)
    {
      log->next = checkpoint.upto;
      log->has_last_hash = false;
      return KCP_CONFIG_REWOUND;
    }
  return merge_entries (log, record, "carried", error) ? KCP_CONFIG_CHECKPOINT
                                                       : KCP_CONFIG_INVALID;
}

/* Replaces the state with the entries of a checkpoint. If an entry is invalid, sets an
   error, leaves the state unchanged and returns false. */
static bool
replace_state (struct kcp_config_log *log, json_t *record, uint64_t version,
               struct kcp_error *error)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (kcp_config_entry_unref);

  if (!kcp_config_record_parse_entries (json_object_get (record, "entries"), entries,
                                        error))
    return false;
  clear_entries (log);
  log->version = version;
  for (guint i = 0; i < entries->len; i++)
    put_entry (log, g_ptr_array_index (entries, i));
  return true;
}

/* Returns true if a change record is based on the current entry of its document. Without
   a "base_id" in the record, only the versions are compared. */
static bool
base_is_current (const struct kcp_config_log *log, const char *key, json_t *record)
{
  const struct kcp_config_entry *entry = g_hash_table_lookup (log->entries, key);
  uint64_t base = (uint64_t)json_integer_value (json_object_get (record, "base"));
  const char *base_id = json_string_value (json_object_get (record, "base_id"));

  if (entry == NULL)
    return base == 0;
  return base == entry->version && (base_id == NULL || strcmp (base_id, entry->id) == 0);
}

/* Merges the entries of one member of a checkpoint into the state. If an entry is
   invalid, sets an error, leaves the state unchanged and returns false. */
static bool
merge_entries (struct kcp_config_log *log, json_t *record, const char *member,
               struct kcp_error *error)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (kcp_config_entry_unref);

  if (!kcp_config_record_parse_entries (json_object_get (record, member), entries, error))
    return false;
  for (guint i = 0; i < entries->len; i++)
    {
      struct kcp_config_entry *entry = g_ptr_array_index (entries, i);

      if (kcp_config_entry_is_newer (entry,
                                     g_hash_table_lookup (log->entries, entry->key)))
        put_entry (log, entry);
    }
  return true;
}

static void
put_entry (struct kcp_config_log *log, struct kcp_config_entry *entry)
{
  const struct kcp_config_entry *current = g_hash_table_lookup (log->entries, entry->key);

  log->digest ^= kcp_config_entry_digest (entry);
  if (current != NULL)
    log->digest ^= kcp_config_entry_digest (current);
  log->version = MAX (log->version, entry->version);
  kcp_config_entry_ref (entry);
  g_hash_table_replace (log->entries, entry->key, entry);
}

static void
clear_entries (struct kcp_config_log *log)
{
  g_hash_table_remove_all (log->entries);
  log->version = 0;
  log->digest = 0;
}

/* Returns a hash that identifies a record. Each publication and checkpoint has a random
   id of its own, so the hash of the id suffices if there is one. */
static uint64_t
hash_record (const json_t *record)
{
  const json_t *id = json_object_get (record, "id");
  char *text;
  uint64_t hash;

  if (json_is_string (id))
    return XXH3_64bits (json_string_value (id), json_string_length (id));
  text = json_dumps (record, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
  hash = text != NULL ? XXH3_64bits (text, strlen (text)) : 0;
  free (text);
  return hash;
}
