#include "logstore/platform_log.h"

#include <glib.h>

#include "base/counter.h"
#include "logstore/http_call.h"

#define STEP                     "platform_log"
#define HTTP_STATUS_OK           200
#define HTTP_STATUS_SERVER_ERROR 500
#define HTTP_STATUS_UNAVAILABLE  503
#define HTTP_STATUS_GONE         410
#define HTTP_STATUS_INTERNAL     500
#define HTTP_STATUS_UNAVAILABLE  503
#define RETRY_AFTER_S            1

static bool may_have_appended (long status);
static bool set_status_error (struct kcp_platform_log *log, const char *stream,
                              long status, struct kcp_error *error);

/* Creates a client of the log at a base URL. timeout_ms is the timeout of each call in
   milliseconds; for a read, the time to wait for a record is added. */
struct kcp_platform_log *
kcp_platform_log_new (const char *url, int64_t timeout_ms)
{
  struct kcp_platform_log *log = g_new0 (struct kcp_platform_log, 1);

  log->url = g_strdup (url);
  log->timeout_ms = timeout_ms;
  return log;
}

/* Frees the client. log may be NULL. */
void
kcp_platform_log_free (struct kcp_platform_log *log)
{
  if (log == NULL)
    return;
  g_free (log->url);
  g_free (log);
}

/* Appends a record and stores its offset. On failure sets an error and returns false; if
   the execution of the error is unknown, the record may have been appended. Blocks. */
bool
kcp_platform_log_append (struct kcp_platform_log *log, const char *stream, json_t *record,
                         uint64_t *offset, struct kcp_error *error)
{
  g_autofree char *url = g_strdup_printf ("%s/streams/%s/records", log->url, stream);
  struct kcp_http_call call = {
    .method = "POST",
    .url = url,
    .body = record,
    .timeout_ms = (long)log->timeout_ms,
  };
  struct kcp_http_answer answer;
  json_t *value;
  bool done = false;

  kcp_counter_add (KCP_COUNT_LOG_APPENDS, 1);
  if (!kcp_http_call_run (&call, &answer, error))
    {
      kcp_counter_add (KCP_COUNT_LOG_ERRORS, 1);
      return false;
    }
  value = json_object_get (answer.body, "offset");
  if (answer.status == HTTP_STATUS_OK && json_is_integer (value))
    {
      *offset = (uint64_t)json_integer_value (value);
      done = true;
    }
  else
    {
      set_status_error (log, stream, answer.status, error);
      if (error != NULL && may_have_appended (answer.status))
        error->execution = KCP_EXECUTION_UNKNOWN;
    }
  kcp_http_answer_clear (&answer);
  return done;
}

/* Reads records from an offset on and waits up to wait_ms milliseconds for the first one.
   On failure sets an error and returns false. The error is KCP_ERR_TRIMMED if the log no
   longer retains the offset; batch->first is then set. Blocks. */
bool
kcp_platform_log_read (struct kcp_platform_log *log, const char *stream, uint64_t from,
                       int64_t wait_ms, struct kcp_log_batch *batch,
                       struct kcp_error *error)
{
  g_autofree char *url = g_strdup_printf ("%s/streams/%s/records?from=%" G_GUINT64_FORMAT
                                          "&wait_ms=%" G_GINT64_FORMAT,
                                          log->url, stream, from, wait_ms);
  struct kcp_http_call call = {
    .url = url,
    .timeout_ms = (long)(log->timeout_ms + wait_ms),
  };
  struct kcp_http_answer answer;
  json_t *records;

  *batch = (struct kcp_log_batch){ 0 };
  if (!kcp_http_call_run (&call, &answer, error))
    {
      kcp_counter_add (KCP_COUNT_LOG_ERRORS, 1);
      return false;
    }
  batch->first = (uint64_t)json_integer_value (json_object_get (answer.body, "first"));
  batch->next = (uint64_t)json_integer_value (json_object_get (answer.body, "next"));
  records = json_object_get (answer.body, "records");
  if (answer.status == HTTP_STATUS_OK && json_is_array (records))
    batch->records = json_incref (records);
  else
    set_status_error (log, stream, answer.status, error);
  kcp_http_answer_clear (&answer);
  return batch->records != NULL;
}

/* Frees the records of a batch. */
void
kcp_log_batch_clear (struct kcp_log_batch *batch)
{
  json_decref (batch->records);
  batch->records = NULL;
}

/* Returns true if a record may be in the log although the append was answered with this
   error status. The log does not append a record if it answers with 503 or a client error
   (4xx). */
static bool
may_have_appended (long status)
{
  return status >= HTTP_STATUS_SERVER_ERROR && status != HTTP_STATUS_UNAVAILABLE;
}

/* Sets an error for a response that has another status than 200 or a malformed body.
   Always returns false. */
static bool
set_status_error (struct kcp_platform_log *log, const char *stream, long status,
                  struct kcp_error *error)
{
  enum kcp_error_code code
      = status == HTTP_STATUS_GONE ? KCP_ERR_TRIMMED : KCP_ERR_PLATFORM;

  kcp_counter_add (KCP_COUNT_LOG_ERRORS, 1);
  kcp_error_set (error, code, STEP, log->url, "stream %s answered %ld", stream, status);
  if (error != NULL)
    error->retry_after_s = RETRY_AFTER_S;
  if (error != NULL && status >= HTTP_STATUS_INTERNAL
      && status != HTTP_STATUS_UNAVAILABLE)
    error->execution = KCP_EXECUTION_UNKNOWN;
  return false;
}
