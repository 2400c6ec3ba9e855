/* Four VMs in two data centers before one platform, for tests of what VMs tell each
   other. The first is the fixture's VM of tests/harness/route_vm.h. */
#ifndef KCP_TESTS_HARNESS_VM_GROUP_H
#define KCP_TESTS_HARNESS_VM_GROUP_H

#include "tests/harness/route_vm.h"

#define VM_GROUP_SIZE    4u
#define VM_GROUP_MEET_MS 1500 /* in which VMs that start learn of each other */

/* Sends one request of a test to a VM. */
typedef struct raw_answer
vm_group_sender (const struct route_vm *vm, const char *path, const char *content);

void vm_group_set_up (unsigned servers);
void vm_group_tear_down (void);
struct route_vm *vm_group_at (unsigned i);
void vm_group_meet (void);
void vm_group_restart_all (void);
int vm_group_status (vm_group_sender *send, const struct route_vm *vm, const char *path,
                     const char *content);
void vm_group_expect_refusal (vm_group_sender *send, const struct route_vm *vm,
                              const char *path, const char *content, int64_t within_ms);
bool vm_group_serves (vm_group_sender *send, const struct route_vm *vm, const char *path,
                      const char *content);

#endif
