#include "profile/config.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "base/counter.h"
#include "base/id.h"
#include "profile/config_entry.h"

#define STEP "config"

struct kcp_config
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  const struct kcp_clock *clock;
  GHashTable *entries; /* key, struct kcp_config_entry */
  uint64_t next;       /* the first offset not applied */
  uint64_t version;    /* the greatest of all entries */
  uint64_t digest;     /* exclusive or of the entries' digests */
  bool loaded;
  bool confirmed;
  int64_t confirmed_ns; /* when the log was last seen to hold nothing newer */
};

static bool put_entry (struct kcp_config *config, struct kcp_config_entry *entry);
static bool read_snapshot (json_t *snapshot, GPtrArray *entries, struct kcp_error *error);
static enum kcp_config_result apply_locked (struct kcp_config *config, uint64_t offset,
                                            json_t *record, struct kcp_error *error);

/* Makes an empty configuration; clock must outlive it. */
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
  config->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kcp_config_entry_unref);
  return config;
}

/* Frees the configuration; NULL is allowed. */
void
kcp_config_free (struct kcp_config *config)
{
  if (config == NULL)
    return;
  g_hash_table_unref (config->entries);
  pthread_cond_destroy (&config->changed);
  pthread_mutex_destroy (&config->lock);
  g_free (config);
}

/* Applies the record at an offset of the log. Every VM that applies the same records in
   offset order holds the same documents. error may be NULL. */
enum kcp_config_result
kcp_config_apply (struct kcp_config *config, uint64_t offset, json_t *record,
                  struct kcp_error *error)
{
  enum kcp_config_result result = KCP_CONFIG_OLD;

  pthread_mutex_lock (&config->lock);
  if (offset >= config->next)
    {
      result = apply_locked (config, offset, record, error);
      config->next = offset + 1;
      pthread_cond_broadcast (&config->changed);
    }
  pthread_mutex_unlock (&config->lock);
  return result;
}

/* Validates a document for a key such as "profiles/NAME" without applying it. */
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
  next = config->next;
  pthread_mutex_unlock (&config->lock);
  return next;
}

/* Waits until all offsets below next are applied; false after timeout_ms milliseconds. */
bool
kcp_config_wait_offset (struct kcp_config *config, uint64_t next, int64_t timeout_ms)
{
  int64_t until = kcp_clock_monotonic_ns (&kcp_clock_system) + timeout_ms * KCP_NS_PER_MS;
  struct timespec limit = kcp_timespec_from_ns (until);
  bool reached;

  pthread_mutex_lock (&config->lock);
  while (config->next < next)
    if (pthread_cond_timedwait (&config->changed, &config->lock, &limit) == ETIMEDOUT)
      break;
  reached = config->next >= next;
  pthread_mutex_unlock (&config->lock);
  return reached;
}

/* Tells whether the log, or a peer that had read it, has been read to its end once. */
bool
kcp_config_is_loaded (struct kcp_config *config)
{
  bool loaded;

  pthread_mutex_lock (&config->lock);
  loaded = config->loaded;
  pthread_mutex_unlock (&config->lock);
  return loaded;
}

/* Notes that nothing newer than what is held was in the log just now. */
void
kcp_config_confirm (struct kcp_config *config)
{
  pthread_mutex_lock (&config->lock);
  config->loaded = true;
  config->confirmed = true;
  config->confirmed_ns = kcp_clock_monotonic_ns (config->clock);
  pthread_mutex_unlock (&config->lock);
}

/* Returns the nanoseconds since the last confirmation, INT64_MAX if there was none. */
int64_t
kcp_config_age_ns (struct kcp_config *config)
{
  struct kcp_config_position position;

  kcp_config_position (config, &position);
  return position.age_ns >= 0 ? position.age_ns : INT64_MAX;
}

/* Returns a new reference to a document and the version of its last change, which is 0 if
   there was none; NULL if there is no document or it was deleted. */
json_t *
kcp_config_document (struct kcp_config *config, const char *key, uint64_t *version)
{
  struct kcp_config_entry *entry;
  json_t *document = NULL;

  pthread_mutex_lock (&config->lock);
  entry = g_hash_table_lookup (config->entries, key);
  *version = entry != NULL ? entry->version : 0;
  if (entry != NULL)
    document = json_deep_copy (entry->document);
  pthread_mutex_unlock (&config->lock);
  return document;
}

/* Returns a new object that maps each key with this prefix to its version. */
json_t *
kcp_config_keys (struct kcp_config *config, const char *prefix)
{
  json_t *keys = json_object ();
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&config->lock);
  g_hash_table_iter_init (&iter, config->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct kcp_config_entry *entry = value;

      if (entry->document != NULL && g_str_has_prefix (entry->key, prefix))
        json_object_set_new (keys, entry->key, json_integer ((json_int_t)entry->version));
    }
  pthread_mutex_unlock (&config->lock);
  return keys;
}

/* Tells how far the configuration is and how old its confirmation is. */
void
kcp_config_position (struct kcp_config *config, struct kcp_config_position *position)
{
  int64_t now_ns = kcp_clock_monotonic_ns (config->clock);

  pthread_mutex_lock (&config->lock);
  *position = (struct kcp_config_position){
    .version = config->version,
    .digest = config->digest,
    .loaded = config->loaded,
    .age_ns = config->confirmed ? MAX (now_ns - config->confirmed_ns, 0) : -1,
  };
  pthread_mutex_unlock (&config->lock);
}

/* Returns everything in force as a new object, for kcp_config_adopt() on another VM. */
json_t *
kcp_config_snapshot (struct kcp_config *config)
{
  return kcp_config_snapshot_since (config, 0);
}

