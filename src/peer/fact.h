/* One fact that VMs tell each other. Of two facts of the same kind and id the greater
   wins, so that order, loss and repeats of messages do not matter. */
#ifndef KCP_PEER_FACT_H
#define KCP_PEER_FACT_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_FACT_ID_MAX          64 /* bytes with the end */
#define KCP_FACT_ADDRESS_MAX     47 /* bytes with the end */
#define KCP_FACT_INCARNATION_MAX 41 /* bytes with the end */

enum kcp_fact_kind
{
  KCP_FACT_VM,         /* number: the VM's incarnation; state: enum kcp_vm_state */
  KCP_FACT_CONFIG,     /* what a VM holds; number: grows with each change there */
  KCP_FACT_BACKEND,    /* number: stamp of the observation; state: the server's state */
  KCP_FACT_QUARANTINE, /* of a request fingerprint; number and state: the policy's */
  KCP_FACT_LOAD,       /* of a data center; number: stamp of the sums */
  KCP_FACT_KINDS
};

/* In ascending order: each overrides those before it within one incarnation. */
enum kcp_vm_state
{
  KCP_VM_ALIVE,
  KCP_VM_LEAVING,
  KCP_VM_SUSPECT,
  KCP_VM_DEAD,
  KCP_VM_STATES
};

struct kcp_vm_place
{
  char data_center[KCP_FACT_ID_MAX];
  char address[KCP_FACT_ADDRESS_MAX];
  uint16_t port;
};

struct kcp_load_sums
{
  int64_t running;
  int64_t waiting;
};

/* Two VMs with equal version and digest hold the same documents. */
struct kcp_config_told
{
  uint64_t version;
  uint64_t digest;
  bool loaded;
};

struct kcp_fact
{
  enum kcp_fact_kind kind;
  char id[KCP_FACT_ID_MAX];
  uint64_t number;
  uint64_t state;
  int64_t expires_ms; /* since the epoch; 0: never */
  union
  {
    struct kcp_vm_place vm;                     /* KCP_FACT_VM */
    struct kcp_config_told config;              /* KCP_FACT_CONFIG */
    char incarnation[KCP_FACT_INCARNATION_MAX]; /* KCP_FACT_BACKEND */
    struct kcp_load_sums load;                  /* KCP_FACT_LOAD */
  } of;
};

int kcp_fact_compare (const struct kcp_fact *a, const struct kcp_fact *b);
uint64_t kcp_fact_hash (const struct kcp_fact *fact);
uint64_t kcp_fact_key_hash (const struct kcp_fact *fact);
bool kcp_fact_is_same_key (const struct kcp_fact *a, const struct kcp_fact *b);
bool kcp_fact_stays_inside (enum kcp_fact_kind kind);
const char *kcp_fact_kind_name (enum kcp_fact_kind kind);
const char *kcp_vm_state_name (enum kcp_vm_state state);

#endif
