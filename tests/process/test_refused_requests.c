/* Requests that must run once: none is answered as not run after it has run, or before it
   runs, and none runs twice. The servers lose connections, refuse late, and are listed
   again. */
#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define PLAYS_MAX          5u /* until a request has been sent on a kept connection */
#define RUN_MS             30
#define LATE_MS            150  /* after an answer, within which a request might run */
#define LATER_MS           2000 /* start of a process after that of the first one */
#define RELIST_MS          600  /* until an entry that was put again is known */
#define WAIT_CLOSE_MS      3000 /* of a server whose stream was given up */
#define STILL_AT_WORK_MS   400  /* a stream may be at two servers for less */
#define LONG_EVENT_BYTES   (8u << 20)
#define OK_ANSWER_LINES    "Content-Length: 2\r\n"
#define STREAM_LINES       "Content-Type: text/event-stream\r\n"
#define LONG_BODY_BYTES    (7u << 20) /* more than sockets hold */
#define SMALL_BUFFER_BYTES 2048
#define BLOCK_BYTES        4096

#define BACKLOG         16
#define WAITING_CALLERS 12u
#define DRAIN_ROUNDS    8u
#define EARLY_REFUSAL                                                                    \
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"                    \
  "Content-Length: 0\r\n\r\n"
#define REPEATABLE       "\"idempotent\""
#define VERSION_BEFORE   "\"version\":7"
#define WARM_CALLERS     4u
#define KEPT_BITS        64
#define PAST_DEADLINE_MS 2800
#define OTHERS_REFUSAL                                                                   \
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: r0\r\nNot-Executed: 1\r\n"                    \
  "Content-Length: 0\r\n\r\n"
#define WARM_PREFIX "warm"

