/* Simulated entry VM: runs the code of src/policy/ on the state that the VM knows. The
   simple policies that kingcuppoint is compared with are implemented here. */
#ifndef KCP_BENCH_FAKE_VM_H
#define KCP_BENCH_FAKE_VM_H

#include "bench/world.h"
#include "policy/admission.h"
#include "policy/cache_index.h"
#include "policy/concurrency_limit.h"
#include "policy/placement.h"
#include "policy/quarantine.h"
#include "policy/retry.h"

/* What the VM knows about one engine. */
struct engine_view
{
  struct engine_report report;
  int64_t report_ns;
  int64_t sent_tokens;          /* uncached prompt tokens sent since the report */
  int64_t started_since_report; /* attempts */
  int64_t ended_since_report;
  int64_t own_in_flight;    /* attempts of this VM in progress */
  int64_t waiting_requests; /* passed over in this dispatch round for lack of a slot */
  bool dead;                /* could not be reached, or crashed, since the report */
  struct kcp_concurrency_limit limit;
  uint64_t incarnation;
  uint64_t next_seq; /* of the next cache event */
};

struct fake_vm
{
  struct world *world;
  unsigned index;
  unsigned data_center;
  struct engine_view views[WORLD_ENGINES_MAX];
  struct kcp_cache_index *cache_index;
  struct kcp_admission *admission;
  struct kcp_quarantine *quarantine;
  struct kcp_retry_budget budgets[DATA_CENTERS];
  int64_t run_ns[KCP_CLASSES]; /* running mean from dispatch to the end of the answer */
  GPtrArray *jobs;             /* struct job, without an outcome yet */
};

struct fake_vm *fake_vm_new (struct world *world, unsigned index, unsigned data_center);
void fake_vm_free (struct fake_vm *vm);
void fake_vm_restart (struct fake_vm *vm);
void fake_vm_submit (struct fake_vm *vm, struct job *job);
void fake_vm_tick (struct fake_vm *vm);
void fake_vm_apply_quarantine (struct fake_vm *vm);
void fake_vm_on_report (struct fake_vm *vm, const struct fake_engine *engine,
                        const struct engine_report *report);
void fake_vm_on_events (struct fake_vm *vm, const struct fake_engine *engine,
                        uint64_t incarnation, const GArray *events);
void fake_vm_on_first_token (struct job *job);
void fake_vm_on_attempt_end (struct job *job, bool complete);

#endif
