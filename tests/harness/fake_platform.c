#include "tests/harness/fake_platform.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/str.h"

#define SERVERS_MAX    8u
#define TOPICS         7u
#define SLOW_MS        500
#define BLOCK_MS       20000
#define POLL_MS        5
#define CRASH_DELAY_MS 20  /* from the head or event until the server crashes */
#define BORN_STEP      100 /* between the born fields of a server's incarnations */

struct record
{
  char *key; /* NULL in a topic without keys */
  char *value;
};

struct topic
{
  const char *name;
  bool keyed;
  GPtrArray *records; /* struct record, by offset */
  unsigned reads;     /* number of log-read calls */
};

struct fake_platform
{
  pthread_mutex_t lock; /* guards the members below and the servers */
  struct MHD_Daemon *daemon;
  bool down;
  bool unresponsive; /* the store accepts calls and never answers them */
  gint silenced;     /* number of times that the store's connections were silenced */
  gint connections;  /* number of connections that the store accepted */
  unsigned era;      /* rises each time that the store comes back from a copy */
  bool stopping;
  struct topic topics[TOPICS];
  struct fake_server servers[SERVERS_MAX];
  unsigned server_count;
  GHashTable *runs; /* request id -> number of executions */
  char *crash_text; /* a body that contains it crashes the server; NULL: none does */
  char *crash_part; /* likewise a Prompt-Prefix header that contains it */
  enum fake_crash_progress crash_progress; /* with such a header */
  unsigned crash_down_ms;                  /* time until a crashed server is back */
  enum fake_crash_error crash_error; /* what a server sends of an error before it ends */
  unsigned crash_answered_every;     /* each such copy is answered instead; 0: none is */
  unsigned crash_answer_status;      /* with this status, and not run */
  GArray *crash_times;               /* int64_t, microseconds: crashes by such requests */
  GArray *crash_arrivals; /* int64_t, microseconds: such requests at all servers */
  GPtrArray *crash_threads;
};

/* A request whose body is being received. */
struct inbound
{
  GString *body;
};

/* The event stream of a server's answer. */
struct stream
{
  struct fake_server *server;
  GString *text;
  size_t sent;
  bool interrupted;
};

static void add_limit (const struct fake_server *server, struct MHD_Response *response);
static void record_arrival (struct fake_server *server);
static enum MHD_Result on_store (void *user, struct MHD_Connection *connection,
                                 const char *url, const char *method, const char *version,
                                 const char *data, size_t *size, void **state);
static void
on_store_connection (void *user, struct MHD_Connection *connection, void **context,
                     enum MHD_ConnectionNotificationCode code);
static enum MHD_Result
on_server (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state);
static void on_completed (void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode code);

/* Starts a daemon at a port, or at a free one if *port is 0, which it then sets. notify
   may be NULL. */
static struct MHD_Daemon *
start_daemon (MHD_AccessHandlerCallback handler, MHD_NotifyConnectionCallback notify,
              void *user, int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)*port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC, 0,
      NULL, NULL, handler, user, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, user, MHD_OPTION_NOTIFY_CONNECTION,
      notify, user, MHD_OPTION_END);

  if (daemon == NULL)
    abort ();
  *port = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return daemon;
}

/* Starts the store and the given number of servers. All servers are ready, offer service
   "s" and have version 1 of the weights of model "m". */
struct fake_platform *
fake_platform_start (unsigned servers)
{
  static const char *const names[TOPICS] = { "keyed.op",
                                             "keyed.servers",
                                             "kingcuppoint.orders",
                                             "keyed.kingcuppoint.vms",
                                             "keyed.kingcuppoint.blocked",
                                             "keyed.kingcuppoint.software",
                                             "kingcuppoint.streams" };
  struct fake_platform *platform = g_new0 (struct fake_platform, 1);
  int port = 0;

  pthread_mutex_init (&platform->lock, NULL);
  platform->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  platform->crash_times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  platform->crash_arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
  platform->crash_threads = g_ptr_array_new ();
  for (unsigned i = 0; i < TOPICS; i++)
    platform->topics[i] = (struct topic){ .name = names[i],
                                          .keyed = g_str_has_prefix (names[i], "keyed."),
                                          .records = g_ptr_array_new () };
  platform->daemon = start_daemon (on_store, on_store_connection, platform, &port);
  platform->server_count = servers;
  for (unsigned i = 0; i < servers; i++)
    {
      struct fake_server *server = &platform->servers[i];

      server->platform = platform;
      (void)g_snprintf (server->id, sizeof server->id, "i-%u", i);
      server->version = 1;
      server->headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      server->body = g_string_new (NULL);
      server->arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
      server->daemon = start_daemon (on_server, NULL, server, &server->port);
      fake_platform_put_server (platform, i, "ready");
    }
  return platform;
}

