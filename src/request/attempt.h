/* One try to have a request computed, or its answer read on, by a backend server. A
   request has at most one that counts; whatever arrives for another one is dropped. */
#ifndef KCP_REQUEST_ATTEMPT_H
#define KCP_REQUEST_ATTEMPT_H

#include "backend/backend.h"
#include "backend/engine_adapter.h"
#include "backend/fetch.h"
#include "backend/sse.h"
#include "base/id.h"

struct kcp_request;
struct kcp_attempt;

/* What the owner of a request is told, with its lock held. */
struct kcp_attempt_events
{
  /* The next chunk of a stream. data is its text as the engine sent it, which is not to
     be passed on if changed says that the chunk differs from it. False: the caller reads
     more slowly than the engine writes. */
  bool (*take) (struct kcp_request *request, struct kcp_str data,
                const struct kcp_engine_chunk *chunk, bool changed);
  /* The attempt that counted is over; it does not count any more. */
  void (*ended) (struct kcp_request *request, struct kcp_attempt *attempt,
                 enum kcp_fetch_result end, long status);
};

/* Events of an engine. */
struct kcp_stream_attempt
{
  bool resumes; /* reads on a stream that an earlier attempt started */
  bool done_seen;
  int64_t next_event;    /* id of the stream's next event */
  int64_t answer_tokens; /* tokens of the answer before this stream */
  struct kcp_sse sse;
  GString *refusal; /* body of a response that is no stream */
};

/* The one answer of a plain service. */
struct kcp_plain_attempt
{
  char *content_type; /* NULL: none was given */
  GString *body;
};

enum kcp_attempt_kind
{
  KCP_ATTEMPT_STREAM,
  KCP_ATTEMPT_PLAIN
};

/* Reference-counted: by the request while it counts, and by its fetch. Guarded by the
   request's lock. */
struct kcp_attempt
{
  struct kcp_request *request; /* a reference */
  struct kcp_backend *backend;
  const struct kcp_attempt_events *events;
  struct kcp_fetch *fetch;
  char id[KCP_ID_LEN + 1]; /* the answer must echo it */
  bool echoed;             /* the response named it */
  bool rejected;           /* closed here, because its answer cannot be right */
  int64_t taken;           /* events taken */
  enum kcp_attempt_kind kind;
  union
  {
    struct kcp_stream_attempt stream;
    struct kcp_plain_attempt plain;
  };
};

void kcp_attempt_start (struct kcp_request *request, struct kcp_backend *backend,
                        const struct kcp_attempt *broken,
                        const struct kcp_attempt_events *events);
void kcp_attempt_abandon (struct kcp_request *request);
void kcp_attempt_unref (struct kcp_attempt *attempt);
bool kcp_attempt_is_whole (const struct kcp_attempt *attempt, enum kcp_fetch_result end);
bool kcp_attempt_resumes (const struct kcp_attempt *attempt);
enum kcp_fetch_flow kcp_attempt_reject (struct kcp_attempt *attempt);

#endif
