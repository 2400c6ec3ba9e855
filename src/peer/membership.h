/* Membership of the VMs, by random probes as in SWIM (Das, Gupta and Motivala, 2002), and
   the spread of shared facts. It has no sockets, threads or clock: times are passed in,
   and messages leave through a function. One thread at a time. */
#ifndef KCP_PEER_MEMBERSHIP_H
#define KCP_PEER_MEMBERSHIP_H

#include <jansson.h>

#include "peer/message.h"

/* Both clocks, read by the caller. */
struct kcp_peer_time
{
  int64_t monotonic_ns;
  int64_t realtime_ms; /* since the epoch */
};

struct kcp_membership_events
{
  /* Sends a message to a place. It may be lost. Facts stay the caller's. */
  void (*send) (void *user, const struct kcp_vm_place *to, struct kcp_message *message);
  /* Told of each fact that changed, by a message or by this VM's own judgement. */
  void (*changed) (void *user, const struct kcp_fact *fact);
  /* A random number. */
  uint64_t (*random) (void *user);
  void *user;
};

struct kcp_membership_spec
{
  const char *id;
  struct kcp_vm_place place;
  uint64_t incarnation; /* greater than that of the VM's last process */
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
void kcp_membership_add_seed (struct kcp_membership *membership, const char *id,
                              const struct kcp_vm_place *place);
void kcp_membership_clear_seeds (struct kcp_membership *membership);
void kcp_membership_leave (struct kcp_membership *membership, struct kcp_peer_time now);
bool kcp_membership_publish (struct kcp_membership *membership, struct kcp_peer_time now,
                             const struct kcp_fact *fact);
void
kcp_membership_set_config (struct kcp_membership *membership, struct kcp_peer_time now,
                           const struct kcp_config_told *held, int64_t age_ns);
bool kcp_membership_newer_config (const struct kcp_membership *membership,
                                  uint64_t choice, struct kcp_fact *newest);
int64_t
kcp_membership_asked_ns (const struct kcp_membership *membership, uint64_t number);
bool kcp_membership_place (const struct kcp_membership *membership, const char *id,
                           struct kcp_vm_place *place);
void kcp_membership_send_other (struct kcp_membership *membership, const char *to,
                                struct kcp_message *message);
bool kcp_membership_is_trusted (const struct kcp_membership *membership);
uint64_t kcp_membership_incarnation (const struct kcp_membership *membership);
struct kcp_facts *kcp_membership_facts (struct kcp_membership *membership);
json_t *kcp_membership_to_json (const struct kcp_membership *membership);

#endif