/* Stops the servers and the store and frees the platform. */
void
fake_platform_stop (struct fake_platform *platform)
{
  platform->stopping = true;
  for (guint i = 0; i < platform->crash_threads->len; i++)
    g_thread_join (g_ptr_array_index (platform->crash_threads, i));
  g_ptr_array_unref (platform->crash_threads);
  g_array_unref (platform->crash_times);
  g_array_unref (platform->crash_arrivals);
  g_free (platform->crash_text);
  g_free (platform->crash_part);
  for (unsigned i = 0; i < platform->server_count; i++)
    {
      MHD_stop_daemon (platform->servers[i].daemon);
      g_hash_table_unref (platform->servers[i].headers);
      g_string_free (platform->servers[i].body, TRUE);
      g_array_unref (platform->servers[i].arrivals);
    }
  MHD_stop_daemon (platform->daemon);
  for (unsigned i = 0; i < TOPICS; i++)
    {
      for (guint j = 0; j < platform->topics[i].records->len; j++)
        {
          struct record *record = g_ptr_array_index (platform->topics[i].records, j);

          g_free (record->key);
          g_free (record->value);
          g_free (record);
        }
      g_ptr_array_unref (platform->topics[i].records);
    }
  g_hash_table_unref (platform->runs);
  pthread_mutex_destroy (&platform->lock);
  g_free (platform);
}

