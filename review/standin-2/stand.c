#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM         "target/kingcuppoint"
#define TOPICS_MAX      64
#define RECORDS_MAX     20000
#define HEAD_MAX        (64 * 1024)
#define HEARTBEAT_MS    1200
#define READ_STEP_MS    5
#define VERSION_LOAD_MS 900

struct store_record
{
  char *key;
  char *value;
  size_t len;
};

struct topic
{
  char name[64];
  bool keyed;
  struct store_record *records;
  int64_t count;
};

static struct topic topics[TOPICS_MAX];
static int topic_count;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static struct http_server store_http;
static volatile bool store_down;
static volatile double lost_share; /* of the appends whose answer is lost */
static volatile bool lost_late;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[128];
static struct vm vms[VMS_MAX];
static int vm_count;
static int64_t start_ms;

static int64_t
clock_ms (void)
{
  struct timespec time;

  (void)clock_gettime (CLOCK_MONOTONIC, &time);
  return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

static int64_t
unix_ms (void)
{
  struct timespec time;

  (void)clock_gettime (CLOCK_REALTIME, &time);
  return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  return clock_ms () - start_ms;
}

void
sleep_ms (int64_t ms)
{
  struct timespec time = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  if (ms > 0)
    (void)nanosleep (&time, NULL);
}

void
sleep_until (int64_t ms)
{
  sleep_ms (ms - now_ms ());
}

bool
trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

void
stand_open (const char *name)
{
  char path[256];

  start_ms = clock_ms ();
  (void)signal (SIGPIPE, SIG_IGN);
  (void)snprintf (path, sizeof path, "%s/record.txt", name);
  record_file = fopen (path, "w");
  (void)snprintf (folder, sizeof folder, "/tmp/kcp-review-XXXXXX");
  if (record_file == NULL || mkdtemp (folder) == NULL || access (PROGRAM, X_OK) != 0)
    {
      (void)fprintf (stderr, "cannot begin: %s\n", strerror (errno));
      exit (2);
    }
  record ("begins, trouble %s", trouble () ? "on" : "off");
}

int
stand_close (int code)
{
  for (int i = 0; i < vm_count; i++)
    vm_kill (&vms[i]);
  record ("ends with %d", code);
  (void)fclose (record_file);
  if (getenv ("KEEP_LOGS") == NULL)
    {
      for (int i = 0; i < vm_count; i++)
        {
          (void)unlink (vms[i].settings);
          (void)unlink (vms[i].log);
        }
      (void)rmdir (folder);
    }
  else
    (void)fprintf (stderr, "logs are kept in %s\n", folder);
  return code;
}

void
record (const char *format, ...)
{
  va_list arguments;

  (void)pthread_mutex_lock (&record_lock);
  (void)fprintf (record_file, "%8.3f ", (double)now_ms () / 1000);
  va_start (arguments, format);
  (void)vfprintf (record_file, format, arguments);
  va_end (arguments);
  (void)fputc ('\n', record_file);
  (void)fflush (record_file);
  (void)pthread_mutex_unlock (&record_lock);
}

/* HTTP */

int
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int port;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  (void)bind (fd, (struct sockaddr *)&address, sizeof address);
  (void)getsockname (fd, (struct sockaddr *)&address, &len);
  port = ntohs (address.sin_port);
  (void)close (fd);
  return port;
}

int
tcp_connect (int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      (void)close (fd);
      return -1;
    }
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/* Closes a connection with a reset. */
void
tcp_reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  (void)close (fd);
}

const char *
http_header (const struct message *message, const char *name)
{
  for (int i = 0; i < message->header_count; i++)
    if (strcasecmp (message->headers[i].name, name) == 0)
      return message->headers[i].value;
  return NULL;
}

