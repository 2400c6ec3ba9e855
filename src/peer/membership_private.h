/* Shared by the files of the membership; included by nothing else. */
#ifndef KCP_PEER_MEMBERSHIP_PRIVATE_H
#define KCP_PEER_MEMBERSHIP_PRIVATE_H

#include "peer/membership.h"

#define RELAYS_MAX 64

/* What is known of another VM besides its fact. */
struct member
{
  char id[KCP_FACT_ID_MAX];
  bool is_seed;              /* the platform's list has it */
  struct kcp_vm_place place; /* of a seed */
  int64_t dead_ns;           /* monotonic; when its suspicion runs out, 0: not suspect */
  int64_t forget_ns;         /* monotonic; when its death is forgotten, 0: not dead */
};

/* The probe under way. An empty target: none. */
struct probe
{
  char target[KCP_FACT_ID_MAX];
  uint64_t number;
  int64_t sent_ns;
  bool indirect; /* others have been asked */
};

/* A probe made for another VM. */
struct relay
{
  uint64_t number;
  char requester[KCP_FACT_ID_MAX];
  uint64_t requester_number;
};

struct kcp_membership
{
  char id[KCP_FACT_ID_MAX];
  struct kcp_vm_place place;
  uint64_t incarnation;
  uint64_t first_incarnation;
  enum kcp_vm_state own_state; /* alive or leaving */
  struct kcp_config_told config;
  uint64_t config_number;      /* of this VM's configuration fact */
  int64_t config_confirmed_ns; /* monotonic; -1: never */
  int64_t probe_interval_ns;
  struct kcp_membership_events events;
  struct kcp_facts *facts;
  GHashTable *members; /* id in the member, struct member */
  GPtrArray *order;    /* ids still to be probed in this round; owned texts */
  struct probe probe;
  struct relay relays[RELAYS_MAX];
  uint64_t next_number;  /* of probes and relays */
  uint64_t trusted_from; /* an acknowledgement of this probe or a later one counts */
  bool trusted;
  char sync_target[KCP_FACT_ID_MAX]; /* whom to compare tables with next, or empty */
  unsigned intervals;                /* since the start */
  int64_t last_tick_ns;
  int64_t next_probe_ns;
  int64_t next_spread_ns;
  int64_t next_sync_ns;
  int64_t synced_ns; /* when tables were compared last */
};

bool kcp_membership_is_gone (const struct kcp_membership *membership, const char *id);
struct member *kcp_membership_member (struct kcp_membership *membership, const char *id);
void kcp_membership_join (struct kcp_membership *membership, struct kcp_peer_time now,
                          const struct kcp_fact *fact);
void kcp_membership_sync_soon (struct kcp_membership *membership,
                               struct kcp_peer_time now, const char *id);
void kcp_membership_announce_config (struct kcp_membership *membership,
                                     struct kcp_peer_time now);
void
kcp_membership_announce (struct kcp_membership *membership, struct kcp_peer_time now);
bool kcp_membership_lacks (const struct kcp_config_told *held,
                           const struct kcp_config_told *told);
bool kcp_membership_random_peer (struct kcp_membership *membership, const char *except,
                                 char id[KCP_FACT_ID_MAX]);

void kcp_membership_send (struct kcp_membership *membership, const char *to,
                          struct kcp_message *message);
void kcp_membership_send_probe (struct kcp_membership *membership, const char *to,
                                uint64_t number);
void kcp_membership_send_digest (struct kcp_membership *membership, const char *to,
                                 bool answer);

void
kcp_membership_probe_tick (struct kcp_membership *membership, struct kcp_peer_time now);

void
kcp_membership_tell_cell (struct kcp_membership *membership, const struct kcp_fact *fact);

#endif