/* What happened to the request under test. */
struct history
{
  unsigned arrivals;
  unsigned runs;
  uint64_t kept; /* bits: the server's connections that had a request before */
  int arrived;   /* connection of its first arrival */
  int64_t closed_us;
  struct scripted_server *first; /* at which it arrived first */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct history history;

static const char config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"once\",\"host\":\"h\",\"path-prefix\":\"/once/\","
      "\"route-type\":\"non_idempotent\",\"timeout-ms\":3000,\"max-attempts\":1,"
      "\"service\":\"s\"},"
      "{\"name\":\"again\",\"host\":\"h\",\"path-prefix\":\"/again/\","
      "\"route-type\":\"idempotent\",\"timeout-ms\":3000,\"max-attempts\":2,"
      "\"service\":\"s\"},"
      "{\"name\":\"whole\",\"host\":\"h\",\"path-prefix\":\"/whole/\","
      "\"route-type\":\"streaming\",\"resumable\":false,\"timeout-ms\":3000,"
      "\"max-attempts\":2,\"service\":\"s\"},"
      "{\"name\":\"stream\",\"host\":\"h\",\"path-prefix\":\"/stream/\","
      "\"route-type\":\"streaming\",\"resumable\":true,\"timeout-ms\":3000,"
      "\"max-attempts\":2,\"service\":\"s\"}],"
      "\"services\":[{\"name\":\"s\",\"max-conns\":100}],"
      "\"limits\":{\"max-body-bytes\":8000000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"team1\",\"api-keys\":[\"key1\"],\"isolated\":false}]}";

static void
set_up (void)
{
  history = (struct history){ .arrived = -1 };
  scripted_vm_set_up ();
  fake_platform_put_record (route_vm.platform, "config", config);
}

static void
tear_down (void)
{
  scripted_vm_tear_down ();
}

/* Returns the number of arrivals before this one. */
static unsigned
note_arrival (const struct scripted_request *request)
{
  unsigned before;

  pthread_mutex_lock (&lock);
  before = history.arrivals++;
  if (before == 0)
    {
      history.arrived = (int)request->connection;
      history.first = request->server;
    }
  pthread_mutex_unlock (&lock);
  return before;
}

static void
run (void)
{
  pthread_mutex_lock (&lock);
  history.runs++;
  pthread_mutex_unlock (&lock);
}

static struct history
get_history (void)
{
  struct history copy;

  pthread_mutex_lock (&lock);
  copy = history;
  pthread_mutex_unlock (&lock);
  return copy;
}

/* Answers the requests that open a connection. Returns false for others. */
static bool
serve_warm (struct scripted_request *request)
{
  if (!g_str_has_prefix (request->id, WARM_PREFIX))
    return false;
  pthread_mutex_lock (&lock);
  history.kept |= UINT64_C (1) << (request->connection % KEPT_BITS);
  pthread_mutex_unlock (&lock);
  g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
  request->keep_open = scripted_request_write_head (request, "200 OK", OK_ANSWER_LINES)
                       && scripted_request_write (request, "ok");
  return true;
}

static void
refuse (struct scripted_request *request)
{
  request->keep_open = scripted_request_write_head (
      request, "503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n");
}

static void
answer_ok (struct scripted_request *request)
{
  request->keep_open = scripted_request_write_head (request, "200 OK", OK_ANSWER_LINES)
                       && scripted_request_write (request, "ok");
}

static void *
send_warm (void *user)
{
  g_autofree char *id = g_strdup_printf (WARM_PREFIX "-%u", GPOINTER_TO_UINT (user));
  struct raw_answer reply = route_vm_send_to (&route_vm, "POST", "/once/x", id, "", "in");
  int status = route_vm_status (&reply);

  raw_answer_clear (&reply);
  return GINT_TO_POINTER (status);
}

/* Leaves connections that the VM keeps. There are some, since the VM's own calls may be
   using one when the request under test is sent. */
static void
warm (void)
{
  GThread *callers[WARM_CALLERS];

  for (guint i = 0; i < WARM_CALLERS; i++)
    callers[i] = g_thread_new ("warm", send_warm, GUINT_TO_POINTER (i));
  for (guint i = 0; i < WARM_CALLERS; i++)
    ck_assert_int_eq (GPOINTER_TO_INT (g_thread_join (callers[i])), 200);
}

static bool
promises_not_run (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Sends the request under test, waits for late runs and returns the status. */
static int
send_once (const char *method, const char *path, const char *body)
{
  struct raw_answer reply = route_vm_send_to (&route_vm, method, path, "r1", "", body);
  int status = route_vm_status (&reply);
  struct history seen;

  raw_answer_clear (&reply);
  g_usleep (LATE_MS * G_TIME_SPAN_MILLISECOND);
  seen = get_history ();
  ck_assert_msg (seen.runs <= 1, "ran %u times, %u arrivals, status %d", seen.runs,
                 seen.arrivals, status);
  ck_assert_msg (!promises_not_run (status) || seen.runs == 0,
                 "ran and was answered with %d, %u arrivals", status, seen.arrivals);
  return status;
}

/* How a server loses a request that it has run. */
struct loss
{
  const char *path;
  const char *method;
  const char *body;
  bool reset; /* its connection, instead of closing it in order */
  bool again; /* what arrives once more is run again instead of being refused */
};

static void
forget_arrivals (void)
{
  pthread_mutex_lock (&lock);
  history.arrivals = 0;
  pthread_mutex_unlock (&lock);
}

static const struct loss losses[] = {
  { "/once/x", "POST", "in", false, false },  { "/once/x", "POST", "in", true, false },
  { "/once/x", "POST", "", false, false },    { "/once/x", "POST", "", true, false },
  { "/once/x", "GET", "", false, false },     { "/once/x", "DELETE", "", true, true },
  { "/whole/x", "POST", "in", false, false }, { "/whole/x", "POST", "in", true, true },
  { "/whole/x", "GET", "", false, false },    { "/whole/x", "GET", "", true, true },
};

static void
lose (struct scripted_request *request, void *user)
{
  const struct loss *loss = user;

  if (serve_warm (request))
    return;
  if (note_arrival (request) > 0 && !loss->again)
    {
      refuse (request);
      return;
    }
  run ();
  g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
  if (loss->reset)
    scripted_request_reset (request);
}

/* Guards against libcurl sending a request once more, on a new connection, after the kept
   one has been lost with the answer. */
START_TEST (test_request_that_ran_on_a_lost_connection_is_sent_again)
{
  const struct loss *loss = &losses[_i];
  bool kept = false;

  (void)scripted_vm_start_server ("i-1", lose, loss);
  /* The VM's own calls may have taken the kept connections. */
  for (unsigned play = 0; play < PLAYS_MAX && !kept; play++)
    {
      struct history seen;
      int status;

      forget_arrivals ();
      warm ();
      status = send_once (loss->method, loss->path, loss->body);
      seen = get_history ();
      ck_assert_int_eq (status, 502);
      ck_assert_uint_eq (seen.arrivals, 1);
      kept = loss->body[0] == '\0' || (seen.kept >> (seen.arrived % KEPT_BITS) & 1) == 1;
    }
  ck_assert (kept);
}
END_TEST

/* Answers to a request that ran, in which "not run" is not said by the head of the
   answer. %s is the request's id. */
static const char *const claims[] = {
  "HTTP/1.1 103 Early Hints\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n"
  "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n",
  "HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\nContent-Length: 0\r\n",
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n"
  "Trailer: Not-Executed\r\n\r\n0\r\nNot-Executed: 1\r\n\r\n",
  "HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
  "0\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n",
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: %s\r\nX-Note: a\r\n Not-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n",
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 429 Too Many\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 408 Timeout\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 421 Misdirected\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n",
};

static void
claim (struct scripted_request *request, void *user)
{
  const char *const *format = user;
  char **parts;
  g_autofree char *text = NULL;

  if (serve_warm (request))
    return;
  (void)note_arrival (request);
  run ();
  parts = g_strsplit (*format, "%s", -1);
  text = g_strjoinv (request->id, parts);
  g_strfreev (parts);
  (void)scripted_request_write (request, text);
}

/* Guards against a promise that the server did not give for this request: one of an
   interim or cut head, of a trailer, of a folded line, without an id on a kept
   connection, or of a status alone. */
START_TEST (test_request_that_ran_is_reported_as_not_run)
{
  (void)scripted_vm_start_server ("i-1", claim, &claims[_i]);
  warm ();
  ck_assert_int_eq (send_once ("POST", "/once/x", "in"), 502);
  ck_assert_uint_eq (get_history ().arrivals, 1);
}
END_TEST

/* How a server is listed anew while its process goes on. */
enum relisting
{
  BORN_LATER,
  REMOVED_AND_BACK,
  RELISTING_COUNT
};

static void
list_again (struct scripted_server *server, enum relisting relisting)
{
  switch (relisting)
    {
    case BORN_LATER:
      scripted_server_put_entry_as (server, "ready", LATER_MS);
      break;
    case REMOVED_AND_BACK:
      scripted_server_remove_entry (server);
      g_usleep (RELIST_MS * G_TIME_SPAN_MILLISECOND);
      scripted_server_put_entry (server, "ready");
      break;
    case RELISTING_COUNT:
      break;
    }
}

/* The server that the request reaches first refuses it, the other one does so later. When
   it comes back to the first one, on the connection that it had come on, that writes its
   refusal again and runs the request. */
static void
refuse_late (struct scripted_request *request, void *user)
{
  (void)user;
  if (serve_warm (request))
    return;
  switch (note_arrival (request))
    {
    case 0:
      refuse (request);
      break;
    case 1:
      g_usleep (2 * RELIST_MS * G_TIME_SPAN_MILLISECOND);
      refuse (request);
      break;
    default:
      if (request->server == get_history ().first
          && (int)request->connection == get_history ().arrived)
        refuse (request);
      run ();
      answer_ok (request);
      break;
    }
}

static void *
send_in_thread (void *user)
{
  return GINT_TO_POINTER (send_once ("POST", user, "in"));
}

/* Guards against the late copy of a server's refusal being taken for the answer to a
   second try at that server, which has been listed anew meanwhile. */
START_TEST (test_late_refusal_ends_a_second_try_at_a_server_listed_again)
{
  struct history seen;
  GThread *caller;

  (void)scripted_vm_start_server ("i-1", refuse_late, NULL);
  (void)scripted_vm_start_server ("i-2", refuse_late, NULL);
  warm ();
  caller = g_thread_new ("caller", send_in_thread, (void *)"/once/x");
  while (get_history ().arrivals < 2)
    g_usleep (G_TIME_SPAN_MILLISECOND);
  seen = get_history ();
  list_again (seen.first, (enum relisting)_i);
  ck_assert_int_eq (GPOINTER_TO_INT (g_thread_join (caller)), 200);
  ck_assert_uint_eq (get_history ().arrivals, 3);
  ck_assert_uint_eq (get_history ().runs, 1);
}
END_TEST

/* What a server sends within a stream that makes the VM give it up. */
enum disturbance
{
  FOREIGN_ANSWER,
  LONG_EVENT,
  DISTURBANCE_COUNT
};

static void
note_close (const struct scripted_request *request)
{
  struct pollfd wait = { .fd = request->fd, .events = POLLIN | POLLRDHUP };

  (void)poll (&wait, 1, WAIT_CLOSE_MS);
  pthread_mutex_lock (&lock);
  history.closed_us = g_get_monotonic_time ();
  pthread_mutex_unlock (&lock);
}

static void
write_long_event (struct scripted_request *request)
{
  g_autofree char *text = g_strnfill (LONG_EVENT_BYTES, 'a');

  (void)(scripted_request_write (request, "id: 2\ndata: ")
         && scripted_request_write (request, text));
}

static void
disturb (struct scripted_request *request, void *user)
{
  const enum disturbance *disturbance = user;

  if (serve_warm (request))
    return;
  if (note_arrival (request) > 0)
    {
      (void)(scripted_request_write_head (request, "200 OK", STREAM_LINES)
             && scripted_request_write (request, "id: 2\ndata: b\n\n"));
      return;
    }
  if (!scripted_request_write_head (request, "200 OK", STREAM_LINES)
      || !scripted_request_write (request, "id: 1\ndata: a\n\n"))
    return;
  g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
  if (*disturbance == LONG_EVENT)
    write_long_event (request);
  else
    (void)scripted_request_write (request, "HTTP/1.1 200 OK\r\nRequest-Id: before\r\n"
                                           "Content-Length: 2\r\n\r\nok");
  note_close (request);
}

/* Guards against a stream that goes on at another server while the one that the VM has
   given up still works on it. */
START_TEST (test_server_that_was_given_up_still_works_on_its_stream)
{
  enum disturbance disturbance = _i;
  struct scripted_server *servers[2];
  struct raw_answer reply;
  struct history seen;
  int64_t again_us = 0;

  servers[0] = scripted_vm_start_server ("i-1", disturb, &disturbance);
  servers[1] = scripted_vm_start_server ("i-2", disturb, &disturbance);
  reply = route_vm_send ("POST", "/stream/x", "", "in");
  raw_answer_clear (&reply);
  for (int64_t waited_ms = 0; get_history ().closed_us == 0 && waited_ms < WAIT_CLOSE_MS;
       waited_ms += RUN_MS)
    g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
  seen = get_history ();
  ck_assert_uint_eq (seen.arrivals, 2);
  for (guint i = 0; i < G_N_ELEMENTS (servers); i++)
    if (servers[i] != seen.first)
      again_us = scripted_server_request_us (servers[i], 0);
  ck_assert_int_gt (seen.closed_us, 0);
  ck_assert_int_lt (seen.closed_us - again_us,
                    STILL_AT_WORK_MS * G_TIME_SPAN_MILLISECOND);
}
END_TEST

/* Runs for as long as the VM is there. */
static void
run_long (struct scripted_request *request, void *user)
{
  (void)user;
  if (serve_warm (request))
    return;
  (void)note_arrival (request);
  run ();
  note_close (request);
}

/* Guards against callers whose request was read and passed on seeing a reset, as if the
   VM had not read it, when its process is killed. */
START_TEST (test_request_of_a_killed_vm_looks_as_if_it_was_not_read)
{
  const char *text = "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                     "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\n"
                     "Content-Length: 2\r\n\r\nin";
  char byte;
  int fd;

  (void)scripted_vm_start_server ("i-1", run_long, NULL);
  fd = raw_connect_and_send (route_vm.port, text, 0);
  while (get_history ().arrivals == 0)
    g_usleep (G_TIME_SPAN_MILLISECOND);
  route_vm_kill (&route_vm);
  ck_assert_int_eq (recv (fd, &byte, 1, 0), 0);
  (void)close (fd);
}
END_TEST

/* A server's own listener, for connections that scripted servers do not allow: its entry
   is "i-plain". */
struct plain_server
{
  int listener;
  int port;
};

static void
plain_server_start (struct plain_server *server, int backlog, int receive_buffer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  g_autofree char *entry = NULL;

  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  ck_assert (setsockopt (server->listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof receive_buffer)
             == 0);
  ck_assert (bind (server->listener, (struct sockaddr *)&address, sizeof address) == 0);
  ck_assert (listen (server->listener, backlog) == 0);
  ck_assert (getsockname (server->listener, (struct sockaddr *)&address, &len) == 0);
  server->port = ntohs (address.sin_port);
  entry = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"v1\","
      "\"slots\":8,\"state\":\"ready\",\"seq-no\":1,\"born\":1000,\"models\":[]}",
      server->port);
  fake_platform_put_server_entry (route_vm.platform, "i-plain", entry);
  g_usleep (RELIST_MS * G_TIME_SPAN_MILLISECOND);
}

/* Reads what arrives on a socket until wait_ms pass without any or it ends. */
static void
read_all (int fd, GString *text, int wait_ms)
{
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  char block[BLOCK_BYTES];
  ssize_t count;

  while (poll (&wait, 1, wait_ms) > 0 && (count = read (fd, block, sizeof block)) > 0)
    g_string_append_len (text, block, count);
}

/* Reads until the end of a head has arrived, or the connection ends. */
static void
read_head (int fd, GString *text)
{
  char block[BLOCK_BYTES];
  ssize_t count;

  while (strstr (text->str, "\r\n\r\n") == NULL
         && (count = read (fd, block, sizeof block)) > 0)
    g_string_append_len (text, block, count);
}

/* Accepts a connection that brings a request of a caller. The VM's own calls are not
   answered. Returns the socket and stores what has been received. */
static int
accept_request (const struct plain_server *server, GString *text)
{
  struct pollfd wait = { .fd = server->listener, .events = POLLIN };

  for (;;)
    {
      int fd;

      ck_assert_int_eq (poll (&wait, 1, WAIT_CLOSE_MS), 1);
      fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      g_string_truncate (text, 0);
      read_head (fd, text);
      if (strstr (text->str, "Request-Id") != NULL)
        return fd;
      (void)close (fd);
    }
}

static unsigned
count_texts (const GString *text, const char *part)
{
  unsigned count = 0;

  for (const char *at = text->str; (at = strstr (at, part)) != NULL; at++)
    count++;
  return count;
}

/* A caller's request that a thread sends. */
struct sending
{
  char *id;
  const char *body;
  int status;
};

static void *
send_as (void *user)
{
  struct sending *sending = user;
  struct raw_answer reply
      = route_vm_send_to (&route_vm, "POST", "/once/x", sending->id, "", sending->body);

  sending->status = route_vm_status (&reply);
  raw_answer_clear (&reply);
  return NULL;
}

/* Guards against the rest of a body, whose request was refused before its end, reaching
   the server as a part of another request, or the refused one being sent on there. */
START_TEST (test_rest_of_a_refused_body_reaches_the_server)
{
  g_autofree char *body = g_strnfill (LONG_BODY_BYTES, 'b');
  struct sending first = { .id = (char *)"r1", .body = body };
  struct sending second = { .id = (char *)"r2", .body = "in" };
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GString) other = g_string_new (NULL);
  struct plain_server server;
  GThread *caller;
  int fds[2];

