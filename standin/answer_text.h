/* The text that an engine answers: a fixed function of the prompt. */
#ifndef KCP_STANDIN_ANSWER_TEXT_H
#define KCP_STANDIN_ANSWER_TEXT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define STANDIN_TOKEN_MAX 48

/* What is to be answered to a prompt. */
struct standin_answer_text
{
  uint32_t hash;         /* of the prompt without the answer so far */
  int64_t first;         /* the first token that the answer does not hold yet */
  int64_t prompt_tokens; /* with the answer so far */
};

void standin_answer_text_init (struct standin_answer_text *text, json_t *body);
int standin_answer_text_token (const struct standin_answer_text *text, int64_t index,
                               char out[STANDIN_TOKEN_MAX]);

#endif
