/* Stand-in for the platform's append-only log: named streams in memory. */
#include <pthread.h>
#include <string.h>

#include "base/clock.h"
#include "standin/standin.h"

#define READ_MAX       1000       /* records in one answer */
#define READ_MAX_BYTES (1u << 20) /* soft limit; one record is always returned */

struct stream
{
  uint64_t first;     /* offset of the first record kept */
  GPtrArray *records; /* json_t, in order of offset */
};

static void start (const struct standin_options *options);
static enum MHD_Result handle (const struct standin_request *request);
static enum MHD_Result append (const struct standin_request *request, const char *name);
static enum MHD_Result
read_from (const struct standin_request *request, const char *name);
static enum MHD_Result change_faults (const struct standin_request *request);
static struct stream *find_stream (const char *name);
static char *stream_name (const char *path);
static json_t *collect_records (const struct stream *stream, uint64_t from);
static void record_free (gpointer data);
static uint64_t append_record (const char *name, json_t *record);
static void *append_late (void *user);

/* An append that takes effect after its answer. */
struct late_append
{
  char *name;
  json_t *record;
  int64_t delay_ms;
};

const struct standin_role standin_log_role = { "log", start, handle };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended;
static GHashTable *streams;
static bool unavailable;     /* every call is answered with 503 */
static int64_t lose_answers; /* count of appends that take effect but answer 500 */
static int64_t append_delay_ms;
static int64_t late_appends; /* count of appends that answer 500 and take effect late */
static int64_t late_ms;      /* delay of those appends */

static void
start (const struct standin_options *options)
{
  pthread_condattr_t attr;

  (void)options;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&appended, &attr);
  streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* POST /streams/NAME/records appends the body as a record. GET /streams/NAME/records
   returns the records from offset ?from and waits up to ?wait_ms milliseconds for one; it
   answers 410 if that offset has been trimmed. */
static enum MHD_Result
handle (const struct standin_request *request)
{
  g_autofree char *name = stream_name (request->path);
  bool fails;

  if (strcmp (request->path, "/faults") == 0)
    return change_faults (request);
  pthread_mutex_lock (&lock);
  fails = unavailable;
  pthread_mutex_unlock (&lock);
  if (fails)
    return standin_answer (request, 503, json_object ());
  if (name == NULL)
    return standin_answer (request, 404, json_object ());
  return strcmp (request->method, "POST") == 0 ? append (request, name)
                                               : read_from (request, name);
}

static enum MHD_Result
append (const struct standin_request *request, const char *name)
{
  json_t *record = json_loadb (request->body.data, request->body.len, 0, NULL);
  uint64_t offset;
  int64_t wait_ms;
  bool lose;

  if (record == NULL)
    return standin_answer (request, 400, json_object ());
  pthread_mutex_lock (&lock);
  wait_ms = append_delay_ms;
  pthread_mutex_unlock (&lock);
  if (wait_ms > 0)
    g_usleep ((gulong)(wait_ms * G_TIME_SPAN_MILLISECOND));
  pthread_mutex_lock (&lock);
  if (late_appends > 0)
    {
      struct late_append *late = g_new0 (struct late_append, 1);
      pthread_t thread;

      *late = (struct late_append){ g_strdup (name), record, late_ms };
      late_appends--;
      pthread_mutex_unlock (&lock);
      if (pthread_create (&thread, NULL, append_late, late) == 0)
        pthread_detach (thread);
      return standin_answer (request, 500, json_object ());
    }
  offset = append_record (name, record);
  lose = lose_answers > 0;
  lose_answers -= lose;
  pthread_mutex_unlock (&lock);
  if (lose)
    return standin_answer (request, 500, json_object ());
  return standin_answer (request, 200, json_pack ("{sI}", "offset", (json_int_t)offset));
}

/* Appends a record, taking ownership, and returns its offset. The lock must be held. */
static uint64_t
append_record (const char *name, json_t *record)
{
  struct stream *stream = find_stream (name);

  g_ptr_array_add (stream->records, record);
  pthread_cond_broadcast (&appended);
  return stream->first + stream->records->len - 1;
}

static void *
append_late (void *user)
{
  struct late_append *late = user;

  g_usleep ((gulong)(late->delay_ms * G_TIME_SPAN_MILLISECOND));
  pthread_mutex_lock (&lock);
  (void)append_record (late->name, late->record);
  pthread_mutex_unlock (&lock);
  g_free (late->name);
  g_free (late);
  return NULL;
}