/* Returns the store's port. */
int
fake_platform_port (const struct fake_platform *platform)
{
  return MHD_get_daemon_info (platform->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

/* Returns a server, whose members the test may read and set. */
struct fake_server *
fake_platform_server (struct fake_platform *platform, unsigned index)
{
  return &platform->servers[index];
}

/* Makes the store answer every call with 503, or serve calls again. */
void
fake_platform_set_down (struct fake_platform *platform, bool down)
{
  platform->down = down;
}

/* Makes the store unresponsive, or responsive again. Calls that are in progress when it
   becomes unresponsive and calls that arrive while it is unresponsive are never answered,
   not even after it is responsive again. */
void
fake_platform_set_unresponsive (struct fake_platform *platform, bool unresponsive)
{
  platform->unresponsive = unresponsive;
}

/* Returns the number of connections that the store has accepted so far. */
int
fake_platform_connection_count (const struct fake_platform *platform)
{
  return g_atomic_int_get (&platform->connections);
}

/* Makes the connections to the store that are open now silent: calls that are in progress
   or arrive on them are neither carried out nor answered, and no connection is closed.
   New connections work. */
void
fake_platform_silence_connections (struct fake_platform *platform)
{
  g_atomic_int_inc (&platform->silenced);
}

static void
add_record (struct fake_platform *platform, unsigned topic, const char *key,
            const char *value)
{
  struct record *record = g_new0 (struct record, 1);

  record->key = g_strdup (key);
  record->value = g_strdup (value);
  pthread_mutex_lock (&platform->lock);
  g_ptr_array_add (platform->topics[topic].records, record);
  pthread_mutex_unlock (&platform->lock);
}

/* Appends a record of the operators to the topic keyed.op. */
void
fake_platform_put_record (struct fake_platform *platform, const char *key,
                          const char *value)
{
  add_record (platform, 0, key, value);
}

/* Appends the lease record of a VM with that name to the topic of orders. */
void
fake_platform_put_lease_record (struct fake_platform *platform, const char *holder)
{
  g_autofree char *text = g_strdup_printf ("{\"holder\":\"%s\"}", holder);

  add_record (platform, 2, NULL, text);
}

/* Appends an entry with any value to the servers' list; an empty value removes the
   id. */
void
fake_platform_put_server_entry (struct fake_platform *platform, const char *id,
                                const char *value)
{
  add_record (platform, 1, id, value);
}

/* Appends a server's entry with the given state to the servers' list. */
void
fake_platform_put_server (struct fake_platform *platform, unsigned index,
                          const char *state)
{
  const struct fake_server *server = &platform->servers[index];
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"%s\","
      "\"slots\":8,\"state\":\"%s\",\"seq-no\":17,\"born\":%u,"
      "\"models\":[{\"name\":\"m\",\"version\":%" G_GINT64_FORMAT "}]}",
      server->advertised_port != 0 ? server->advertised_port : server->port,
      server->software != NULL ? server->software : "v1", state,
      1000 + index + server->starts * BORN_STEP, server->version);

  fake_platform_put_server_entry (platform, server->id, text);
}

/* Ends a server's process: closes its port and connections, and starts another
   incarnation after the platform's crash_down_ms. */
static void *
crash_server (void *user)
{
  struct fake_server *server = user;
  struct fake_platform *platform = server->platform;
  unsigned index = (unsigned)(server - platform->servers);
  unsigned down_ms = platform->crash_down_ms;

  if (platform->crash_error != FAKE_CRASH_NO_ERROR)
    g_usleep (CRASH_DELAY_MS * G_TIME_SPAN_MILLISECOND);
  (void)close (MHD_quiesce_daemon (server->daemon));
  MHD_stop_daemon (server->daemon);
  for (unsigned waited = 0; waited < down_ms && !platform->stopping; waited += POLL_MS)
    g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
  fake_platform_put_server_entry (platform, server->id, "");
  server->starts++;
  (void)g_snprintf (server->id, sizeof server->id, "i-%u.%u", index, server->starts);
  server->daemon = start_daemon (on_server, NULL, server, &server->port);
  server->crashing = false;
  fake_platform_put_server (platform, index, "ready");
  return NULL;
}

/* Begins to crash a server unless it is crashing already. Returns false then. */
static bool
begin_crash (struct fake_server *server)
{
  struct fake_platform *platform = server->platform;
  bool begins;

  pthread_mutex_lock (&platform->lock);
  begins = !server->crashing && !platform->stopping;
  server->crashing = true;
  if (begins)
    g_ptr_array_add (platform->crash_threads,
                     g_thread_new ("crash", crash_server, server));
  pthread_mutex_unlock (&platform->lock);
  return begins;
}

/* Makes each request whose body contains text crash the server that runs it. The server
   is back after down_ms, as a new incarnation at the same address. */
void
fake_platform_crash_on (struct fake_platform *platform, const char *text,
                        unsigned down_ms)
{
  platform->crash_text = g_strdup (text);
  platform->crash_down_ms = down_ms;
}

/* Makes each request whose Prompt-Prefix header contains text crash the server that runs
   it, once it has sent what progress says. */
void
fake_platform_crash_on_part (struct fake_platform *platform, const char *text,
                             unsigned down_ms, enum fake_crash_progress progress)
{
  platform->crash_part = g_strdup (text);
  platform->crash_progress = progress;
  platform->crash_down_ms = down_ms;
}

/* Has every nth of the requests set with fake_platform_crash_on() answered with a status,
   before it is run, in place of crashing the server. */
void
fake_platform_answer_every (struct fake_platform *platform, unsigned nth, unsigned status)
{
  platform->crash_answer_status = status;
  platform->crash_answered_every = nth;
}

/* Has servers answer each request set with fake_platform_crash_on() with an error just
   before they crash on it. */
void
fake_platform_crash_with_error (struct fake_platform *platform,
                                enum fake_crash_error error)
{
  platform->crash_error = error;
}

/* Crashes a server without the help of a request. */
void
fake_platform_crash_server (struct fake_platform *platform, unsigned index)
{
  (void)begin_crash (&platform->servers[index]);
}

/* Returns the number of crashes by requests. */
unsigned
fake_platform_crash_count (struct fake_platform *platform)
{
  unsigned count;

  pthread_mutex_lock (&platform->lock);
  count = platform->crash_times->len;
  pthread_mutex_unlock (&platform->lock);
  return count;
}

/* Returns the monotonic time of a crash by a request, counted from 0, in microseconds. */
int64_t
fake_platform_crash_us (struct fake_platform *platform, unsigned number)
{
  int64_t time_us;

  pthread_mutex_lock (&platform->lock);
  time_us = g_array_index (platform->crash_times, int64_t, number);
  pthread_mutex_unlock (&platform->lock);
  return time_us;
}

/* Returns how many requests that crash servers reached servers after time_us, a monotonic
   time in microseconds. */
unsigned
fake_platform_sent_after (struct fake_platform *platform, int64_t time_us)
{
  unsigned count = 0;

  pthread_mutex_lock (&platform->lock);
  for (guint i = 0; i < platform->crash_arrivals->len; i++)
    count += g_array_index (platform->crash_arrivals, int64_t, i) > time_us;
  pthread_mutex_unlock (&platform->lock);
  return count;
}

/* Counts a request that crashes servers. Returns how many there have been. */
static unsigned
add_arrival (struct fake_platform *platform)
{
  int64_t now_us = g_get_monotonic_time ();
  unsigned count;

  pthread_mutex_lock (&platform->lock);
  g_array_append_val (platform->crash_arrivals, now_us);
  count = platform->crash_arrivals->len;
  pthread_mutex_unlock (&platform->lock);
  return count;
}

/* Crashes a server by a request. */
static void
crash_by_request (struct fake_server *server)
{
  struct fake_platform *platform = server->platform;
  int64_t now_us = g_get_monotonic_time ();

  if (!begin_crash (server))
    return;
  pthread_mutex_lock (&platform->lock);
  g_array_append_val (platform->crash_times, now_us);
  pthread_mutex_unlock (&platform->lock);
}

static bool
is_crash_body (const struct fake_platform *platform, const GString *body)
{
  return platform->crash_text != NULL && strstr (body->str, platform->crash_text) != NULL;
}

static bool
has_crash_part (const struct fake_platform *platform, struct MHD_Connection *connection)
{
  const char *parts
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Prompt-Prefix");

  return platform->crash_part != NULL && parts != NULL
         && strstr (parts, platform->crash_part) != NULL;
}

static struct topic *
find_topic (struct fake_platform *platform, const char *name)
{
  for (unsigned i = 0; i < TOPICS; i++)
    if (strcmp (platform->topics[i].name, name) == 0)
      return &platform->topics[i];
  return NULL;
}

/* Appends a record to a topic, as another writer would. key is NULL in a topic without
   keys. */
void
fake_platform_put_in_topic (struct fake_platform *platform, const char *topic,
                            const char *key, const char *value)
{
  add_record (platform, (unsigned)(find_topic (platform, topic) - platform->topics), key,
              value);
}

/* Makes the store come back from a copy that lacks the newest records of a topic. Their
   offsets are given out again. */
void
fake_platform_lose_records (struct fake_platform *platform, const char *topic,
                            unsigned count)
{
  GPtrArray *records;

  pthread_mutex_lock (&platform->lock);
  platform->era++;
  records = find_topic (platform, topic)->records;
  for (; count > 0; count--)
    {
      struct record *record = g_ptr_array_steal_index (records, records->len - 1);

      g_free (record->key);
      g_free (record->value);
      g_free (record);
    }
  pthread_mutex_unlock (&platform->lock);
}

/* Returns the offset after the newest record of a topic. */
unsigned
fake_platform_end_offset (struct fake_platform *platform, const char *topic)
{
  unsigned end;

  pthread_mutex_lock (&platform->lock);
  end = find_topic (platform, topic)->records->len;
  pthread_mutex_unlock (&platform->lock);
  return end;
}

/* Returns the number of reads of a topic. */
unsigned
fake_platform_read_count (struct fake_platform *platform, const char *topic)
{
  unsigned reads;

  pthread_mutex_lock (&platform->lock);
  reads = find_topic (platform, topic)->reads;
  pthread_mutex_unlock (&platform->lock);
  return reads;
}

/* Returns how many times the servers together executed a request with this id. */
unsigned
fake_platform_run_count (struct fake_platform *platform, const char *id)
{
  unsigned runs;

  pthread_mutex_lock (&platform->lock);
  runs = GPOINTER_TO_UINT (g_hash_table_lookup (platform->runs, id));
  pthread_mutex_unlock (&platform->lock);
  return runs;
}

/* Returns a header of the last request that the server executed, to be freed with
   g_free(), or NULL. */
char *
fake_server_header (struct fake_server *server, const char *name)
{
  g_autofree char *lower = g_ascii_strdown (name, -1);
  char *value;

  pthread_mutex_lock (&server->platform->lock);
  value = g_strdup (g_hash_table_lookup (server->headers, lower));
  pthread_mutex_unlock (&server->platform->lock);
  return value;
}

/* As send_answer(), for an answer to a request, which names the server's limit. */
static enum MHD_Result
send_run_answer (const struct fake_server *server, struct MHD_Connection *connection,
                 unsigned status, const char *text, const char *const *headers)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  for (; headers[0] != NULL; headers += 2)
    MHD_add_response_header (response, headers[0], headers[1]);
  add_limit (server, response);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
add_limit (const struct fake_server *server, struct MHD_Response *response)
{
  if (server->limit != NULL)
    MHD_add_response_header (response, "Server-Limit", server->limit);
}

static enum MHD_Result
send_answer (struct MHD_Connection *connection, unsigned status, const void *data,
             size_t len, const char *const *headers)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (len, (void *)data, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  for (; headers != NULL && headers[0] != NULL; headers += 2)
    MHD_add_response_header (response, headers[0], headers[1]);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Sends an answer of the store, which names its era. */
static enum MHD_Result
send_store_answer (struct fake_platform *platform, struct MHD_Connection *connection,
                   unsigned status, const void *data, size_t len)
{
  g_autofree char *era = g_strdup_printf ("%u", platform->era);
  const char *headers[] = { "Store-Era", era, NULL };

  return send_answer (connection, status, data, len, headers);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct inbound *inbound = *state;

  (void)user;
  (void)connection;
  (void)code;
  if (inbound == NULL)
    return;
  g_string_free (inbound->body, TRUE);
  g_free (inbound);
  *state = NULL;
}

/* Receives the body of a request. Returns true once it is complete. */
static bool
receive_body (void **state, const char *data, size_t *size)
{
  struct inbound *inbound = *state;

  if (inbound == NULL)
    {
      inbound = g_new0 (struct inbound, 1);
      inbound->body = g_string_new (NULL);
      *state = inbound;
      return false;
    }
  if (*size == 0)
    return true;
  g_string_append_len (inbound->body, data, (gssize)*size);
  *size = 0;
  return false;
}

static const char *
query_argument (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
}

static void
append_number (GString *out, uint64_t value, int bytes)
{
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    g_string_append_c (out, (char)(value >> shift));
}

static void
append_record (GString *out, const struct topic *topic, const struct record *record)
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

static struct topic *
requested_topic (struct fake_platform *platform, struct MHD_Connection *connection)
{
  const char *name = query_argument (connection, "topic");

  return name != NULL ? find_topic (platform, name) : NULL;
}

static void
on_store_connection (void *user, struct MHD_Connection *connection, void **context,
                     enum MHD_ConnectionNotificationCode code)
{
  struct fake_platform *platform = user;

  (void)connection;
  if (code != MHD_CONNECTION_NOTIFY_STARTED)
    return;
  *context = GINT_TO_POINTER (g_atomic_int_get (&platform->silenced));
  g_atomic_int_inc (&platform->connections);
}

/* Returns true if the connection was open when the store's connections were silenced. */
static bool
is_silent (const struct fake_platform *platform, struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return GPOINTER_TO_INT (info->socket_context) != g_atomic_int_get (&platform->silenced);
}

/* Blocks a call for longer than any caller waits and then closes its connection. */
static enum MHD_Result
block_call (const struct fake_platform *platform)
{
  for (int waited = 0; waited < BLOCK_MS && !platform->stopping; waited += POLL_MS)
    g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
  return MHD_NO;
}

static enum MHD_Result
store_list (struct fake_platform *platform, struct MHD_Connection *connection,
            const struct topic *topic)
{
  json_t *newest = json_object ();
  json_t *items = json_array ();
  const char *key;
  json_t *item;
  char *text;
  enum MHD_Result result;

  pthread_mutex_lock (&platform->lock);
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
  pthread_mutex_unlock (&platform->lock);
  text = json_dumps (item, JSON_COMPACT);
  result = send_store_answer (platform, connection, 200, text, strlen (text));
  free (text);
  json_decref (item);
  json_decref (newest);
  return result;
}

static enum MHD_Result
store_read (struct fake_platform *platform, struct MHD_Connection *connection,
            struct topic *topic)
{
  const char *wait = query_argument (connection, "wait-ms");
  int64_t remaining_ms = wait != NULL ? g_ascii_strtoll (wait, NULL, 10) : 0;
  guint from = (guint)g_ascii_strtoll (query_argument (connection, "from"), NULL, 10);
  g_autoptr (GString) out = g_string_new (NULL);
  static const char none_lost[] = "{\"first\":0}";

  while (topic->records->len <= from && remaining_ms > 0 && !platform->stopping)
    {
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
      remaining_ms -= POLL_MS;
      if (platform->unresponsive || is_silent (platform, connection))
        return block_call (platform);
      if (platform->down)
        return send_store_answer (platform, connection, 503, "", 0);
    }
  if (from > topic->records->len)
    return send_store_answer (platform, connection, 410, none_lost, strlen (none_lost));
  pthread_mutex_lock (&platform->lock);
  topic->reads++;
  append_number (out, topic->records->len, 8);
  append_number (out, 0, 8);
  for (guint i = from; i < topic->records->len; i++)
    append_record (out, topic, g_ptr_array_index (topic->records, i));
  pthread_mutex_unlock (&platform->lock);
  return send_store_answer (platform, connection, 200, out->str, out->len);
}

static enum MHD_Result
store_append (struct fake_platform *platform, struct MHD_Connection *connection,
              struct topic *topic, const GString *body)
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
  pthread_mutex_lock (&platform->lock);
  end = topic->records->len;
  conflict = at != NULL && g_ascii_strtoll (at, NULL, 10) != end;
  if (!conflict)
    g_ptr_array_add (topic->records, record);
  pthread_mutex_unlock (&platform->lock);
  if (conflict)
    {
      g_free (record->key);
      g_free (record->value);
      g_free (record);
    }
  text = conflict ? g_strdup_printf ("{\"end\":%u}", end)
                  : g_strdup_printf ("{\"offset\":%u,\"end\":%u}", end, end + 1);
  return send_store_answer (platform, connection, conflict ? 412 : 200, text,
                            strlen (text));
}

static enum MHD_Result
on_store (void *user, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data, size_t *size,
          void **state)
{
  struct fake_platform *platform = user;
  struct topic *topic = requested_topic (platform, connection);

  (void)method;
  (void)version;
  if (!receive_body (state, data, size))
    return MHD_YES;
  if (is_silent (platform, connection))
    return block_call (platform);
  if (platform->down || topic == NULL)
    return send_store_answer (platform, connection, 503, "", 0);
  if (platform->unresponsive)
    return block_call (platform);
  if (g_str_has_suffix (url, "/log-newest"))
    return store_list (platform, connection, topic);
  if (g_str_has_suffix (url, "/log-read"))
    return store_read (platform, connection, topic);
  if (g_str_has_suffix (url, "/log-append"))
    return store_append (platform, connection, topic, ((struct inbound *)*state)->body);
  return send_store_answer (platform, connection, 404, "", 0);
}

static enum MHD_Result
record_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value)
{
  struct fake_server *server = user;

  (void)kind;
  g_hash_table_insert (server->headers, g_ascii_strdown (key, -1), g_strdup (value));
  return MHD_YES;
}

