#include <stdlib.h>

#include "backend/engine_adapter.h"
#include "tests/fuzz/fuzz.h"

#define ANSWER_TOKENS 5

void
fuzz_chunk (struct kcp_str bytes)
{
  struct kcp_engine_chunk chunk;

  if (!kcp_engine_chunk_parse (bytes, &chunk))
    {
      if (chunk.json != NULL)
        abort ();
      return;
    }
  if (chunk.prompt_tokens >= 0)
    {
      kcp_engine_chunk_correct_usage (&chunk, ANSWER_TOKENS);
      if (chunk.prompt_tokens < 0)
        abort ();
    }
  kcp_engine_chunk_clear (&chunk);
}
