/* Group membership of the VMs by randomized probing as in SWIM (Das, Gupta and Motivala,
   2002), and gossip dissemination of facts. The module uses no sockets, threads or clock:
   the caller passes in the time, and messages are sent through a callback. Only one
   thread may use a membership at a time. */
#ifndef KCP_PEER_MEMBERSHIP_H
#define KCP_PEER_MEMBERSHIP_H

#include <jansson.h>

#include "peer/message.h"

/* The time on both clocks, read by the caller. */
struct kcp_peer_time
{
  int64_t monotonic_ns;
  int64_t realtime_ms; /* since the epoch */
};

struct kcp_membership_events
{
  /* Sends a message, which may be lost, to an endpoint. The caller keeps ownership of the
     message's facts. */
  void (*send) (void *user, const struct kcp_vm_endpoint *to,
                struct kcp_message *message);
  /* Called for each fact that changed, through a message or on this VM's own decision. */
  void (*changed) (void *user, const struct kcp_fact *fact);
  /* Returns a random number. */
  uint64_t (*random) (void *user);
  void *user;
};

struct kcp_membership_spec
{
  const char *id;
  struct kcp_vm_endpoint endpoint;
  uint64_t incarnation; /* must exceed that of the VM's previous process */
  int64_t probe_interval_ns;
  struct kcp_membership_events events;
};

struct kcp_membership;

struct kcp_membership *
kcp_membership_new (const struct kcp_membership_spec *spec, struct kcp_peer_time now);
void kcp_membership_free (struct kcp_membership *membership);
void kcp_membership_tick (struct kcp_membership *membership, struct kcp_peer_time now);
void kcp_membership_receive (struct kcp_membership *membership, struct kcp_peer_time now,
                             const struct kcp_message *message);
void
kcp_membership_merge_facts (struct kcp_membership *membership, struct kcp_peer_time now,
                            const struct kcp_message *message);
void kcp_membership_respond (struct kcp_membership *membership, struct kcp_peer_time now,
                             const struct kcp_message *message);
size_t kcp_membership_probe_data_center (struct kcp_membership *membership,
                                         const struct kcp_fact *fact, uint64_t *number);
void kcp_membership_add_seed (struct kcp_membership *membership, const char *id,
                              const struct kcp_vm_endpoint *endpoint);
void kcp_membership_clear_seeds (struct kcp_membership *membership);
void kcp_membership_leave (struct kcp_membership *membership, struct kcp_peer_time now);
bool kcp_membership_publish (struct kcp_membership *membership, struct kcp_peer_time now,
                             const struct kcp_fact *fact);
void
kcp_membership_set_config (struct kcp_membership *membership, struct kcp_peer_time now,
                           const struct kcp_config_summary *summary, int64_t age_ns);
bool kcp_membership_find_newer_config (const struct kcp_membership *membership,
                                       uint64_t choice, struct kcp_fact *newest);
int64_t
kcp_membership_probe_sent_ns (const struct kcp_membership *membership, uint64_t number);
bool kcp_membership_find_endpoint (const struct kcp_membership *membership,
                                   const char *id, struct kcp_vm_endpoint *endpoint);
void kcp_membership_send_external (struct kcp_membership *membership, const char *to,
                                   struct kcp_message *message);
bool kcp_membership_has_current_view (const struct kcp_membership *membership);
uint64_t kcp_membership_incarnation (const struct kcp_membership *membership);
struct kcp_facts *kcp_membership_facts (struct kcp_membership *membership);
json_t *kcp_membership_to_json (const struct kcp_membership *membership);

#endif
