#include "backend/engine_adapter.h"

#include <stdlib.h>

static void append_answer (json_t *body, const struct kcp_engine_call *call);
static void append_assistant_message (json_t *body, const char *answer);
static void
reduce_token_limit (json_t *body, const char *name, const struct kcp_engine_call *call);

/* Returns the request body of an attempt, to be freed with free(). It is the caller's
   body with streaming and usage turned on and with the cache salt, priority and block
   hashes added. A partial answer is appended to the prompt, so that the engine continues
   it. */
char *
kcp_engine_body (const struct kcp_engine_call *call)
{
  json_t *body = json_copy (call->body);
  json_t *blocks = json_array ();
  char *text;

  for (guint i = 0; i < call->chain->len; i++)
    {
      char digits[17];

      (void)g_snprintf (digits, sizeof digits, "%016" G_GINT64_MODIFIER "x",
                        g_array_index (call->chain, uint64_t, i));
      json_array_append_new (blocks, json_string (digits));
    }
  json_object_set_new (body, "stream", json_true ());
  json_object_set_new (body, "stream_options", json_pack ("{sb}", "include_usage", 1));
  json_object_set_new (body, "cache_salt", json_string (call->cache_salt));
  json_object_set_new (body, "priority", json_integer (call->priority));
  json_object_set_new (body, "blocks", blocks);
  if (call->answer[0] != '\0')
    append_answer (body, call);
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

/* Returns the header lines of an attempt, to be freed with g_strfreev(). */
char **
kcp_engine_headers (const struct kcp_engine_call *call)
{
  GStrvBuilder *builder = g_strv_builder_new ();
  g_autofree char *request = g_strconcat (KCP_HEADER_REQUEST ": ", call->attempt, NULL);
  g_autofree char *incarnation
      = g_strconcat (KCP_HEADER_INCARNATION ": ", call->incarnation, NULL);
  g_autofree char *weights = g_strconcat (KCP_HEADER_WEIGHTS ": ", call->weights, NULL);
  g_autofree char *last_event
      = g_strdup_printf ("Last-Event-ID: %" G_GINT64_FORMAT, call->last_event);
  char **headers;

  g_strv_builder_add_many (builder, "Content-Type: application/json", request, NULL);
  if (call->incarnation[0] != '\0')
    g_strv_builder_add (builder, incarnation);
  if (call->weights[0] != '\0')
    g_strv_builder_add (builder, weights);
  if (call->last_event != KCP_ENGINE_NEW_STREAM)
    g_strv_builder_add (builder, last_event);
  headers = g_strv_builder_end (builder);
  g_strv_builder_unref (builder);
  return headers;
}

/* Returns true if the answer to this body can be continued from the generated text alone
   and the token limits of the body allow more than answer_tokens tokens. */
bool
kcp_engine_can_continue (const json_t *body, int64_t answer_tokens)
{
  static const char *const excluded[]
      = { "best_of", "echo",      "logprobs",        "top_logprobs",
          "tools",   "functions", "response_format", "continue_final_message",
          "suffix" };
  static const char *const limits[] = { "max_tokens", "max_completion_tokens" };
  const json_t *count = json_object_get (body, "n");

  if (count != NULL && json_integer_value (count) != 1)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (excluded); i++)
    {
      const json_t *value = json_object_get (body, excluded[i]);

      if (value != NULL && !json_is_null (value) && !json_is_false (value))
        return false;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      const json_t *limit = json_object_get (body, limits[i]);

      if (limit != NULL && json_integer_value (limit) <= answer_tokens)
        return false;
    }
  return true;
}

/* Returns the URL for the DELETE request that cancels a stream, to be freed with
   g_free(). */
char *
kcp_engine_stream_url (const char *engine_url, const char *attempt)
{
  return g_strconcat (engine_url, "/v1/streams/", attempt, NULL);
}

/* Parses the data of one event. Returns false, with nothing to clear, if the data is not
   a JSON object. */
bool
kcp_engine_chunk_parse (struct kcp_str data, struct kcp_engine_chunk *chunk)
{
  json_t *choice;
  json_t *usage;

  *chunk = (struct kcp_engine_chunk){ .prompt_tokens = -1 };
  chunk->json = json_loadb (data.data, data.len, JSON_REJECT_DUPLICATES, NULL);
  if (!json_is_object (chunk->json))
    {
      kcp_engine_chunk_clear (chunk);
      return false;
    }
  choice = json_array_get (json_object_get (chunk->json, "choices"), 0);
  chunk->content = json_string_value (
      json_object_get (json_object_get (choice, "delta"), "content"));
  if (chunk->content == NULL)
    chunk->content = json_string_value (json_object_get (choice, "text"));
  chunk->finish_reason = json_string_value (json_object_get (choice, "finish_reason"));
  usage = json_object_get (chunk->json, "usage");
  if (json_is_object (usage))
    {
      json_t *details = json_object_get (usage, "prompt_tokens_details");

      chunk->prompt_tokens
          = json_integer_value (json_object_get (usage, "prompt_tokens"));
      chunk->completion_tokens
          = json_integer_value (json_object_get (usage, "completion_tokens"));
      chunk->cached_tokens
          = json_integer_value (json_object_get (details, "cached_tokens"));
    }
  return true;
}

/* Corrects the usage in the last chunk of a continued answer. The engine counted the
   partial answer as part of the prompt; its answer_tokens tokens are moved to the
   completion. */
void
kcp_engine_chunk_correct_usage (struct kcp_engine_chunk *chunk, int64_t answer_tokens)
{
  json_t *usage = json_object_get (chunk->json, "usage");

  if (chunk->prompt_tokens < 0 || answer_tokens == 0)
    return;
  chunk->completion_tokens += answer_tokens;
  chunk->prompt_tokens = MAX (chunk->prompt_tokens - answer_tokens, 0);
  json_object_set_new (usage, "completion_tokens",
                       json_integer (chunk->completion_tokens));
  json_object_set_new (usage, "prompt_tokens", json_integer (chunk->prompt_tokens));
}

/* Frees the resources of a chunk. */
void
kcp_engine_chunk_clear (struct kcp_engine_chunk *chunk)
{
  json_decref (chunk->json);
  chunk->json = NULL;
}

static void
append_answer (json_t *body, const struct kcp_engine_call *call)
{
  const char *prompt = json_string_value (json_object_get (body, "prompt"));

  if (json_object_get (body, "messages") != NULL)
    append_assistant_message (body, call->answer);
  else
    {
      g_autofree char *text = g_strconcat (prompt, call->answer, NULL);

      json_object_set_new (body, "prompt", json_string (text));
    }
  reduce_token_limit (body, "max_tokens", call);
  reduce_token_limit (body, "max_completion_tokens", call);
}

static void
append_assistant_message (json_t *body, const char *answer)
{
  json_t *messages = json_copy (json_object_get (body, "messages"));

  json_array_append_new (messages,
                         json_pack ("{ssss}", "role", "assistant", "content", answer));
  json_object_set_new (body, "messages", messages);
  json_object_set_new (body, "add_generation_prompt", json_false ());
  json_object_set_new (body, "continue_final_message", json_true ());
}

static void
reduce_token_limit (json_t *body, const char *name, const struct kcp_engine_call *call)
{
  json_t *limit = json_object_get (body, name);

  if (json_is_integer (limit))
    json_object_set_new (body, name,
                         json_integer (json_integer_value (limit) - call->answer_tokens));
}
