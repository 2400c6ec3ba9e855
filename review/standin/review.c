#include "review.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
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
#include <netinet/tcp.h>
#include <unistd.h>

#define VMS_MAX     32
#define HEADERS_MAX 256
#define HEADER_SIZE 2048

static struct timespec start_time;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char temporary[RV_TEXT];
static struct rv_vm *vms[VMS_MAX];
static unsigned vms_count;

double
rv_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - start_time.tv_sec) * 1e3
         + (double)(now.tv_nsec - start_time.tv_nsec) / 1e6;
}

void
rv_sleep_ms (int ms)
{
  struct timespec rest = { ms / 1000, (ms % 1000) * 1000000L };

  while (nanosleep (&rest, &rest) != 0 && errno == EINTR)
    ;
}

void
rv_record (const char *format, ...)
{
  char line[RV_TEXT];
  va_list args;

  va_start (args, format);
  (void)vsnprintf (line, sizeof line, format, args);
  va_end (args);
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%9.1f ms  %s\n", rv_now_ms (), line);
  fflush (record_file);
  printf ("%9.1f ms  %s\n", rv_now_ms (), line);
  fflush (stdout);
  pthread_mutex_unlock (&record_lock);
}

bool
rv_begin (const char *folder)
{
  const char *trouble = getenv ("TROUBLE");
  char path[RV_TEXT + 64];

  signal (SIGPIPE, SIG_IGN);
  clock_gettime (CLOCK_MONOTONIC, &start_time);
  (void)snprintf (path, sizeof path, "%s/record.txt", folder);
  record_file = fopen (path, "w");
  (void)snprintf (temporary, sizeof temporary, "%s/review-XXXXXX",
                  getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp");
  if (record_file == NULL || mkdtemp (temporary) == NULL)
    {
      perror ("review");
      exit (2);
    }
  return trouble == NULL || strcmp (trouble, "0") != 0;
}

void
rv_end (int code)
{
  for (unsigned i = 0; i < vms_count; i++)
    if (vms[i]->pid > 0)
      {
        kill (vms[i]->pid, SIGKILL);
        (void)waitpid (vms[i]->pid, NULL, 0);
      }
  rv_record ("result: %s", code == 0   ? "the rule held"
                           : code == 1 ? "the rule was broken"
                                       : "the case could not run");
  if (getenv ("KEEP") == NULL)
    for (unsigned i = 0; i < vms_count; i++)
      {
        char path[RV_TEXT * 2];

        (void)snprintf (path, sizeof path, "%s/route.ini", vms[i]->folder);
        (void)unlink (path);
        (void)snprintf (path, sizeof path, "%s/out.log", vms[i]->folder);
        (void)unlink (path);
        (void)rmdir (vms[i]->folder);
      }
  if (getenv ("KEEP") == NULL)
    (void)rmdir (temporary);
  exit (code);
}

int
rv_free_port (int type)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, type, 0);

  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    rv_end (2);
  close (fd);
  return ntohs (address.sin_port);
}

/* --- HTTP, as much of it as the router and the stand-ins speak --- */

struct reader
{
  int fd;
  char buffer[65536];
  size_t from, to;
};

static int
next_byte (struct reader *in)
{
  if (in->from == in->to)
    {
      ssize_t got = recv (in->fd, in->buffer, sizeof in->buffer, 0);

      if (got <= 0)
        return -1;
      in->from = 0;
      in->to = (size_t)got;
    }
  return (unsigned char)in->buffer[in->from++];
}

static bool
read_line (struct reader *in, char *line, size_t size)
{
  size_t len = 0;
  int byte;

  while ((byte = next_byte (in)) >= 0 && byte != '\n')
    if (byte != '\r' && len + 1 < size)
      line[len++] = (char)byte;
  line[len] = '\0';
  return byte >= 0;
}

static char *
read_bytes (struct reader *in, size_t len)
{
  char *bytes = malloc (len + 1);

  for (size_t i = 0; i < len; i++)
    {
      int byte = next_byte (in);

      if (byte < 0)
        {
          free (bytes);
          return NULL;
        }
      bytes[i] = (char)byte;
    }
  bytes[len] = '\0';
  return bytes;
}

struct request
{
  char method[16];
  char target[2048];
  char headers[HEADERS_MAX][2][HEADER_SIZE]; /* names in lower case */
  unsigned count;
  char *body;
  size_t len;
};

static const char *
header (const struct request *request, const char *name)
{
  for (unsigned i = 0; i < request->count; i++)
    if (strcmp (request->headers[i][0], name) == 0)
      return request->headers[i][1];
  return NULL;
}

