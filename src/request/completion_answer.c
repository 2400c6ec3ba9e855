/* Writes an engine's answer to the caller, event by event or as one document. */
#include <stdlib.h>

#include "base/counter.h"
#include "request/completion.h"
#include "request/request_end.h"
#include "request/request_private.h"

#define HTTP_STATUS_OK   200
#define STEP_ANSWER      "answer"
#define ANSWER_MAX_BYTES (8u << 20) /* text of an answer that is not streamed */

static void
append_content (struct kcp_request *request, const struct kcp_engine_chunk *chunk);
static void
record_usage (struct kcp_request *request, const struct kcp_engine_chunk *chunk);
static void fail_too_large (struct kcp_request *request);
static bool forward_event (struct kcp_request *request, struct kcp_str data);
static void begin_stream (struct kcp_request *request);
static void write_document (struct kcp_request *request);

/* Handles the next chunk of the answer. data is its text as the engine sent it; if
   changed is true, the chunk differs from data and is serialized again. Returns false if
   the caller reads more slowly than the engine writes. The caller holds the request's
   lock. */
bool
kcp_completion_on_chunk (struct kcp_request *request, struct kcp_str data,
                         const struct kcp_engine_chunk *chunk, bool changed)
{
  char *text = NULL;
  bool has_room = true;

  if (request->completion.forwarded == 0)
    kcp_timeline_add (request->router->timeline, KCP_EVENT_FIRST_TOKEN, request->id,
                      request->backend->id, 0);
  append_content (request, chunk);
  record_usage (request, chunk);
  if (request->completion.text_dropped && !request->completion.prompt.stream)
    {
      fail_too_large (request);
      return true;
    }
  if (request->completion.prompt.stream && changed)
    text = json_dumps (chunk->json, JSON_COMPACT);
  if (request->completion.prompt.stream)
    has_room = forward_event (request, text != NULL ? kcp_str_from_c (text) : data);
  free (text);
  request->completion.forwarded++;
  return has_room;
}

/* Writes an SSE comment into a stream that has begun and whose data has all been read, so
   that a disconnected caller is detected. The caller holds the request's lock. */
void
kcp_completion_write_heartbeat (struct kcp_request *request)
{
  if (kcp_reply_has_begun (request->reply) && kcp_reply_is_empty (request->reply))
    kcp_reply_write (request->reply, KCP_STR (": \n\n"));
}

/* Ends a request whose answer is complete. The caller holds the request's lock. */
void
kcp_completion_finish (struct kcp_request *request)
{
  if (request->completion.prompt.stream)
    {
      begin_stream (request);
      kcp_reply_write (request->reply, KCP_STR ("data: [DONE]\n\n"));
    }
  else
    write_document (request);
  kcp_counter_add (KCP_COUNT_COMPLETED, 1);
  kcp_counter_add (KCP_COUNT_PROMPT_TOKENS, (uint64_t)request->completion.prompt_tokens);
  kcp_counter_add (KCP_COUNT_CACHED_TOKENS, (uint64_t)request->completion.cached_tokens);
  kcp_request_end (request, KCP_EVENT_COMPLETED);
}

/* Appends a chunk's text to the answer, which another engine needs in order to continue
   it. If the text of a stream exceeds its buffer, the text is dropped, and the stream can
   be resumed only at its own engine. */
static void
append_content (struct kcp_request *request, const struct kcp_engine_chunk *chunk)
{
  const struct kcp_settings *settings = request->router->settings;
  size_t limit = request->completion.prompt.stream
                     ? (size_t)settings->callers_stream_buffer_bytes
                     : ANSWER_MAX_BYTES;

  if (chunk->content == NULL || chunk->content[0] == '\0')
    return;
  request->completion.answer_tokens++;
  if (!request->completion.text_dropped)
    g_string_append (request->completion.text, chunk->content);
  if (request->completion.text->len <= limit)
    return;
  request->completion.text_dropped = true;
  g_string_free (request->completion.text, TRUE);
  request->completion.text = g_string_new (NULL);
}

static void
record_usage (struct kcp_request *request, const struct kcp_engine_chunk *chunk)
{
  if (chunk->finish_reason != NULL)
    {
      g_free (request->completion.finish_reason);
      request->completion.finish_reason = g_strdup (chunk->finish_reason);
    }
  if (chunk->prompt_tokens >= 0)
    {
      request->completion.prompt_tokens = chunk->prompt_tokens;
      request->completion.cached_tokens = chunk->cached_tokens;
      request->completion.completion_tokens = chunk->completion_tokens;
    }
}

static void
fail_too_large (struct kcp_request *request)
{
  struct kcp_error error;

  kcp_error_set (&error, KCP_ERR_BACKEND, STEP_ANSWER, request->backend->id,
                 "the answer has more than %u bytes; ask for a stream", ANSWER_MAX_BYTES);
  error.execution = KCP_EXECUTION_RAN;
  kcp_request_fail (request, &error);
}

static bool
forward_event (struct kcp_request *request, struct kcp_str data)
{
  g_autofree char *text
      = g_strdup_printf ("id: %" G_GINT64_FORMAT "\ndata: %.*s\n\n",
                         request->completion.forwarded, KCP_STR_ARG (data));

  begin_stream (request);
  return kcp_reply_write (request->reply, kcp_str_from_c (text));
}

static void
begin_stream (struct kcp_request *request)
{
  if (kcp_reply_has_begun (request->reply))
    return;
  kcp_request_add_headers (request);
  kcp_reply_begin (request->reply, HTTP_STATUS_OK, "text/event-stream");
}

static void
write_document (struct kcp_request *request)
{
  bool chat = request->call->kind == KCP_CALL_CHAT;
  json_t *choice = chat ? json_pack ("{s{ssss}}", "message", "role", "assistant",
                                     "content", request->completion.text->str)
                        : json_pack ("{ss}", "text", request->completion.text->str);
  json_t *answer;
  char *text;

  json_object_set_new (choice, "index", json_integer (0));
  json_object_set_new (choice, "finish_reason",
                       json_string (request->completion.finish_reason));
  answer = json_pack ("{sssssss[o]s{sIsIsIs{sI}}}", "id", request->id, "object",
                      chat ? "chat.completion" : "text_completion", "model",
                      request->completion.prompt.model, "choices", choice, "usage",
                      "prompt_tokens", (json_int_t)request->completion.prompt_tokens,
                      "completion_tokens",
                      (json_int_t)request->completion.completion_tokens, "total_tokens",
                      (json_int_t)(request->completion.prompt_tokens
                                   + request->completion.completion_tokens),
                      "prompt_tokens_details", "cached_tokens",
                      (json_int_t)request->completion.cached_tokens);
  text = json_dumps (answer, JSON_COMPACT);
  kcp_request_add_headers (request);
  kcp_reply_begin (request->reply, HTTP_STATUS_OK, "application/json");
  kcp_reply_write (request->reply, kcp_str_from_c (text));
  free (text);
  json_decref (answer);
}
