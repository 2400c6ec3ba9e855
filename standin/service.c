/* Stand-in for a plain service. It counts the executions of each idempotency key. */
#include <pthread.h>
#include <string.h>

#include "standin/standin.h"

static void start (const struct standin_options *options);
static enum MHD_Result handle (const struct standin_request *request);
static enum MHD_Result execute (const struct standin_request *request);
static enum MHD_Result change_faults (const struct standin_request *request);

const struct standin_role standin_service_role = { "service", start, handle };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *executions; /* idempotency key -> number of executions */
static json_t *calls;      /* key, Content-Type and count of each execution */
static const char *service_name;
static int64_t delay_ms;
static int64_t lose_answers;  /* number of further calls that run and get no answer */
static int64_t cross_answers; /* number of further answers with another attempt's id */

static void
start (const struct standin_options *options)
{
  service_name = options->name;
  executions = json_object ();
  calls = json_array ();
}

/* GET /executions returns the counts and GET /calls the executions in order. PUT /faults
   takes {"delay_ms": N, "lose_answers": N, "cross_answers": N}. Any other request is
   executed. */
static enum MHD_Result
handle (const struct standin_request *request)
{
  json_t *counts;

  if (strcmp (request->path, "/faults") == 0)
    return change_faults (request);
  if (strcmp (request->path, "/executions") != 0 && strcmp (request->path, "/calls") != 0)
    return execute (request);
  pthread_mutex_lock (&lock);
  counts = json_deep_copy (strcmp (request->path, "/calls") == 0 ? calls : executions);
  pthread_mutex_unlock (&lock);
  return standin_answer (request, 200, counts);
}

static enum MHD_Result
execute (const struct standin_request *request)
{
  const char *key = standin_header (request, "Idempotency-Key");
  json_int_t count = 0;
  int64_t wait_ms;
  bool lose;
  bool cross;

  pthread_mutex_lock (&lock);
  if (key != NULL)
    {
      count = json_integer_value (json_object_get (executions, key)) + 1;
      json_object_set_new (executions, key, json_integer (count));
      json_array_append_new (calls, json_pack ("{ssss?sI}", "key", key, "content_type",
                                               standin_header (request, "Content-Type"),
                                               "execution", count));
    }
  lose = lose_answers > 0;
  lose_answers -= lose;
  cross = cross_answers > 0;
  cross_answers -= cross;
  wait_ms = delay_ms;
  pthread_mutex_unlock (&lock);
  if (wait_ms > 0)
    g_usleep ((gulong)(wait_ms * G_TIME_SPAN_MILLISECOND));
  if (lose)
    return MHD_NO;
  return standin_answer_as (
      request, cross ? "another" : standin_header (request, "Kingcuppoint-Request"), 200,
      json_pack ("{ssssss#sI}", "service", service_name, "path", request->path, "body",
                 request->body.data, (int)request->body.len, "execution", count));
}

static enum MHD_Result
change_faults (const struct standin_request *request)
{
  json_t *faults = json_loadb (request->body.data, request->body.len, 0, NULL);

  pthread_mutex_lock (&lock);
  delay_ms = json_integer_value (json_object_get (faults, "delay_ms"));
  lose_answers = json_integer_value (json_object_get (faults, "lose_answers"));
  cross_answers = json_integer_value (json_object_get (faults, "cross_answers"));
  pthread_mutex_unlock (&lock);
  json_decref (faults);
  return standin_answer (request, 200, json_object ());
}
