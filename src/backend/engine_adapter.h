/* The request and response format of engines. No other module depends on this format. */
#ifndef KCP_BACKEND_ENGINE_ADAPTER_H
#define KCP_BACKEND_ENGINE_ADAPTER_H

#include <glib.h>
#include <jansson.h>

#include "backend/backend.h"
#include "base/str.h"

#define KCP_HEADER_REQUEST     "Kingcuppoint-Request"
#define KCP_HEADER_INCARNATION "Kingcuppoint-Expect-Incarnation"
#define KCP_HEADER_WEIGHTS     "Kingcuppoint-Expect-Weights"

#define KCP_ENGINE_NEW_STREAM (-2) /* last_event: the call starts a new stream */

/* The parameters of one attempt at an engine. */
struct kcp_engine_call
{
  json_t *body;            /* the caller's body; borrowed */
  const char *attempt;     /* ID of the attempt, which the response must echo */
  const char *cache_salt;  /* separates the cache entries of different teams */
  int priority;            /* lower values are more urgent */
  const GArray *chain;     /* hashes of the prompt's blocks, uint64_t */
  const char *incarnation; /* expected incarnation; empty: not checked */
  const char *weights;     /* expected weights; empty: not checked */
  int64_t last_event;      /* resume after this event; -1: from the first event;
                              KCP_ENGINE_NEW_STREAM: start a new stream */
  const char *answer;      /* partial answer to continue; empty: none */
  int64_t answer_tokens;   /* number of tokens in answer */
};

char *kcp_engine_body (const struct kcp_engine_call *call);
char **kcp_engine_headers (const struct kcp_engine_call *call);
bool kcp_engine_can_continue (const json_t *body, int64_t answer_tokens);
char *kcp_engine_stream_url (const char *engine_url, const char *attempt);

/* One chunk of a stream from an engine. The strings are borrowed from json. */
struct kcp_engine_chunk
{
  json_t *json;
  const char *content;       /* new text, or NULL */
  const char *finish_reason; /* NULL until the answer is complete */
  int64_t prompt_tokens;     /* -1: the chunk has no usage */
  int64_t cached_tokens;
  int64_t completion_tokens;
};

bool kcp_engine_chunk_parse (struct kcp_str data, struct kcp_engine_chunk *chunk);
void
kcp_engine_chunk_correct_usage (struct kcp_engine_chunk *chunk, int64_t answer_tokens);
void kcp_engine_chunk_clear (struct kcp_engine_chunk *chunk);

#endif