bool
http_write (int fd, const void *data, size_t len)
{
  const char *at = data;

  while (len > 0)
    {
      ssize_t count = send (fd, at, len, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      at += count;
      len -= (size_t)count;
    }
  return true;
}

void
http_reply (int fd, int status, const char *headers, const void *body, size_t len)
{
  char *text = malloc (len + strlen (headers) + 128);
  int head = sprintf (text, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status,
                      headers, len);

  memcpy (text + head, body, len);
  (void)http_write (fd, text, (size_t)head + len);
  free (text);
}

void
message_clear (struct message *message)
{
  free (message->body);
  message->body = NULL;
}

/* Reads bytes; returns the count, 0 at the end, -1 after an error or at until_ms. */
static ssize_t
read_some (int fd, char *out, size_t max, int64_t until_ms)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  int64_t left = until_ms - now_ms ();

  if (poll (&poll_fd, 1, until_ms == 0 ? -1 : (int)(left > 0 ? left : 0)) <= 0)
    return -1;
  return recv (fd, out, max, 0);
}

/* Reads up to and including the end of the line into line. */
static bool
read_line (int fd, char *line, size_t max, int64_t until_ms)
{
  size_t len = 0;

  while (len + 1 < max)
    {
      if (read_some (fd, line + len, 1, until_ms) != 1)
        return false;
      if (line[len++] == '\n')
        break;
    }
  while (len > 0 && (line[len - 1] == '\n' || line[len - 1] == '\r'))
    len--;
  line[len] = '\0';
  return true;
}

static void
add_body (struct message *message, const char *data, size_t len)
{
  message->body = realloc (message->body, message->body_len + len + 1);
  memcpy (message->body + message->body_len, data, len);
  message->body_len += len;
  message->body[message->body_len] = '\0';
}

static bool
read_exactly (int fd, struct message *message, size_t len, int64_t until_ms)
{
  char block[16384];

  while (len > 0)
    {
      ssize_t count
          = read_some (fd, block, len < sizeof block ? len : sizeof block, until_ms);

      if (count <= 0)
        return false;
      add_body (message, block, (size_t)count);
      len -= (size_t)count;
    }
  return true;
}

static bool
read_chunks (int fd, struct message *message, int64_t until_ms)
{
  char line[256];

  while (read_line (fd, line, sizeof line, until_ms))
    {
      size_t len = strtoul (line, NULL, 16);

      if (len == 0)
        return read_line (fd, line, sizeof line, until_ms) && line[0] == '\0';
      if (!read_exactly (fd, message, len, until_ms)
          || !read_line (fd, line, sizeof line, until_ms) || line[0] != '\0')
        return false;
    }
  return false;
}

/* Reads a message. Returns false if its head did not come; complete tells whether it was
   all there. */
bool
http_read (int fd, struct message *message, bool is_answer, int64_t until_ms)
{
  char line[4096];
  const char *length;
  const char *coding;
  char block[4096];
  ssize_t count;

  memset (message, 0, sizeof *message);
  add_body (message, "", 0);
  if (!read_line (fd, line, sizeof line, until_ms))
    return false;
  if (is_answer && sscanf (line, "HTTP/1.%*d %d", &message->status) != 1)
    return false;
  if (!is_answer && sscanf (line, "%15s %511s", message->method, message->target) != 2)
    return false;
  while (true)
    {
      char *colon;
      struct header *header;

      if (!read_line (fd, line, sizeof line, until_ms))
        return false;
      if (line[0] == '\0')
        break;
      colon = strchr (line, ':');
      if (colon == NULL || message->header_count == HEADERS_MAX)
        continue;
      *colon++ = '\0';
      while (*colon == ' ')
        colon++;
      header = &message->headers[message->header_count++];
      (void)snprintf (header->name, sizeof header->name, "%.47s", line);
      (void)snprintf (header->value, sizeof header->value, "%.255s", colon);
    }
  length = http_header (message, "Content-Length");
  coding = http_header (message, "Transfer-Encoding");
  if (coding != NULL)
    message->complete = read_chunks (fd, message, until_ms);
  else if (length != NULL)
    message->complete = read_exactly (fd, message, strtoul (length, NULL, 10), until_ms);
  else if (!is_answer)
    message->complete = true;
  else
    {
      while ((count = read_some (fd, block, sizeof block, until_ms)) > 0)
        add_body (message, block, (size_t)count);
      message->complete = count == 0;
    }
  return true;
}

struct connection
{
  struct http_server *server;
  int fd;
};

