/* Runs the exchange between VMs of one VM under a manual clock, in the test's process.
   The other VMs are sockets of the test. */
#ifndef KCP_TESTS_HARNESS_MESH_VM_H
#define KCP_TESTS_HARNESS_MESH_VM_H

#include <netinet/in.h>

#include "forward/mesh.h"
#include "forward/mesh_message.h"

#define MESH_VM_DC "here"

struct mesh_vm
{
  struct kcp_clock clock;
  struct kcp_forward_settings settings;
  struct kcp_store store;
  struct kcp_gateway gateway;
  struct kcp_mesh *mesh;
  char listen[32];
  struct sockaddr_in address;
  GArray *listed; /* struct mesh_vm_entry, in the store's list */
  bool list_fails;
};

/* Another VM. */
struct mesh_vm_peer
{
  char vm[64]; /* IP:PORT of its socket */
  const char *data_center;
  int fd;
  uint64_t sequence;
};

void mesh_vm_init (struct mesh_vm *vm);
void mesh_vm_list (struct mesh_vm *vm, const char *name, const char *data_center);
void mesh_vm_start (struct mesh_vm *vm);
void mesh_vm_clear (struct mesh_vm *vm);
struct kcp_server *
mesh_vm_add_server (struct mesh_vm *vm, const char *id, const char *data_center);
void mesh_vm_run (struct mesh_vm *vm, int64_t ms);
void mesh_vm_send (struct mesh_vm *vm, const struct mesh_vm_peer *peer, const char *bytes,
                   size_t len);

void mesh_vm_peer_init (struct mesh_vm_peer *peer, const char *data_center);
void mesh_vm_peer_clear (struct mesh_vm_peer *peer);
void mesh_vm_gossip (struct mesh_vm *vm, struct mesh_vm_peer *peer,
                     const struct kcp_server *server, uint32_t in_flight);
size_t mesh_vm_receive (const struct mesh_vm_peer *peer,
                        enum kcp_mesh_procedure procedure, char *bytes, size_t max);
unsigned mesh_vm_count_received (const struct mesh_vm_peer *peer,
                                 enum kcp_mesh_procedure procedure);

#endif
