/* Runs a VM in route mode as a child process, with a fake platform and two backend
   servers. */
#ifndef KCP_TESTS_HARNESS_ROUTE_VM_H
#define KCP_TESTS_HARNESS_ROUTE_VM_H

#include <sys/types.h>

#include "tests/harness/fake_platform.h"
#include "tests/harness/raw.h"

#define ROUTE_VM_TIMEOUT_MS 8000
#define ROUTE_VM_SETTLE_MS  20

struct route_vm
{
  struct fake_platform *platform;
  char *folder;            /* contains its settings and its log, out.log */
  const char *data_center; /* NULL: "z", that of the servers */
  int replace_ms;          /* how long replaced weights may be used; 0: the default */
  int poll_ms;             /* interval of reads of the servers' list; 0: 100 */
  int memory_mb;           /* of the process, as its settings say; 0: 256 */
  const char *log_path;    /* where its log goes; NULL: out.log in its folder */
  int port;
  int ready_port;
  int metrics_port;
  int peers_port; /* UDP port for other VMs */
  pid_t pid;
};

/* The VM that the fixture of the test program starts. */
extern struct route_vm route_vm;
extern const char route_vm_config_format[];

void route_vm_set_up (void);
void route_vm_tear_down (void);
void route_vm_set_up_servers (unsigned servers);
size_t route_vm_log_size (void);
void route_vm_wait_server_added (const char *id, size_t log_before);
void route_vm_start (void);
void route_vm_start_from (const char *path);
void route_vm_add (struct route_vm *vm, const char *data_center);
void route_vm_add_many (struct route_vm *vms, unsigned count, const char *data_center);
void route_vm_kill (struct route_vm *vm);
void route_vm_restart (struct route_vm *vm);
void route_vm_remove (struct route_vm *vm);
void route_vm_wait_ready (void);
int route_vm_ready_status (void);
bool route_vm_listens (int port);
struct raw_answer
route_vm_send_to (const struct route_vm *vm, const char *method, const char *path,
                  const char *id, const char *extra_headers, const char *body);
struct raw_answer route_vm_send (const char *method, const char *path,
                                 const char *extra_headers, const char *body);
int route_vm_status (const struct raw_answer *answer);
unsigned route_vm_run_count (void);
void route_vm_set_modes (enum fake_mode first, enum fake_mode second);

#endif
