#include "cmd/admin_client.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOKEN_VARIABLE "KINGCUPPOINT_TOKEN"
#define TIMEOUT_MS     20000L
#define HTTP_OK        200

static char *read_token (const char *path);
static void print_problem (const char *url, const struct kcp_http_answer *answer);

/* Initializes a client for the admin API at url. Reads the operators' token from a file
   or, if token_path is NULL, from the environment; a token given as an argument would be
   visible in the process list. Returns false after printing an error message. */
bool
kcp_admin_client_init (struct kcp_admin_client *client, const char *url,
                       const char *token_path)
{
  *client = (struct kcp_admin_client){ 0 };
  if (url == NULL)
    {
      (void)fprintf (stderr, "kingcuppoint: --admin URL is required\n");
      return false;
    }
  client->token = read_token (token_path);
  if (client->token == NULL)
    return false;
  client->url = g_strdup (url);
  if (g_str_has_suffix (client->url, "/"))
    client->url[strlen (client->url) - 1] = '\0';
  return true;
}

/* Erases the token from memory and frees the members of the client. */
void
kcp_admin_client_clear (struct kcp_admin_client *client)
{
  if (client->token != NULL)
    sodium_memzero (client->token, strlen (client->token));
  g_free (client->token);
  g_free (client->url);
}

/* Returns the resource at path as a new JSON reference, or NULL after printing an error
   message. */
json_t *
kcp_admin_client_get (const struct kcp_admin_client *client, const char *path)
{
  struct kcp_http_answer answer;
  json_t *document = NULL;

  if (kcp_admin_client_run (client, NULL, path, NULL, NULL, &answer))
    document = json_incref (answer.body);
  kcp_http_answer_clear (&answer);
  return document;
}

/* Sends a request and waits for the answer. Returns false after printing an error message
   unless the answer has status 200 and a JSON body. The caller clears the answer in
   either case. */
bool
kcp_admin_client_run (const struct kcp_admin_client *client, const char *method,
                      const char *path, json_t *body, const char *header,
                      struct kcp_http_answer *answer)
{
  g_autofree char *url = g_strconcat (client->url, path, NULL);
  struct kcp_http_call call = {
    .method = method,
    .url = url,
    .body = body,
    .bearer = client->token,
    .header = header,
    .timeout_ms = TIMEOUT_MS,
  };
  struct kcp_error error;

  if (!kcp_http_call_run (&call, answer, &error))
    {
      (void)fprintf (stderr, "kingcuppoint: %s: %s (execution: %s)\n", url, error.detail,
                     kcp_execution_name (error.execution));
      return false;
    }
  if (answer->status == HTTP_OK && answer->body != NULL)
    return true;
  print_problem (url, answer);
  return false;
}

static char *
read_token (const char *path)
{
  g_autoptr (GError) error = NULL;
  char *token = NULL;

  if (path == NULL)
    {
      if (getenv (TOKEN_VARIABLE) == NULL)
        (void)fprintf (stderr,
                       "kingcuppoint: set " TOKEN_VARIABLE " or use --token-file\n");
      return g_strdup (getenv (TOKEN_VARIABLE));
    }
  if (!g_file_get_contents (path, &token, NULL, &error))
    {
      (void)fprintf (stderr, "kingcuppoint: %s\n", error->message);
      return NULL;
    }
  return g_strstrip (token);
}

static void
print_problem (const char *url, const struct kcp_http_answer *answer)
{
  const char *title = json_string_value (json_object_get (answer->body, "title"));
  const char *detail = json_string_value (json_object_get (answer->body, "detail"));
  const char *execution = json_string_value (json_object_get (answer->body, "execution"));

  (void)fprintf (stderr, "kingcuppoint: %s: %ld %s: %s (execution: %s)\n", url,
                 answer->status, title != NULL ? title : "no problem document",
                 detail != NULL ? detail : "", execution != NULL ? execution : "unknown");
}