static enum MHD_Result
read_from (const struct standin_request *request, const char *name)
{
  uint64_t from = (uint64_t)standin_query_int (request, "from", 0);
  int64_t until_ns = kcp_clock_monotonic_ns (&kcp_clock_system)
                     + standin_query_int (request, "wait_ms", 0) * KCP_NS_PER_MS;
  struct timespec deadline = kcp_timespec_from_ns (until_ns);
  struct stream *stream;
  json_t *answer;
  unsigned status = 200;

  pthread_mutex_lock (&lock);
  stream = find_stream (name);
  while (from >= stream->first + stream->records->len
         && pthread_cond_timedwait (&appended, &lock, &deadline) == 0)
    continue;
  answer = json_pack ("{sIsI}", "first", (json_int_t)stream->first, "next",
                      (json_int_t)(stream->first + stream->records->len));
  if (from < stream->first)
    status = 410;
  else
    json_object_set_new (answer, "records", collect_records (stream, from));
  pthread_mutex_unlock (&lock);
  return standin_answer (request, status, answer);
}

/* Handles PUT /faults: {"out": bool, "lose_answers": N, "append_delay_ms": N,
   "late_appends": N, "late_ms": N,
   "trim": {"stream": NAME, "first": N}, "truncate": {"stream": NAME, "next": N}}. */
static enum MHD_Result
change_faults (const struct standin_request *request)
{
  json_t *faults = json_loadb (request->body.data, request->body.len, 0, NULL);
  json_t *trim = json_object_get (faults, "trim");
  json_t *truncate = json_object_get (faults, "truncate");
  struct stream *stream;

  pthread_mutex_lock (&lock);
  if (json_object_get (faults, "out") != NULL)
    unavailable = json_is_true (json_object_get (faults, "out"));
  if (json_object_get (faults, "lose_answers") != NULL)
    lose_answers = json_integer_value (json_object_get (faults, "lose_answers"));
  if (json_object_get (faults, "late_appends") != NULL)
    late_appends = json_integer_value (json_object_get (faults, "late_appends"));
  if (json_object_get (faults, "late_ms") != NULL)
    late_ms = json_integer_value (json_object_get (faults, "late_ms"));
  if (json_object_get (faults, "append_delay_ms") != NULL)
    append_delay_ms = json_integer_value (json_object_get (faults, "append_delay_ms"));
  if (trim != NULL)
    {
      stream = find_stream (json_string_value (json_object_get (trim, "stream")));
      while (stream->first
                 < (uint64_t)json_integer_value (json_object_get (trim, "first"))
             && stream->records->len > 0)
        {
          g_ptr_array_remove_index (stream->records, 0);
          stream->first++;
        }
    }
  if (truncate != NULL)
    {
      uint64_t next = (uint64_t)json_integer_value (json_object_get (truncate, "next"));

      stream = find_stream (json_string_value (json_object_get (truncate, "stream")));
      if (next >= stream->first && next < stream->first + stream->records->len)
        g_ptr_array_set_size (stream->records, (gint)(next - stream->first));
    }
  pthread_mutex_unlock (&lock);
  json_decref (faults);
  return standin_answer (request, 200, json_object ());
}

static struct stream *
find_stream (const char *name)
{
  struct stream *stream = g_hash_table_lookup (streams, name);

  if (stream == NULL)
    {
      stream = g_new0 (struct stream, 1);
      stream->records = g_ptr_array_new_with_free_func (record_free);
      g_hash_table_insert (streams, g_strdup (name), stream);
    }
  return stream;
}

/* Returns NAME of "/streams/NAME/records", or NULL. */
static char *
stream_name (const char *path)
{
  size_t len = strlen (path);
  size_t prefix_len = strlen ("/streams/");
  size_t suffix_len = strlen ("/records");

  if (!g_str_has_prefix (path, "/streams/") || !g_str_has_suffix (path, "/records")
      || len <= prefix_len + suffix_len)
    return NULL;
  return g_strndup (path + prefix_len, len - prefix_len - suffix_len);
}

static json_t *
collect_records (const struct stream *stream, uint64_t from)
{
  json_t *list = json_array ();
  size_t bytes = 0;

  for (uint64_t i = from - stream->first;
       i < stream->records->len && json_array_size (list) < READ_MAX
       && bytes < READ_MAX_BYTES;
       i++)
    {
      json_t *record = g_ptr_array_index (stream->records, (guint)i);

      bytes += json_dumpb (record, NULL, 0, JSON_COMPACT);
      json_array_append_new (list, json_pack ("{sIsO}", "offset",
                                              (json_int_t)(stream->first + i), "record",
                                              record));
    }
  return list;
}

static void
record_free (gpointer data)
{
  json_decref (data);
}
