#include "review/standin-3/plat.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORT_FIRST 12000
#define PORT_END   32000
#define MS         1000 /* in microseconds */
#define READ_MAX   65536

struct listener
{
  int port;
  int fd;
  plat_handler *handler;
  void *user;
};

struct record
{
  char *key; /* NULL: the topic is not keyed */
  char *value;
  gsize len;
};

struct topic
{
  GPtrArray *records; /* struct record, by offset */
  GTree *newest;      /* key -> offset */
};

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t begin_ms;
static GPtrArray *vms;
static GPtrArray *engines;
static GArray *listeners;
static pthread_mutex_t listeners_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t engines_lock = PTHREAD_MUTEX_INITIALIZER;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t grown;
  GHashTable *topics;
  unsigned page_size;
  plat_store_watch *watch;
  void *watch_user;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .grown = PTHREAD_COND_INITIALIZER };

/* --- time and record --- */

int64_t
plat_now_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
plat_sleep_until (int64_t at_ms)
{
  int64_t left = at_ms - plat_now_ms ();

  if (left > 0)
    g_usleep ((gulong)left * MS);
}

void
plat_record_open (const char *path)
{
  (void)signal (SIGPIPE, SIG_IGN);
  record_file = fopen (path, "w");
  begin_ms = plat_now_ms ();
  if (record_file == NULL)
    exit (2);
}

/* Writes a line with the milliseconds since the start. */
void
plat_record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8.3f  ", (double)(plat_now_ms () - begin_ms) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

/* Returns false if the case is to run without its disruption: TROUBLE=0. */
bool
plat_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

/* Ends all VMs and the program. */
void
plat_end (int code)
{
  for (guint i = 0; vms != NULL && i < vms->len; i++)
    plat_vm_kill (g_ptr_array_index (vms, i), SIGKILL);
  if (record_file != NULL)
    plat_record ("ends with %d: %s", code,
                 code == 0   ? "the rule held"
                 : code == 1 ? "the rule was broken"
                             : "could not run");
  _exit (code);
}

/* --- HTTP --- */

static bool
is_free (int port, int type)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  bool bound = bind (fd, (struct sockaddr *)&at, sizeof at) == 0;

  close (fd);
  return bound;
}

/* Returns a port that is free for streams and datagrams, as a VM uses one port for both
 * with the other VMs. A port is returned once only, since the VMs listen on theirs later.
 */
int
plat_free_port (void)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  static bool taken[PORT_END];

  for (int i = 0; i < 1000; i++)
    {
      int port = g_random_int_range (PORT_FIRST, PORT_END);

      pthread_mutex_lock (&lock);
      bool again = taken[port];
      taken[port] = true;
      pthread_mutex_unlock (&lock);
      if (!again && is_free (port, SOCK_STREAM) && is_free (port, SOCK_DGRAM))
        return port;
    }
  plat_end (2);
}

static bool
receive_more (struct plat_conn *conn)
{
  char bytes[READ_MAX];
  ssize_t len = recv (conn->fd, bytes, sizeof bytes, 0);

  if (len <= 0)
    return false;
  g_string_append_len (conn->in, bytes, len);
  return true;
}

static void
parse_headers (char **lines, GHashTable *headers)
{
  for (char **line = lines; *line != NULL; line++)
    {
      char *colon = strchr (*line, ':');

      if (colon == NULL)
        continue;
      *colon = '\0';
      g_hash_table_insert (headers, g_ascii_strdown (*line, -1),
                           g_strdup (g_strstrip (colon + 1)));
    }
}

static void
request_free (struct plat_request *request)
{
  g_free (request->method);
  g_free (request->target);
  g_hash_table_unref (request->headers);
  g_string_free (request->body, TRUE);
  g_free (request);
}