static void
forget_connection (struct http_server *server, int fd)
{
  (void)pthread_mutex_lock (&server->lock);
  for (int i = 0; i < server->connection_count; i++)
    if (server->connections[i] == fd)
      {
        server->connections[i] = server->connections[--server->connection_count];
        (void)close (fd);
        break;
      }
  (void)pthread_mutex_unlock (&server->lock);
}

static void *
serve_connection (void *user)
{
  struct connection *connection = user;
  struct message request;

  while (http_read (connection->fd, &request, false, 0) && request.complete)
    {
      connection->server->handler (connection->server->user, connection->fd, &request);
      message_clear (&request);
    }
  message_clear (&request);
  forget_connection (connection->server, connection->fd);
  free (connection);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *user)
{
  pthread_t thread;
  pthread_attr_t attributes;

  (void)pthread_attr_init (&attributes);
  (void)pthread_attr_setstacksize (&attributes, 256 * 1024);
  (void)pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, user) != 0)
    abort ();
  (void)pthread_attr_destroy (&attributes);
}

static void *
accept_connections (void *user)
{
  struct http_server *server = user;
  int listener = server->fd;
  int on = 1;

  while (true)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      struct connection *connection;

      if (fd < 0)
        return NULL;
      (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      (void)pthread_mutex_lock (&server->lock);
      if (server->fd != listener || server->connection_count == 1024)
        {
          (void)pthread_mutex_unlock (&server->lock);
          (void)close (fd);
          continue;
        }
      server->connections[server->connection_count++] = fd;
      (void)pthread_mutex_unlock (&server->lock);
      connection = malloc (sizeof *connection);
      *connection = (struct connection){ .server = server, .fd = fd };
      start_thread (serve_connection, connection);
    }
}

/* port 0: a free one. */
void
http_listen (struct http_server *server, int port, http_handler *handler, void *user)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  socklen_t len = sizeof address;
  int on = 1;

  (void)pthread_mutex_init (&server->lock, NULL);
  server->handler = handler;
  server->user = user;
  server->connection_count = 0;
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  (void)setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (server->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->fd, 256) != 0)
    {
      record ("cannot listen: %s", strerror (errno));
      exit (stand_close (2));
    }
  (void)getsockname (server->fd, (struct sockaddr *)&address, &len);
  server->port = ntohs (address.sin_port);
  start_thread (accept_connections, server);
}

void
http_close (struct http_server *server)
{
  int fd = server->fd;

  (void)pthread_mutex_lock (&server->lock);
  server->fd = -1;
  for (int i = 0; i < server->connection_count; i++)
    (void)shutdown (server->connections[i], SHUT_RDWR);
  (void)pthread_mutex_unlock (&server->lock);
  (void)shutdown (fd, SHUT_RDWR);
  (void)close (fd);
}

/* The store */

static struct topic *
find_topic (const char *name)
{
  for (int i = 0; i < topic_count; i++)
    if (strcmp (topics[i].name, name) == 0)
      return &topics[i];
  (void)snprintf (topics[topic_count].name, sizeof topics[0].name, "%.63s", name);
  topics[topic_count].keyed = strncmp (name, "keyed.", 6) == 0;
  topics[topic_count].records = calloc (RECORDS_MAX, sizeof (struct store_record));
  return &topics[topic_count++];
}

static int64_t
add_record (struct topic *topic, const char *key, const char *value, size_t len)
{
  struct store_record *added = &topic->records[topic->count];

  added->key = strdup (key);
  added->value = malloc (len + 1);
  memcpy (added->value, value, len);
  added->value[len] = '\0';
  added->len = len;
  return topic->count++;
}

int64_t
store_append (const char *name, const char *key, const char *value)
{
  int64_t offset;

  (void)pthread_mutex_lock (&store_lock);
  offset = add_record (find_topic (name), key, value, strlen (value));
  (void)pthread_mutex_unlock (&store_lock);
  return offset;
}

void
store_set_down (bool down)
{
  store_down = down;
}

/* Loses the answers of a share of the appends; late: these are carried out 1 to 6 s
   later, if their condition still holds, otherwise at once. */
void
store_set_lost (double share, bool late)
{
  lost_late = late;
  lost_share = share;
}

int
store_port (void)
{
  return store_http.port;
}

