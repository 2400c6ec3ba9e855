#include "profile/config.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "base/counter.h"
#include "base/id.h"
#include "profile/config_private.h"

#define STEP "config"

static void rebuild_team_index (struct kcp_config *config);
static void put_log_entries_in_force (struct kcp_config *config);
static void
record_outcome (struct kcp_config *config, json_t *record, enum kcp_config_result result,
                const struct kcp_config_entry *changed);
static struct kcp_config_base base_of (const struct kcp_config_entry *entry);

/* Creates an empty configuration. clock must outlive it. */
struct kcp_config *
kcp_config_new (const struct kcp_clock *clock)
{
  struct kcp_config *config = g_new0 (struct kcp_config, 1);
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_mutex_init (&config->lock, NULL);
  pthread_cond_init (&config->changed, &attr);
  pthread_condattr_destroy (&attr);
  config->clock = clock;
  kcp_config_log_init (&config->log);
  kcp_publish_outcomes_init (&config->outcomes);
  kcp_team_index_init (&config->teams);
  config->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kcp_config_entry_unref);
  return config;
}

/* Frees the configuration. config may be NULL. */
void
kcp_config_free (struct kcp_config *config)
{
  if (config == NULL)
    return;
  kcp_config_log_clear (&config->log);
  kcp_publish_outcomes_clear (&config->outcomes);
  kcp_team_index_clear (&config->teams);
  g_hash_table_unref (config->entries);
  pthread_cond_destroy (&config->changed);
  pthread_mutex_destroy (&config->lock);
  g_free (config);
}

/* Applies the record at an offset of the log and puts the resulting entries in force,
   except those of which a newer version is in force already. error may be NULL. */
enum kcp_config_result
kcp_config_apply (struct kcp_config *config, uint64_t offset, json_t *record,
                  struct kcp_error *error)
{
  struct kcp_config_entry *changed;
  enum kcp_config_result result;

  pthread_mutex_lock (&config->lock);
  result = kcp_config_log_apply (&config->log, offset, record, &changed, error);
  if (changed != NULL)
    kcp_config_put_entry (config, changed);
  if (result == KCP_CONFIG_CHECKPOINT || result == KCP_CONFIG_REWOUND)
    put_log_entries_in_force (config);
  record_outcome (config, record, result, changed);
  pthread_cond_broadcast (&config->changed);
  pthread_mutex_unlock (&config->lock);
  return result;
}

/* Discards the state that was read from the log, so that the log is read again from the
   offset first. Called when records were trimmed before they were read, or when the log
   was replaced. The entries in force stay. */
void
kcp_config_restart_log (struct kcp_config *config, uint64_t first)
{
  pthread_mutex_lock (&config->lock);
  kcp_config_log_restart (&config->log, first);
  pthread_mutex_unlock (&config->lock);
  kcp_counter_add (KCP_COUNT_CONFIG_LOG_RESTARTS, 1);
}

/* Records that the record before the next offset was trimmed and can no longer be
   compared with the log. The state is kept until a checkpoint replaces it. */
void
kcp_config_mark_log_unverified (struct kcp_config *config)
{
  pthread_mutex_lock (&config->lock);
  kcp_config_log_mark_unverified (&config->log);
  pthread_mutex_unlock (&config->lock);
}

/* Requests that the last record read be compared with the log again. */
void
kcp_config_request_log_check (struct kcp_config *config)
{
  pthread_mutex_lock (&config->lock);
  config->log_check_requested = true;
  pthread_mutex_unlock (&config->lock);
}

/* Returns true if kcp_config_request_log_check() was called since the previous call of
   this function, and clears the request. */
bool
kcp_config_take_log_check_request (struct kcp_config *config)
{
  bool log_check_requested;

  pthread_mutex_lock (&config->lock);
  log_check_requested = config->log_check_requested;
  config->log_check_requested = false;
  pthread_mutex_unlock (&config->lock);
  return log_check_requested;
}

/* Returns true if the hash of the record before the next offset is known, so that
   kcp_config_log_matches() can compare that record. */
bool
kcp_config_can_compare_log (struct kcp_config *config)
{
  bool can_compare;

  pthread_mutex_lock (&config->lock);
  can_compare = config->log.has_last_hash;
  pthread_mutex_unlock (&config->lock);
  return can_compare;
}

/* Returns false if the record that the log has at an offset is known to differ from the
   one that was applied there, which means that the log was replaced. */
bool
kcp_config_log_matches (struct kcp_config *config, uint64_t offset, const json_t *record)
{
  bool matches;

  pthread_mutex_lock (&config->lock);
  matches = kcp_config_log_matches_record (&config->log, offset, record);
  pthread_mutex_unlock (&config->lock);
  return matches;
}

