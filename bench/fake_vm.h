/* An entry VM of the bench: the facts that it holds, fed to the code of src/policy/. */
#ifndef KCP_BENCH_FAKE_VM_H
#define KCP_BENCH_FAKE_VM_H

#include "bench/world.h"
#include "policy/admission.h"
#include "policy/cache_index.h"
#include "policy/concurrency_limit.h"
#include "policy/placement.h"
#include "policy/quarantine.h"
#include "policy/retry.h"

/* What the VM holds of one engine. */
struct engine_view
{
  struct engine_report report;
  int64_t report_ns;
  int64_t sent_tokens; /* since the report */
  int64_t begun;       /* attempts since the report */
  int64_t ended;
  int64_t own;  /* attempts of this VM under way */
  int64_t held; /* requests that the present search left waiting for it */
  bool dead;
  struct kcp_concurrency_limit limit;
  uint64_t incarnation;
  uint64_t next_seq;
};

struct fake_vm
{
  struct world *world;
  unsigned number;
  unsigned data_center;
  struct engine_view views[WORLD_ENGINES_MAX];
  struct kcp_cache_index *cache_index;
  struct kcp_admission *admission;
  struct kcp_quarantine *quarantine;
  struct kcp_retry_budget budgets[DATA_CENTERS];
  int64_t run_ns[KCP_CLASSES]; /* mean time from dispatch to the end of the answer */
  GPtrArray *open;             /* struct job */
};

struct fake_vm *fake_vm_new (struct world *world, unsigned number, unsigned data_center);
void fake_vm_free (struct fake_vm *vm);
void fake_vm_restart (struct fake_vm *vm);
void fake_vm_take (struct fake_vm *vm, struct job *job);
void fake_vm_tick (struct fake_vm *vm);
void fake_vm_withdraw (struct fake_vm *vm);
void fake_vm_report (struct fake_vm *vm, const struct fake_engine *engine,
                     const struct engine_report *report);
void fake_vm_events (struct fake_vm *vm, const struct fake_engine *engine,
                     uint64_t incarnation, const GArray *events);
void fake_vm_first_token (struct job *job);
void fake_vm_finished (struct job *job, bool whole);

#endif
