#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness/fake_parts.h"

#define READ_WAIT_MS 50    /* at a time of a read that waits for records */
#define BLOCK_MS     20000 /* longer than any caller of the store waits */

struct record
{
  char *key; /* NULL in a topic without keys */
  char *value;
};

static const char *const topic_names[FAKE_TOPICS] = {
  [FAKE_TOPIC_OPERATORS] = "keyed.op",
  [FAKE_TOPIC_SERVERS] = "keyed.servers",
  [FAKE_TOPIC_ORDERS] = "kingcuppoint.orders",
  [FAKE_TOPIC_VMS] = "keyed.kingcuppoint.vms",
  [FAKE_TOPIC_BLOCKED] = "keyed.kingcuppoint.blocked",
  [FAKE_TOPIC_SUSPECTS] = "keyed.kingcuppoint.suspects",
  [FAKE_TOPIC_SOFTWARE] = "keyed.kingcuppoint.software",
  [FAKE_TOPIC_STREAMS] = "kingcuppoint.streams",
};

static void
record_free (void *data)
{
  struct record *record = data;

  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

static void
add_record (struct fake_store *store, unsigned topic, const char *key, const char *value)
{
  struct record *record = g_new0 (struct record, 1);

  record->key = g_strdup (key);
  record->value = g_strdup (value);
  pthread_mutex_lock (&store->lock);
  g_ptr_array_add (store->topics[topic].records, record);
  pthread_cond_broadcast (&store->added);
  pthread_mutex_unlock (&store->lock);
}

static struct fake_topic *
find_topic (struct fake_store *store, const char *name)
{
  for (unsigned i = 0; i < FAKE_TOPICS; i++)
    if (strcmp (store->topics[i].name, name) == 0)
      return &store->topics[i];
  return NULL;
}

/* Returns the store's port. */
int
fake_platform_port (const struct fake_platform *platform)
{
  return MHD_get_daemon_info (platform->store.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

/* Makes the store answer every call with 503, or serve calls again. */
void
fake_platform_set_down (struct fake_platform *platform, bool down)
{
  platform->store.down = down;
}

/* Makes the store unresponsive, or responsive again. Calls that are in progress when it
   becomes unresponsive and calls that arrive while it is unresponsive are never answered,
   not even after it is responsive again. */
void
fake_platform_set_unresponsive (struct fake_platform *platform, bool unresponsive)
{
  platform->store.unresponsive = unresponsive;
}

/* Returns the number of connections that the store has accepted so far. */
int
fake_platform_connection_count (const struct fake_platform *platform)
{
  return g_atomic_int_get (&platform->store.connections);
}

/* Makes the connections to the store that are open now silent: calls that are in progress
   or arrive on them are neither carried out nor answered, and no connection is closed.
   New connections work. */
void
fake_platform_silence_connections (struct fake_platform *platform)
{
  g_atomic_int_inc (&platform->store.silenced);
}

/* Appends a record of the operators to the topic keyed.op. */
void
fake_platform_put_record (struct fake_platform *platform, const char *key,
                          const char *value)
{
  add_record (&platform->store, FAKE_TOPIC_OPERATORS, key, value);
}

/* Appends the lease record of a VM with that name to the topic of orders. */
void
fake_platform_put_lease_record (struct fake_platform *platform, const char *holder)
{
  g_autofree char *text = g_strdup_printf ("{\"holder\":\"%s\"}", holder);

  add_record (&platform->store, FAKE_TOPIC_ORDERS, NULL, text);
}

/* Appends an entry with any value to the servers' list; an empty value removes the
   id. */
void
fake_platform_put_server_entry (struct fake_platform *platform, const char *id,
                                const char *value)
{
  add_record (&platform->store, FAKE_TOPIC_SERVERS, id, value);
}

/* Appends a record to a topic, as another writer would. key is NULL in a topic without
   keys. */
void
fake_platform_put_in_topic (struct fake_platform *platform, const char *topic,
                            const char *key, const char *value)
{
  struct fake_store *store = &platform->store;

  add_record (store, (unsigned)(find_topic (store, topic) - store->topics), key, value);
}

/* Makes the store come back from a copy that lacks the newest records of a topic. Their
   offsets are given out again. */
void
fake_platform_lose_records (struct fake_platform *platform, const char *topic,
                            unsigned count)
{
  struct fake_store *store = &platform->store;
  GPtrArray *records;

  pthread_mutex_lock (&store->lock);
  store->era++;
  records = find_topic (store, topic)->records;
  g_ptr_array_set_size (records, (gint)(records->len - count));
  pthread_mutex_unlock (&store->lock);
}

/* Returns the offset after the newest record of a topic. */
unsigned
fake_platform_end_offset (struct fake_platform *platform, const char *topic)
{
  unsigned end;

  pthread_mutex_lock (&platform->store.lock);
  end = find_topic (&platform->store, topic)->records->len;
  pthread_mutex_unlock (&platform->store.lock);
  return end;
}

/* Returns the number of reads of a topic. */
unsigned
fake_platform_read_count (struct fake_platform *platform, const char *topic)
{
  unsigned reads;

  pthread_mutex_lock (&platform->store.lock);
  reads = find_topic (&platform->store, topic)->reads;
  pthread_mutex_unlock (&platform->store.lock);
  return reads;
}

/* Sends an answer of the store, which names its era. */
static enum MHD_Result
send_store_answer (struct fake_store *store, struct MHD_Connection *connection,
                   unsigned status, const void *data, size_t len)
{
  g_autofree char *era = g_strdup_printf ("%u", store->era);
  const char *headers[] = { "Store-Era", era, NULL };

  return fake_http_send (connection, status, data, len, headers);
}

static void
append_number (GString *out, uint64_t value, int bytes)
{
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    g_string_append_c (out, (char)(value >> shift));
}

static void
append_record (GString *out, const struct fake_topic *topic, const struct record *record)
{
  size_t len = strlen (record->value);

  if (!topic->keyed)
    {
      append_number (out, len, 4);
      g_string_append (out, record->value);
      return;
    }
  append_number (out, 1 + strlen (record->key) + len, 4);
  append_number (out, strlen (record->key), 1);
  g_string_append (out, record->key);
  g_string_append (out, record->value);
}

static const char *
query_argument (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
}

static struct fake_topic *
requested_topic (struct fake_store *store, struct MHD_Connection *connection)
{
  const char *name = query_argument (connection, "topic");

  return name != NULL ? find_topic (store, name) : NULL;
}

static void
on_store_connection (void *user, struct MHD_Connection *connection, void **context,
                     enum MHD_ConnectionNotificationCode code)
{
  struct fake_store *store = user;

  (void)connection;
  if (code != MHD_CONNECTION_NOTIFY_STARTED)
    return;
  *context = GINT_TO_POINTER (g_atomic_int_get (&store->silenced));
  g_atomic_int_inc (&store->connections);
}

/* Returns true if the connection was open when the store's connections were silenced. */
static bool
is_silent (const struct fake_store *store, struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return GPOINTER_TO_INT (info->socket_context) != g_atomic_int_get (&store->silenced);
}

/* Blocks a call for longer than any caller waits and then closes its connection. */
static enum MHD_Result
block_call (const struct fake_store *store)
{
  for (int waited = 0; waited < BLOCK_MS && !store->stopping; waited += FAKE_POLL_MS)
    g_usleep (FAKE_POLL_MS * G_TIME_SPAN_MILLISECOND);
  return MHD_NO;
}

static enum MHD_Result
store_list (struct fake_store *store, struct MHD_Connection *connection,
            const struct fake_topic *topic)
{
  json_t *newest = json_object ();
  json_t *items = json_array ();
  const char *key;
  json_t *item;
  char *text;
  enum MHD_Result result;

  pthread_mutex_lock (&store->lock);
  for (guint i = 0; i < topic->records->len; i++)
    {
      const struct record *record = g_ptr_array_index (topic->records, i);
      g_autofree char *value
          = g_base64_encode ((const guchar *)record->value, strlen (record->value));

      if (record->value[0] == '\0')
        json_object_del (newest, record->key);
      else
        json_object_set_new (newest, record->key,
                             json_pack ("{sssssI}", "key", record->key, "value", value,
                                        "offset", (json_int_t)i));
    }
  json_object_foreach (newest, key, item) json_array_append (items, item);
  item = json_pack ("{sosbsI}", "items", items, "has-more", 0, "end",
                    (json_int_t)topic->records->len);
  pthread_mutex_unlock (&store->lock);
  text = json_dumps (item, JSON_COMPACT);
  result = send_store_answer (store, connection, 200, text, strlen (text));
  free (text);
  json_decref (item);
  json_decref (newest);
  return result;
}

/* Waits until a topic has a record at that offset, and not for long. Returns the time
   that it took in milliseconds, at least 1. */
static int64_t
wait_for_record (struct fake_store *store, const struct fake_topic *topic, guint offset)
{
  int64_t before_us = g_get_monotonic_time ();
  struct timespec end;

  (void)clock_gettime (CLOCK_REALTIME, &end);
  end.tv_nsec += READ_WAIT_MS * 1000000L;
  end.tv_sec += end.tv_nsec / 1000000000L;
  end.tv_nsec %= 1000000000L;
  pthread_mutex_lock (&store->lock);
  if (topic->records->len <= offset)
    (void)pthread_cond_timedwait (&store->added, &store->lock, &end);
  pthread_mutex_unlock (&store->lock);
  return MAX ((g_get_monotonic_time () - before_us) / G_TIME_SPAN_MILLISECOND, 1);
}

static enum MHD_Result
store_read (struct fake_store *store, struct MHD_Connection *connection,
            struct fake_topic *topic)
{
  const char *wait = query_argument (connection, "wait-ms");
  int64_t remaining_ms = wait != NULL ? g_ascii_strtoll (wait, NULL, 10) : 0;
  guint from = (guint)g_ascii_strtoll (query_argument (connection, "from"), NULL, 10);
  g_autoptr (GString) out = g_string_new (NULL);
  static const char none_lost[] = "{\"first\":0}";

  while (topic->records->len <= from && remaining_ms > 0 && !store->stopping)
    {
      remaining_ms -= wait_for_record (store, topic, from);
      if (store->unresponsive || is_silent (store, connection))
        return block_call (store);
      if (store->down)
        return send_store_answer (store, connection, 503, "", 0);
    }
  if (from > topic->records->len)
    return send_store_answer (store, connection, 410, none_lost, strlen (none_lost));
  pthread_mutex_lock (&store->lock);
  topic->reads++;
  append_number (out, topic->records->len, 8);
  append_number (out, 0, 8);
  for (guint i = from; i < topic->records->len; i++)
    append_record (out, topic, g_ptr_array_index (topic->records, i));
  pthread_mutex_unlock (&store->lock);
  return send_store_answer (store, connection, 200, out->str, out->len);
}

static enum MHD_Result
store_append (struct fake_store *store, struct MHD_Connection *connection,
              struct fake_topic *topic, const GString *body)
{
  const char *at = query_argument (connection, "at");
  struct record *record = g_new0 (struct record, 1);
  const char *data = body->str + 4;
  size_t len = body->len - 4;
  g_autofree char *text = NULL;
  guint end;
  bool conflict;

  if (topic->keyed)
    {
      size_t key = (unsigned char)data[0];

      record->key = g_strndup (data + 1, key);
      record->value = g_strndup (data + 1 + key, len - 1 - key);
    }
  else
    record->value = g_strndup (data, len);
  pthread_mutex_lock (&store->lock);
  end = topic->records->len;
  conflict = at != NULL && g_ascii_strtoll (at, NULL, 10) != end;
  if (!conflict)
    g_ptr_array_add (topic->records, record);
  pthread_cond_broadcast (&store->added);
  pthread_mutex_unlock (&store->lock);
  if (conflict)
    record_free (record);
  text = conflict ? g_strdup_printf ("{\"end\":%u}", end)
                  : g_strdup_printf ("{\"offset\":%u,\"end\":%u}", end, end + 1);
  return send_store_answer (store, connection, conflict ? 412 : 200, text, strlen (text));
}

static enum MHD_Result
on_store (void *user, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data, size_t *size,
          void **state)
{
  struct fake_store *store = user;
  struct fake_topic *topic = requested_topic (store, connection);

  (void)method;
  (void)version;
  if (!fake_http_receive (state, data, size))
    return MHD_YES;
  if (is_silent (store, connection))
    return block_call (store);
  if (store->down || topic == NULL)
    return send_store_answer (store, connection, 503, "", 0);
  if (store->unresponsive)
    return block_call (store);
  if (g_str_has_suffix (url, "/log-newest"))
    return store_list (store, connection, topic);
  if (g_str_has_suffix (url, "/log-read"))
    return store_read (store, connection, topic);
  if (g_str_has_suffix (url, "/log-append"))
    return store_append (store, connection, topic, fake_http_body (state));
  return send_store_answer (store, connection, 404, "", 0);
}

/* Starts the store, with empty topics, at a free port. */
void
fake_store_start (struct fake_store *store)
{
  int port = 0;

  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->added, NULL);
  for (unsigned i = 0; i < FAKE_TOPICS; i++)
    store->topics[i]
        = (struct fake_topic){ .name = topic_names[i],
                               .keyed = g_str_has_prefix (topic_names[i], "keyed."),
                               .records = g_ptr_array_new_with_free_func (record_free) };
  store->daemon = fake_http_start (on_store, on_store_connection, store, &port);
}

/* Ends the calls that wait for records. */
void
fake_store_begin_stop (struct fake_store *store)
{
  store->stopping = true;
}

/* Stops the store and frees its records. */
void
fake_store_stop (struct fake_store *store)
{
  fake_store_begin_stop (store);
  MHD_stop_daemon (store->daemon);
  for (unsigned i = 0; i < FAKE_TOPICS; i++)
    g_ptr_array_unref (store->topics[i].records);
  pthread_cond_destroy (&store->added);
  pthread_mutex_destroy (&store->lock);
}
