/* A further VM in route mode whose connections to the fixture's servers a test can cut
   off. */
#ifndef KCP_TESTS_HARNESS_CUT_VM_H
#define KCP_TESTS_HARNESS_CUT_VM_H

#include "tests/harness/route_vm.h"

enum cut_kind
{
  CUT_REFUSED,     /* connections are refused, and old ones reset */
  CUT_SILENT,      /* connections are never established, and old ones reset */
  CUT_NEW_REFUSED, /* connections are refused; old ones live on */
  CUT_KINDS
};

struct cut_vm
{
  struct route_vm vm;
  char *path;    /* of its cut file */
  int silent[3]; /* a listener with a full queue, and the connections that fill it */
  int silent_port;
};

void cut_vm_start (struct cut_vm *cut, const char *data_center);
void cut_vm_stop (struct cut_vm *cut);
void cut_vm_cut (struct cut_vm *cut, enum cut_kind kind, unsigned servers);
void cut_vm_heal (struct cut_vm *cut);

#endif