static const char *
argument (const char *target, const char *name, char *out, size_t max)
{
  const char *at = strchr (target, '?');
  size_t len = strlen (name);

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, len) == 0 && at[len] == '=')
        {
          size_t value = strcspn (at + len + 1, "&");

          (void)snprintf (out, max, "%.*s", (int)value, at + len + 1);
          return out;
        }
      at = strchr (at, '&');
    }
  return NULL;
}

static int64_t
number (const char *target, const char *name, int64_t otherwise)
{
  char text[64];

  return argument (target, name, text, sizeof text) != NULL ? atoll (text) : otherwise;
}

static size_t
put_number (char *out, uint64_t value, int bytes)
{
  for (int i = 0; i < bytes; i++)
    out[i] = (char)(value >> (8 * (bytes - 1 - i)));
  return (size_t)bytes;
}

static size_t
put_base64 (char *out, const char *data, size_t len)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t at = 0;

  for (size_t i = 0; i < len; i += 3)
    {
      uint32_t word = (uint32_t)(unsigned char)data[i] << 16;

      if (i + 1 < len)
        word |= (uint32_t)(unsigned char)data[i + 1] << 8;
      if (i + 2 < len)
        word |= (unsigned char)data[i + 2];
      out[at++] = digits[word >> 18];
      out[at++] = digits[word >> 12 & 63];
      out[at++] = i + 1 < len ? digits[word >> 6 & 63] : '=';
      out[at++] = i + 2 < len ? digits[word & 63] : '=';
    }
  return at;
}

static bool
is_newest (const struct topic *topic, int64_t at)
{
  for (int64_t i = at + 1; i < topic->count; i++)
    if (strcmp (topic->records[i].key, topic->records[at].key) == 0)
      return false;
  return topic->records[at].len > 0;
}

static void
answer_newest (int fd, struct topic *topic)
{
  size_t size = 64;
  char *text;
  size_t len;
  const char *comma = "";

  (void)pthread_mutex_lock (&store_lock);
  for (int64_t i = 0; i < topic->count; i++)
    size += topic->records[i].len * 4 / 3 + strlen (topic->records[i].key) + 96;
  text = malloc (size);
  len = (size_t)sprintf (text, "{\"items\":[");
  for (int64_t i = 0; i < topic->count; i++)
    {
      const struct store_record *item = &topic->records[i];

      if (!is_newest (topic, i))
        continue;
      len += (size_t)sprintf (text + len, "%s{\"key\":\"%s\",\"value\":\"", comma,
                              item->key);
      len += put_base64 (text + len, item->value, item->len);
      len += (size_t)sprintf (text + len, "\",\"offset\":%lld}", (long long)i);
      comma = ",";
    }
  len += (size_t)sprintf (text + len, "],\"has-more\":false,\"end\":%lld}",
                          (long long)topic->count);
  (void)pthread_mutex_unlock (&store_lock);
  http_reply (fd, 200, "Content-Type: application/json\r\n", text, len);
  free (text);
}

static void
answer_read (int fd, struct topic *topic, const char *target)
{
  int64_t from = number (target, "from", 0);
  int64_t until = now_ms () + number (target, "wait-ms", 0);
  size_t size = 32;
  char *text;
  size_t len;

  while (topic->count <= from && now_ms () < until && !store_down)
    sleep_ms (READ_STEP_MS);
  if (store_down)
    {
      http_reply (fd, 503, "", "", 0);
      return;
    }
  (void)pthread_mutex_lock (&store_lock);
  for (int64_t i = from; i < topic->count; i++)
    size += topic->records[i].len + strlen (topic->records[i].key) + 8;
  text = malloc (size);
  len = put_number (text, (uint64_t)topic->count, 8);
  len += put_number (text + len, 0, 8);
  for (int64_t i = from; i < topic->count; i++)
    {
      const struct store_record *item = &topic->records[i];
      size_t key = strlen (item->key);

      len += put_number (text + len, item->len + (topic->keyed ? 1 + key : 0), 4);
      if (topic->keyed)
        {
          len += put_number (text + len, key, 1);
          memcpy (text + len, item->key, key);
          len += key;
        }
      memcpy (text + len, item->value, item->len);
      len += item->len;
    }
  (void)pthread_mutex_unlock (&store_lock);
  http_reply (fd, 200, "", text, len);
  free (text);
}