static enum MHD_Result
server_report (struct fake_server *server, struct MHD_Connection *connection)
{
  g_autofree char *text = g_strdup_printf (
      "{\"models\":[{\"name\":\"m\",\"version\":%" G_GINT64_FORMAT "}],\"busy\":false,"
      "\"seq-no\":%" G_GINT64_FORMAT ",\"queued\":0,\"active\":0}",
      server->version, server->orders_taken);

  return send_answer (connection, 200, text, strlen (text), NULL);
}

static enum MHD_Result
server_order (struct fake_server *server, struct MHD_Connection *connection,
              const GString *body)
{
  json_t *json = json_loads (body->str, 0, NULL);
  json_t *expected = json_object_get (json, "expected");
  int64_t fence = json_integer_value (json_object_get (json, "fence"));
  unsigned status = 202;

  pthread_mutex_lock (&server->platform->lock);
  server->lower_fences += fence < server->fence;
  server->fence = MAX (server->fence, fence);
  if (json_is_integer (expected) && json_integer_value (expected) != server->orders_taken)
    {
      status = 409;
      server->order_conflicts++;
    }
  else if (!server->ignores_orders)
    {
      server->orders_taken++;
      server->version = json_integer_value (json_object_get (json, "version"));
    }
  pthread_mutex_unlock (&server->platform->lock);
  json_decref (json);
  return send_answer (connection, status, "", 0, NULL);
}

