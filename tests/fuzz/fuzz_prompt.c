#include <stdlib.h>
#include <string.h>

#include "backend/engine_adapter.h"
#include "request/prompt.h"
#include "tests/fuzz/fuzz.h"

#define DEPTH_MAX     8
#define ANSWER_TOKENS 2

static void
check_engine_body (const struct kcp_prompt *prompt)
{
  g_autoptr (GArray) chain = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct kcp_engine_call call = {
    .body = prompt->body,
    .attempt = "a",
    .cache_salt = "s",
    .chain = chain,
    .incarnation = "",
    .weights = "",
    .last_event = KCP_ENGINE_NEW_STREAM,
    .answer = "so far",
    .answer_tokens = ANSWER_TOKENS,
  };
  char *body = kcp_engine_body (&call);

  if (body == NULL || strstr (body, "so far") == NULL)
    abort ();
  (void)kcp_engine_can_continue (prompt->body, ANSWER_TOKENS);
  free (body);
}

void
fuzz_prompt (struct kcp_str bytes)
{
  static const enum kcp_call_kind kinds[] = { KCP_CALL_CHAT, KCP_CALL_COMPLETION };

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct kcp_call *call = kcp_call_new (kinds[i], "POST");
      struct kcp_prompt prompt;
      struct kcp_error error = { 0 };

      g_string_append_len (call->body, bytes.data, (gssize)bytes.len);
      if (kcp_prompt_parse (call, DEPTH_MAX, &prompt, &error))
        {
          if (prompt.model == NULL || prompt.text == NULL)
            abort ();
          check_engine_body (&prompt);
          kcp_prompt_clear (&prompt);
        }
      else if (error.code != KCP_ERR_BAD_REQUEST
               || error.execution != KCP_EXECUTION_NOT_RUN || prompt.body != NULL)
        abort ();
      kcp_call_free (call);
    }
}