static bool
read_request (struct reader *in, struct request *request)
{
  char line[8192];

  request->count = 0;
  request->body = NULL;
  request->len = 0;
  if (!read_line (in, line, sizeof line)
      || sscanf (line, "%15s %2047s", request->method, request->target) != 2)
    return false;
  while (read_line (in, line, sizeof line))
    {
      char *colon = strchr (line, ':');

      if (line[0] == '\0')
        {
          const char *length = header (request, "content-length");

          request->len = length != NULL ? strtoul (length, NULL, 10) : 0;
          request->body = read_bytes (in, request->len);
          return request->body != NULL;
        }
      if (colon == NULL || request->count == HEADERS_MAX)
        continue;
      *colon++ = '\0';
      while (*colon == ' ')
        colon++;
      for (char *c = line; *c != '\0'; c++)
        if (*c >= 'A' && *c <= 'Z')
          *c = (char)(*c - 'A' + 'a');
      (void)snprintf (request->headers[request->count][0], HEADER_SIZE, "%.*s", HEADER_SIZE - 1, line);
      (void)snprintf (request->headers[request->count][1], HEADER_SIZE, "%.*s", HEADER_SIZE - 1, colon);
      request->count++;
    }
  return false;
}

static bool
send_bytes (int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, bytes, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      len -= (size_t)sent;
    }
  return true;
}

bool
rv_send (int fd, const char *text)
{
  return send_bytes (fd, text, strlen (text));
}

struct service
{
  int fd;
  bool (*handle) (int fd, const struct request *request, void *user);
  void *user;
};