/* Reads a request with a length or without a body, as the router sends them. */
static struct plat_request *
read_request (struct plat_conn *conn)
{
  struct plat_request *request;
  char *end;
  gsize head;
  gsize length = 0;
  const char *text;
  g_auto (GStrv) lines = NULL;
  g_auto (GStrv) first = NULL;

  while ((end = strstr (conn->in->str, "\r\n\r\n")) == NULL)
    if (!receive_more (conn))
      return NULL;
  head = (gsize)(end - conn->in->str) + 4;
  *end = '\0';
  lines = g_strsplit (conn->in->str, "\r\n", -1);
  first = g_strsplit (lines[0], " ", 3);
  if (g_strv_length (first) < 3)
    return NULL;
  request = g_new0 (struct plat_request, 1);
  request->method = g_strdup (first[0]);
  request->target = g_strdup (first[1]);
  request->headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  request->body = g_string_new (NULL);
  parse_headers (lines + 1, request->headers);
  g_string_erase (conn->in, 0, (gssize)head);
  text = plat_header (request, "content-length");
  if (text != NULL)
    length = (gsize)g_ascii_strtoull (text, NULL, 10);
  while (conn->in->len < length)
    if (!receive_more (conn))
      {
        request_free (request);
        return NULL;
      }
  g_string_append_len (request->body, conn->in->str, (gssize)length);
  g_string_erase (conn->in, 0, (gssize)length);
  return request;
}

struct accepted
{
  struct plat_conn conn;
  plat_handler *handler;
  void *user;
};

static void *
serve (void *user)
{
  struct accepted *accepted = user;
  struct plat_request *request;
  bool go_on = true;

  while (go_on && (request = read_request (&accepted->conn)) != NULL)
    {
      go_on = accepted->handler (&accepted->conn, request, accepted->user);
      request_free (request);
    }
  close (accepted->conn.fd);
  g_string_free (accepted->conn.in, TRUE);
  g_free (accepted);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *user)
{
  pthread_t thread;
  pthread_attr_t attr;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 512 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, user) != 0)
    plat_end (2);
}

