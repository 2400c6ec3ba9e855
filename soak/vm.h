/* A VM in route mode as a process of a soak test: its settings, its log and its faults.
 */
#ifndef KCP_SOAK_VM_H
#define KCP_SOAK_VM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum soak_vm_fault
{
  SOAK_VM_KILL, /* SIGKILL; it is started again */
  SOAK_VM_STOP, /* SIGSTOP; it is continued */
  SOAK_VM_TERM, /* SIGTERM; it is started again once it has ended */
  SOAK_VM_HUP,
  SOAK_VM_FAULT_COUNT
};

struct soak_vm
{
  int port;
  int ready_port;
  int metrics_port;
  int peer_port;
  pid_t pid; /* 0: it does not run */
  char *settings;
  char *cut;            /* its cut file; see tests/harness/cut_file.h */
  char *log;            /* standard output of all its processes */
  const char *program;  /* NULL: that in KCP_PROGRAM, or else the build's */
  int64_t start_us;     /* time at which it is started; 0: it runs */
  int64_t resume_us;    /* time at which it is continued; 0: it is not stopped */
  int64_t kill_us;      /* time at which it is killed after SIGTERM; 0: none sent */
  int64_t heal_us;      /* time at which its paths are back; 0: they are not cut */
  int64_t disturbed_us; /* time of its last fault, or of the end of it */
};

/* Called with a broken invariant, the id of the request or "-", and what was seen. */
struct soak_report
{
  void (*broken) (const char *invariant, const char *id, const char *text);
};

void soak_vm_init (struct soak_vm *vm, unsigned index, const char *folder,
                   const char *data_center, int store_port, const char *further);
void soak_vm_clear (struct soak_vm *vm, bool keep_log);
void soak_vm_start (struct soak_vm *vm);
bool soak_vm_inject (struct soak_vm *vm, enum soak_vm_fault fault, int64_t now_us,
                     int64_t duration_us);
void soak_vm_end_faults (struct soak_vm *vm, int64_t now_us, bool all,
                         const struct soak_report *report);
int soak_connect (int port, int receive_timeout_ms);

#endif