static void *
serve_connection (void *argument)
{
  struct service *service = argument;
  struct reader *in = calloc (1, sizeof *in);
  struct request *request = malloc (sizeof *request);
  int on = 1;

  (void)setsockopt (service->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  in->fd = service->fd;
  while (read_request (in, request))
    {
      bool keep = service->handle (service->fd, request, service->user);

      free (request->body);
      if (!keep)
        break;
    }
  close (service->fd);
  free (request);
  free (in);
  free (service);
  return NULL;
}

static void *
accept_all (void *argument)
{
  struct service *listener = argument;

  for (;;)
    {
      int fd = accept (listener->fd, NULL, NULL);
      struct service *service;
      pthread_t thread;

      if (fd < 0)
        continue;
      service = malloc (sizeof *service);
      *service = *listener;
      service->fd = fd;
      if (pthread_create (&thread, NULL, serve_connection, service) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

/* Listens on a free loopback port and returns it. */
static int
listen_with (bool (*handle) (int, const struct request *, void *), void *user)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  struct service *listener = malloc (sizeof *listener);
  pthread_t thread;

  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  listener->handle = handle;
  listener->user = user;
  if (bind (listener->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener->fd, 256) != 0
      || getsockname (listener->fd, (struct sockaddr *)&address, &len) != 0
      || pthread_create (&thread, NULL, accept_all, listener) != 0)
    rv_end (2);
  pthread_detach (thread);
  return ntohs (address.sin_port);
}

int
rv_connect (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Receives one answer, by its length, its chunks, or up to the end of the connection. */
struct rv_answer
rv_receive (int fd, int timeout_ms)
{
  struct rv_answer answer = { 0 };
  struct reader *in = calloc (1, sizeof *in);
  struct timeval limit = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
  char line[8192];
  long length = -1;
  bool chunked = false;

  (void)setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  in->fd = fd;
  answer.body = calloc (1, 1);
  if (!read_line (in, line, sizeof line) || sscanf (line, "HTTP/%*s %d", &answer.status) != 1)
    goto out;
  while (read_line (in, line, sizeof line) && line[0] != '\0')
    {
      if (strncasecmp (line, "Content-Length:", 15) == 0)
        length = atol (line + 15);
      if (strncasecmp (line, "Transfer-Encoding:", 18) == 0)
        chunked = true;
    }
  for (;;)
    {
      long part = length;
      char *bytes;

      if (chunked && (!read_line (in, line, sizeof line) || (part = strtol (line, NULL, 16)) < 0))
        goto out;
      if (!chunked && length < 0)
        {
          int byte = next_byte (in);

          if (byte < 0)
            break;
          answer.body = realloc (answer.body, answer.len + 2);
          answer.body[answer.len++] = (char)byte;
          answer.body[answer.len] = '\0';
          continue;
        }
      bytes = read_bytes (in, (size_t)part);
      if (bytes == NULL)
        goto out;
      answer.body = realloc (answer.body, answer.len + (size_t)part + 1);
      memcpy (answer.body + answer.len, bytes, (size_t)part + 1);
      answer.len += (size_t)part;
      free (bytes);
      if (!chunked || part == 0)
        {
          answer.complete = true;
          break;
        }
      if (!read_line (in, line, sizeof line))
        goto out;
    }
out:
  free (in);
  return answer;
}

struct rv_answer
rv_call (int port, const char *head, const char *body, int timeout_ms)
{
  struct rv_answer answer = { 0 };
  int fd = rv_connect (port);
  char length[64];

  if (fd < 0)
    return answer;
  (void)snprintf (length, sizeof length, "Content-Length: %zu\r\n\r\n", strlen (body));
  if (rv_send (fd, head) && rv_send (fd, length) && rv_send (fd, body))
    answer = rv_receive (fd, timeout_ms);
  close (fd);
  return answer;
}

/* --- the store --- */

#define TOPICS_MAX  16
#define RECORDS_MAX 20000

struct record
{
  char *bytes;
  size_t len;
};

struct topic
{
  char name[64];
  struct record records[RECORDS_MAX];
  unsigned count;
  unsigned copied; /* records that the copy has */
};

static struct topic *topics[TOPICS_MAX];
static unsigned topics_count;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static bool store_away;
static int store_era = 1;
static int store_port;

static struct topic *
find_topic (const char *name)
{
  for (unsigned i = 0; i < topics_count; i++)
    if (strcmp (topics[i]->name, name) == 0)
      return topics[i];
  if (topics_count == TOPICS_MAX)
    rv_end (2);
  topics[topics_count] = calloc (1, sizeof **topics);
  (void)snprintf (topics[topics_count]->name, 64, "%s", name);
  return topics[topics_count++];
}

static void
append_record (struct topic *topic, const char *bytes, size_t len)
{
  struct record record = { .bytes = malloc (len + 1), .len = len };

  if (topic->count == RECORDS_MAX)
    rv_end (2);
  memcpy (record.bytes, bytes, len);
  record.bytes[len] = '\0';
  topic->records[topic->count++] = record;
  pthread_cond_broadcast (&store_changed);
}

static bool
store_reply (int fd, int status, const char *type, const char *body, size_t len)
{
  char head[256];

  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 %d X\r\nContent-Type: %s\r\nStore-Era: %d\r\n"
                  "Content-Length: %zu\r\n\r\n",
                  status, type, store_era, len);
  return rv_send (fd, head) && send_bytes (fd, body, len);
}

static bool
store_json (int fd, int status, const char *format, ...)
{
  char body[512];
  va_list args;

  va_start (args, format);
  (void)vsnprintf (body, sizeof body, format, args);
  va_end (args);
  return store_reply (fd, status, "application/json", body, strlen (body));
}

/* A machine's path to the store. */
struct path
{
  volatile bool cut;
};

static struct path whole_path;
static struct path other_path;
static int other_port;

/* Holds a call back while the path is cut. Returns true if it was: what was on its way is
   lost then. */
static bool
hold_while_cut (const struct path *path)
{
  bool cut = path->cut;

  while (path->cut)
    {
      pthread_mutex_unlock (&store_lock);
      rv_sleep_ms (5);
      pthread_mutex_lock (&store_lock);
    }
  return cut;
}

static const char *
query (const char *target, const char *name, char *value, size_t size)
{
  char pattern[64];
  const char *at = strchr (target, '?');

  (void)snprintf (pattern, sizeof pattern, "%s=", name);
  while (at != NULL)
    {
      at++;
      if (strncmp (at, pattern, strlen (pattern)) == 0)
        {
          (void)snprintf (value, size, "%.*s", (int)strcspn (at + strlen (pattern), "&"),
                          at + strlen (pattern));
          return value;
        }
      at = strchr (at, '&');
    }
  return NULL;
}

static void
put_number (char *out, uint64_t number, int bytes)
{
  for (int i = 0; i < bytes; i++)
    out[i] = (char)(number >> (8 * (bytes - 1 - i)));
}

static bool
handle_append (int fd, const struct request *request, struct topic *topic)
{
  char value[64];
  size_t at = 0;
  unsigned first;

  if (query (request->target, "at", value, sizeof value) != NULL
      && strtoul (value, NULL, 10) != topic->count)
    return store_json (fd, 412, "{\"end\":%u}", topic->count);
  first = topic->count;
  while (at + 4 <= request->len)
    {
      const unsigned char *p = (const unsigned char *)request->body + at;
      size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];

      append_record (topic, request->body + at + 4, len);
      if (strcmp (topic->name, "kingcuppoint.orders") == 0)
        rv_record ("store: %s[%u] = %s", topic->name, topic->count - 1,
                   topic->records[topic->count - 1].bytes);
      at += 4 + len;
    }
  return store_json (fd, 200, "{\"offset\":%u,\"end\":%u}", first, topic->count);
}

static bool
handle_read (int fd, const struct request *request, struct topic *topic,
             const struct path *path)
{
  char value[64];
  unsigned from = 0;
  int wait_ms = 0;
  int era = store_era;
  struct timespec until;
  size_t len = 16;
  char *out;
  bool sent;

  if (query (request->target, "from", value, sizeof value) != NULL)
    from = (unsigned)strtoul (value, NULL, 10);
  if (query (request->target, "wait-ms", value, sizeof value) != NULL)
    wait_ms = atoi (value);
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += (wait_ms % 1000) * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000L;
    }
  while (from == topic->count && wait_ms > 0 && !store_away && era == store_era
         && !path->cut && pthread_cond_timedwait (&store_changed, &store_lock, &until) == 0)
    ;
  if (hold_while_cut (path) || store_away || era != store_era)
    return false;
  if (from > topic->count)
    return store_json (fd, 410, "{\"first\":0}");
  for (unsigned i = from; i < topic->count; i++)
    len += 4 + topic->records[i].len;
  out = malloc (len);
  put_number (out, topic->count, 8);
  put_number (out + 8, 0, 8);
  len = 16;
  for (unsigned i = from; i < topic->count; i++)
    {
      put_number (out + len, topic->records[i].len, 4);
      memcpy (out + len + 4, topic->records[i].bytes, topic->records[i].len);
      len += 4 + topic->records[i].len;
    }
  sent = store_reply (fd, 200, "application/octet-stream", out, len);
  free (out);
  return sent;
}

static size_t
encode_base64 (const char *in, size_t len, char *out)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t at = 0;

  for (size_t i = 0; i < len; i += 3)
    {
      unsigned group = (unsigned)(unsigned char)in[i] << 16;

      if (i + 1 < len)
        group |= (unsigned)(unsigned char)in[i + 1] << 8;
      if (i + 2 < len)
        group |= (unsigned char)in[i + 2];
      out[at++] = digits[group >> 18];
      out[at++] = digits[(group >> 12) & 63];
      out[at++] = i + 1 < len ? digits[(group >> 6) & 63] : '=';
      out[at++] = i + 2 < len ? digits[group & 63] : '=';
    }
  out[at] = '\0';
  return at;
}