/* Returns what changed after a version as a new object. A VM whose own version is that
   one needs no more, unless its digest still differs after it adopted the answer; it then
   asks for everything. */
json_t *
kcp_config_snapshot_since (struct kcp_config *config, uint64_t version)
{
  json_t *entries = json_object ();
  GHashTableIter iter;
  gpointer value;
  bool loaded;

  pthread_mutex_lock (&config->lock);
  loaded = config->loaded;
  g_hash_table_iter_init (&iter, config->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct kcp_config_entry *entry = value;

      if (entry->version > version)
        json_object_set_new (entries, entry->key, kcp_config_entry_to_json (entry));
    }
  pthread_mutex_unlock (&config->lock);
  return json_pack ("{sbso}", "loaded", loaded, "entries", entries);
}

/* Takes over from another VM's snapshot each entry that is newer than the one held, and
   none that is older. The whole snapshot is validated first; one wrong entry changes
   nothing. Marks the configuration as loaded if the sender's was. It does not confirm
   the configuration: see kcp_config_confirm_from(). */
bool
kcp_config_adopt (struct kcp_config *config, json_t *snapshot, struct kcp_error *error)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (kcp_config_entry_unref);

  if (!read_snapshot (snapshot, entries, error))
    return false;
  pthread_mutex_lock (&config->lock);
  for (guint i = 0; i < entries->len; i++)
    put_entry (config, g_ptr_array_index (entries, i));
  if (json_is_true (json_object_get (snapshot, "loaded")))
    config->loaded = true;
  pthread_cond_broadcast (&config->changed);
  pthread_mutex_unlock (&config->lock);
  return true;
}

/* Takes over another VM's confirmation if both hold the same documents. position is what
   that VM told; asked_ns is the monotonic time at which it was asked, so that the
   time on the way never makes the confirmation look younger than it is. */
void
kcp_config_confirm_from (struct kcp_config *config,
                         const struct kcp_config_position *position, int64_t asked_ns)
{
  int64_t confirmed_ns = asked_ns - position->age_ns;

  if (!position->loaded || position->age_ns < 0)
    return;
  pthread_mutex_lock (&config->lock);
  if (position->version == config->version && position->digest == config->digest
      && (!config->confirmed || confirmed_ns > config->confirmed_ns))
    {
      config->confirmed = true;
      config->confirmed_ns = confirmed_ns;
    }
  pthread_mutex_unlock (&config->lock);
}

/* Returns a reference to the profile in force, or NULL. */
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

/* Returns a reference to the team that owns a key, or NULL. */
struct kcp_team *
kcp_config_team_by_key (struct kcp_config *config, struct kcp_str key)
{
  char hash[KCP_HASH_HEX_LEN + 1];
  struct kcp_team *found = NULL;
  GHashTableIter iter;
  gpointer value;

  kcp_id_hash (key, hash);
  pthread_mutex_lock (&config->lock);
  g_hash_table_iter_init (&iter, config->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct kcp_config_entry *entry = value;

      if (entry->team != NULL && kcp_team_has_key_hash (entry->team, hash)
          && found == NULL)
        found = kcp_team_ref (entry->team);
    }
  pthread_mutex_unlock (&config->lock);
  return found;
}

static enum kcp_config_result
apply_locked (struct kcp_config *config, uint64_t offset, json_t *record,
              struct kcp_error *error)
{
  const char *op = json_string_value (json_object_get (record, "op"));
  const char *key = json_string_value (json_object_get (record, "key"));
  const char *id = json_string_value (json_object_get (record, "id"));
  uint64_t base = (uint64_t)json_integer_value (json_object_get (record, "base"));
  struct kcp_config_entry *entry;

  if (op == NULL || key == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "record without op or key");
      return KCP_CONFIG_INVALID;
    }
  entry = g_hash_table_lookup (config->entries, key);
  if (base != (entry != NULL ? entry->version : 0))
    {
      kcp_error_set (error, KCP_ERR_STALE_BASE, STEP, NULL,
                     "%s: based on a version not in force", key);
      return KCP_CONFIG_STALE_BASE;
    }
  entry = kcp_config_entry_new (
      key, strcmp (op, "delete") == 0 ? NULL : json_object_get (record, "doc"), error);
  if (entry == NULL)
    return KCP_CONFIG_INVALID;
  entry->version = MAX (config->version, offset) + 1;
  g_strlcpy (entry->id, id != NULL ? id : "", sizeof entry->id);
  put_entry (config, entry);
  kcp_config_entry_unref (entry);
  kcp_counter_add (KCP_COUNT_CONFIG_APPLIED, 1);
  return KCP_CONFIG_APPLIED;
}

/* Puts an entry in force unless a newer one is; takes a reference of its own. */
static bool
put_entry (struct kcp_config *config, struct kcp_config_entry *entry)
{
  struct kcp_config_entry *held = g_hash_table_lookup (config->entries, entry->key);

  if (!kcp_config_entry_is_newer (entry, held))
    return false;
  config->digest ^= kcp_config_entry_digest (entry);
  if (held != NULL)
    config->digest ^= kcp_config_entry_digest (held);
  config->version = MAX (config->version, entry->version);
  kcp_config_entry_ref (entry);
  g_hash_table_replace (config->entries, entry->key, entry);
  return true;
}

static bool
read_snapshot (json_t *snapshot, GPtrArray *entries, struct kcp_error *error)
{
  json_t *list = json_object_get (snapshot, "entries");
  const char *key;
  json_t *value;

  if (!json_is_object (list))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "snapshot without entries");
      return false;
    }
  json_object_foreach (list, key, value)
  {
    struct kcp_config_entry *entry = kcp_config_entry_from_json (key, value, error);

    if (entry == NULL)
      return false;
    g_ptr_array_add (entries, entry);
  }
  return true;
}