/* Appends the records of a call. Returns the offset of the first, or -1 if the topic does
   not end at the offset that the call names. */
static int64_t
carry_out_append (struct topic *topic, const char *target, const char *body, size_t len)
{
  int64_t at = number (target, "at", -1);
  int64_t first;
  size_t position = 0;

  (void)pthread_mutex_lock (&store_lock);
  first = at >= 0 && at != topic->count ? -1 : topic->count;
  while (first >= 0 && position + 4 <= len)
    {
      const unsigned char *bytes = (const unsigned char *)body + position;
      size_t size = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16
                    | (size_t)bytes[2] << 8 | bytes[3];
      const char *data = body + position + 4;
      char key[256] = "";
      size_t key_len = 0;

      if (topic->keyed)
        {
          key_len = 1 + (size_t)(unsigned char)data[0];
          (void)snprintf (key, sizeof key, "%.*s", (int)key_len - 1, data + 1);
        }
      (void)add_record (topic, key, data + key_len, size - key_len);
      position += 4 + size;
    }
  (void)pthread_mutex_unlock (&store_lock);
  return first;
}

/* An append that the store carries out late. */
struct late_append
{
  struct topic *topic;
  char target[512];
  char *body;
  size_t len;
  int64_t after_ms;
};

static void *
append_late (void *user)
{
  struct late_append *late = user;

  sleep_ms (late->after_ms);
  record ("store: an append to %s is carried out %lld ms late: %s", late->topic->name,
          (long long)late->after_ms,
          carry_out_append (late->topic, late->target, late->body, late->len) >= 0
              ? "done"
              : "its condition does not hold");
  free (late->body);
  free (late);
  return NULL;
}

/* Loses the answer of an append. Returns false if this one is answered. */
static bool
lose_append (struct topic *topic, const struct message *request)
{
  struct late_append *late;

  if ((double)rand () / RAND_MAX >= lost_share)
    return false;
  if (!lost_late)
    {
      (void)carry_out_append (topic, request->target, request->body, request->body_len);
      return true;
    }
  late = calloc (1, sizeof *late);
  late->topic = topic;
  memcpy (late->target, request->target, sizeof late->target);
  late->body = malloc (request->body_len + 1);
  memcpy (late->body, request->body, request->body_len);
  late->len = request->body_len;
  late->after_ms = 1000 + rand () % 5000;
  start_thread (append_late, late);
  return true;
}

static void
answer_append (int fd, struct topic *topic, const struct message *request)
{
  int64_t first;
  char text[64];

  if (strcmp (topic->name, "keyed.op") == 0 || strcmp (topic->name, "keyed.servers") == 0)
    {
      http_reply (fd, 403, "", "", 0);
      return;
    }
  if (lose_append (topic, request))
    {
      sleep_ms (20000); /* a connection on which an answer is lost returns nothing */
      return;
    }
  first = carry_out_append (topic, request->target, request->body, request->body_len);
  if (first < 0)
    (void)snprintf (text, sizeof text, "{\"end\":%lld}", (long long)topic->count);
  else
    (void)snprintf (text, sizeof text, "{\"offset\":%lld,\"end\":%lld}", (long long)first,
                    (long long)topic->count);
  http_reply (fd, first < 0 ? 412 : 200, "Content-Type: application/json\r\n", text,
              strlen (text));
}

static void
on_store (void *user, int fd, const struct message *request)
{
  char name[64];
  struct topic *topic;

  (void)user;
  if (store_down)
    {
      http_reply (fd, 503, "", "", 0);
      return;
    }
  if (argument (request->target, "topic", name, sizeof name) == NULL)
    {
      http_reply (fd, 404, "", "", 0);
      return;
    }
  (void)pthread_mutex_lock (&store_lock);
  topic = find_topic (name);
  (void)pthread_mutex_unlock (&store_lock);
  if (strncmp (request->target, "/kingcuppoint/log-newest?", 25) == 0)
    answer_newest (fd, topic);
  else if (strncmp (request->target, "/kingcuppoint/log-read?", 23) == 0)
    answer_read (fd, topic, request->target);
  else if (strncmp (request->target, "/kingcuppoint/log-append?", 25) == 0)
    answer_append (fd, topic, request);
  else
    http_reply (fd, 404, "", "", 0);
}

