/* The shape of calls to engines. The only module that knows it. */
#ifndef KCP_BACKEND_ENGINE_ADAPTER_H
#define KCP_BACKEND_ENGINE_ADAPTER_H

#include <glib.h>
#include <jansson.h>

#include "backend/backend.h"
#include "base/str.h"

#define KCP_HEADER_REQUEST     "Kingcuppoint-Request"
#define KCP_HEADER_INCARNATION "Kingcuppoint-Expect-Incarnation"
#define KCP_HEADER_WEIGHTS     "Kingcuppoint-Expect-Weights"

#define KCP_ENGINE_NEW_STREAM (-2) /* the call starts a stream */

/* What one attempt asks of an engine. */
struct kcp_engine_call
{
  json_t *body;            /* the caller's body; borrowed */
  const char *attempt;     /* id that the answer must echo */
  const char *cache_salt;  /* keeps the caches of teams apart */
  int priority;            /* less is more urgent */
  const GArray *chain;     /* identities of the prompt's blocks */
  const char *incarnation; /* empty: not checked */
  const char *weights;     /* empty: not checked */
  int64_t last_event;      /* resumes a stream after this event; -1: from its first one;
                              KCP_ENGINE_NEW_STREAM: starts one */
  const char *answer;      /* text of an answer to be continued; empty: none */
  int64_t answer_tokens;   /* of that text */
};

char *kcp_engine_body (const struct kcp_engine_call *call);
char **kcp_engine_headers (const struct kcp_engine_call *call);
bool kcp_engine_can_continue (const json_t *body, int64_t answer_tokens);
char *kcp_engine_stream_url (const char *engine_url, const char *attempt);

/* One chunk of an engine's stream. Texts are borrowed from json. */
struct kcp_engine_chunk
{
  json_t *json;
  const char *content;       /* new text, or NULL */
  const char *finish_reason; /* NULL while the answer goes on */
  int64_t prompt_tokens;     /* -1: the chunk carries no usage */
  int64_t cached_tokens;
  int64_t completion_tokens;
};

bool kcp_engine_chunk_parse (struct kcp_str data, struct kcp_engine_chunk *chunk);
void
kcp_engine_chunk_correct_usage (struct kcp_engine_chunk *chunk, int64_t answer_tokens);
void kcp_engine_chunk_clear (struct kcp_engine_chunk *chunk);

#endif
