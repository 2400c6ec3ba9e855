/* Exchanges the configuration between VMs as snapshots, with their age. */
#include "profile/config_private.h"

static bool read_snapshot (json_t *snapshot, GPtrArray *entries, struct kcp_error *error);

/* Reports the version and digest of the configuration, and how long ago the log was last
   known to hold nothing newer. */
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

/* Returns a new object with all entries in force. Another VM passes it to
   kcp_config_adopt(). */
json_t *
kcp_config_snapshot (struct kcp_config *config)
{
  return kcp_config_snapshot_since (config, 0);
}

/* Returns a new object with the entries that changed after a version. These suffice for
   a VM that has that version. If its digest still differs after it adopted them, it
   requests the full snapshot. */
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

/* Puts in force each entry of another VM's snapshot that is newer than the one in force.
   The complete snapshot is validated first: if one entry is invalid, the function sets an
   error, changes nothing and returns false. Marks the configuration as loaded if the
   sender's was. Does not confirm the configuration: see
   kcp_config_adopt_confirmation(). */
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

/* Adopts another VM's confirmation that the log holds nothing newer, if both VMs hold the
   same documents. position is what that VM reported. request_ns is the local monotonic
   time at which the request was sent, so that transit time never makes the confirmation
   appear more recent than it is. */
void
kcp_config_adopt_confirmation (struct kcp_config *config,
                               const struct kcp_config_position *position,
                               int64_t request_ns)
{
  int64_t confirmed_ns = request_ns - position->age_ns;

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
  return kcp_config_record_parse_entries (json_object_get (snapshot, "entries"), entries,
                                          error);
}
