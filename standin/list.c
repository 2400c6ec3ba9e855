/* The platform's list of VMs and backend servers. */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "standin/standin.h"

#define ETAG_MAX 16

static void start (const struct standin_options *options);
static enum MHD_Result handle (const struct standin_request *request);

static enum MHD_Result
answer_tagged (const struct standin_request *request, unsigned status, json_t *document,
               const char *etag);

const struct standin_role standin_list_role = { "list", start, handle };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *shown; /* what callers see */
static json_t *next;  /* shown once its time has come */
static int64_t next_due_ns;
static unsigned version; /* of the list shown; its ETag */
static bool out;

static void
start (const struct standin_options *options)
{
  (void)options;
  shown = json_pack ("{s[]}", "members");
}

/* GET answers the list; PUT replaces it, after ?lag_ms; PUT /faults {"out": bool}. */
static enum MHD_Result
handle (const struct standin_request *request)
{
  json_t *document = json_loadb (request->body.data, request->body.len, 0, NULL);
  int64_t now = kcp_clock_monotonic_ns (&kcp_clock_system);
  json_t *answer;
  unsigned status = 200;
  char etag[ETAG_MAX];

  pthread_mutex_lock (&lock);
  if (strcmp (request->path, "/faults") == 0)
    {
      out = json_is_true (json_object_get (document, "out"));
      json_decref (document);
    }
  else if (document != NULL)
    {
      json_decref (next);
      next = document;
      next_due_ns = now + standin_query_int (request, "lag_ms", 0) * KCP_NS_PER_MS;
    }
  if (next != NULL && now >= next_due_ns)
    {
      json_decref (shown);
      shown = next;
      next = NULL;
      version++;
    }
  if (out && strcmp (request->method, "GET") == 0)
    status = 503;
  answer = json_deep_copy (shown);
  (void)snprintf (etag, sizeof etag, "\"%u\"", version);
  pthread_mutex_unlock (&lock);
  if (status == 200 && g_strcmp0 (standin_header (request, "If-None-Match"), etag) == 0)
    status = 304;
  return answer_tagged (request, status, answer, etag);
}

/* Sends the list with its ETag, without the list if the caller has it. */
static enum MHD_Result
answer_tagged (const struct standin_request *request, unsigned status, json_t *document,
               const char *etag)
{
  char *text = status == 304 ? g_strdup ("") : json_dumps (document, JSON_COMPACT);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  MHD_add_response_header (response, MHD_HTTP_HEADER_ETAG, etag);
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  json_decref (document);
  return result;
}
