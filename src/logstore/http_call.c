#include "logstore/http_call.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/http_head.h"
#include "base/send_guard.h"
#include "base/str.h"

#define STEP           "http_call"
#define BODY_MAX_BYTES (64u << 20)

/* An answer that is being received. */
struct reception
{
  struct kcp_http_head head;
  struct kcp_http_answer *answer;
};

static CURL *thread_handle (void);
static void create_handle_key (void);
static void free_handle (void *handle);
static bool is_read (const struct kcp_http_call *call);
static struct curl_slist *make_headers (const struct kcp_http_call *call);
static int
on_connected (void *user, char *address, char *own_address, int port, int own_port);
static size_t append_body (char *data, size_t size, size_t count, void *user);
static size_t read_header (char *data, size_t size, size_t count, void *user);

static pthread_key_t handle_key;
static pthread_once_t handle_once = PTHREAD_ONCE_INIT;

/* Runs a call, with a connection pool for each calling thread. Returns true if an HTTP
   answer of any status arrived; its head has to be whole. Otherwise sets an error and
   returns false. The execution of the error is not_run if no connection was made, and
   unknown after any other failure, as the request may have reached the server. A call
   that is no read is sent once, even if a kept connection closes before its answer. */
bool
kcp_http_call_run (const struct kcp_http_call *call, struct kcp_http_answer *answer,
                   struct kcp_error *error)
{
  g_autoptr (GString) body = g_string_new (NULL);
  struct curl_slist *headers = make_headers (call);
  char *text = call->body != NULL ? json_dumps (call->body, JSON_COMPACT) : NULL;
  CURL *curl = thread_handle ();
  struct reception reception = { .answer = answer };
  struct kcp_send_guard guard = { .may_repeat = is_read (call) };
  const char *problem = NULL;
  CURLcode rc;

  *answer = (struct kcp_http_answer){ 0 };
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, call->url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, call->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, body);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, read_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &reception);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, on_connected);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, &guard);
  if (call->method != NULL)
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  if (text != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (text));
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, text);
    }
  rc = curl_easy_perform (curl);
  if (rc != CURLE_OK)
    problem = curl_easy_strerror (rc);
  else if (!reception.head.complete)
    problem = "the connection ended within the head";
  if (problem == NULL)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &answer->status);
      answer->body = json_loadb (body->str, body->len, JSON_DECODE_ANY, NULL);
    }
  else
    {
      kcp_error_set (error, KCP_ERR_PLATFORM, STEP, call->url, "%s", problem);
      answer->etag[0] = '\0';
      if (error != NULL && (guard.sent || rc != CURLE_COULDNT_CONNECT))
        error->execution = KCP_EXECUTION_UNKNOWN;
    }
  curl_slist_free_all (headers);
  free (text);
  return problem == NULL;
}

/* Frees the body of an answer. */
void
kcp_http_answer_clear (struct kcp_http_answer *answer)
{
  json_decref (answer->body);
  answer->body = NULL;
}

/* Returns the libcurl handle of the calling thread. It is freed when the thread ends. */
static CURL *
thread_handle (void)
{
  CURL *curl;

  pthread_once (&handle_once, create_handle_key);
  curl = pthread_getspecific (handle_key);
  if (curl == NULL)
    {
      curl = curl_easy_init ();
      pthread_setspecific (handle_key, curl);
    }
  return curl;
}

static void
create_handle_key (void)
{
  pthread_key_create (&handle_key, free_handle);
}

static void
free_handle (void *handle)
{
  curl_easy_cleanup (handle);
}

static bool
is_read (const struct kcp_http_call *call)
{
  return call->method == NULL || strcmp (call->method, "GET") == 0;
}

/* Called by libcurl when a connection is ready, each time before the request is sent. */
static int
on_connected (void *user, char *address, char *own_address, int port, int own_port)
{
  struct kcp_send_guard *guard = user;

  (void)address;
  (void)own_address;
  (void)port;
  (void)own_port;
  if (!kcp_send_guard_allows (guard))
    return CURL_PREREQFUNC_ABORT;
  guard->sent = true;
  return CURL_PREREQFUNC_OK;
}

static struct curl_slist *
make_headers (const struct kcp_http_call *call)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");

  if (call->body != NULL)
    headers = curl_slist_append (headers, "Content-Type: application/json");
  if (call->bearer != NULL)
    {
      g_autofree char *line = g_strconcat ("Authorization: Bearer ", call->bearer, NULL);

      headers = curl_slist_append (headers, line);
    }
  if (call->header != NULL)
    headers = curl_slist_append (headers, call->header);
  return headers;
}

static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
  GString *body = user;

  if (body->len + size * count > BODY_MAX_BYTES)
    return 0;
  g_string_append_len (body, data, (gssize)(size * count));
  return size * count;
}

static size_t
read_header (char *data, size_t size, size_t count, void *user)
{
  static const char name[] = "etag:";
  struct reception *reception = user;
  struct kcp_http_answer *answer = reception->answer;
  struct kcp_str line = { .data = data, .len = size * count };

  if (kcp_http_head_read (&reception->head, line).kind == KCP_HTTP_LINE_TOO_LONG)
    return 0;
  if (line.len > strlen (name) && g_ascii_strncasecmp (data, name, strlen (name)) == 0)
    {
      struct kcp_str value = kcp_str_trim (kcp_str_skip (line, strlen (name)));

      g_strlcpy (answer->etag, value.data, MIN (value.len + 1, sizeof answer->etag));
    }
  return size * count;
}