/* Returns true if the last count bytes that were sent have the end of an event. */
static bool
ends_event (const struct stream *stream, size_t count)
{
  const char *text = stream->text->str;

  for (size_t i = stream->sent - count; i < stream->sent; i++)
    if (i > 0 && text[i] == '\n' && text[i - 1] == '\n')
      return true;
  return false;
}

static ssize_t
read_stream (void *user, uint64_t position, char *out, size_t max)
{
  struct stream *stream = user;
  size_t remaining = stream->text->len - stream->sent;
  size_t count = MIN (MIN (remaining, max), 12u);

  (void)position;
  if (remaining == 0)
    return stream->interrupted ? MHD_CONTENT_READER_END_WITH_ERROR
                               : MHD_CONTENT_READER_END_OF_STREAM;
  memcpy (out, stream->text->str + stream->sent, count);
  stream->sent += count;
  if (ends_event (stream, count))
    g_usleep (stream->server->event_gap_ms * G_TIME_SPAN_MILLISECOND);
  g_usleep (G_TIME_SPAN_MILLISECOND);
  return (ssize_t)count;
}

static void
stream_free (void *user)
{
  struct stream *stream = user;

  g_string_free (stream->text, TRUE);
  g_free (stream);
}

static enum MHD_Result
server_stream (struct fake_server *server, struct MHD_Connection *connection,
               const char *id, enum fake_mode mode)
{
  const char *after
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Last-Event-Id");
  struct stream *stream = g_new0 (struct stream, 1);
  int first = after != NULL ? atoi (after) + 1 : 1;
  struct MHD_Response *response;
  enum MHD_Result result;

  stream->server = server;
  stream->text = g_string_new (NULL);
  stream->interrupted = mode == FAKE_INTERRUPT;
  for (int i = first; i <= FAKE_STREAM_EVENTS; i++)
    g_string_append_printf (stream->text, "id: %d\ndata: piece %d%s%s\n\n", i, i,
                            server->software != NULL ? " of " : "",
                            server->software != NULL ? server->software : "");
  if (stream->interrupted)
    g_string_truncate (stream->text, 50);
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 64, read_stream, stream,
                                                stream_free);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  MHD_add_response_header (response, "Request-Id", id);
  MHD_add_response_header (response, "Server-Seal", server->id);
  add_limit (server, response);
  result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

