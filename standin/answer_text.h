/* Text of the stand-in engine's answer, a fixed function of the prompt. */
#ifndef KCP_STANDIN_ANSWER_TEXT_H
#define KCP_STANDIN_ANSWER_TEXT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define STANDIN_TOKEN_MAX 48 /* bytes, with the final NUL */

/* The answer to a prompt, which may end with the beginning of its answer. */
struct standin_answer_text
{
  uint32_t hash;         /* of the prompt without the partial answer */
  int64_t next_token;    /* index of the first token after the partial answer */
  int64_t prompt_tokens; /* including the partial answer */
};

void standin_answer_text_init (struct standin_answer_text *text, json_t *body);
int standin_answer_text_token (const struct standin_answer_text *text, int64_t index,
                               char out[STANDIN_TOKEN_MAX]);

#endif
