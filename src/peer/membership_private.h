/* Declarations shared by the membership_*.c files; not for use by other modules. */
#ifndef KCP_PEER_MEMBERSHIP_PRIVATE_H
#define KCP_PEER_MEMBERSHIP_PRIVATE_H

#include "peer/membership.h"

#define RELAYS_MAX 64

/* State that is kept for another VM besides its fact. Times are monotonic, here and in
   struct kcp_membership. */
struct member
{
  char id[KCP_FACT_ID_MAX];
  bool is_seed;              /* is in the platform's VM list */
  struct kcp_vm_place place; /* from the VM list; set for a seed only */
  int64_t dead_ns;           /* when the suspicion timeout expires; 0 if not suspect */
  int64_t forget_ns;         /* when a dead VM is removed; 0 if not dead */
};

/* The outstanding probe; target is empty if there is none. */
struct probe
{
  char target[KCP_FACT_ID_MAX];
  uint64_t number;
  int64_t sent_ns;
  bool indirect; /* indirect probes were requested */
};

/* A probe sent on behalf of another VM. */
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
  enum kcp_vm_state own_state; /* KCP_VM_ALIVE or KCP_VM_LEAVING */
  struct kcp_config_told config;
  uint64_t config_number;      /* number of this VM's configuration fact */
  int64_t config_confirmed_ns; /* when last known to be the newest; -1 if never */
  int64_t probe_interval_ns;
  struct kcp_membership_events events;
  struct kcp_facts *facts;
  GHashTable *members; /* id, owned by the value, to struct member */
  GPtrArray *order;    /* ids left to probe in this round; owned strings */
  struct probe probe;
  struct relay relays[RELAYS_MAX];
  uint64_t next_number;  /* number of the next probe or relay */
  uint64_t trusted_from; /* first probe whose acknowledgement makes the view current */
  bool trusted;          /* see kcp_membership_is_trusted() */
  char sync_target[KCP_FACT_ID_MAX]; /* to synchronize with next; empty: random */
  unsigned intervals;                /* probe intervals since the start */
  int64_t last_tick_ns;
  int64_t next_probe_ns;
  int64_t next_spread_ns;
  int64_t next_sync_ns;
  int64_t synced_ns; /* when the last synchronization started */
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
                           const struct kcp_config_told *offered);
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
