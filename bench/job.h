/* A simulated request, from its arrival to its outcome. */
#ifndef KCP_BENCH_JOB_H
#define KCP_BENCH_JOB_H

#include "policy/admission.h"
#include "policy/retry.h"

#define JOB_BLOCKS_MAX 32

enum job_outcome
{
  JOB_IN_PROGRESS,
  JOB_ANSWERED,
  JOB_TIMED_OUT, /* the deadline passed */
  JOB_REFUSED,   /* with a Retry-After time */
  JOB_BLOCKED,   /* by the quarantine of crashing requests */
  JOB_FAILED
};

struct fake_engine;
struct fake_vm;

struct job
{
  /* The request. */
  enum kcp_class class;
  unsigned team;
  unsigned data_centers; /* bit mask of the allowed data centers */
  int importance;
  uint64_t chain[JOB_BLOCKS_MAX]; /* hash of each prompt prefix that ends at a block */
  size_t blocks;                  /* entries of chain */
  int64_t prompt_tokens;
  int64_t answer_tokens;
  int64_t arrived_ns;
  int64_t deadline_ns;
  uint64_t fingerprint;
  bool crashes_engine;    /* when its prefill is complete */
  unsigned resubmissions; /* of the same request after refusals */

  /* State at the VM. */
  struct fake_vm *vm;
  struct kcp_admission_item item;
  unsigned attempts;
  bool in_flight;       /* an attempt is in progress */
  bool engine_reserved; /* for this request, which is a suspect */
  int64_t retry_after_s;
  int64_t dispatched_ns;
  int64_t sent_tokens; /* uncached prompt tokens, according to the cache index */
  enum job_outcome outcome;
  int64_t first_token_ns; /* 0 before the first token */
  int64_t ended_ns;
  int64_t cached_tokens; /* of the last attempt, reported by its engine */
  bool started;          /* was in the batch of an engine */

  /* State at the engine. */
  struct fake_engine *engine;
  uint64_t epoch; /* of the engine when the attempt was sent */
  bool at_engine; /* queued or in the batch */
  bool admitted;  /* moved from the queue to the batch */
  int64_t arrival_number;
  int64_t prefill_tokens_pending;
  int64_t generated_tokens;
  size_t stored_blocks; /* leading blocks that the request pins in the cache */
};

#endif
