/* Simulated network of VMs in one process. It runs the production membership code in
   virtual time and can lose, duplicate, delay, reorder and block messages. */
#ifndef KCP_TESTS_HARNESS_PEER_NET_H
#define KCP_TESTS_HARNESS_PEER_NET_H

#include "peer/codec.h"
#include "peer/membership.h"
#include "peer/session.h"

struct peer_net;

struct peer_vm
{
  struct peer_net *net;
  guint index;
  char id[KCP_FACT_ID_MAX];
  struct kcp_vm_endpoint endpoint;
  struct kcp_membership *membership;
  struct kcp_sessions *sessions;
  GQueue *inbox; /* messages received while it is frozen */
  bool frozen;   /* does not run; its messages wait in inbox */
  bool dead;
  int partition; /* messages between VMs in different partitions are lost */
  int64_t next_tick_ns;
  uint64_t incarnations; /* number of process starts */
  uint64_t bytes_sent;   /* with headers; only with count_bytes */
  uint64_t messages_sent;
  uint64_t rejected; /* messages that kcp_sessions_accept() refused */
};

struct peer_net
{
  GRand *random;
  GPtrArray *vms;   /* struct peer_vm */
  GSequence *queue; /* messages in transit, by delivery time */
  int64_t now_ns;
  int64_t probe_interval_ns;
  int broken_link[2]; /* indexes of VMs that cannot reach each other; equal: none */
  int loss_percent;
  int duplicate_percent;
  int64_t delay_max_ns;
  bool count_bytes; /* seal messages and count their bytes */
  struct kcp_peer_key key;
};

struct peer_net *peer_net_new (guint32 seed, guint vms, guint data_centers);
void peer_net_free (struct peer_net *net);
struct peer_vm *peer_net_vm (struct peer_net *net, guint index);
void peer_net_restart (struct peer_net *net, struct peer_vm *vm);
void peer_net_seed_all (struct peer_net *net);
void peer_net_run (struct peer_net *net, int64_t duration_ns);
int64_t peer_net_run_until (struct peer_net *net, bool (*done) (struct peer_net *net),
                            int64_t limit_ns);
struct kcp_peer_time peer_net_time (const struct peer_net *net);
bool peer_net_is_converged (struct peer_net *net);
bool peer_net_publish (struct peer_vm *vm, enum kcp_fact_kind kind, const char *id,
                       uint64_t number, uint64_t state);
guint
peer_net_count_holders (struct peer_net *net, enum kcp_fact_kind kind, const char *id);
int peer_net_observed_state (const struct peer_vm *viewer, const struct peer_vm *subject);

#endif
