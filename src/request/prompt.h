/* Parses and validates the body of a completion call and extracts its prompt. */
#ifndef KCP_REQUEST_PROMPT_H
#define KCP_REQUEST_PROMPT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/error.h"
#include "request/call.h"

struct kcp_prompt
{
  json_t *body;
  const char *model; /* owned by body */
  bool stream;
  GString *text; /* the prompt; for a chat, roles and contents in order */
};

bool kcp_prompt_parse (const struct kcp_call *call, int64_t max_depth,
                       struct kcp_prompt *prompt, struct kcp_error *error);
void kcp_prompt_clear (struct kcp_prompt *prompt);

#endif
