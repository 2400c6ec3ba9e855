#include "standin/answer_text.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "policy/prefix.h"

#define FIRST_TOKEN "t0:"

static int64_t count_tokens (const struct standin_answer_text *text, const char *answer);

/* Initializes the answer to the prompt of a call. If the prompt ends with tokens of its
   own answer, the answer continues after them. */
void
standin_answer_text_init (struct standin_answer_text *text, json_t *body)
{
  g_autoptr (GString) prompt = g_string_new (NULL);
  const char *text_prompt = json_string_value (json_object_get (body, "prompt"));
  json_t *message;
  size_t i;

  g_string_append (prompt, text_prompt != NULL ? text_prompt : "");
  json_array_foreach (json_object_get (body, "messages"), i, message)
  {
    const char *content = json_string_value (json_object_get (message, "content"));

    g_string_append (prompt, content != NULL ? content : "");
  }
  *text = (struct standin_answer_text){
    .hash = (uint32_t)XXH3_64bits (prompt->str, prompt->len),
    .prompt_tokens
    = (int64_t)(prompt->len + KCP_BYTES_PER_TOKEN - 1) / KCP_BYTES_PER_TOKEN,
  };
  for (const char *start = strstr (prompt->str, FIRST_TOKEN); start != NULL;
       start = strstr (start + 1, FIRST_TOKEN))
    {
      struct standin_answer_text candidate = { 0 };
      int64_t count;

      candidate.hash = (uint32_t)XXH3_64bits (prompt->str, (size_t)(start - prompt->str));
      count = count_tokens (&candidate, start);
      if (count == 0)
        continue;
      text->hash = candidate.hash;
      text->next_token = count;
      return;
    }
}

/* Writes the token with an index to out and returns its length in bytes. */
int
standin_answer_text_token (const struct standin_answer_text *text, int64_t index,
                           char out[STANDIN_TOKEN_MAX])
{
  return snprintf (out, STANDIN_TOKEN_MAX, "t%" G_GINT64_FORMAT ":%08x ", index,
                   text->hash);
}

/* Returns the number of tokens in an answer, or 0 if it contains anything else. */
static int64_t
count_tokens (const struct standin_answer_text *text, const char *answer)
{
  int64_t count = 0;

  while (*answer != '\0')
    {
      char token[STANDIN_TOKEN_MAX];
      int len = standin_answer_text_token (text, count, token);

      if (strncmp (answer, token, (size_t)len) != 0)
        return 0;
      answer += len;
      count++;
    }
  return count;
}