/* Reports how the configuration in force relates to what was read from the log. */
void
kcp_config_status (struct kcp_config *config, struct kcp_config_status *status)
{
  const struct kcp_config_log *log = &config->log;

  pthread_mutex_lock (&config->lock);
  *status = (struct kcp_config_status){
    .next = log->next,
    .gap = log->gap,
    .unverified = log->unverified,
    .ahead_of_log = config->digest != log->digest,
    .empty = config->version == 0,
    .has_checkpoint = log->has_checkpoint,
    .checkpoint_upto = log->checkpoint_upto,
    .records_since_checkpoint = log->records_since_checkpoint,
  };
  pthread_mutex_unlock (&config->lock);
}

/* Returns a new checkpoint record. A root checkpoint makes all entries in force the new
   start of the stream. Any other checkpoint holds the state that results from the log so
   far and, separately as "carried", the entries in force here that the log lacks. Returns
   NULL if such a checkpoint is requested while the log has a gap. */
json_t *
kcp_config_checkpoint (struct kcp_config *config, bool root)
{
  const struct kcp_config_log *log = &config->log;
  g_autoptr (GPtrArray) entries = kcp_config_entries_new ();
  g_autoptr (GPtrArray) carried = kcp_config_entries_new ();
  char id[KCP_ID_LEN + 1];
  uint64_t upto;
  uint64_t version;
  bool known;

  kcp_id_random (id);
  pthread_mutex_lock (&config->lock);
  known = root || !log->gap;
  upto = log->next;
  version = root ? config->version : log->version;
  kcp_config_entries_collect (root ? config->entries : log->entries, NULL, 0, entries);
  if (!root)
    kcp_config_entries_collect (config->entries, log->entries, 0, carried);
  pthread_mutex_unlock (&config->lock);
  if (!known)
    return NULL;
  return json_pack ("{sssssIsIsbsoso}", "op", "checkpoint", "id", id, "upto",
                    (json_int_t)upto, "version", (json_int_t)version, "root", root,
                    "entries", kcp_config_entries_to_json (entries), "carried",
                    kcp_config_entries_to_json (carried));
}

/* Stores the version on which the next change of a document is to be based. Returns
   false if there is no such document at present. */
bool
kcp_config_base (struct kcp_config *config, const char *key, struct kcp_config_base *base)
{
  const struct kcp_config_entry *entry;
  bool exists;

  pthread_mutex_lock (&config->lock);
  entry = g_hash_table_lookup (config->entries, key);
  *base = base_of (entry);
  exists = entry != NULL && entry->document != NULL;
  pthread_mutex_unlock (&config->lock);
  return exists;
}

/* Validates a document for a key such as "profiles/NAME" without applying it. On failure
   sets an error and returns false. */
bool
kcp_config_check_document (const char *key, json_t *document, struct kcp_error *error)
{
  struct kcp_config_entry *entry = NULL;

  if (document == NULL)
    kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "%s: no document", key);
  else
    entry = kcp_config_entry_new (key, document, error);
  kcp_config_entry_unref (entry);
  return entry != NULL;
}

/* Returns the first offset that has not been applied. */
uint64_t
kcp_config_next_offset (struct kcp_config *config)
{
  uint64_t next;

  pthread_mutex_lock (&config->lock);
  next = config->log.next;
  pthread_mutex_unlock (&config->lock);
  return next;
}

/* Returns true if the log was read to its end at least once, here or by a VM whose
   snapshot was adopted. */
bool
kcp_config_is_loaded (struct kcp_config *config)
{
  bool loaded;

  pthread_mutex_lock (&config->lock);
  loaded = config->loaded;
  pthread_mutex_unlock (&config->lock);
  return loaded;
}

/* Records that at read_start_ns, the monotonic time at which the read of the log began,
   the log held nothing newer than the configuration in force. */
void
kcp_config_confirm (struct kcp_config *config, int64_t read_start_ns)
{
  pthread_mutex_lock (&config->lock);
  if (!config->loaded)
    pthread_cond_broadcast (&config->changed);
  config->loaded = true;
  config->confirmed = true;
  config->confirmed_ns = MAX (config->confirmed_ns, read_start_ns);
  pthread_mutex_unlock (&config->lock);
}

/* Returns the nanoseconds since the log was last known to hold nothing newer, or
   INT64_MAX if that was never the case. */
int64_t
kcp_config_age_ns (struct kcp_config *config)
{
  struct kcp_config_position position;

  kcp_config_position (config, &position);
  return position.age_ns >= 0 ? position.age_ns : INT64_MAX;
}

/* Returns a new copy of a document, or NULL if it does not exist or was deleted. Stores
   its version in base, as the base of the next change. */
json_t *
kcp_config_document (struct kcp_config *config, const char *key,
                     struct kcp_config_base *base)
{
  const struct kcp_config_entry *entry;
  json_t *document = NULL;

