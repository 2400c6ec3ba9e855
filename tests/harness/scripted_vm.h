/* Fixture: a VM in route mode whose backend servers are scripted by the test. */
#ifndef KCP_TESTS_HARNESS_SCRIPTED_VM_H
#define KCP_TESTS_HARNESS_SCRIPTED_VM_H

#include "tests/harness/route_vm.h"
#include "tests/harness/scripted_server.h"

void scripted_vm_set_up (void);
void scripted_vm_tear_down (void);
struct scripted_server *
scripted_vm_start_server (const char *id, scripted_handler *handler, const void *user);

#endif
