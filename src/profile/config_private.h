/* Members of the configuration, shared by its files. */
#ifndef KCP_PROFILE_CONFIG_PRIVATE_H
#define KCP_PROFILE_CONFIG_PRIVATE_H

#include <glib.h>
#include <pthread.h>

#include "profile/config.h"
#include "profile/config_entry.h"
#include "profile/team_index.h"

struct kcp_config
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  const struct kcp_clock *clock;
  struct kcp_config_log log;
  struct kcp_publish_outcomes outcomes;
  GHashTable *entries; /* in force: key, struct kcp_config_entry */
  struct kcp_team_index teams;
  bool teams_stale; /* a team was replaced since teams was built */
  uint64_t version; /* the greatest of all entries */
  uint64_t digest;  /* exclusive or of the entries' digests */
  bool suspicion;
  bool loaded;
  bool confirmed;
  int64_t confirmed_ns; /* when the log was last seen to hold nothing newer */
};

/* Both are called with the lock held. */
bool kcp_config_put_entry (struct kcp_config *config, struct kcp_config_entry *entry);
bool kcp_config_is_level (const struct kcp_config *config);

#endif