void
store_start (void)
{
  http_listen (&store_http, 0, on_store, NULL);
}

/* Engines */

static void
finish_loading (struct engine *engine)
{
  if (engine->loading != 0 && now_ms () >= engine->busy_until_ms)
    {
      engine->version = engine->loading;
      engine->loading = 0;
    }
}

char *
engine_make_entry (struct engine *engine, const char *state)
{
  char models[128] = "";
  char *text = malloc (512);

  (void)pthread_mutex_lock (&engine->lock);
  finish_loading (engine);
  if (engine->model[0] != '\0')
    (void)snprintf (
        models, sizeof models,
        ",\"stage\":\"colocated\",\"models\":[{\"name\":\"%s\",\"version\":%lld,"
        "\"adapters\":[]}]",
        engine->model, (long long)engine->version);
  (void)snprintf (text, 512,
                  "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                  "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                  "\"cold-remaining-ms\":0%s,\"seq-no\":%d,\"born\":%lld}",
                  engine->service, engine->http.port, engine->zone,
                  engine->model[0] != '\0' ? 64 : 6, state, models, ++engine->beats,
                  (long long)engine->born_ms);
  (void)pthread_mutex_unlock (&engine->lock);
  return text;
}

void
engine_write_entry (struct engine *engine, const char *state)
{
  char *text = engine_make_entry (engine, state);

  (void)store_append ("keyed.servers", engine->id, text);
  free (text);
}

void
engine_remove_entry (struct engine *engine)
{
  (void)store_append ("keyed.servers", engine->id, "");
}

