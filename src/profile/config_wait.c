/* Functions that wait for a change of the configuration. */
#include <errno.h>

#include "profile/config_private.h"

static bool wait_changed (struct kcp_config *config, const struct timespec *deadline);

/* Waits until the publication with an id was read back from the log, and stores its
   outcome. Returns false if that takes longer than timeout_ms milliseconds. With a
   timeout of 0 it does not wait. */
bool
kcp_config_wait_outcome (struct kcp_config *config, const char *id, int64_t timeout_ms,
                         struct kcp_publish_outcome *outcome)
{
  int64_t deadline_ns
      = kcp_clock_monotonic_ns (&kcp_clock_system) + timeout_ms * KCP_NS_PER_MS;
  struct timespec deadline = kcp_timespec_from_ns (deadline_ns);
  bool found;

  pthread_mutex_lock (&config->lock);
  while (timeout_ms > 0 && !kcp_publish_outcomes_find (&config->outcomes, id, outcome))
    if (!wait_changed (config, &deadline))
      break;
  found = kcp_publish_outcomes_find (&config->outcomes, id, outcome);
  pthread_mutex_unlock (&config->lock);
  return found;
}

/* Waits until the log contains all entries in force. Returns false if that takes longer
   than timeout_ms milliseconds. */
bool
kcp_config_wait_log_synced (struct kcp_config *config, int64_t timeout_ms)
{
  int64_t deadline_ns
      = kcp_clock_monotonic_ns (&kcp_clock_system) + timeout_ms * KCP_NS_PER_MS;
  struct timespec deadline = kcp_timespec_from_ns (deadline_ns);
  bool synced;

  pthread_mutex_lock (&config->lock);
  while (!kcp_config_is_log_synced (config) && wait_changed (config, &deadline))
    continue;
  synced = kcp_config_is_log_synced (config);
  pthread_mutex_unlock (&config->lock);
  return synced;
}

/* Waits until the configuration is loaded. Returns false if that takes longer than
   timeout_ms milliseconds. */
bool
kcp_config_wait_loaded (struct kcp_config *config, int64_t timeout_ms)
{
  int64_t deadline_ns
      = kcp_clock_monotonic_ns (&kcp_clock_system) + timeout_ms * KCP_NS_PER_MS;
  struct timespec deadline = kcp_timespec_from_ns (deadline_ns);
  bool loaded;

  pthread_mutex_lock (&config->lock);
  while (!config->loaded && wait_changed (config, &deadline))
    continue;
  loaded = config->loaded;
  pthread_mutex_unlock (&config->lock);
  return loaded;
}

static bool
wait_changed (struct kcp_config *config, const struct timespec *deadline)
{
  return pthread_cond_timedwait (&config->changed, &config->lock, deadline) != ETIMEDOUT;
}

/* Returns true if the log contains all entries in force. Called with the lock held. */
bool
kcp_config_is_log_synced (const struct kcp_config *config)
{
  return !config->log.gap && config->digest == config->log.digest;
}
