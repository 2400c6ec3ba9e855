/* One caller's request in the bench, from its arrival to its end. */
#ifndef KCP_BENCH_JOB_H
#define KCP_BENCH_JOB_H

#include "policy/admission.h"
#include "policy/retry.h"

#define JOB_BLOCKS_MAX 32

enum job_end
{
  JOB_OPEN,
  JOB_ANSWERED,
  JOB_LATE,    /* the caller left at its deadline */
  JOB_REFUSED, /* with a time to come back */
  JOB_BLOCKED, /* in quarantine */
  JOB_FAILED
};

struct fake_engine;
struct fake_vm;

struct job
{
  /* What the caller asks for. */
  enum kcp_class class;
  unsigned team;
  unsigned data_centers; /* bit mask of those allowed */
  int importance;
  uint64_t chain[JOB_BLOCKS_MAX];
  size_t blocks;
  int64_t prompt_tokens;
  int64_t answer_tokens;
  int64_t arrived_ns;
  int64_t deadline_ns;
  uint64_t fingerprint;
  bool crashes;     /* any engine that computes it */
  unsigned returns; /* times the caller has come back after a refusal */

  /* At the VM. */
  struct fake_vm *vm;
  struct kcp_admission_item item;
  unsigned attempts;
  bool in_flight; /* an attempt is under way */
  bool held;      /* the engine is reserved for it as a suspect */
  int64_t retry_after_s;
  int64_t dispatched_ns;
  int64_t sent_tokens; /* uncached, as far as was believed */
  enum job_end end;
  int64_t first_token_ns; /* 0: none yet */
  int64_t ended_ns;
  int64_t cached_tokens; /* of the last attempt, as its engine reported */
  bool started;          /* some engine has begun to compute it */

  /* At the engine. */
  struct fake_engine *engine;
  uint64_t epoch; /* of the engine's life that the attempt belongs to */
  bool at_engine;
  bool admitted; /* in the batch, no longer in the queue */
  int64_t order;
  int64_t prefill_left;
  int64_t generated;
  size_t stored; /* blocks that are in the cache and pinned */
};

#endif
