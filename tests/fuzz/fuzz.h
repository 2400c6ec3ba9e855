/* Fuzz targets. Each parses arbitrary bytes, checks the invariants of the result and
   aborts the program if one is violated. */
#ifndef KCP_TESTS_FUZZ_FUZZ_H
#define KCP_TESTS_FUZZ_FUZZ_H

#include "base/str.h"

typedef void fuzz_target (struct kcp_str bytes);

/* Checks that server-sent events are the same however their stream is split. */
void fuzz_sse (struct kcp_str bytes);
/* Parses a chunk of an engine's stream. */
void fuzz_chunk (struct kcp_str bytes);
/* Parses the body of a chat or text completion call. */
void fuzz_prompt (struct kcp_str bytes);

#endif
