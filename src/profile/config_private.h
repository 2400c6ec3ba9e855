/* The members of struct kcp_config, for the files that implement it. */
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
  bool teams_stale; /* a team was replaced since the index was built */
  uint64_t version; /* maximum of all entries */
  uint64_t digest;  /* exclusive or of the digests of the entries */
  bool log_check_requested;
  bool loaded;
  bool confirmed;
  int64_t confirmed_ns; /* when the log was last known to hold nothing newer; monotonic */
};

/* The caller of these functions holds the lock. */
bool kcp_config_put_entry (struct kcp_config *config, struct kcp_config_entry *entry);
bool kcp_config_is_log_synced (const struct kcp_config *config);

#endif
