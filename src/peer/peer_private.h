/* Declarations shared by the peer*.c files; not for use by other modules. */
#ifndef KCP_PEER_PEER_PRIVATE_H
#define KCP_PEER_PEER_PRIVATE_H

#include <pthread.h>

#include "peer/codec.h"
#include "peer/config_pull.h"
#include "peer/config_source.h"
#include "peer/membership.h"
#include "peer/peer.h"
#include "peer/rpc_link.h"
#include "peer/session.h"

struct observer
{
  kcp_fact_observer *call;
  void *user;
};

/* The lock protects the membership, the sessions, sending on the link, the changes, the
   deliveries and the observers. Sending does not block. An observer must be set before
   facts of its kind are published. */
struct kcp_peer
{
  const struct kcp_clock *clock;
  struct kcp_timeline *timeline;
  struct kcp_config *config;
  struct kcp_peer_key key;
  struct kcp_rpc_link *link;
  int wake_fd;
  int tick_ms;
  pthread_t thread;
  bool running;
  int stopping; /* atomic */

  pthread_mutex_t lock;
  struct kcp_membership *membership;
  struct kcp_sessions *sessions;
  GArray *changes; /* of struct kcp_fact; not yet reported to the observers */
  struct kcp_deliveries *deliveries;
  struct observer observers[KCP_FACT_KINDS];

  /* Used by the peer thread only. */
  GArray *reporting; /* of struct kcp_fact; changes being reported */
  struct kcp_config_pull pull;
  struct kcp_config_source *source;
  uint64_t newer_version;    /* version of the newer configuration that another VM has */
  uint64_t newer_digest;     /* its digest */
  int64_t outdated_since_ns; /* monotonic; since when another VM has it; 0: none */
  bool pull_full; /* the next pull fetches the full configuration, not only changes */
};

struct kcp_peer_time kcp_peer_now (const struct kcp_peer *peer);
void kcp_peer_send (struct kcp_peer *peer, const char *id, struct kcp_message *message);

void kcp_peer_announce_config (struct kcp_peer *peer, struct kcp_peer_time now);
void kcp_peer_start_pull_if_outdated (struct kcp_peer *peer, int64_t now_ns);
void kcp_peer_continue_pull (struct kcp_peer *peer, int64_t now_ns);
void kcp_peer_confirm_config (struct kcp_peer *peer, const struct kcp_message *message,
                              int64_t probe_sent_ns);
void kcp_peer_answer_pull (struct kcp_peer *peer, const struct kcp_message *message);
char *kcp_peer_serialize_config (void *user, uint64_t since);

#endif
