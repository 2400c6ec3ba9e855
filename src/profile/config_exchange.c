/* What VMs take over from each other's configuration. */
#include "profile/config_private.h"

static bool read_snapshot (json_t *snapshot, GPtrArray *entries, struct kcp_error *error);

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
  g_autoptr (GPtrArray) entries = kcp_config_entries_new ();
  bool loaded;

  pthread_mutex_lock (&config->lock);
  loaded = config->loaded;
  kcp_config_entries_collect (config->entries, NULL, version, entries);
  pthread_mutex_unlock (&config->lock);
  return json_pack ("{sbso}", "loaded", loaded, "entries",
                    kcp_config_entries_to_json (entries));
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
    kcp_config_put_entry (config, g_ptr_array_index (entries, i));
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

static bool
read_snapshot (json_t *snapshot, GPtrArray *entries, struct kcp_error *error)
{
  return kcp_config_record_read_entries (json_object_get (snapshot, "entries"), entries,
                                         error);
}
