/* One attempt to run a request at a backend server, or to resume the stream of its
   answer there. A request has at most one current attempt; data that arrives for any
   other attempt is dropped. */
#ifndef KCP_REQUEST_ATTEMPT_H
#define KCP_REQUEST_ATTEMPT_H

#include "backend/backend.h"
#include "backend/engine_adapter.h"
#include "backend/fetch.h"
#include "backend/sse.h"
#include "base/id.h"

struct kcp_request;
struct kcp_attempt;

/* Callbacks to the owner of a request, called with the request's lock held. */
struct kcp_attempt_events
{
  /* Handles the next chunk of a stream. data is its text as the engine sent it. If
     changed is true, the chunk differs from data, and data must not be forwarded. Returns
     false if the caller reads more slowly than the engine writes. */
  bool (*chunk_received) (struct kcp_request *request, struct kcp_str data,
                          const struct kcp_engine_chunk *chunk, bool changed);
  /* The current attempt has ended; the request has no current attempt any more. */
  void (*ended) (struct kcp_request *request, struct kcp_attempt *attempt,
                 enum kcp_fetch_result result, long status);
};

/* State of an attempt that reads a stream of events from an engine. */
struct kcp_stream_attempt
{
  bool resumes; /* resumes the stream of an earlier attempt */
  bool done_seen;
  int64_t next_event;    /* id of the next event expected */
  int64_t answer_tokens; /* tokens of the answer that precede this stream */
  struct kcp_sse sse;
  GString *error_body; /* body of an error response, sent instead of a stream */
};

/* State of an attempt that reads the single response of a plain service. */
struct kcp_plain_attempt
{
  char *content_type; /* NULL if the response has none */
  GString *body;
};

enum kcp_attempt_kind
{
  KCP_ATTEMPT_STREAM,
  KCP_ATTEMPT_PLAIN
};

/* Reference-counted: the request holds a reference while the attempt is current, and the
   fetch holds one. Guarded by the request's lock. */
struct kcp_attempt
{
  struct kcp_request *request; /* counted reference */
  struct kcp_backend *backend;
  const struct kcp_attempt_events *events;
  struct kcp_fetch *fetch;
  char id[KCP_ID_LEN + 1]; /* sent as a header, which the response must echo */
  bool echoed;             /* the response carried the id */
  bool rejected;           /* the fetch was aborted because its data cannot be used */
  int64_t events_received; /* events passed to the owner */
  enum kcp_attempt_kind kind;
  union
  {
    struct kcp_stream_attempt stream;
    struct kcp_plain_attempt plain;
  };
};

void kcp_attempt_start (struct kcp_request *request, struct kcp_backend *backend,
                        const struct kcp_attempt *interrupted,
                        const struct kcp_attempt_events *events);
void kcp_attempt_abandon (struct kcp_request *request);
void kcp_attempt_unref (struct kcp_attempt *attempt);
bool
kcp_attempt_is_complete (const struct kcp_attempt *attempt, enum kcp_fetch_result result);
bool kcp_attempt_resumes (const struct kcp_attempt *attempt);
enum kcp_fetch_flow kcp_attempt_reject (struct kcp_attempt *attempt);

#endif
