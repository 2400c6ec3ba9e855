#include "profile/config_log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "profile/config_record.h"

#define STEP       "config"
#define HASH_SHIFT 11 /* leaves 53 bits */

static enum kcp_config_result
apply_change (struct kcp_config_log *log, uint64_t offset, json_t *record,
              struct kcp_config_entry **changed, struct kcp_error *error);
static enum kcp_config_result
apply_checkpoint (struct kcp_config_log *log, uint64_t offset, json_t *record,
                  struct kcp_error *error);
static bool
base_is_current (const struct kcp_config_log *log, const char *key, json_t *record);
static void join (struct kcp_config_log *log, const GPtrArray *entries);
static void put_entry (struct kcp_config_log *log, struct kcp_config_entry *entry);
static void forget (struct kcp_config_log *log);
static bool saw_this_log (const struct kcp_config_log *log, json_t *record);
static bool hash_is_known (const struct kcp_config_log *log, uint64_t offset);
static int64_t hash_record (const json_t *record);

/* Makes the state before the first record. */
void
kcp_config_log_init (struct kcp_config_log *log)
{
  *log = (struct kcp_config_log){ 0 };
  log->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kcp_config_entry_unref);
}

/* Frees what the state holds. */
void
kcp_config_log_clear (struct kcp_config_log *log)
{
  g_hash_table_unref (log->entries);
}

/* Starts over at the first offset that the log still keeps. If that is not 0, records are
   missing, and only a checkpoint from then on gives a state. */
void
kcp_config_log_restart (struct kcp_config_log *log, uint64_t first)
{
  forget (log);
  log->next = first;
  log->gap = first > 0;
  log->gap_start = first;
  log->has_checkpoint = false;
  log->records_since = 0;
  log->hashes_from = first;
}

/* Starts over because the log was replaced, by one that ends before offset end. The
   others may not have noticed, so a checkpoint from end on is to tell them. */
void
kcp_config_log_start_again (struct kcp_config_log *log, uint64_t end)
{
  kcp_config_log_restart (log, 0);
  log->trusted_until = end;
  log->announce = true;
}

/* Adds to a record that is to be appended which record was read last here, so that its
   readers notice if they read another one at that offset. */
void
kcp_config_log_add_seen (const struct kcp_config_log *log, json_t *record)
{
  if (log->next <= log->hashes_from)
    return;
  json_object_set_new (record, "seen", json_integer ((json_int_t)log->next - 1));
  json_object_set_new (record, "seen_hash",
                       json_integer (log->hashes[(log->next - 1) % KCP_CONFIG_HASHES]));
}

/* Applies the record at an offset. changed gets a borrowed entry, or NULL; after a
   checkpoint any number of entries may have changed. error may be NULL. */
enum kcp_config_result
kcp_config_log_apply (struct kcp_config_log *log, uint64_t offset, json_t *record,
                      struct kcp_config_entry **changed, struct kcp_error *error)
{
  enum kcp_config_result result;

  *changed = NULL;
  if (offset < log->next)
    return KCP_CONFIG_OLD;
  if (offset > log->next)
    kcp_config_log_restart (log, offset);
  if (offset >= log->trusted_until && !saw_this_log (log, record))
    return KCP_CONFIG_REPLACED;
  log->next = offset + 1;
  log->hashes[offset % KCP_CONFIG_HASHES] = hash_record (record);
  log->records_since++;
  result = kcp_config_record_is_checkpoint (record)
               ? apply_checkpoint (log, offset, record, error)
           : log->gap ? KCP_CONFIG_GAP
                      : apply_change (log, offset, record, changed, error);
  return result;
}

/* Tells whether the record at an offset may be the one that was applied there; false
   means that the log was replaced by another one. */
bool
kcp_config_log_holds (const struct kcp_config_log *log, uint64_t offset,
                      const json_t *record)
{
  return !hash_is_known (log, offset)
         || log->hashes[offset % KCP_CONFIG_HASHES] == hash_record (record);
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

/* A root checkpoint replaces the state. Any other one closes a gap if it holds every
   missing record; without a gap its entries are known, and only what its writer carried
   from outside the log is joined. */
static enum kcp_config_result
apply_checkpoint (struct kcp_config_log *log, uint64_t offset, json_t *record,
                  struct kcp_error *error)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (kcp_config_entry_unref);
  g_autoptr (GPtrArray) carried = g_ptr_array_new_with_free_func (kcp_config_entry_unref);
  struct kcp_config_checkpoint checkpoint;

  if (!kcp_config_record_read_checkpoint (record, &checkpoint, entries, carried, error)
      || checkpoint.upto > offset)
    return KCP_CONFIG_INVALID;
  if (!checkpoint.root && log->gap && checkpoint.upto < log->gap_start)
    return KCP_CONFIG_GAP;
  if (checkpoint.root || log->gap)
    {
      forget (log);
      log->version = checkpoint.version;
      join (log, entries);
    }
  log->has_checkpoint = true;
  log->checkpoint_upto = checkpoint.root ? offset : checkpoint.upto;
  log->records_since = 0;
  log->announce = log->announce && offset < log->trusted_until;
  if (log->gap && !checkpoint.root)
    {
      log->gap = false;
      log->next = checkpoint.upto;
      log->hashes_from = checkpoint.upto;
      return KCP_CONFIG_REWOUND;
    }
  log->gap = false;
  join (log, carried);
  return KCP_CONFIG_CHECKPOINT;
}

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

static void
join (struct kcp_config_log *log, const GPtrArray *entries)
{
  for (guint i = 0; i < entries->len; i++)
    {
      struct kcp_config_entry *entry = g_ptr_array_index (entries, i);

      if (kcp_config_entry_is_newer (entry,
                                     g_hash_table_lookup (log->entries, entry->key)))
        put_entry (log, entry);
    }
}

static void
put_entry (struct kcp_config_log *log, struct kcp_config_entry *entry)
{
  const struct kcp_config_entry *held = g_hash_table_lookup (log->entries, entry->key);

  log->digest ^= kcp_config_entry_digest (entry);
  if (held != NULL)
    log->digest ^= kcp_config_entry_digest (held);
  log->version = MAX (log->version, entry->version);
  kcp_config_entry_ref (entry);
  g_hash_table_replace (log->entries, entry->key, entry);
}

static void
forget (struct kcp_config_log *log)
{
  g_hash_table_remove_all (log->entries);
  log->version = 0;
  log->digest = 0;
}

/* Compares the record that the writer read last with the one read here. */
static bool
saw_this_log (const struct kcp_config_log *log, json_t *record)
{
  json_t *seen = json_object_get (record, "seen");
  uint64_t offset = (uint64_t)json_integer_value (seen);

  if (!json_is_integer (seen) || !hash_is_known (log, offset))
    return true;
  return log->hashes[offset % KCP_CONFIG_HASHES]
         == json_integer_value (json_object_get (record, "seen_hash"));
}

static bool
hash_is_known (const struct kcp_config_log *log, uint64_t offset)
{
  return offset >= log->hashes_from && offset < log->next
         && offset + KCP_CONFIG_HASHES >= log->next;
}

/* The hash fits the whole numbers of JSON. */
static int64_t
hash_record (const json_t *record)
{
  char *text = json_dumps (record, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
  uint64_t hash = text != NULL ? XXH3_64bits (text, strlen (text)) : 0;

  free (text);
  return (int64_t)(hash >> HASH_SHIFT);
}