/* Answers with the newest record of each key in one page; the cases have few keys. */
static bool
handle_newest (int fd, struct topic *topic)
{
  size_t size = 256;
  char *out;
  size_t len;
  bool first = true;
  bool sent;

  for (unsigned i = 0; i < topic->count; i++)
    size += topic->records[i].len * 2 + 64;
  out = malloc (size);
  len = (size_t)sprintf (out, "{\"items\":[");
  for (unsigned i = 0; i < topic->count; i++)
    {
      const struct record *record = &topic->records[i];
      size_t key_len = (unsigned char)record->bytes[0];
      bool newest = true;

      for (unsigned j = i + 1; j < topic->count && newest; j++)
        newest = topic->records[j].len < 1 + key_len
                 || memcmp (topic->records[j].bytes, record->bytes, 1 + key_len) != 0;
      if (!newest || record->len <= 1 + key_len)
        continue;
      len += (size_t)sprintf (out + len, "%s{\"key\":\"%.*s\",\"value\":\"", first ? "" : ",",
                              (int)key_len, record->bytes + 1);
      len += encode_base64 (record->bytes + 1 + key_len, record->len - 1 - key_len, out + len);
      len += (size_t)sprintf (out + len, "\",\"offset\":%u}", i);
      first = false;
    }
  len += (size_t)sprintf (out + len, "],\"has-more\":false,\"end\":%u}", topic->count);
  sent = store_reply (fd, 200, "application/json", out, len);
  free (out);
  return sent;
}

static bool
handle_store (int fd, const struct request *request, void *user)
{
  char name[64];
  struct topic *topic;
  bool keep = false;
  const struct path *path = user;

  if (query (request->target, "topic", name, sizeof name) == NULL)
    return store_json (fd, 404, "{}");
  pthread_mutex_lock (&store_lock);
  topic = find_topic (name);
  if (hold_while_cut (path) || store_away)
    keep = false;
  else if (strncmp (request->target, "/kingcuppoint/log-append", 24) == 0)
    keep = handle_append (fd, request, topic);
  else if (strncmp (request->target, "/kingcuppoint/log-read", 22) == 0)
    keep = handle_read (fd, request, topic, path);
  else if (strncmp (request->target, "/kingcuppoint/log-newest", 24) == 0)
    keep = handle_newest (fd, topic);
  else
    keep = store_json (fd, 404, "{}");
  pthread_mutex_unlock (&store_lock);
  return keep;
}

void
rv_store_start (void)
{
  store_port = listen_with (handle_store, &whole_path);
  other_port = listen_with (handle_store, &other_path);
}

int
rv_store_other_port (void)
{
  return other_port;
}

