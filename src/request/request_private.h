/* The members of a request, shared by the modules of this folder that process it. */
#ifndef KCP_REQUEST_REQUEST_PRIVATE_H
#define KCP_REQUEST_REQUEST_PRIVATE_H

#include <pthread.h>

#include "base/id.h"
#include "policy/admission.h"
#include "request/attempt.h"
#include "request/prompt.h"
#include "request/request.h"
#include "request/router.h"

enum kcp_request_kind
{
  KCP_REQUEST_COMPLETION,
  KCP_REQUEST_SERVICE
};

/* A completion: a prompt that an engine computes. */
struct kcp_completion
{
  struct kcp_prompt prompt;
  GArray *block_hashes;
  GArray *chain;
  /* Consecutive attempts at one engine; 1 again after an attempt that received events. */
  unsigned same_engine_attempts;
  uint64_t fingerprint;     /* of team and body */
  bool suspect;             /* it was in flight on an engine that crashed */
  uint64_t reserved_engine; /* hash of the engine reserved for this suspect; 0: none */
  /* Hash of the engine at which the last sent attempt was interrupted; 0: none. */
  uint64_t interrupted_engine;
  uint64_t interrupted_incarnation; /* hash of that engine's incarnation */
  struct kcp_timer *timer;
  struct kcp_admission_item item; /* guarded by the lock of the queue */
  int64_t uncached_tokens; /* prompt tokens to compute, as estimated when it was placed */
  uint64_t incarnation;    /* hash of the engine's incarnation when it was placed */
  int64_t dispatched_ns;
  int64_t forwarded;               /* events received and passed on */
  int64_t forwarded_at_last_timer; /* value of forwarded when the timer last fired */
  GString *text;                   /* text of the answer so far */
  bool text_dropped;               /* the text exceeded its limit and was discarded */
  int64_t answer_tokens;           /* tokens of the answer so far */
  char *finish_reason;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  int64_t completion_tokens;
};

struct kcp_request;

/* A call of a plain service. */
struct kcp_service_call
{
  char claim_key[KCP_HASH_HEX_LEN + 1];
  char claim[KCP_ID_LEN + 1]; /* id of the claim that is held; empty: none */
  /* Continues the call once its claim has won. */
  void (*on_claim_won) (struct kcp_request *request);
  unsigned status; /* HTTP status of the complete answer; 0 until it arrives */
  char *content_type;
  GString *body;
};

/* Guarded by lock, which is taken before the locks of registry, booking and reply. */
struct kcp_request
{
  pthread_mutex_t lock;
  struct kcp_router *router;
  struct kcp_reply *reply;
  struct kcp_call *call;
  char id[KCP_ID_LEN + 1];
  int64_t started_ns;
  int64_t deadline_ns; /* monotonic */
  struct kcp_team *team;
  struct kcp_profile *profile;
  bool ended;

  struct kcp_attempt
      *current; /* the attempt whose answer counts; NULL between attempts */
  struct kcp_backend *backend; /* of the last attempt; NULL before the first */
  unsigned attempts;
  unsigned failed_runs;         /* consecutive failed runs; 1 after a run with events */
  GPtrArray *excluded_backends; /* ids of the backend servers that failed this request */
  enum kcp_execution execution; /* whether the failed attempts may have run the request */

  enum kcp_request_kind kind;
  union
  {
    struct kcp_completion completion;
    struct kcp_service_call service;
  };
};

struct kcp_request *kcp_request_ref (struct kcp_request *request);
struct kcp_request *kcp_request_from_item (struct kcp_admission_item *item);
int64_t kcp_request_remaining_ms (struct kcp_request *request);
bool
kcp_request_excludes_backend (const struct kcp_request *request, const char *backend_id);
void kcp_request_exclude_backend (struct kcp_request *request, const char *backend_id);

#endif
