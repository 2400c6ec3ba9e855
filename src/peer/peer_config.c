#include <string.h>

#include "base/id.h"
#include "base/logger.h"
#include "peer/peer_private.h"

#define STEP          "peers"
#define PULL_DELAY_MS 1000 /* time allowed for reading the change from the log */

static void finish_pull (struct kcp_peer *peer);

/* Announces this VM's configuration to the other VMs. Called with the lock held. */
void
kcp_peer_announce_config (struct kcp_peer *peer, struct kcp_peer_time now)
{
  struct kcp_config_position position;

  kcp_config_position (peer->config, &position);
  kcp_membership_set_config (peer->membership, now,
                             &(struct kcp_config_summary){
                                 .version = position.version,
                                 .digest = position.digest,
                                 .loaded = position.loaded,
                             },
                             position.age_ns);
}

/* Starts a pull if another VM has a newer configuration and this VM did not read it from
   the log within PULL_DELAY_MS. A VM without a loaded configuration does not wait. */
void
kcp_peer_start_pull_if_outdated (struct kcp_peer *peer, int64_t now_ns)
{
  struct kcp_config_position own;
  struct kcp_fact newest;
  int64_t delay_ns;
  bool outdated;

  if (peer->pull.state != KCP_PULL_IDLE)
    return;
  kcp_config_position (peer->config, &own);
  pthread_mutex_lock (&peer->lock);
  outdated = kcp_membership_find_newer_config (peer->membership, kcp_id_random_u64 (),
                                               &newest);
  pthread_mutex_unlock (&peer->lock);
  if (!outdated)
    {
      peer->outdated_since_ns = 0;
      peer->pull_full = false;
      return;
    }
  if (peer->outdated_since_ns == 0)
    peer->outdated_since_ns = now_ns;
  delay_ns = own.loaded ? PULL_DELAY_MS * KCP_NS_PER_MS : 0;
  if (now_ns - peer->outdated_since_ns < delay_ns)
    return;
  peer->newer_version = newest.content.config.version;
  peer->newer_digest = newest.content.config.digest;
  if (newest.content.config.version == own.version)
    peer->pull_full = true;
  kcp_config_pull_start (&peer->pull, newest.id, kcp_id_random_u64 (),
                         peer->pull_full ? 0 : own.version);
}

/* Sends the next request of the pull if one is due, and ends a done or failed pull. */
void
kcp_peer_continue_pull (struct kcp_peer *peer, int64_t now_ns)
{
  struct kcp_message message = { .kind = KCP_MESSAGE_PULL };

  if (kcp_config_pull_request (&peer->pull, now_ns, &message.content.pull))
    kcp_peer_send (peer, peer->pull.from, &message);
  if (peer->pull.state == KCP_PULL_DONE)
    finish_pull (peer);
  if (peer->pull.state == KCP_PULL_FAILED)
    {
      kcp_logger_write (G_LOG_LEVEL_WARNING, "config_pull_failed", "peer",
                        peer->pull.from, NULL);
      kcp_config_pull_clear (&peer->pull);
    }
}

/* Adopts the fetched configuration. If the result still differs from the configuration
   that the other VM announced, the next pull fetches the full configuration. */
static void
finish_pull (struct kcp_peer *peer)
{
  struct kcp_str text = kcp_config_pull_text (&peer->pull);
  json_t *snapshot = json_loadb (text.data, text.len, 0, NULL);
  struct kcp_config_position own;
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_PEER, STEP, peer->pull.from, "not JSON");
  if (snapshot != NULL && kcp_config_adopt (peer->config, snapshot, &error))
    {
      kcp_config_position (peer->config, &own);
      kcp_timeline_add (peer->timeline, KCP_EVENT_CONFIG_IN_FORCE, NULL, peer->pull.from,
                        (int64_t)own.version);
      kcp_logger_write (G_LOG_LEVEL_MESSAGE, "config_adopted", "peer", peer->pull.from,
                        NULL);
      peer->pull_full
          = own.version <= peer->newer_version && own.digest != peer->newer_digest;
    }
  else
    kcp_logger_error ("config_adopt_failed", NULL, &error);
  json_decref (snapshot);
  peer->outdated_since_ns = 0;
  kcp_config_pull_clear (&peer->pull);
}

/* Updates the time at which the configuration was last known to be the newest, from an
   acknowledgement of a VM that has the same configuration. */
void
kcp_peer_confirm_config (struct kcp_peer *peer, const struct kcp_message *message,
                         int64_t probe_sent_ns)
{
  for (guint i = 0; i < message->facts->len; i++)
    {
      const struct kcp_fact *fact = &g_array_index (message->facts, struct kcp_fact, i);
      struct kcp_config_position position = {
        .version = fact->content.config.version,
        .digest = fact->content.config.digest,
        .loaded = fact->content.config.loaded,
        .age_ns = message->content.probe.config_age_ns,
      };

      if (fact->kind == KCP_FACT_CONFIG && strcmp (fact->id, message->from) == 0
          && strcmp (message->content.probe.target, message->from) == 0)
        kcp_config_adopt_confirmation (peer->config, &position, probe_sent_ns);
    }
}

/* Sends the requested chunks. */
void
kcp_peer_answer_pull (struct kcp_peer *peer, const struct kcp_message *message)
{
  int64_t now_ns = kcp_peer_now (peer).monotonic_ns;

  for (uint32_t i = 0;; i++)
    {
      struct kcp_message answer = { .kind = KCP_MESSAGE_CHUNK };

      if (!kcp_config_source_chunk (peer->source, now_ns, &message->content.pull, i,
                                    &answer.content.chunk))
        return;
      kcp_peer_send (peer, message->from, &answer);
    }
}

/* Returns the changes of the configuration since a version as text; the caller frees
   it. */
char *
kcp_peer_serialize_config (void *user, uint64_t since)
{
  struct kcp_peer *peer = user;
  json_t *snapshot = kcp_config_snapshot_since (peer->config, since);
  char *text = json_dumps (snapshot, JSON_COMPACT);

  json_decref (snapshot);
  return text;
}