void
rv_store_cut_other (bool cut)
{
  pthread_mutex_lock (&store_lock);
  other_path.cut = cut;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
}

int
rv_store_port (void)
{
  return store_port;
}

void
rv_store_put (const char *topic, const char *key, const char *value)
{
  size_t len = 1 + strlen (key) + strlen (value);
  char *bytes = malloc (len + 1);

  bytes[0] = (char)strlen (key);
  (void)sprintf (bytes + 1, "%s%s", key, value);
  pthread_mutex_lock (&store_lock);
  append_record (find_topic (topic), bytes, len);
  pthread_mutex_unlock (&store_lock);
  free (bytes);
}

void
rv_store_set_away (bool away)
{
  pthread_mutex_lock (&store_lock);
  store_away = away;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
}

void
rv_store_copy (void)
{
  pthread_mutex_lock (&store_lock);
  for (unsigned i = 0; i < topics_count; i++)
    topics[i]->copied = topics[i]->count;
  pthread_mutex_unlock (&store_lock);
}

void
rv_store_restore (void)
{
  pthread_mutex_lock (&store_lock);
  for (unsigned i = 0; i < topics_count; i++)
    topics[i]->count = topics[i]->copied;
  store_era++;
  store_away = false;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
}

unsigned
rv_store_end (const char *topic)
{
  unsigned end;

  pthread_mutex_lock (&store_lock);
  end = find_topic (topic)->count;
  pthread_mutex_unlock (&store_lock);
  return end;
}

/* --- engines --- */

static const char *
text_field (const char *json, const char *name, char *value, size_t size)
{
  char pattern[64];
  const char *at;

  (void)snprintf (pattern, sizeof pattern, "\"%s\":", name);
  at = strstr (json, pattern);
  value[0] = '\0';
  if (at == NULL)
    return NULL;
  at += strlen (pattern);
  while (*at == ' ' || *at == '"')
    at++;
  (void)snprintf (value, size, "%.*s", (int)strcspn (at, "\",}"), at);
  return value;
}

struct load
{
  struct rv_engine *engine;
  int version;
};

static void *
load_weights (void *argument)
{
  struct load *load = argument;
  struct rv_engine *engine = load->engine;

  rv_sleep_ms (engine->load_ms);
  pthread_mutex_lock (&engine->lock);
  engine->version = load->version;
  engine->busy = false;
  engine->parts_count = 0;
  pthread_mutex_unlock (&engine->lock);
  rv_engine_put_entry (engine);
  free (load);
  return NULL;
}

static bool
handle_order (int fd, const struct request *request, struct rv_engine *engine)
{
  struct rv_order order = { .at_ms = rv_now_ms (), .status = 202 };
  char value[64];
  char reply[128];
  const char *expected;
  const char *instance = header (request, "expect-instance");

  text_field (request->body, "holder", order.holder, sizeof order.holder);
  text_field (request->body, "fence", value, sizeof value);
  order.fence = atoll (value);
  text_field (request->body, "version", value, sizeof value);
  order.version = atoi (value);
  expected = text_field (request->body, "expected", value, sizeof value);
  pthread_mutex_lock (&engine->lock);
  if (instance != NULL && strcmp (instance, engine->id) != 0)
    order.status = 421;
  else if (engine->busy || (expected != NULL && atoi (expected) != engine->seq))
    order.status = 409;
  else if (engine->version >= order.version)
    order.status = 200;
  else
    {
      struct load *load = malloc (sizeof *load);
      pthread_t thread;

      *load = (struct load){ engine, order.version };
      engine->busy = true;
      engine->seq++;
      if (pthread_create (&thread, NULL, load_weights, load) == 0)
        pthread_detach (thread);
    }
  if (engine->orders_count < 256)
    engine->orders[engine->orders_count++] = order;
  pthread_mutex_unlock (&engine->lock);
  rv_record ("engine %s: order to load version %d from holder %s, fence %lld -> %d",
             engine->id, order.version, order.holder, order.fence, order.status);
  if (engine->on_order != NULL)
    engine->on_order (engine, &order);
  (void)snprintf (reply, sizeof reply, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n",
                  order.status);
  return rv_send (fd, reply);
}

static bool
send_json (int fd, const char *body)
{
  char head[128];

  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Content-Length: %zu\r\n\r\n",
                  strlen (body));
  return rv_send (fd, head) && rv_send (fd, body);
}

