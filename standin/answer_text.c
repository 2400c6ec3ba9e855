#include "standin/answer_text.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "policy/prefix.h"

#define FIRST_TOKEN "t0:"

static int64_t count_tokens (const struct standin_answer_text *text, const char *answer);

/* Reads the prompt of a call. Tokens of the answer at its end say where to go on. */
void
standin_answer_text_init (struct standin_answer_text *text, json_t *body)
{
  g_autoptr (GString) prompt = g_string_new (NULL);
  const char *plain = json_string_value (json_object_get (body, "prompt"));
  json_t *message;
  size_t i;

  g_string_append (prompt, plain != NULL ? plain : "");
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
  for (const char *at = strstr (prompt->str, FIRST_TOKEN); at != NULL;
       at = strstr (at + 1, FIRST_TOKEN))
    {
      struct standin_answer_text head = { 0 };
      int64_t count;

      head.hash = (uint32_t)XXH3_64bits (prompt->str, (size_t)(at - prompt->str));
      count = count_tokens (&head, at);
      if (count == 0)
        continue;
      text->hash = head.hash;
      text->first = count;
      return;
    }
}

/* Writes a token and returns its length. */
int
standin_answer_text_token (const struct standin_answer_text *text, int64_t index,
                           char out[STANDIN_TOKEN_MAX])
{
  return snprintf (out, STANDIN_TOKEN_MAX, "t%" G_GINT64_FORMAT ":%08x ", index,
                   text->hash);
}

/* Returns how many tokens the text consists of, or 0 if there is anything else in it. */
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