static void *
accept_all (void *user)
{
  struct listener *listener = user;
  int fd;

  while ((fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct accepted *accepted = g_new0 (struct accepted, 1);

      accepted->conn.fd = fd;
      accepted->conn.in = g_string_new (NULL);
      accepted->handler = listener->handler;
      accepted->user = listener->user;
      start_thread (serve, accepted);
    }
  return NULL;
}

/* Serves HTTP on a new port, which is returned. */
int
plat_listen (plat_handler *handler, void *user)
{
  struct listener *listener = g_new0 (struct listener, 1);
  int on = 1;

  listener->handler = handler;
  listener->user = user;
  for (int i = 0; i < 100 && listener->port == 0; i++)
    {
      struct sockaddr_in at
          = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      int port = plat_free_port ();

      at.sin_port = htons ((uint16_t)port);
      listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      if (bind (listener->fd, (struct sockaddr *)&at, sizeof at) == 0
          && listen (listener->fd, 511) == 0)
        listener->port = port;
      else
        close (listener->fd);
    }
  if (listener->port == 0)
    plat_end (2);
  pthread_mutex_lock (&listeners_lock);
  if (listeners == NULL)
    listeners = g_array_new (FALSE, FALSE, sizeof (struct listener *));
  g_array_append_val (listeners, listener);
  pthread_mutex_unlock (&listeners_lock);
  start_thread (accept_all, listener);
  return listener->port;
}

/* Accepts no more connections on the port. */
void
plat_stop_listening (int port)
{
  pthread_mutex_lock (&listeners_lock);
  for (guint i = 0; i < listeners->len; i++)
    {
      struct listener *listener = g_array_index (listeners, struct listener *, i);

      if (listener->port != port)
        continue;
      shutdown (listener->fd, SHUT_RDWR);
      close (listener->fd);
      listener->port = 0;
    }
  pthread_mutex_unlock (&listeners_lock);
}

const char *
plat_header (const struct plat_request *request, const char *name)
{
  return g_hash_table_lookup (request->headers, name);
}

void
plat_send (struct plat_conn *conn, const char *bytes, gsize len)
{
  while (len > 0)
    {
      ssize_t sent = send (conn->fd, bytes, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      bytes += sent;
      len -= (gsize)sent;
    }
}

/* Sends an answer with a length. headers has whole lines, or is NULL; len -1: body is a
   text. */
void
plat_reply (struct plat_conn *conn, int status, const char *headers, const char *body,
            gssize len)
{
  gsize size = len < 0 ? strlen (body) : (gsize)len;
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_append_printf (text, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n", status,
                          size, headers != NULL ? headers : "");
  g_string_append_len (text, body, (gssize)size);
  plat_send (conn, text->str, text->len);
}

static bool
wait_readable (int fd, int64_t until_ms)
{
  struct pollfd ready = { .fd = fd, .events = POLLIN };
  int64_t left = until_ms - plat_now_ms ();

  return left > 0 && poll (&ready, 1, (int)left) == 1;
}

/* Returns true if body, as received so far, is the whole of a chunked one, and decodes it
   then. */
static bool
decode_chunks (GString *body)
{
  g_autoptr (GString) out = g_string_new (NULL);
  const char *at = body->str;
  const char *end = body->str + body->len;

  for (;;)
    {
      const char *line = memmem (at, (gsize)(end - at), "\r\n", 2);
      gsize size;

      if (line == NULL)
        return false;
      size = (gsize)g_ascii_strtoull (at, NULL, 16);
      at = line + 2;
      if ((gsize)(end - at) < size + 2)
        return false;
      g_string_append_len (out, at, (gssize)size);
      at += size + 2;
      if (size == 0)
        break;
    }
  g_string_assign (body, "");
  g_string_append_len (body, out->str, (gssize)out->len);
  return true;
}

static bool
is_whole (const struct plat_answer *answer, bool closed)
{
  const char *length = g_hash_table_lookup (answer->headers, "content-length");
  const char *coding = g_hash_table_lookup (answer->headers, "transfer-encoding");

  if (coding != NULL)
    return decode_chunks (answer->body);
  if (length != NULL)
    return answer->body->len >= g_ascii_strtoull (length, NULL, 10);
  return closed;
}

/* Sends the text on a new connection and reads one answer. */
struct plat_answer
plat_call (int port, const char *request, int timeout_ms)
{
  struct plat_answer answer = { 0 };
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct plat_conn conn = { .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  int64_t until = plat_now_ms () + timeout_ms;
  bool closed = false;

  answer.headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  answer.body = g_string_new (NULL);
  conn.in = g_string_new (NULL);
  if (connect (conn.fd, (struct sockaddr *)&at, sizeof at) == 0)
    plat_send (&conn, request, strlen (request));
  else
    closed = true;
  while (!closed && !answer.whole && wait_readable (conn.fd, until))
    {
      char *end;

      closed = !receive_more (&conn);
      if (answer.status == 0 && (end = strstr (conn.in->str, "\r\n\r\n")) != NULL)
        {
          g_auto (GStrv) lines = NULL;

          *end = '\0';
          lines = g_strsplit (conn.in->str, "\r\n", -1);
          answer.status
              = lines[0] != NULL && strlen (lines[0]) > 11 ? atoi (lines[0] + 9) : 0;
          parse_headers (lines + 1, answer.headers);
          g_string_erase (conn.in, 0, end + 4 - conn.in->str);
        }
      if (answer.status != 0)
        {
          g_string_append_len (answer.body, conn.in->str, (gssize)conn.in->len);
          g_string_truncate (conn.in, 0);
          answer.whole = is_whole (&answer, closed);
        }
    }
  close (conn.fd);
  g_string_free (conn.in, TRUE);
  return answer;
}

void
plat_answer_clear (struct plat_answer *answer)
{
  g_hash_table_unref (answer->headers);
  g_string_free (answer->body, TRUE);
}

/* --- the store --- */

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

void
plat_store_start (unsigned page_size)
{
  store.topics = g_hash_table_new (g_str_hash, g_str_equal);
  store.page_size = page_size;
}

void
plat_store_set_watch (plat_store_watch *watch, void *user)
{
  store.watch_user = user;
  store.watch = watch;
}

static struct topic *
topic_of (const char *name)
{
  struct topic *topic = g_hash_table_lookup (store.topics, name);

  if (topic != NULL)
    return topic;
  topic = g_new0 (struct topic, 1);
  topic->records = g_ptr_array_new ();
  topic->newest = g_tree_new_full (compare_keys, NULL, g_free, NULL);
  g_hash_table_insert (store.topics, g_strdup (name), topic);
  return topic;
}

/* Adds a record; the lock is held. */
static int64_t
add_record (const char *name, const char *key, const char *value, gsize len)
{
  struct topic *topic = topic_of (name);
  struct record *record = g_new0 (struct record, 1);
  int64_t offset = topic->records->len;

  record->key = g_strdup (key);
  record->value = g_memdup2 (value, len);
  record->len = len;
  g_ptr_array_add (topic->records, record);
  if (key != NULL && len > 0)
    g_tree_replace (topic->newest, g_strdup (key), GSIZE_TO_POINTER ((gsize)offset));
  else if (key != NULL)
    g_tree_remove (topic->newest, key);
  pthread_cond_broadcast (&store.grown);
  return offset;
}

/* Writes a keyed record as the operator or an engine does. Returns its offset. */
int64_t
plat_store_put (const char *topic, const char *key, const char *value)
{
  int64_t offset;

  pthread_mutex_lock (&store.lock);
  offset = add_record (topic, key, value, strlen (value));
  pthread_mutex_unlock (&store.lock);
  return offset;
}

/* Removes a key. */
int64_t
plat_store_drop (const char *topic, const char *key)
{
  return plat_store_put (topic, key, "");
}

static GHashTable *
parse_query (const char *target)
{
  const char *query = strchr (target, '?');

  return g_uri_parse_params (query != NULL ? query + 1 : "", -1, "&", G_URI_PARAMS_NONE,
                             NULL);
}

static int64_t
query_int (GHashTable *query, const char *name, int64_t otherwise)
{
  const char *text = g_hash_table_lookup (query, name);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : otherwise;
}

struct page
{
  const char *after;
  unsigned left;
  bool more;
  struct topic *topic;
  GString *items;
};

static gboolean
add_item (gpointer key, gpointer value, gpointer user)
{
  struct page *page = user;
  const struct record *record
      = g_ptr_array_index (page->topic->records, GPOINTER_TO_SIZE (value));
  g_autofree char *coded = NULL;

  if (page->after != NULL && strcmp (key, page->after) <= 0)
    return FALSE;
  if (page->left == 0)
    {
      page->more = true;
      return TRUE;
    }
  page->left--;
  coded = g_base64_encode ((const guchar *)record->value, record->len);
  g_string_append_printf (
      page->items, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%zu}",
      page->items->len > 0 ? "," : "", (char *)key, coded, GPOINTER_TO_SIZE (value));
  return FALSE;
}

static void
answer_newest (struct plat_conn *conn, GHashTable *query, const char *topic)
{
  struct page page = {
    .after = g_hash_table_lookup (query, "after"),
    .left = store.page_size,
    .items = g_string_new (NULL),
  };
  g_autofree char *body = NULL;

  pthread_mutex_lock (&store.lock);
  page.topic = topic_of (topic);
  g_tree_foreach (page.topic->newest, add_item, &page);
  body = g_strdup_printf ("{\"items\":[%s],\"has-more\":%s,\"end\":%u}", page.items->str,
                          page.more ? "true" : "false", page.topic->records->len);
  pthread_mutex_unlock (&store.lock);
  g_string_free (page.items, TRUE);
  plat_reply (conn, 200, "Content-Type: application/json\r\n", body, -1);
}

static void
append_number (GString *out, uint64_t number, unsigned bytes)
{
  while (bytes-- > 0)
    g_string_append_c (out, (char)(number >> (8 * bytes)));
}

static void
answer_read (struct plat_conn *conn, GHashTable *query, const char *name)
{
  int64_t from = query_int (query, "from", 0);
  int64_t until = plat_now_ms () + query_int (query, "wait-ms", 0);
  g_autoptr (GString) out = g_string_new (NULL);
  struct topic *topic;

  pthread_mutex_lock (&store.lock);
  topic = topic_of (name);
  while (topic->records->len <= from && plat_now_ms () < until)
    {
      struct timespec at;
      int64_t left = until - plat_now_ms ();

      clock_gettime (CLOCK_REALTIME, &at);
      at.tv_sec += left / 1000;
      at.tv_nsec += left % 1000 * 1000000;
      if (at.tv_nsec >= 1000000000)
        {
          at.tv_sec++;
          at.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&store.grown, &store.lock, &at);
    }
  append_number (out, topic->records->len, 8);
  append_number (out, 0, 8);
  for (int64_t i = from; i < topic->records->len; i++)
    {
      const struct record *record = g_ptr_array_index (topic->records, i);
      gsize key = record->key != NULL ? strlen (record->key) : 0;

      append_number (out, record->len + (record->key != NULL ? 1 + key : 0), 4);
      if (record->key != NULL)
        {
          append_number (out, key, 1);
          g_string_append_len (out, record->key, (gssize)key);
        }
      g_string_append_len (out, record->value, (gssize)record->len);
    }
  pthread_mutex_unlock (&store.lock);
  plat_reply (conn, 200, NULL, out->str, (gssize)out->len);
}

static void
answer_append (struct plat_conn *conn, GHashTable *query, const char *name,
               const GString *body)
{
  int64_t at = query_int (query, "at", -1);
  bool keyed = g_str_has_prefix (name, "keyed.");
  g_autofree char *answer = NULL;
  gsize position = 0;
  struct topic *topic;
  int64_t first;

  pthread_mutex_lock (&store.lock);
  topic = topic_of (name);
  first = topic->records->len;
  if (at >= 0 && at != first)
    {
      answer = g_strdup_printf ("{\"end\":%" G_GINT64_FORMAT "}", first);
      pthread_mutex_unlock (&store.lock);
      plat_reply (conn, 412, NULL, answer, -1);
      return;
    }
  while (position + 4 <= body->len)
    {
      const unsigned char *bytes = (const unsigned char *)body->str + position;
      gsize len = (gsize)bytes[0] << 24 | (gsize)bytes[1] << 16 | (gsize)bytes[2] << 8
                  | bytes[3];
      gsize key_len = keyed ? bytes[4] : 0;
      g_autofree char *key = keyed ? g_strndup ((const char *)bytes + 5, key_len) : NULL;
      gsize skip = keyed ? 1 + key_len : 0;

      add_record (name, key, (const char *)bytes + 4 + skip, len - skip);
      position += 4 + len;
    }
  answer = g_strdup_printf ("{\"offset\":%" G_GINT64_FORMAT ",\"end\":%u}", first,
                            topic->records->len);
  pthread_mutex_unlock (&store.lock);
  plat_reply (conn, 200, NULL, answer, -1);
}

static bool
answer_store (struct plat_conn *conn, const struct plat_request *request, void *user)
{
  const char *vm = user;
  g_autoptr (GHashTable) query = parse_query (request->target);
  const char *topic = g_hash_table_lookup (query, "topic");
  const char *call = "other";

  if (topic == NULL)
    {
      plat_reply (conn, 400, NULL, "", -1);
      return true;
    }
  if (g_str_has_prefix (request->target, "/kingcuppoint/log-newest"))
    call = "newest";
  else if (g_str_has_prefix (request->target, "/kingcuppoint/log-read"))
    call = "read";
  else if (g_str_has_prefix (request->target, "/kingcuppoint/log-append"))
    call = "append";
  g_usleep (PLAT_ANSWER_MS * MS);
  if (store.watch != NULL)
    store.watch (vm, call, topic, g_hash_table_lookup (query, "after") != NULL ? 2 : 1,
                 store.watch_user);
  if (strcmp (call, "newest") == 0)
    answer_newest (conn, query, topic);
  else if (strcmp (call, "read") == 0)
    answer_read (conn, query, topic);
  else if (strcmp (call, "append") == 0)
    answer_append (conn, query, topic, request->body);
  else
    plat_reply (conn, 404, NULL, "", -1);
  return true;
}

/* Returns a port of the store for one VM, whose calls the watch is told. */
int
plat_store_listen (const char *vm)
{
  return plat_listen (answer_store, g_strdup (vm));
}

/* --- engines --- */

/* Returns the engine's entry in the store; to be freed with g_free(). */
char *
plat_engine_entry (const struct plat_engine *engine, bool with_seq_no)
{
  g_autofree char *models
      = engine->serves_model
            ? g_strdup_printf ("[{\"name\":\"m\",\"version\":%" G_GINT64_FORMAT
                               ",\"adapters\":[]}]",
                               engine->version)
            : g_strdup ("[]");
  g_autofree char *seq_no
      = with_seq_no ? g_strdup_printf (",\"seq-no\":%" G_GINT64_FORMAT, engine->seq_no)
                    : g_strdup ("");

  return g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":"
      "\"v1\",\"slots\":64,\"state\":\"%s\",\"cold-remaining-ms\":0,\"stage\":"
      "\"colocated\",\"models\":%s,\"born\":%" G_GINT64_FORMAT "%s}",
      engine->service, engine->port, engine->zone, engine->state, models, engine->born,
      seq_no);
}

/* Sends a heartbeat. The entry in the store changes when more than seq-no has. */
void
plat_engine_beat (struct plat_engine *engine)
{
  g_autofree char *bare = NULL;
  g_autofree char *entry = NULL;

  pthread_mutex_lock (&engines_lock);
  engine->seq_no++;
  bare = plat_engine_entry (engine, false);
  entry = plat_engine_entry (engine, true);
  if (g_strcmp0 (bare, engine->stored) != 0)
    {
      g_free (engine->stored);
      engine->stored = g_strdup (bare);
      plat_store_put ("keyed.servers", engine->id, entry);
    }
  pthread_mutex_unlock (&engines_lock);
}

/* Has the engine's entry removed; it sends no more heartbeats. */
void
plat_engine_leave_list (struct plat_engine *engine)
{
  pthread_mutex_lock (&engines_lock);
  engine->silent = true;
  g_clear_pointer (&engine->stored, g_free);
  plat_store_drop ("keyed.servers", engine->id);
  pthread_mutex_unlock (&engines_lock);
}

/* Answers what every engine does alike. Returns false if the request is to be run. */
bool
plat_engine_answer (struct plat_engine *engine, struct plat_conn *conn,
                    const struct plat_request *request, const char *body)
{
  const char *expected = plat_header (request, "expect-instance");
  const char *id = plat_header (request, "request-id");
  g_autofree char *headers = NULL;
  g_autofree char *text = NULL;

  if (expected != NULL && strcmp (expected, engine->id) != 0)
    {
      headers = g_strdup_printf ("Not-Executed: 1\r\n%s%s%s", id ? "Request-Id: " : "",
                                 id ? id : "", id ? "\r\n" : "");
      plat_reply (conn, 421, headers, "", -1);
      return true;
    }
  if (g_str_has_prefix (request->target, "/kingcuppoint/report"))
    {
      text = g_strdup_printf (
          "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":"
          "%" G_GINT64_FORMAT
          ",\"adapters\":[]}],\"busy\":false,\"seq-no\":%" G_GINT64_FORMAT
          ",\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":90000,\"handles\":0,"
          "\"born\":%" G_GINT64_FORMAT "}",
          engine->version, engine->orders, engine->born);
      plat_reply (conn, 200, "Content-Type: application/json\r\n", text, -1);
      return true;
    }
  if (g_str_has_prefix (request->target, "/kingcuppoint/kv-events"))
    {
      g_usleep (800 * MS);
      plat_reply (conn, 200, "Content-Type: application/json\r\n",
                  "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}", -1);
      return true;
    }
  if (id == NULL)
    {
      plat_reply (conn, 400, "Not-Executed: 1\r\n", "", -1);
      return true;
    }
  if (body == NULL)
    return false;
  headers = g_strdup_printf ("Request-Id: %s\r\nServer-Seal: s.%s\r\n", id, engine->id);
  plat_reply (conn, 200, headers, body, -1);
  return true;
}

/* Creates an engine that listens and has not written its entry yet. */
struct plat_engine *
plat_engine_new (const char *id, const char *service, const char *zone,
                 plat_handler *work, void *user)
{
  struct plat_engine *engine = g_new0 (struct plat_engine, 1);

  g_strlcpy (engine->id, id, sizeof engine->id);
  g_strlcpy (engine->service, service, sizeof engine->service);
  g_strlcpy (engine->zone, zone, sizeof engine->zone);
  engine->state = "ready";
  engine->version = 1;
  engine->born = g_get_real_time () / 1000;
  engine->work = work;
  engine->user = user != NULL ? user : engine;
  engine->port = plat_listen (work, engine->user);
  pthread_mutex_lock (&engines_lock);
  if (engines == NULL)
    engines = g_ptr_array_new ();
  g_ptr_array_add (engines, engine);
  pthread_mutex_unlock (&engines_lock);
  return engine;
}

static void *
beat_all (void *user)
{
  (void)user;
  for (;;)
    {
      guint count;

      pthread_mutex_lock (&engines_lock);
      count = engines->len;
      pthread_mutex_unlock (&engines_lock);
      for (guint i = 0; i < count; i++)
        {
          struct plat_engine *engine = g_ptr_array_index (engines, i);

          if (!engine->silent)
            plat_engine_beat (engine);
        }
      g_usleep (PLAT_HEARTBEAT_MS * MS);
    }
  return NULL;
}

/* Has all engines write their heartbeats from now on. */
void
plat_beats_start (void)
{
  start_thread (beat_all, NULL);
  g_usleep (20 * MS);
}

/* --- VMs --- */

struct plat_vm *
plat_vm_new (const char *name, const char *zone)
{
  struct plat_vm *vm = g_new0 (struct plat_vm, 1);

  g_strlcpy (vm->name, name, sizeof vm->name);
  g_strlcpy (vm->zone, zone, sizeof vm->zone);
  vm->front = plat_free_port ();
  vm->ready = plat_free_port ();
  vm->metrics = plat_free_port ();
  vm->peers = plat_free_port ();
  vm->store = plat_store_listen (name);
  vm->folder = g_dir_make_tmp ("kcp-review-3-XXXXXX", NULL);
  if (vm->folder == NULL)
    plat_end (2);
  vm->log = g_build_filename (vm->folder, "vm.log", NULL);
  if (vms == NULL)
    vms = g_ptr_array_new ();
  g_ptr_array_add (vms, vm);
  return vm;
}

/* The settings that platform/settings.template makes of the machine's fields, with the
   bounds of the users' small deployments. */
static void
write_settings (const struct plat_vm *vm, const char *path)
{
  g_autofree char *text = g_strdup_printf (
      "[vm]\nid = %s\ndata_center = %s\nmemory_mb = 260\n"
      "[callers]\nlisten = 127.0.0.1:%d\n[ready]\nlisten = 127.0.0.1:%d\n"
      "[metrics]\nlisten = 127.0.0.1:%d\n[peers]\nlisten = 127.0.0.1:%d\n"
      "[store]\naddress = 127.0.0.1:%d\n[drain]\ngrace_s = 8.0\n"
      "[servers]\nheartbeat_ms = %d\nleaving_ms = 2000\n"
      "[retry]\nratio = 0.2\nburst = 54.0\nwindow_s = 10\n"
      "[weights]\nreplace_ms = 10000\n[orders]\nturn_ms = 3000\n",
      vm->name, vm->zone, vm->front, vm->ready, vm->metrics, vm->peers, vm->store,
      PLAT_HEARTBEAT_MS);

  if (!g_file_set_contents (path, text, -1, NULL))
    plat_end (2);
}

/* Starts the VM's process with the command of the deploy file. */
void
plat_vm_start (struct plat_vm *vm)
{
  g_autofree char *path = g_build_filename (vm->folder, "route.ini", NULL);
  g_autofree char *log = NULL;

  write_settings (vm, path);
  vm->starts++;
  log = g_strdup_printf ("%s.%u", vm->log, vm->starts);
  vm->pid = fork ();
  if (vm->pid == 0)
    {
      int fd = open (log, O_CREAT | O_TRUNC | O_WRONLY, 0600);

      (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
      (void)dup2 (fd, STDOUT_FILENO);
      (void)setenv ("KINGCUPPOINT_CONFIG", path, 1);
      (void)execl ("target/kingcuppoint", "target/kingcuppoint", "route", (char *)NULL);
      _exit (127);
    }
  if (vm->pid < 0)
    plat_end (2);
  plat_record ("%s starts, its log is %s", vm->name, log);
}

/* Sends a signal to the VM's process and, if that is SIGKILL, waits for its end. */
void
plat_vm_kill (struct plat_vm *vm, int signal_number)
{
  if (vm->pid <= 0)
    return;
  (void)kill (vm->pid, signal_number);
  if (signal_number != SIGKILL)
    return;
  (void)waitpid (vm->pid, NULL, 0);
  vm->pid = 0;
}

bool
plat_vm_is_ready (const struct plat_vm *vm)
{
  struct plat_answer answer = plat_call (
      vm->ready,
      "GET /kingcuppoint/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      500);
  bool ready = answer.status == 200;

  plat_answer_clear (&answer);
  return ready;
}

bool
plat_vm_wait_ready (struct plat_vm *vm, int timeout_ms)
{
  int64_t until = plat_now_ms () + timeout_ms;

  while (plat_now_ms () < until)
    {
      if (plat_vm_is_ready (vm))
        return true;
      g_usleep (20 * MS);
    }
  return false;
}

/* Returns true if the VM's log says that it leads its zone. */
bool
plat_vm_leads (const struct plat_vm *vm)
{
  g_autofree char *path = g_strdup_printf ("%s.%u", vm->log, vm->starts);
  g_autofree char *text = NULL;
  const char *at;
  bool leads = false;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return false;
  for (at = strstr (text, "\"first_vm\""); at != NULL;
       at = strstr (at + 1, "\"first_vm\""))
    {
      const char *change = strstr (at, "\"change\":\"");

      leads = change != NULL && g_str_has_prefix (change, "\"change\":\"this\"");
    }
  return leads;
}