static ssize_t
read_truncated (void *user, uint64_t position, char *out, size_t max)
{
  (void)user;
  if (position > 0 || max == 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  out[0] = 'x';
  return 1;
}

static enum MHD_Result
server_truncated (struct fake_server *server, struct MHD_Connection *connection,
                  const char *id)
{
  struct MHD_Response *response
      = MHD_create_response_from_callback (100, 64, read_truncated, NULL, NULL);
  enum MHD_Result result;

  MHD_add_response_header (response, "Request-Id", id);
  MHD_add_response_header (response, "Server-Seal", server->id);
  result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

/* Sends what comes before the crash, and then crashes the server. */
static ssize_t
read_crashing (void *user, uint64_t position, char *out, size_t max)
{
  const struct kcp_str event = KCP_STR ("id: 1\ndata: a\n\n");
  struct fake_server *server = user;

  if (position == 0 && server->platform->crash_progress >= FAKE_CRASH_AFTER_EVENT
      && max >= event.len)
    {
      memcpy (out, event.data, event.len);
      return (ssize_t)event.len;
    }
  g_usleep (CRASH_DELAY_MS * G_TIME_SPAN_MILLISECOND);
  crash_by_request (server);
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Begins to answer a request that holds a part on which the server crashes. */
static enum MHD_Result
server_crashing (struct fake_server *server, struct MHD_Connection *connection,
                 const char *id)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)add_arrival (server->platform);
  if (server->platform->crash_progress == FAKE_CRASH_AT_ONCE)
    {
      crash_by_request (server);
      return MHD_NO;
    }
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 64, read_crashing,
                                                server, NULL);
  if (server->platform->crash_progress == FAKE_CRASH_AFTER_UNFRAMED_EVENT)
    MHD_set_response_options (response, MHD_RF_HTTP_VERSION_1_0_RESPONSE, MHD_RO_END);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  MHD_add_response_header (response, "Request-Id", id);
  MHD_add_response_header (response, "Server-Seal", server->id);
  result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

static void
record_arrival (struct fake_server *server)
{
  int64_t now_us = g_get_monotonic_time ();

  pthread_mutex_lock (&server->platform->lock);
  g_array_append_val (server->arrivals, now_us);
  pthread_mutex_unlock (&server->platform->lock);
}

/* Returns how many requests reached the server from a monotonic time in microseconds on.
 */
unsigned
fake_server_count_arrivals (struct fake_server *server, int64_t from_us)
{
  unsigned count = 0;

  pthread_mutex_lock (&server->platform->lock);
  for (guint i = 0; i < server->arrivals->len; i++)
    count += g_array_index (server->arrivals, int64_t, i) >= from_us;
  pthread_mutex_unlock (&server->platform->lock);
  return count;
}

/* Returns the greatest number of requests that reached the server within window_us, from
   a monotonic time in microseconds on. */
unsigned
fake_server_peak_arrivals (struct fake_server *server, int64_t from_us, int64_t window_us)
{
  unsigned peak = 0;
  guint first = 0;

  pthread_mutex_lock (&server->platform->lock);
  for (guint i = 0; i < server->arrivals->len; i++)
    {
      int64_t arrival_us = g_array_index (server->arrivals, int64_t, i);

      while (g_array_index (server->arrivals, int64_t, first)
             < MAX (from_us, arrival_us - window_us))
        if (++first > i)
          break;
      if (first <= i)
        peak = MAX (peak, i - first + 1);
    }
  pthread_mutex_unlock (&server->platform->lock);
  return peak;
}

/* Crashes the server on a request, or answers it without running it. */
static enum MHD_Result
server_crash_or_answer (struct fake_server *server, struct MHD_Connection *connection,
                        const char *const *headers)
{
  const struct fake_platform *platform = server->platform;
  unsigned number = add_arrival (server->platform);
  const char *unsigned_headers[] = { headers[0], headers[1], NULL };

  if (platform->crash_answered_every > 0 && number % platform->crash_answered_every == 0)
    return send_answer (connection, platform->crash_answer_status, "", 0, headers);
  crash_by_request (server);
  switch (platform->crash_error)
    {
    case FAKE_CRASH_ERROR:
      return send_answer (connection, 500, "", 0, headers);
    case FAKE_CRASH_ERROR_WITHOUT_ID:
      return send_answer (connection, 500, "", 0, NULL);
    case FAKE_CRASH_UNSIGNED:
      return send_answer (connection, 200, "", 0, unsigned_headers);
    case FAKE_CRASH_NO_ERROR:
      break;
    }
  return MHD_NO;
}

static enum MHD_Result
server_run (struct fake_server *server, struct MHD_Connection *connection,
            const char *url, const GString *body)
{
  const char *id
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Request-Id");
  const char *wanted
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Expect-Instance");
  enum fake_mode mode = server->mode;
  const char *refusal_headers[] = { "Request-Id", id, "Not-Executed", "1", NULL };
  const char *headers[]
      = { "Request-Id",  mode == FAKE_WRONG_ID ? "another" : id,    "X-Extra", "kept",
          "Server-Seal", mode == FAKE_UNSIGNED ? NULL : server->id, NULL };
  g_autofree char *text = g_strdup_printf ("%s ran %s for %s", server->id, url,
                                           mode == FAKE_WRONG_ID ? "another" : id);

  if (id == NULL)
    return send_answer (connection, 400, "", 0, NULL);
  if (wanted != NULL && strcmp (wanted, server->id) != 0)
    return send_answer (connection, 421, "", 0, NULL);
  record_arrival (server);
  if (server->crashing)
    return MHD_NO;
  if (is_crash_body (server->platform, body))
    return server_crash_or_answer (server, connection, headers);
  if (has_crash_part (server->platform, connection))
    return server_crashing (server, connection, id);
  if (mode == FAKE_UNSIGNED)
    headers[4] = NULL;
  if (mode == FAKE_REFUSE)
    return send_run_answer (server, connection, 503, "", refusal_headers);
  pthread_mutex_lock (&server->platform->lock);
  server->runs++;
  g_hash_table_replace (
      server->platform->runs, g_strdup (id),
      GUINT_TO_POINTER (
          GPOINTER_TO_UINT (g_hash_table_lookup (server->platform->runs, id)) + 1));
  g_hash_table_remove_all (server->headers);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, record_header, server);
  g_string_assign (server->body, body->str);
  pthread_mutex_unlock (&server->platform->lock);
  if (mode == FAKE_SLOW)
    g_usleep (SLOW_MS * G_TIME_SPAN_MILLISECOND);
  if (mode == FAKE_HANG_UP)
    return MHD_NO;
  if (mode == FAKE_TRUNCATE)
    return server_truncated (server, connection, id);
  if (server->fails_every > 0 && server->runs % server->fails_every == 0)
    return send_answer (connection, 500, text, strlen (text), headers);
  if (mode == FAKE_FAIL)
    return send_run_answer (server, connection, 500, text, headers);
  if (g_str_has_prefix (url, "/stream/"))
    return server_stream (server, connection, id, mode);
  return send_run_answer (server, connection, 200, text, headers);
}

static enum MHD_Result
on_server (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data, size_t *size,
           void **state)
{
  struct fake_server *server = user;
  const GString *body;

  (void)method;
  (void)version;
  if (!receive_body (state, data, size))
    return MHD_YES;
  body = ((struct inbound *)*state)->body;
  if (g_str_has_suffix (url, "/report"))
    return server_report (server, connection);
  if (g_str_has_suffix (url, "/order"))
    return server_order (server, connection, body);
  if (g_str_has_suffix (url, "/kv-events"))
    {
      const char *none = "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";

      if (server->counts_calls)
        record_arrival (server);
      g_usleep (200 * G_TIME_SPAN_MILLISECOND);
      return send_answer (connection, 200, none, strlen (none), NULL);
    }
  return server_run (server, connection, url, body);
}