static bool
handle_report (int fd, struct rv_engine *engine)
{
  char body[512];

  pthread_mutex_lock (&engine->lock);
  (void)snprintf (body, sizeof body,
                  "{\"stage\":\"colocated\",\"models\":[{\"name\":\"mod\",\"version\":%d,"
                  "\"adapters\":[]}],\"busy\":%s,\"seq-no\":%d,\"queued\":0,\"active\":0,"
                  "\"kv-used\":0,\"kv-total\":146851,\"handles\":0,\"born\":%lld}",
                  engine->version, engine->busy ? "true" : "false", engine->seq,
                  engine->born);
  pthread_mutex_unlock (&engine->lock);
  return send_json (fd, body);
}

/* Answers with the parts kept since the event that the caller names, or without any after
   the time for which the caller waits. An event is added for each part; that new weights
   dropped them shows as a gap. */
static bool
handle_events (int fd, const struct request *request, struct rv_engine *engine)
{
  const char *wait = header (request, "wait-ms");
  int left_ms = wait != NULL ? atoi (wait) : 0;
  char value[32];
  unsigned since = 0;
  char *body = malloc (256 * 512);
  size_t len;
  bool sent;

  if (query (request->target, "since", value, sizeof value) != NULL)
    since = (unsigned)strtoul (value, NULL, 10);
  pthread_mutex_lock (&engine->lock);
  while (engine->parts_count == since && left_ms > 0)
    {
      pthread_mutex_unlock (&engine->lock);
      rv_sleep_ms (20);
      left_ms -= 20;
      pthread_mutex_lock (&engine->lock);
    }
  len = (size_t)sprintf (body, "{\"boot-epoch\":%lld,\"next\":%u,\"lost\":%s,\"events\":[",
                         engine->born, engine->parts_count,
                         since > engine->parts_count ? "true" : "false");
  for (unsigned i = since; i < engine->parts_count; i++)
    {
      const struct rv_part *part = &engine->parts[i];
      const char *bar = strchr (part->key, '|');

      len += (size_t)sprintf (body + len, "%s[%u,\"+\",\"%.*s\",\"%s\",%d,\"mod\"]",
                              i > since ? "," : "", i + 1, (int)(bar - part->key), part->key,
                              bar + 1, part->tokens);
    }
  (void)sprintf (body + len, "],\"born\":%lld}", engine->born);
  pthread_mutex_unlock (&engine->lock);
  sent = send_json (fd, body);
  free (body);
  return sent;
}

/* Uses and keeps the parts of the prompt under the request's salt. */
static void
use_parts (struct rv_engine *engine, const struct request *request)
{
  const char *prefix = header (request, "prompt-prefix");
  const char *salt = header (request, "cache-salt");
  const char *tenant = header (request, "tenant");
  const char *id = header (request, "request-id");
  char list[1024];
  char *rest = list;
  char *item;
  bool found = true;

  if (prefix == NULL)
    return;
  (void)snprintf (list, sizeof list, "%s", prefix);
  pthread_mutex_lock (&engine->lock);
  while ((item = strtok_r (rest, ", ", &rest)) != NULL)
    {
      struct rv_part part = { 0 };
      const struct rv_part *known = NULL;
      char *colon = strchr (item, ':');

      if (colon == NULL)
        continue;
      *colon = '\0';
      part.tokens = atoi (colon + 1);
      (void)snprintf (part.key, sizeof part.key, "%s|%s", salt != NULL ? salt : "", item);
      (void)snprintf (part.tenant, sizeof part.tenant, "%s", tenant != NULL ? tenant : "");
      for (unsigned i = 0; i < engine->parts_count && known == NULL; i++)
        if (strcmp (engine->parts[i].key, part.key) == 0)
          known = &engine->parts[i];
      found = found && known != NULL;
      if (found && engine->on_use != NULL)
        engine->on_use (engine, id, part.tenant, known);
      if (known == NULL && engine->parts_count < 256)
        engine->parts[engine->parts_count++] = part;
    }
  pthread_mutex_unlock (&engine->lock);
}

/* Answers a request of a service without a model, with a body of 800 bytes. */
static bool
answer_plainly (int fd, struct rv_engine *engine, const char *id)
{
  char body[801];
  char head[512];

  memset (body, 'b', 800);
  body[800] = '\0';
  rv_sleep_ms (engine->event_ms);
  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal-%s\r\n"
                  "Content-Type: application/json\r\nContent-Length: 800\r\n\r\n",
                  id, engine->id);
  rv_record ("engine %s: has run %s, sends 200 with a head of %zu bytes", engine->id, id,
             strlen (head));
  return rv_send (fd, head) && rv_send (fd, body);
}

