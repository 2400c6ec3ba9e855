/* Members of a request, shared by the modules of this folder that carry it out. */
#ifndef KCP_REQUEST_REQUEST_PRIVATE_H
#define KCP_REQUEST_REQUEST_PRIVATE_H

#include <pthread.h>

#include "backend/engine_adapter.h"
#include "base/id.h"
#include "policy/admission.h"
#include "request/attempt.h"
#include "request/prompt.h"
#include "request/request.h"

/* Guarded by lock, which comes before the locks of registry, booking and reply. */
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

  /* Completions. */
  struct kcp_prompt prompt;
  GArray *block_hashes;
  GArray *chain;
  struct kcp_attempt *current; /* the attempt that counts; NULL between two */
  unsigned attempts;
  unsigned stalled; /* failed runs in a row, but for one that gave an event */
  unsigned resumed; /* attempts in a row at the same engine without an event */
  GPtrArray *tried; /* ids of engines that failed this request */
  enum kcp_execution execution; /* what failed attempts leave it to be */
  uint64_t fingerprint;         /* of team and body */
  bool suspect;                 /* it was in flight on an engine that crashed */
  uint64_t reserved;    /* hash of the engine that is kept free of other suspects; 0 */
  uint64_t broken_at;   /* hash of the engine where the last sent attempt broke; 0 */
  uint64_t broken_life; /* hash of that engine's incarnation */
  struct kcp_timer *timer;
  struct kcp_admission_item item; /* guarded by the lock of the queue */
  int64_t uncached_tokens;        /* to be computed, as believed when it was placed */
  uint64_t incarnation;           /* hash of the engine's when it was placed */
  int64_t dispatched_ns;
  int64_t forwarded;      /* events taken and passed on */
  int64_t forwarded_seen; /* the same when the timer fired last */
  GString *text;          /* the answer so far */
  bool text_cut;          /* it has grown too long to be kept */
  int64_t answer_tokens;  /* of the answer so far */
  char *finish_reason;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  int64_t completion_tokens;

  /* Services. */
  GString *service_body;
  unsigned service_status;
  char *service_content_type;
  char claim_key[KCP_HASH_HEX_LEN + 1];
  char claim[KCP_ID_LEN + 1]; /* empty: none is held */

  /* The attempt under way of a service call; backend also of a completion. */
  char attempt[KCP_ID_LEN + 1];
  struct kcp_backend *backend;
  struct kcp_fetch *fetch;
  bool echoed;     /* the response named this attempt */
  bool bytes_sent; /* the backend server may have seen the request */
};

struct kcp_choice;

struct kcp_request *kcp_request_ref (struct kcp_request *request);
struct kcp_request *kcp_request_of_item (struct kcp_admission_item *item);
void kcp_request_fail (struct kcp_request *request, const struct kcp_error *error);
void kcp_request_end (struct kcp_request *request, enum kcp_event event);
void kcp_request_add_headers (struct kcp_request *request);
int64_t kcp_request_left_ms (struct kcp_request *request);
bool kcp_request_has_tried (const struct kcp_request *request, const char *backend_id);

/* Both are called with the lock held, on any thread. */
void kcp_completion_start (struct kcp_request *request);
void kcp_service_start (struct kcp_request *request);

void kcp_completion_placed (struct kcp_request *request, struct kcp_choice *choice);
void kcp_completion_read_report (struct kcp_request *request,
                                 const struct kcp_backend *backend,
                                 struct kcp_backend_report *report);
void kcp_completion_attempt_ended (struct kcp_request *request,
                                   const struct kcp_attempt *attempt,
                                   enum kcp_fetch_end end, long status);
bool kcp_completion_take (struct kcp_request *request, struct kcp_str data,
                          const struct kcp_engine_chunk *chunk, bool changed);
void kcp_completion_write_heartbeat (struct kcp_request *request);
void kcp_completion_finish (struct kcp_request *request);

#endif
