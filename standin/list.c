/* Stand-in for the platform's list of VMs and backend servers. */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "standin/standin.h"

#define ETAG_MAX 16 /* bytes, with the final NUL */

static void start (const struct standin_options *options);
static enum MHD_Result handle (const struct standin_request *request);

static enum MHD_Result
answer_with_etag (const struct standin_request *request, unsigned status,
                  json_t *document, const char *etag);

const struct standin_role standin_list_role = { "list", start, handle };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *published; /* the list that callers get */
static json_t *pending;   /* replaces the published list at pending_due_ns */
static int64_t pending_due_ns;
static unsigned version; /* of the published list; its ETag */
static bool unavailable;

static void
start (const struct standin_options *options)
{
  (void)options;
  published = json_pack ("{s[]}", "members");
}

/* GET returns the list. PUT replaces it after ?lag_ms milliseconds. PUT /faults
   {"out": true} makes GET answer 503. */
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
      unavailable = json_is_true (json_object_get (document, "out"));
      json_decref (document);
    }
  else if (document != NULL)
    {
      json_decref (pending);
      pending = document;
      pending_due_ns = now + standin_query_int (request, "lag_ms", 0) * KCP_NS_PER_MS;
    }
  if (pending != NULL && now >= pending_due_ns)
    {
      json_decref (published);
      published = pending;
      pending = NULL;
      version++;
    }
  if (unavailable && strcmp (request->method, "GET") == 0)
    status = 503;
  answer = json_deep_copy (published);
  (void)snprintf (etag, sizeof etag, "\"%u\"", version);
  pthread_mutex_unlock (&lock);
  if (status == 200 && g_strcmp0 (standin_header (request, "If-None-Match"), etag) == 0)
    status = 304;
  return answer_with_etag (request, status, answer, etag);
}

/* Sends the list with its ETag; omits the list if status is 304. */
static enum MHD_Result
answer_with_etag (const struct standin_request *request, unsigned status,
                  json_t *document, const char *etag)
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