static bool
handle_request (int fd, const struct request *request, struct rv_engine *engine)
{
  const char *id = header (request, "request-id");
  const char *after = header (request, "last-event-id");
  const char *version = header (request, "expect-version");
  const char *instance = header (request, "expect-instance");
  char text[512];
  int current;

  pthread_mutex_lock (&engine->lock);
  current = engine->version;
  pthread_mutex_unlock (&engine->lock);
  if ((instance != NULL && strcmp (instance, engine->id) != 0)
      || (version != NULL && atoi (version) != current))
    {
      (void)snprintf (text, sizeof text,
                      "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n",
                      id, engine->id);
      return rv_send (fd, text);
    }
  pthread_mutex_lock (&engine->lock);
  engine->runs++;
  pthread_mutex_unlock (&engine->lock);
  if (engine->plain)
    return answer_plainly (fd, engine, id);
  use_parts (engine, request);
  rv_record ("engine %s (software %s): runs %s, Last-Event-Id %s", engine->id,
             engine->software, id, after != NULL ? after : "-");
  (void)snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal-%s\r\n"
                  "Weight-Versions: %d\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  id, engine->id, current);
  if (!rv_send (fd, text))
    return false;
  for (int i = after != NULL ? atoi (after) : 0; i < engine->events; i++)
    {
      char event[128];

      rv_sleep_ms (engine->event_ms);
      (void)snprintf (event, sizeof event, "id: %d\ndata: %s-%d\n\n", i + 1,
                      engine->software, i + 1);
      (void)snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      if (!rv_send (fd, text))
        return false;
    }
  return rv_send (fd, "0\r\n\r\n");
}

static bool
handle_engine (int fd, const struct request *request, void *user)
{
  if (strncmp (request->target, "/kingcuppoint/order", 19) == 0)
    return handle_order (fd, request, user);
  if (strncmp (request->target, "/kingcuppoint/report", 20) == 0)
    return handle_report (fd, user);
  if (strncmp (request->target, "/kingcuppoint/kv-events", 23) == 0)
    return handle_events (fd, request, user);
  return handle_request (fd, request, user);
}

void
rv_engine_start (struct rv_engine *engine, const char *id, const char *zone)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  (void)snprintf (engine->id, sizeof engine->id, "%s", id);
  (void)snprintf (engine->zone, sizeof engine->zone, "%s", zone);
  pthread_mutex_init (&engine->lock, NULL);
  engine->version = 1;
  if (engine->software[0] == '\0')
    (void)strcpy (engine->software, "v1");
  engine->born = (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  engine->load_ms = engine->load_ms > 0 ? engine->load_ms : 900;
  engine->events = engine->events > 0 ? engine->events : 6;
  engine->event_ms = engine->event_ms > 0 ? engine->event_ms : 10;
  engine->port = listen_with (handle_engine, engine);
  rv_engine_put_entry (engine);
}

void
rv_engine_put_entry (struct rv_engine *engine)
{
  char entry[1024];
  char models[256];

  pthread_mutex_lock (&engine->lock);
  (void)snprintf (models, sizeof models,
                  "\"stage\":\"colocated\",\"models\":[{\"name\":\"mod\",\"version\":%d,"
                  "\"adapters\":[]}],",
                  engine->version);
  (void)snprintf (entry, sizeof entry,
                  "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                  "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
                  "\"cold-remaining-ms\":0,%s\"seq-no\":%u,\"born\":%lld}",
                  engine->plain ? "app" : "pool", engine->port, engine->zone,
                  engine->software, engine->plain ? 6 : 64,
                  engine->draining ? "draining" : "ready", engine->plain ? "" : models, engine->runs,
                  engine->born);
  pthread_mutex_unlock (&engine->lock);
  rv_store_put ("keyed.servers", engine->id, entry);
}

/* --- the project's processes --- */

/* Writes the settings as platform/settings.template makes them of a small deployment's
   fields. */
void
rv_vm_prepare (struct rv_vm *vm, const char *name, const char *zone)
{
  char path[RV_TEXT * 2];
  FILE *file;

  (void)snprintf (vm->name, sizeof vm->name, "%s", name);
  (void)snprintf (vm->zone, sizeof vm->zone, "%s", zone);
  (void)snprintf (vm->folder, sizeof vm->folder, "%.2000s/%s", temporary, name);
  (void)mkdir (vm->folder, 0700);
  vm->port = rv_free_port (SOCK_STREAM);
  vm->ready_port = rv_free_port (SOCK_STREAM);
  vm->metrics_port = rv_free_port (SOCK_STREAM);
  vm->peers_port = rv_free_port (SOCK_DGRAM);
  (void)snprintf (path, sizeof path, "%s/route.ini", vm->folder);
  file = fopen (path, "w");
  if (file == NULL || vms_count == VMS_MAX)
    rv_end (2);
  fprintf (file,
           "[vm]\nid = %s\ndata_center = %s\nmemory_mb = 260\n\n"
           "[callers]\nlisten = 127.0.0.1:%d\n\n[ready]\nlisten = 127.0.0.1:%d\n\n"
           "[metrics]\nlisten = 127.0.0.1:%d\n\n[peers]\nlisten = 127.0.0.1:%d\n\n"
           "[store]\naddress = 127.0.0.1:%d\n\n[drain]\ngrace_s = 8\n\n"
           "[servers]\nleaving_ms = 2000\n\n[retry]\nratio = 0.2\nburst = 54\n"
           "window_s = 10\n\n[weights]\nreplace_ms = 10000\n\n[orders]\nturn_ms = 3000\n",
           vm->name, vm->zone, vm->port, vm->ready_port, vm->metrics_port, vm->peers_port,
           vm->other_path ? rv_store_other_port () : rv_store_port ());
  fclose (file);
  vms[vms_count++] = vm;
}