  pthread_mutex_lock (&config->lock);
  entry = g_hash_table_lookup (config->entries, key);
  *base = base_of (entry);
  if (entry != NULL)
    document = json_deep_copy (entry->document);
  pthread_mutex_unlock (&config->lock);
  return document;
}

/* Returns a new object that maps the keys with this prefix, sorted, to their versions.
   Deleted documents are left out. */
json_t *
kcp_config_keys (struct kcp_config *config, const char *prefix)
{
  json_t *keys = json_object ();
  GList *sorted;

  pthread_mutex_lock (&config->lock);
  sorted = g_list_sort (g_hash_table_get_keys (config->entries), (GCompareFunc)strcmp);
  for (const GList *node = sorted; node != NULL; node = node->next)
    {
      const struct kcp_config_entry *entry
          = g_hash_table_lookup (config->entries, node->data);

      if (entry->document != NULL && g_str_has_prefix (entry->key, prefix))
        json_object_set_new (keys, entry->key, json_integer ((json_int_t)entry->version));
    }
  pthread_mutex_unlock (&config->lock);
  g_list_free (sorted);
  return keys;
}

/* Returns a new reference to the profile in force, or NULL. */
struct kcp_profile *
kcp_config_profile (struct kcp_config *config, const char *name)
{
  g_autofree char *key = g_strconcat ("profiles/", name, NULL);
  struct kcp_config_entry *entry;
  struct kcp_profile *profile = NULL;

  pthread_mutex_lock (&config->lock);
  entry = g_hash_table_lookup (config->entries, key);
  if (entry != NULL && entry->profile != NULL)
    profile = kcp_profile_ref (entry->profile);
  pthread_mutex_unlock (&config->lock);
  return profile;
}

/* Returns a new reference to the team that owns an API key, or NULL. */
struct kcp_team *
kcp_config_team_by_key (struct kcp_config *config, struct kcp_str key)
{
  char hash[KCP_HASH_HEX_LEN + 1];
  struct kcp_team *found;

  kcp_id_hash (key, hash);
  pthread_mutex_lock (&config->lock);
  if (config->teams_stale)
    rebuild_team_index (config);
  found = kcp_team_index_find (&config->teams, hash);
  if (found != NULL)
    kcp_team_ref (found);
  pthread_mutex_unlock (&config->lock);
  return found;
}

/* Puts an entry in force, and takes a reference to it, unless the one in force is as new
   or newer. Returns true if it did. Called with the lock held. */
bool
kcp_config_put_entry (struct kcp_config *config, struct kcp_config_entry *entry)
{
  struct kcp_config_entry *current = g_hash_table_lookup (config->entries, entry->key);
  bool replaces_team = current != NULL && current->team != NULL;

  if (!kcp_config_entry_is_newer (entry, current))
    return false;
  kcp_counter_add (KCP_COUNT_CONFIG_APPLIED, 1);
  config->digest ^= kcp_config_entry_digest (entry);
  if (current != NULL)
    config->digest ^= kcp_config_entry_digest (current);
  config->version = MAX (config->version, entry->version);
  kcp_config_entry_ref (entry);
  g_hash_table_replace (config->entries, entry->key, entry);
  if (replaces_team)
    config->teams_stale = true;
  else if (entry->team != NULL)
    kcp_team_index_add (&config->teams, entry->team);
  return true;
}

static void
rebuild_team_index (struct kcp_config *config)
{
  GHashTableIter iter;
  gpointer value;

  config->teams_stale = false;
  kcp_team_index_remove_all (&config->teams);
  g_hash_table_iter_init (&iter, config->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct kcp_config_entry *)value)->team != NULL)
      kcp_team_index_add (&config->teams, ((struct kcp_config_entry *)value)->team);
}

static void
put_log_entries_in_force (struct kcp_config *config)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, config->log.entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    kcp_config_put_entry (config, value);
}

static void
record_outcome (struct kcp_config *config, json_t *record, enum kcp_config_result result,
                const struct kcp_config_entry *changed)
{
  const char *id = json_string_value (json_object_get (record, "id"));
  struct kcp_publish_outcome outcome
      = { .result = result, .version = changed != NULL ? changed->version : 0 };

  if (id != NULL && result != KCP_CONFIG_ALREADY_APPLIED && result != KCP_CONFIG_GAP)
    kcp_publish_outcomes_add (&config->outcomes, id, &outcome);
}

static struct kcp_config_base
base_of (const struct kcp_config_entry *entry)
{
  struct kcp_config_base base = { 0 };

  if (entry == NULL)
    return base;
  base.version = entry->version;
  g_strlcpy (base.id, entry->id, sizeof base.id);
  return base;
}