static void *
beat (void *user)
{
  struct engine *engine = user;
  int64_t born_ms = engine->born_ms;

  while (engine->up && engine->born_ms == born_ms)
    {
      if (engine->beating)
        engine_write_entry (engine, engine->draining ? "draining" : "ready");
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

void
engine_run (struct engine *engine, int fd, const struct message *request)
{
  char headers[512];
  char body[128];
  const char *id = http_header (request, "Request-Id");

  sleep_ms (engine->work_ms);
  (void)snprintf (body, sizeof body, "ran %s at %s\n", id, engine->id);
  (void)snprintf (headers, sizeof headers,
                  "Request-Id: %s\r\nServer-Seal: s.%s\r\nContent-Type: text/plain\r\n",
                  id, id);
  http_reply (fd, 200, headers, body, strlen (body));
}

static int64_t
json_number (const char *text, const char *name, int64_t otherwise)
{
  char pattern[64];
  const char *at;

  (void)snprintf (pattern, sizeof pattern, "\"%s\":", name);
  at = strstr (text, pattern);
  return at != NULL ? atoll (at + strlen (pattern)) : otherwise;
}

/* Carries out or refuses an order, as it is found now. fd -1: nobody waits for it. */
void
engine_take_order (struct engine *engine, int fd, const struct message *order)
{
  int64_t version = json_number (order->body, "version", 0);
  int64_t expected = json_number (order->body, "expected", -1);
  const char *instance = http_header (order, "Expect-Instance");
  int status;

  (void)pthread_mutex_lock (&engine->lock);
  finish_loading (engine);
  if (instance != NULL && strcmp (instance, engine->id) != 0)
    status = 421;
  else if (engine->loading != 0 || (expected >= 0 && expected != engine->orders))
    status = 409;
  else if (version == engine->version)
    status = 200;
  else
    {
      status = 202;
      engine->orders++;
      engine->loading = version;
      engine->busy_until_ms = now_ms () + VERSION_LOAD_MS;
    }
  (void)pthread_mutex_unlock (&engine->lock);
  record ("%s: order of version %lld, expected %lld: %d%s", engine->id,
          (long long)version, (long long)expected, status, fd < 0 ? ", late" : "");
  if (fd >= 0)
    http_reply (fd, status, "", "", 0);
}

static void
answer_report (struct engine *engine, int fd)
{
  char text[512];

  (void)pthread_mutex_lock (&engine->lock);
  finish_loading (engine);
  (void)snprintf (
      text, sizeof text,
      "{\"stage\":\"colocated\",\"models\":[{\"name\":\"%s\",\"version\":%lld,"
      "\"adapters\":[]}],\"busy\":%s,\"seq-no\":%d,\"queued\":0,\"active\":0,"
      "\"kv-used\":0,\"kv-total\":146851,\"handles\":0,\"born\":%lld}",
      engine->model, (long long)engine->version, engine->loading != 0 ? "true" : "false",
      engine->orders, (long long)engine->born_ms);
  (void)pthread_mutex_unlock (&engine->lock);
  http_reply (fd, 200, "Content-Type: application/json\r\n", text, strlen (text));
}

static void
answer_events (struct engine *engine, int fd, const struct message *request)
{
  const char *wait = http_header (request, "Wait-Ms");
  char text[128];

  sleep_ms (wait != NULL ? atoi (wait) : 0);
  (void)snprintf (text, sizeof text,
                  "{\"boot-epoch\":%lld,\"next\":1,\"lost\":false,\"events\":[]}",
                  (long long)(engine->born_ms % 100000));
  http_reply (fd, 200, "Content-Type: application/json\r\n", text, strlen (text));
}

/* Returns true if the request names another instance or other weights: 421. */
static bool
is_misdirected (struct engine *engine, const struct message *request)
{
  const char *instance = http_header (request, "Expect-Instance");
  const char *version = http_header (request, "Expect-Version");
  bool misdirected;

  (void)pthread_mutex_lock (&engine->lock);
  finish_loading (engine);
  misdirected = (instance != NULL && strcmp (instance, engine->id) != 0)
                || (version != NULL && atoll (version) != engine->version);
  (void)pthread_mutex_unlock (&engine->lock);
  return misdirected;
}

static void
on_engine (void *user, int fd, const struct message *request)
{
  struct engine *engine = user;
  char headers[128];

  if (strcmp (request->target, "/kingcuppoint/report") == 0)
    answer_report (engine, fd);
  else if (strncmp (request->target, "/kingcuppoint/kv-events", 23) == 0)
    answer_events (engine, fd, request);
  else if (strcmp (request->target, "/kingcuppoint/order") == 0)
    {
      if (engine->on_order == NULL || !engine->on_order (engine, fd, request))
        engine_take_order (engine, fd, request);
    }
  else if (is_misdirected (engine, request))
    {
      const char *id = http_header (request, "Request-Id");

      record ("%s turns %s away with 421", engine->id, id != NULL ? id : "-");
      (void)snprintf (headers, sizeof headers, "Instance-Id: %s\r\n", engine->id);
      http_reply (fd, 421, headers, "", 0);
    }
  else
    {
      const char *id = http_header (request, "Request-Id");

      record ("%s runs %s %s %s", engine->id, id != NULL ? id : "-", request->method,
              request->target);
      if (engine->work != NULL)
        engine->work (engine, fd, request);
      else
        engine_run (engine, fd, request);
    }
}

void
engine_start (struct engine *engine)
{
  int port = engine->http.port;

  if (port == 0)
    (void)pthread_mutex_init (&engine->lock, NULL);
  engine->born_ms = unix_ms ();
  engine->beats = 0;
  engine->orders = 0;
  engine->loading = 0;
  engine->up = true;
  engine->beating = true;
  engine->draining = false;
  http_listen (&engine->http, port, on_engine, engine);
  start_thread (beat, engine);
}

void
engine_stop (struct engine *engine)
{
  engine->up = false;
  http_close (&engine->http);
}

/* VMs */

static void
write_settings (struct vm *vm)
{
  FILE *file = fopen (vm->settings, "w");

  (void)fprintf (file,
                 "[vm]\nid = front-%s-%d\ndata_center = %s\nmemory_mb = 260\n"
                 "[callers]\nlisten = 127.0.0.1:%d\n[ready]\nlisten = 127.0.0.1:%d\n"
                 "[metrics]\nlisten = 127.0.0.1:%d\n[peers]\nlisten = 127.0.0.1:%d\n"
                 "[store]\naddress = 127.0.0.1:%d\n[drain]\ngrace_s = 8\n"
                 "[servers]\nleaving_ms = 2000\n[retry]\nratio = 0.2\nburst = 54\n"
                 "window_s = 10\n[quotas]\n[weights]\nreplace_ms = 10000\n"
                 "[orders]\nturn_ms = 3000\n",
                 vm->zone, vm->port, vm->zone, vm->port, vm->ready_port, vm->metrics_port,
                 vm->peers_port, store_port ());
  (void)fclose (file);
}

void
vm_start_again (struct vm *vm)
{
  char variable[300];
  char *arguments[] = { PROGRAM, "route", NULL };
  char *variables[] = { variable, "PATH=/usr/bin:/bin", NULL };

  (void)snprintf (variable, sizeof variable, "KINGCUPPOINT_CONFIG=%s", vm->settings);
  vm->pid = fork ();
  if (vm->pid == 0)
    {
      if (freopen (vm->log, "a", stdout) == NULL || dup2 (1, 2) < 0)
        _exit (126);
      (void)execve (PROGRAM, arguments, variables);
      _exit (127);
    }
}

struct vm *
vm_start (const char *zone)
{
  struct vm *vm = &vms[vm_count++];

  (void)snprintf (vm->zone, sizeof vm->zone, "%s", zone);
  vm->port = free_port ();
  vm->ready_port = free_port ();
  vm->metrics_port = free_port ();
  vm->peers_port = free_port ();
  (void)snprintf (vm->settings, sizeof vm->settings, "%s/vm%d.ini", folder, vm_count);
  (void)snprintf (vm->log, sizeof vm->log, "%s/vm%d.log", folder, vm_count);
  write_settings (vm);
  vm_start_again (vm);
  return vm;
}

void
vm_kill (struct vm *vm)
{
  if (vm->pid > 0)
    {
      (void)kill (vm->pid, SIGKILL);
      (void)waitpid (vm->pid, NULL, 0);
    }
  vm->pid = 0;
}

bool
vm_wait_ready (struct vm *vm, int64_t ms)
{
  static const char request[] = "GET /kingcuppoint/readiness HTTP/1.1\r\nHost: x\r\n"
                                "Connection: close\r\n\r\n";
  int64_t end = now_ms () + ms;

  while (now_ms () < end)
    {
      int fd = tcp_connect (vm->ready_port);
      struct message answer = { 0 };
      bool ready = fd >= 0 && http_write (fd, request, strlen (request))
                   && http_read (fd, &answer, true, now_ms () + 1000)
                   && answer.status == 200;

      message_clear (&answer);
      if (fd >= 0)
        (void)close (fd);
      if (ready)
        return true;
      sleep_ms (50);
    }
  record ("a VM was not ready in time");
  return false;
}

bool
client_send (const struct vm *vm, const char *method, const char *path, const char *id,
             int deadline_ms, const char *lines, const char *body, struct message *answer)
{
  char head[1024];
  int fd = tcp_connect (vm->port);
  bool begun;
  int len;

  memset (answer, 0, sizeof *answer);
  answer->sent_ms = now_ms ();
  record ("%s is sent to the VM at port %d: %s %s", id, vm->port, method, path);
  if (fd < 0)
    {
      record ("%s: no connection", id);
      return false;
    }
  len = snprintf (head, sizeof head,
                  "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
                  "Request-Deadline: %d\r\nAuthorization: Bearer key1\r\n%s"
                  "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                  method, path, id, deadline_ms, lines, strlen (body));
  begun = http_write (fd, head, (size_t)len) && http_write (fd, body, strlen (body));
  if (begun)
    {
      int64_t sent_ms = answer->sent_ms;

      begun = http_read (fd, answer, true, now_ms () + deadline_ms + 2000);
      answer->sent_ms = sent_ms;
    }
  answer->done_ms = now_ms ();
  if (begun)
    record ("%s is answered with %d%s", id, answer->status,
            answer->complete ? "" : ", not complete");
  else
    record ("%s gets no answer", id);
  (void)close (fd);
  return begun;
}
