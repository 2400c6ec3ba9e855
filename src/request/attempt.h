/* One try to have a completion computed, or read on, by an engine. A request has at most
   one that counts; whatever arrives for another one is dropped. */
#ifndef KCP_REQUEST_ATTEMPT_H
#define KCP_REQUEST_ATTEMPT_H

#include "backend/backend.h"
#include "backend/fetch.h"
#include "backend/sse.h"
#include "base/id.h"

struct kcp_request;

/* Reference-counted: by the request while it counts, and by its fetch. Guarded by the
   request's lock. */
struct kcp_attempt
{
  struct kcp_request *request; /* a reference */
  struct kcp_backend *backend;
  struct kcp_fetch *fetch;
  char id[KCP_ID_LEN + 1]; /* of the stream at the engine; the answer must echo it */
  bool resumes;            /* reads on a stream that an earlier attempt started */
  bool echoed;             /* the response named the stream */
  bool rejected;           /* closed here, because its answer cannot be right */
  bool done_seen;
  int64_t next_event;    /* id of the stream's next event */
  int64_t events;        /* events taken */
  int64_t answer_tokens; /* tokens of the answer before this stream */
  struct kcp_sse sse;
  GString *refusal; /* body of a response that is no stream */
};

void kcp_attempt_start (struct kcp_request *request, struct kcp_backend *backend,
                        const struct kcp_attempt *broken);
void kcp_attempt_abandon (struct kcp_request *request);
void kcp_attempt_cancel_stream (const struct kcp_attempt *attempt);
void kcp_attempt_unref (struct kcp_attempt *attempt);

#endif
