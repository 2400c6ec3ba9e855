#include "request/prompt.h"

#define STEP "parse"

static const char *syntax_error (const json_error_t *parse_error);
static bool depth_is_within (const GString *text, int64_t max_depth);
static bool read_messages (struct kcp_prompt *prompt, struct kcp_error *error);
static bool read_content (json_t *content, GString *out);
static bool read_text (struct kcp_prompt *prompt, struct kcp_error *error);
static bool read_common (struct kcp_prompt *prompt, struct kcp_error *error);

/* Parses and validates the body of a completion call. Returns false and sets error if it
   is invalid. Objects with duplicate keys and values nested deeper than max_depth are
   rejected. */
bool
kcp_prompt_parse (const struct kcp_call *call, int64_t max_depth,
                  struct kcp_prompt *prompt, struct kcp_error *error)
{
  json_error_t parse_error;
  bool valid;

  *prompt = (struct kcp_prompt){ 0 };
  if (!depth_is_within (call->body, max_depth))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "body: nested deeper than %" G_GINT64_FORMAT " levels", max_depth);
      return false;
    }
  prompt->body = json_loadb (call->body->str, call->body->len, JSON_REJECT_DUPLICATES,
                             &parse_error);
  if (prompt->body == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL, "body:%d:%d: %s",
                     parse_error.line, parse_error.column, syntax_error (&parse_error));
      return false;
    }
  prompt->text = g_string_new (NULL);
  valid = read_common (prompt, error)
          && (call->kind == KCP_CALL_CHAT ? read_messages (prompt, error)
                                          : read_text (prompt, error));
  if (!valid)
    kcp_prompt_clear (prompt);
  return valid;
}

/* Frees the members of a prompt. */
void
kcp_prompt_clear (struct kcp_prompt *prompt)
{
  json_decref (prompt->body);
  if (prompt->text != NULL)
    g_string_free (prompt->text, TRUE);
  *prompt = (struct kcp_prompt){ 0 };
}

/* Returns a description of a syntax error. The parser's own message is not used, because
   it quotes the body, which must not reach the logs. */
static const char *
syntax_error (const json_error_t *parse_error)
{
  switch (json_error_code (parse_error))
    {
    case json_error_duplicate_key:
      return "a key is given twice";
    case json_error_premature_end_of_input:
      return "the end is missing";
    case json_error_end_of_input_expected:
      return "more follows the end";
    case json_error_invalid_utf8:
      return "not UTF-8";
    case json_error_numeric_overflow:
      return "a number is too large";
    default:
      return "not valid JSON";
    }
}

/* Returns true if brackets outside strings are nested at most max_depth deep. Checked
   before parsing, so that the parser's recursion is bounded. */
static bool
depth_is_within (const GString *text, int64_t max_depth)
{
  int64_t depth = 0;
  bool quoted = false;

  for (size_t i = 0; i < text->len; i++)
    {
      char c = text->str[i];

      if (quoted && c == '\\')
        i++;
      else if (c == '"')
        quoted = !quoted;
      else if (!quoted && (c == '[' || c == '{'))
        depth++;
      else if (!quoted && (c == ']' || c == '}'))
        depth--;
      if (depth > max_depth)
        return false;
    }
  return true;
}

/* Reads the members that both kinds of completion calls have. */
static bool
read_common (struct kcp_prompt *prompt, struct kcp_error *error)
{
  json_t *stream = json_object_get (prompt->body, "stream");

  prompt->model = json_string_value (json_object_get (prompt->body, "model"));
  if (prompt->model == NULL)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "model: required, a text is allowed");
      return false;
    }
  if (stream != NULL && !json_is_boolean (stream))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "stream: true or false is allowed");
      return false;
    }
  prompt->stream = json_is_true (stream);
  return true;
}

static bool
read_messages (struct kcp_prompt *prompt, struct kcp_error *error)
{
  json_t *messages = json_object_get (prompt->body, "messages");
  json_t *message;
  size_t i;

  if (!json_is_array (messages) || json_array_size (messages) == 0)
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "messages: required, a list of messages is allowed");
      return false;
    }
  json_array_foreach (messages, i, message)
  {
    const char *role = json_string_value (json_object_get (message, "role"));

    if (role != NULL)
      g_string_append_printf (prompt->text, "%s\n", role);
    if (role == NULL
        || !read_content (json_object_get (message, "content"), prompt->text))
      {
        kcp_error_set (
            error, KCP_ERR_BAD_REQUEST, STEP, NULL,
            "messages[%zu]: a role and a text or a list of text parts are required", i);
        return false;
      }
    g_string_append_c (prompt->text, '\n');
  }
  return true;
}

static bool
read_content (json_t *content, GString *out)
{
  json_t *part;
  size_t i;

  if (json_is_string (content))
    {
      g_string_append_len (out, json_string_value (content),
                           (gssize)json_string_length (content));
      return true;
    }
  if (!json_is_array (content))
    return false;
  json_array_foreach (content, i, part)
  {
    json_t *text = json_object_get (part, "text");

    if (!json_is_string (text))
      return false;
    g_string_append_len (out, json_string_value (text),
                         (gssize)json_string_length (text));
  }
  return true;
}

static bool
read_text (struct kcp_prompt *prompt, struct kcp_error *error)
{
  json_t *text = json_object_get (prompt->body, "prompt");

  if (!json_is_string (text))
    {
      kcp_error_set (error, KCP_ERR_BAD_REQUEST, STEP, NULL,
                     "prompt: required, a text is allowed");
      return false;
    }
  g_string_append_len (prompt->text, json_string_value (text),
                       (gssize)json_string_length (text));
  return true;
}
