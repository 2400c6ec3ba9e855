#include "tests/harness/client.h"

#include <curl/curl.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_TIMEOUT_MS 10000L

struct transfer
{
  const struct client_call *call;
  struct client_answer *answer;
};

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value);
static size_t on_header (char *data, size_t size, size_t count, void *user);
static size_t on_body (char *data, size_t size, size_t count, void *user);
static char *chunk_text (json_t *chunk);

/* Sends a request on a new connection. Returns the answer, to be released with
   client_answer_clear(). */
struct client_answer
client_run (const struct client_call *call)
{
  struct client_answer answer
      = { .headers = g_string_new (NULL), .body = g_string_new (NULL) };
  struct transfer transfer = { call, &answer };
  g_autofree char *url
      = g_strdup_printf ("%s://127.0.0.1:%d%s", call->certificate ? "https" : "http",
                         call->port, call->path);
  g_autofree char *bearer = call->key ? g_strconcat ("Bearer ", call->key, NULL) : NULL;
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  CURL *curl = curl_easy_init ();
  curl_off_t first = 0;
  curl_off_t total = 0;

  headers = add_header (headers, "Authorization", bearer);
  headers = add_header (headers, "Kingcuppoint-Profile", call->profile);
  headers = add_header (headers, "Idempotency-Key", call->idempotency_key);
  headers = add_header (headers, "Content-Type", call->body ? "application/json" : NULL);
  if (call->header != NULL)
    headers = curl_slist_append (headers, call->header);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    call->timeout_ms ? call->timeout_ms : DEFAULT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &transfer);
  if (call->certificate != NULL)
    curl_easy_setopt (curl, CURLOPT_CAINFO, call->certificate);
  if (call->body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
  if (call->method != NULL)
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  answer.curl = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &answer.status);
  curl_easy_getinfo (curl, CURLINFO_STARTTRANSFER_TIME_T, &first);
  curl_easy_getinfo (curl, CURLINFO_TOTAL_TIME_T, &total);
  answer.first_byte_us = first;
  answer.total_us = total;
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return answer;
}

/* Frees the members of an answer. */
void
client_answer_clear (struct client_answer *answer)
{
  g_string_free (answer->headers, TRUE);
  g_string_free (answer->body, TRUE);
}

/* Returns the value of a response header, to be freed with g_free(), or NULL. */
char *
client_header (const struct client_answer *answer, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (answer->headers->str, "\r\n", -1);
  size_t len = strlen (name);

  for (char **line = lines; *line != NULL; line++)
    if (g_ascii_strncasecmp (*line, name, len) == 0 && (*line)[len] == ':')
      return g_strdup (g_strstrip (*line + len + 1));
  return NULL;
}

/* Returns the body as a new JSON value, or NULL. */
json_t *
client_json (const struct client_answer *answer)
{
  return json_loadb (answer->body->str, answer->body->len, JSON_DECODE_ANY, NULL);
}

/* Returns the text of a streamed completion, to be freed with g_free(), or NULL if an
   event is out of order. Sets done to true if the end marker was received. */
char *
client_stream_text (const struct client_answer *answer, bool *done)
{
  g_auto (GStrv) events = g_strsplit (answer->body->str, "\n\n", -1);
  g_autoptr (GString) text = g_string_new (NULL);
  int64_t next = 0;

  *done = false;
  for (char **event = events; *event != NULL; event++)
    {
      const char *data = strstr (*event, "data: ");
      g_autofree char *piece = NULL;
      json_t *chunk;

      if (data == NULL || g_str_has_prefix (*event, "event: "))
        continue;
      if (strcmp (data, "data: [DONE]") == 0)
        {
          *done = true;
          continue;
        }
      if (*done || !g_str_has_prefix (*event, "id: ")
          || g_ascii_strtoll (*event + strlen ("id: "), NULL, 10) != next++)
        return NULL;
      chunk = json_loads (data + strlen ("data: "), 0, NULL);
      piece = chunk_text (chunk);
      g_string_append (text, piece);
      json_decref (chunk);
    }
  return g_strdup (text->str);
}

/* Returns the stand-in engine's answer to a prompt, to be freed with g_free(). The prompt
   of a chat is the concatenated contents of its messages. */
char *
client_expected_text (const char *prompt, int tokens)
{
  g_autoptr (GString) text = g_string_new (NULL);
  uint32_t hash = (uint32_t)XXH3_64bits (prompt, strlen (prompt));

  for (int i = 0; i < tokens; i++)
    g_string_append_printf (text, "t%d:%08x ", i, hash);
  return g_strdup (text->str);
}

/* Returns the number of cached tokens reported in the answer, or -1 if there is none. */
int64_t
client_cached_tokens (const struct client_answer *answer)
{
  const char *field = strstr (answer->body->str, "\"cached_tokens\":");

  return field != NULL ? g_ascii_strtoll (field + strlen ("\"cached_tokens\":"), NULL, 10)
                       : -1;
}

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  g_autofree char *line = NULL;

  if (value == NULL)
    return list;
  line = g_strconcat (name, ": ", value, NULL);
  return curl_slist_append (list, line);
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct transfer *transfer = user;

  g_string_append_len (transfer->answer->headers, data, (gssize)(size * count));
  return size * count;
}

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  struct transfer *transfer = user;
  GString *body = transfer->answer->body;

  g_string_append_len (body, data, (gssize)(size * count));
  if (transfer->call->read_delay_us > 0)
    g_usleep ((gulong)transfer->call->read_delay_us);
  if (transfer->call->abort_after_bytes > 0
      && body->len >= (size_t)transfer->call->abort_after_bytes)
    return 0;
  return size * count;
}

static char *
chunk_text (json_t *chunk)
{
  json_t *choice = json_array_get (json_object_get (chunk, "choices"), 0);
  const char *text = json_string_value (json_object_get (choice, "text"));
  const char *delta = json_string_value (
      json_object_get (json_object_get (choice, "delta"), "content"));

  return g_strdup (text != NULL ? text : delta != NULL ? delta : "");
}
