/* Fuzz targets: each is given arbitrary bytes, checks what must hold of the result, and
   aborts the program if it does not. */
#ifndef KCP_TESTS_FUZZ_FUZZ_H
#define KCP_TESTS_FUZZ_FUZZ_H

#include "base/str.h"

typedef void fuzz_target (struct kcp_str bytes);

/* A stream of events gives the same ones however it is cut into pieces. */
void fuzz_sse (struct kcp_str bytes);
/* A chunk of an engine's stream. */
void fuzz_chunk (struct kcp_str bytes);
/* The body of a completion call of either kind. */
void fuzz_prompt (struct kcp_str bytes);

#endif