  plain_server_start (&server, BACKLOG, SMALL_BUFFER_BYTES);
  caller = g_thread_new ("caller", send_as, &first);
  fds[0] = accept_request (&server, text);
  (void)send (fds[0], EARLY_REFUSAL, strlen (EARLY_REFUSAL), MSG_NOSIGNAL);
  (void)g_thread_join (caller);
  ck_assert_int_eq (first.status, 503);
  g_usleep (RELIST_MS * G_TIME_SPAN_MILLISECOND);
  caller = g_thread_new ("caller", send_as, &second);
  fds[1] = accept_request (&server, other);
  read_all (fds[0], text, LATE_MS);
  (void)close (fds[0]);
  (void)close (fds[1]);
  (void)g_thread_join (caller);
  ck_assert_uint_eq (count_texts (text, "Request-Id"), 1);
  ck_assert_uint_eq (count_texts (other, "Request-Id"), 1);
  ck_assert_ptr_null (strstr (other->str, "bbb"));
  ck_assert_int_eq (second.status, 502);
}
END_TEST

/* Accepts all connections that wait and adds what they have brought. */
static void
drain (const struct plain_server *server, GString *text)
{
  int fd;

  while ((fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      read_all (fd, text, LATE_MS);
      (void)close (fd);
      g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
    }
}

/* Guards against a request being readable by a server after the VM has refused it for
   want of a connection: the server's queue of connections is full. */
START_TEST (test_request_refused_for_want_of_a_connection_is_read_later)
{
  struct sending sendings[WAITING_CALLERS] = { 0 };
  GThread *callers[WAITING_CALLERS];
  g_autoptr (GString) text = g_string_new (NULL);
  struct plain_server server;
  unsigned refused = 0;

  plain_server_start (&server, 0, SMALL_BUFFER_BYTES);
  for (guint i = 0; i < WAITING_CALLERS; i++)
    {
      sendings[i].id = g_strdup_printf ("w%02u", i);
      sendings[i].body = "in";
      callers[i] = g_thread_new ("caller", send_as, &sendings[i]);
      g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
    }
  for (guint i = 0; i < WAITING_CALLERS; i++)
    (void)g_thread_join (callers[i]);
  for (guint i = 0; i < DRAIN_ROUNDS; i++)
    {
      drain (&server, text);
      g_usleep (LATE_MS * G_TIME_SPAN_MILLISECOND);
    }
  for (guint i = 0; i < WAITING_CALLERS; i++)
    {
      bool promised = promises_not_run (sendings[i].status);

      refused += promised;
      ck_assert_msg (!promised || strstr (text->str, sendings[i].id) == NULL,
                     "%s was refused and is read", sendings[i].id);
      g_free (sendings[i].id);
    }
  g_print ("%u of %u refused, %u read\n", refused, WAITING_CALLERS,
           count_texts (text, "Request-Id"));
  (void)close (server.listener);
}
END_TEST

/* Loses the request once the route has become one that runs once. */
static void
lose_when_changed (struct scripted_request *request, void *user)
{
  (void)user;
  if (serve_warm (request))
    return;
  (void)note_arrival (request);
  run ();
  g_usleep (2 * RELIST_MS * G_TIME_SPAN_MILLISECOND);
}

/* Guards against a request being repeated under a route that may be repeated no more. */
START_TEST (test_request_is_repeated_after_its_route_runs_once)
{
  const char *kind = strstr (config, REPEATABLE);
  g_autofree char *changed
      = g_strdup_printf ("%.*s\"non_idempotent\"%s", (int)(kind - config), config,
                         kind + strlen (REPEATABLE));
  GThread *caller;

  strstr (changed, VERSION_BEFORE)[strlen (VERSION_BEFORE) - 1] = '8';

  (void)scripted_vm_start_server ("i-1", lose_when_changed, NULL);
  (void)scripted_vm_start_server ("i-2", lose_when_changed, NULL);
  caller = g_thread_new ("caller", send_in_thread, (void *)"/again/x");
  while (get_history ().arrivals == 0)
    g_usleep (G_TIME_SPAN_MILLISECOND);
  fake_platform_put_record (route_vm.platform, "config", changed);
  ck_assert_int_eq (GPOINTER_TO_INT (g_thread_join (caller)), 502);
  ck_assert_uint_eq (get_history ().arrivals, 1);
}
END_TEST

/* What happens to the VM while a server has its request. */
struct interruption
{
  int signal; /* SIGSTOP or SIGTERM, before the request runs */
  int run_ms;
  bool lost;  /* the server ends the connection instead of answering */
  bool again; /* the server writes a refusal of another request before its answer */
};

static const struct interruption interruptions[] = {
  { SIGSTOP, 300, false, false },
  { SIGSTOP, 300, true, false },
  { SIGSTOP, 300, false, true },
  { SIGSTOP, PAST_DEADLINE_MS, false, false },
  { SIGSTOP, PAST_DEADLINE_MS, true, false },
  { SIGTERM, 300, false, false },
  { SIGTERM, 300, true, false },
  { SIGTERM, PAST_DEADLINE_MS, false, false },
};

static void
answer_interrupted (struct scripted_request *request, void *user)
{
  const struct interruption *interruption = user;

  if (serve_warm (request))
    return;
  (void)note_arrival (request);
  (void)kill (route_vm.pid, interruption->signal);
  run ();
  g_usleep (interruption->run_ms * G_TIME_SPAN_MILLISECOND);
  if (interruption->again)
    (void)scripted_request_write (request, OTHERS_REFUSAL);
  if (!interruption->lost)
    answer_ok (request);
  else
    (void)shutdown (request->fd, SHUT_RDWR);
  g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
  (void)kill (route_vm.pid, SIGCONT);
}

/* Guards against a VM that was frozen, or told to stop, while a server ran a request
   answering that it has not run, or sending it on. */
START_TEST (test_request_that_ran_while_its_vm_was_frozen_or_stopped_is_refused)
{
  (void)scripted_vm_start_server ("i-1", answer_interrupted, &interruptions[_i]);
  warm ();
  ck_assert_int_ne (send_once ("POST", "/once/x", "in"), 0);
  ck_assert_uint_eq (get_history ().arrivals, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("refused requests");
  TCase *cases = tcase_create ("refused requests");
  TCase *again = tcase_create ("listed again");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_request_that_ran_on_a_lost_connection_is_sent_again, 0,
                       G_N_ELEMENTS (losses));
  tcase_add_loop_test (cases, test_request_that_ran_is_reported_as_not_run, 0,
                       G_N_ELEMENTS (claims));
  tcase_add_loop_test (
      cases, test_request_that_ran_while_its_vm_was_frozen_or_stopped_is_refused, 0,
      G_N_ELEMENTS (interruptions));
  tcase_add_checked_fixture (again, set_up, tear_down);
  tcase_set_timeout (again, 60);
  tcase_add_loop_test (again,
                       test_late_refusal_ends_a_second_try_at_a_server_listed_again, 0,
                       RELISTING_COUNT);
  tcase_add_loop_test (cases, test_server_that_was_given_up_still_works_on_its_stream, 0,
                       DISTURBANCE_COUNT);
  tcase_add_test (cases, test_request_of_a_killed_vm_looks_as_if_it_was_not_read);
  tcase_add_test (cases, test_rest_of_a_refused_body_reaches_the_server);
  tcase_add_test (cases, test_request_refused_for_want_of_a_connection_is_read_later);
  tcase_add_test (cases, test_request_is_repeated_after_its_route_runs_once);
  suite_add_tcase (suite, cases);
  suite_add_tcase (suite, again);
  return run_suite (suite);
}
