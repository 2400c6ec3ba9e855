/* A fact: a replicated state entry that VMs exchange. Of two facts of the same kind and
   id the greater one wins, so the result does not depend on the order, loss or
   duplication of messages. */
#ifndef KCP_PEER_FACT_H
#define KCP_PEER_FACT_H

#include <stdbool.h>
#include <stdint.h>

#define KCP_FACT_ID_MAX          64 /* bytes with the terminating NUL */
#define KCP_FACT_ADDRESS_MAX     47 /* bytes with the terminating NUL */
#define KCP_FACT_INCARNATION_MAX 41 /* bytes with the terminating NUL */

enum kcp_fact_kind
{
  KCP_FACT_VM,         /* a VM; number is its incarnation, state an enum kcp_vm_state */
  KCP_FACT_CONFIG,     /* a VM's configuration; number increases with each change there */
  KCP_FACT_BACKEND,    /* a backend server's state; number is the observation's stamp */
  KCP_FACT_QUARANTINE, /* a request fingerprint; number and state are set by the policy */
  KCP_FACT_LOAD,       /* load of a data center; number is the stamp of the sums */
  KCP_FACT_KINDS
};

/* In ascending order: within one incarnation, a later state overrides earlier ones. */
enum kcp_vm_state
{
  KCP_VM_ALIVE,
  KCP_VM_LEAVING,
  KCP_VM_SUSPECT,
  KCP_VM_DEAD,
  KCP_VM_STATES
};

struct kcp_vm_endpoint
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

/* Summary of a VM's configuration. VMs with equal version and digest hold the same
   documents. */
struct kcp_config_summary
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
  int64_t expires_ms; /* since the epoch, or 0 if the fact does not expire */
  union
  {
    struct kcp_vm_endpoint vm;                  /* for KCP_FACT_VM */
    struct kcp_config_summary config;           /* for KCP_FACT_CONFIG */
    char incarnation[KCP_FACT_INCARNATION_MAX]; /* for KCP_FACT_BACKEND */
    struct kcp_load_sums load;                  /* for KCP_FACT_LOAD */
  } content;
};

int kcp_fact_compare (const struct kcp_fact *a, const struct kcp_fact *b);
uint64_t kcp_fact_hash (const struct kcp_fact *fact);
uint64_t kcp_fact_key_hash (const struct kcp_fact *fact);
bool kcp_fact_has_same_key (const struct kcp_fact *a, const struct kcp_fact *b);
bool kcp_fact_kind_is_local (enum kcp_fact_kind kind);
const char *kcp_fact_kind_name (enum kcp_fact_kind kind);
const char *kcp_vm_state_name (enum kcp_vm_state state);

#endif
