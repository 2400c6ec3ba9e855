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
  bool is_seed;                    /* is in the platform's VM list */
  struct kcp_vm_endpoint endpoint; /* from the VM list; set for a seed only */
  int64_t suspicion_end_ns; /* when the suspicion timeout expires; 0 if not suspect */
  int64_t removal_ns;       /* when a dead VM is removed; 0 if not dead */
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
  struct kcp_vm_endpoint endpoint;
  uint64_t incarnation;
  uint64_t first_incarnation;
  enum kcp_vm_state own_state; /* KCP_VM_ALIVE or KCP_VM_LEAVING */
  struct kcp_config_summary config;
  uint64_t config_number;      /* number of this VM's configuration fact */
  int64_t config_confirmed_ns; /* when last known to be the newest; -1 if never */
  int64_t probe_interval_ns;
  struct kcp_membership_events events;
  struct kcp_facts *facts;
  GHashTable *members;    /* id, owned by the value, to struct member */
  GPtrArray *probe_order; /* ids left to probe in this round; owned strings */
  struct probe probe;
  struct relay relays[RELAYS_MAX];
  uint64_t next_number;              /* number of the next probe or relay */
  uint64_t current_from_probe;       /* first probe whose ACK makes the view current */
  bool view_is_current;              /* see kcp_membership_has_current_view() */
  char sync_target[KCP_FACT_ID_MAX]; /* to synchronize with next; empty: random */
  unsigned probe_intervals;          /* probe intervals since the start */
  int64_t last_tick_ns;
  int64_t next_probe_ns;
  int64_t next_gossip_ns;
  int64_t next_sync_ns;
  int64_t last_sync_ns; /* when the last synchronization started */
};

bool kcp_membership_is_dead (const struct kcp_membership *membership, const char *id);
struct member *
kcp_membership_ensure_member (struct kcp_membership *membership, const char *id);
void kcp_membership_merge_fact (struct kcp_membership *membership,
                                struct kcp_peer_time now, const struct kcp_fact *fact);
void kcp_membership_schedule_sync (struct kcp_membership *membership,
                                   struct kcp_peer_time now, const char *id);
void kcp_membership_announce_config (struct kcp_membership *membership,
                                     struct kcp_peer_time now);
void kcp_membership_announce_self (struct kcp_membership *membership,
                                   struct kcp_peer_time now);
bool kcp_membership_needs_config (const struct kcp_config_summary *held,
                                  const struct kcp_config_summary *offered);
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

void kcp_membership_send_to_data_center (struct kcp_membership *membership,
                                         const struct kcp_fact *fact);

#endif