/* Starts the command of deploy/system.toml, in the repository's root. */
void
rv_vm_start (struct rv_vm *vm)
{
  char settings[RV_TEXT * 2];
  char log[RV_TEXT * 2];

  (void)snprintf (settings, sizeof settings, "%s/route.ini", vm->folder);
  (void)snprintf (log, sizeof log, "%s/out.log", vm->folder);
  vm->pid = fork ();
  if (vm->pid == 0)
    {
      (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
      (void)setenv ("KINGCUPPOINT_CONFIG", settings, 1);
      if (freopen (log, "a", stdout) == NULL || dup2 (1, 2) < 0)
        _exit (126);
      (void)execl ("target/kingcuppoint", "target/kingcuppoint", "route", (char *)NULL);
      _exit (127);
    }
  rv_record ("machine %s (%s): started, callers at 127.0.0.1:%d", vm->name, vm->zone,
             vm->port);
}

bool
rv_vm_wait_ready (struct rv_vm *vm, int timeout_ms)
{
  double until = rv_now_ms () + timeout_ms;

  while (rv_now_ms () < until)
    {
      struct rv_answer answer
          = rv_call (vm->ready_port, "GET /kingcuppoint/readiness HTTP/1.1\r\nHost: h\r\n", "",
                     1000);

      free (answer.body);
      if (answer.status == 200)
        {
          rv_record ("machine %s: ready", vm->name);
          return true;
        }
      rv_sleep_ms (20);
    }
  return false;
}

void
rv_vm_signal (struct rv_vm *vm, int signal)
{
  rv_record ("machine %s: gets %s", vm->name, strsignal (signal));
  if (kill (vm->pid, signal) != 0)
    rv_end (2);
}

bool
rv_vm_wait_end (struct rv_vm *vm, int timeout_ms)
{
  double until = rv_now_ms () + timeout_ms;

  while (rv_now_ms () < until)
    {
      if (waitpid (vm->pid, &vm->status, WNOHANG) == vm->pid)
        {
          vm->pid = 0;
          if (WIFSIGNALED (vm->status))
            rv_record ("machine %s: process ended by signal %d (%s)", vm->name,
                       WTERMSIG (vm->status), strsignal (WTERMSIG (vm->status)));
          else
            rv_record ("machine %s: process exited with %d", vm->name,
                       WEXITSTATUS (vm->status));
          return true;
        }
      rv_sleep_ms (10);
    }
  return false;
}

const char *rv_config_format
    = "{\"version\":%d,\"routes\":[{\"name\":\"review\",\"host\":\"h\",\"path-prefix\":"
      "\"/review/\",\"route-type\":\"streaming\",\"timeout-ms\":6000,"
      "\"target-latency-ms\":800,\"priority\":1,\"service\":\"pool\",\"max-attempts\":2,"
      "\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-target-ms\":400},"
      "{\"name\":\"booking\",\"host\":\"h\",\"path-prefix\":\"/booking/\",\"route-type\":"
      "\"non_idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,\"priority\":2,"
      "\"service\":\"app\",\"max-attempts\":1,\"public\":false,\"sticky\":false}],"
      "\"services\":[{\"name\":\"pool\",\"health-path\":\"/health\",\"max-conns\":360,"
      "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity-tokens\":"
      "146851,\"kv-token-bytes\":18432,\"link-mbps\":180000.0,\"max-in-flight\":12,"
      "\"models\":[{\"name\":\"mod\"}]}},{\"name\":\"app\",\"health-path\":\"/health\","
      "\"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"one\",\"api-keys\":[\"key-one\"],\"priority\":1,"
      "\"isolated\":%s},{\"name\":\"two\",\"api-keys\":[\"key-two\"],\"priority\":1,"
      "\"isolated\":false}]}";

void
rv_put_config (int version, bool first_isolated)
{
  char config[RV_TEXT];

  (void)snprintf (config, sizeof config, rv_config_format, version,
                  first_isolated ? "true" : "false");
  rv_store_put ("keyed.op", "config", config);
}
