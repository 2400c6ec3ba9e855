/* Callers whose request heads are about as long as the configuration allows: each request
   is answered, or refused before it is sent to a server. */
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/process_memory.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define HEAD_MAX_BYTES   16384
#define LARGER_MAX_BYTES 65536
#define SUFFIX_BYTES     6 /* the end of a head, and the answer's body */
#define PIECE_BYTES      700
#define PIECE_GAP_US     500
#define SMALL_HEAD_BYTES 300
#define SENT_AHEAD       400 /* requests */
#define APPLIED_MS       600 /* until a configuration is in force */
#define BODY             "booking"
#define SMALL_VM_MB      128
#define MANY_CONNECTIONS 2000

/* A request's head, and the head of the server's answer to it. */
struct head
{
  int bytes;
  int lines;
  int target_bytes; /* of a query */
  int cookies;
  int answer_bytes;
  bool in_pieces;
};

/* Heads within the limit that have to be served. */
static const struct head served[] = {
  { .bytes = 16184, .lines = 64 },
  { .bytes = 16184, .lines = 65 },
  { .bytes = 16184, .lines = 66 },
  { .bytes = 16184, .lines = 67 },
  { .bytes = 16184, .lines = 68 },
  { .bytes = 16384, .lines = 100 },
  { .bytes = 16300, .lines = 20, .answer_bytes = 3000 },
  { .bytes = 15000, .lines = 40, .answer_bytes = 3000 },
  { .bytes = 16384, .lines = 66, .answer_bytes = 3000, .in_pieces = true },
  { .bytes = 16384, .lines = 8, .answer_bytes = 5000 },
  { .bytes = 16000, .lines = 8, .target_bytes = 8000 },
  { .bytes = 4000, .lines = 200 },
  { .bytes = 16000, .lines = 10, .cookies = 20 },
  { .bytes = 400, .lines = 8, .answer_bytes = 12000 },
};

static int answer_bytes; /* of the head of each answer */

static void
answer (struct scripted_request *request, void *user)
{
  g_autoptr (GString) text = g_string_new ("HTTP/1.1 200 OK\r\nServer-Seal: s\r\n");
  int left = answer_bytes;

  (void)user;
  g_string_append_printf (text, "Request-Id: %s\r\nContent-Length: 2\r\n", request->id);
  for (int i = 0; left > 0; i++, left -= 100)
    g_string_append_printf (text, "X-Server-%03d: %0*d\r\n", i, MIN (left, 100) - 1, 7);
  g_string_append (text, "\r\nok");
  request->keep_open = scripted_request_write (request, text->str);
}

/* Appends a booking with such a head. */
static void
append_request (GString *text, const char *id, const struct head *head)
{
  gsize start = text->len;
  int count = head->lines - (head->cookies > 0 ? 6 : 5);

  g_string_append_printf (text, "POST /once/x%s%0*d HTTP/1.1\r\n",
                          head->target_bytes > 0 ? "?" : "", head->target_bytes, 0);
  g_string_append_printf (text,
                          "Host: h\r\nRequest-Id: %s\r\nRequest-Deadline: 4000\r\n"
                          "Authorization: Bearer key1\r\nContent-Length: %zu\r\n",
                          id, strlen (BODY));
  for (int i = 0; i < head->cookies; i++)
    g_string_append_printf (text, "%sc%d=%d", i == 0 ? "Cookie: " : "; ", i, i);
  if (head->cookies > 0)
    g_string_append (text, "\r\n");
  for (int i = 0; i < count; i++)
    {
      int left = head->bytes - 2 - (int)(text->len - start);
      int width = MAX (left / (count - i) - 9, 1);

      g_string_append_printf (text, "A%04d: %0*d\r\n", i, width, 7);
    }
  g_string_append (text, "\r\n" BODY);
}

static bool
send_text (int fd, const GString *text, bool in_pieces)
{
  gsize sent = 0;

  while (sent < text->len)
    {
      gsize len = in_pieces ? MIN (text->len - sent, PIECE_BYTES) : text->len - sent;
      ssize_t count = send (fd, text->str + sent, len, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      sent += (gsize)count;
      if (in_pieces)
        g_usleep (PIECE_GAP_US);
    }
  return true;
}

/* Receives an answer with a body of two bytes. Returns its status, or 0 if the connection
   ends before it is complete. */
static int
receive_status (int fd)
{
  g_autoptr (GString) text = g_string_new (NULL);
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  char byte;

  while (poll (&wait, 1, ROUTE_VM_TIMEOUT_MS) > 0 && recv (fd, &byte, 1, 0) == 1)
    {
      const char *end;

      g_string_append_c (text, byte);
      end = strstr (text->str, "\r\n\r\n");
      if (end == NULL)
        continue;
      if (!g_str_has_prefix (text->str, "HTTP/1.1 200") || strlen (end) == SUFFIX_BYTES)
        return atoi (text->str + strlen ("HTTP/1.1 "));
    }
  return 0;
}

/* Sends a small request and then one with the head on the same connection. Returns the
   status of the second one's answer; 0: none. */
static int
exchange_on_kept_connection (const struct head *head)
{
  static const struct head small = { .bytes = SMALL_HEAD_BYTES, .lines = 8 };
  g_autoptr (GString) first = g_string_new (NULL);
  g_autoptr (GString) second = g_string_new (NULL);
  int fd;
  int status;

  append_request (first, "small", &small);
  append_request (second, "large", head);
  answer_bytes = 0;
  fd = raw_connect_and_send (route_vm.port, first->str, 0);
  ck_assert_int_eq (receive_status (fd), 200);
  answer_bytes = head->answer_bytes;
  status = send_text (fd, second, head->in_pieces) ? receive_status (fd) : 0;
  (void)close (fd);
  return status;
}

/* Guards against heads within the limit leaving no memory for the answer: the request ran
   and its connection was closed without an answer. */
START_TEST (test_long_head_within_the_limit_is_served)
{
  (void)scripted_vm_start_server ("i-1", answer, NULL);
  ck_assert_int_eq (exchange_on_kept_connection (&served[_i]), 200);
}
END_TEST

/* Guards against requests that run and are not answered, at any number of lines: what
   cannot be answered is refused before it is sent to a server. */
START_TEST (test_request_with_many_lines_is_answered_or_not_run)
{
  static const int sizes[] = { 4000, 8000, 12000, 16184, 16384 };
  static const int lines[] = { 100, 130, 160, 180, 200, 240, 300, 340, 400, 600, 1000 };
  struct scripted_server *server = scripted_vm_start_server ("i-1", answer, NULL);

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (guint j = 0; j < G_N_ELEMENTS (lines); j++)
      {
        struct head head = { .bytes = sizes[i], .lines = lines[j], .answer_bytes = 3000 };
        unsigned before = scripted_server_request_count (server);
        int status = exchange_on_kept_connection (&head);
        unsigned runs = scripted_server_request_count (server) - before - 1;

        ck_assert_msg (status == 200 || (status == 431 && runs == 0),
                       "%d bytes, %d lines: status %d, %u runs", head.bytes, head.lines,
                       status, runs);
      }
}
END_TEST

/* Guards against cookies and query arguments, which take memory too, leaving none for the
   answer. The library itself closes the connection if it cannot hold them. */
START_TEST (test_request_with_many_cookies_is_answered_or_not_run)
{
  struct scripted_server *server = scripted_vm_start_server ("i-1", answer, NULL);

  for (int cookies = 50; cookies <= 1500; cookies += 50)
    {
      struct head head = { .bytes = 400, .lines = 8, .cookies = cookies };
      unsigned before = scripted_server_request_count (server);
      int status = exchange_on_kept_connection (&head);
      unsigned runs = scripted_server_request_count (server) - before - 1;

      ck_assert_msg (status == 200 || runs == 0, "%d cookies: status %d, %u runs",
                     cookies, status, runs);
    }
}
END_TEST

/* Guards against requests that the caller has sent ahead taking the memory of an answer's
   head. */
START_TEST (test_requests_sent_ahead_leave_room_for_an_answer)
{
  static const struct head head = { .bytes = 9000, .lines = 80, .answer_bytes = 3000 };
  static const struct head small = { .bytes = SMALL_HEAD_BYTES, .lines = 8 };
  g_autoptr (GString) text = g_string_new (NULL);
  int fd;

  (void)scripted_vm_start_server ("i-1", answer, NULL);
  append_request (text, "large", &head);
  for (int i = 0; i < SENT_AHEAD; i++)
    append_request (text, "ahead", &small);
  answer_bytes = head.answer_bytes;
  fd = raw_connect_and_send (route_vm.port, text->str, 0);
  ck_assert_int_eq (receive_status (fd), 200);
  ck_assert_int_eq (receive_status (fd), 200);
  (void)close (fd);
}
END_TEST

/* Guards against an answer whose head is longer than the connection can hold being lost
   without a word. */
START_TEST (test_answer_whose_head_does_not_fit_is_a_failure)
{
  static const struct head head = { .bytes = 16184, .lines = 170, .answer_bytes = 15000 };

  (void)scripted_vm_start_server ("i-1", answer, NULL);
  ck_assert_int_eq (exchange_on_kept_connection (&head), 502);
}
END_TEST

static void
put_limit (int version, int max_header_bytes)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, version, "key1");
  g_autoptr (GString) text = g_string_new (config);
  g_autofree char *limit
      = g_strdup_printf ("\"limits\":{\"max-header-bytes\":%d,", max_header_bytes);

  ck_assert_uint_eq (g_string_replace (text, "\"limits\":{", limit, 1), 1);
  fake_platform_put_record (route_vm.platform, "config", text->str);
  g_usleep (APPLIED_MS * G_TIME_SPAN_MILLISECOND);
}

/* Guards against the limit of the configuration not being applied: it comes after the VM
   listens, and it changes. Connections that are open meanwhile go on. */
START_TEST (test_limit_of_the_configuration_is_applied)
{
  static const struct head small = { .bytes = SMALL_HEAD_BYTES, .lines = 8 };
  static const struct head large = { .bytes = 40000, .lines = 100, .answer_bytes = 3000 };
  g_autoptr (GString) text = g_string_new (NULL);
  int fd;

  (void)scripted_vm_start_server ("i-1", answer, NULL);
  ck_assert_int_eq (exchange_on_kept_connection (&large), 431);
  append_request (text, "open", &small);
  answer_bytes = 0;
  fd = raw_connect_and_send (route_vm.port, text->str, 0);
  ck_assert_int_eq (receive_status (fd), 200);
  put_limit (5, LARGER_MAX_BYTES);
  ck_assert (send_text (fd, text, false));
  ck_assert_int_eq (receive_status (fd), 200);
  (void)close (fd);
  ck_assert_int_eq (exchange_on_kept_connection (&large), 200);
  put_limit (6, HEAD_MAX_BYTES);
  ck_assert_int_eq (exchange_on_kept_connection (&large), 431);
  ck_assert_int_eq (exchange_on_kept_connection (&served[0]), 200);
}
END_TEST

/* Returns the resident memory of the VM. */
static long
resident_kb (void)
{
  long kb = process_memory_kb (route_vm.pid, PROCESS_MEMORY_RESIDENT);

  ck_assert_int_ge (kb, 0);
  return kb;
}

/* Guards against thousands of kept connections, each of which has carried a request,
   taking the memory of a small VM. */
START_TEST (test_thousands_of_kept_connections_fit_a_small_vm)
{
  static const struct head small = { .bytes = SMALL_HEAD_BYTES, .lines = 8 };
  g_autoptr (GString) text = g_string_new (NULL);
  int fds[MANY_CONNECTIONS];

  route_vm_kill (&route_vm);
  route_vm.memory_mb = SMALL_VM_MB;
  route_vm_start ();
  route_vm_wait_ready ();
  (void)scripted_vm_start_server ("i-1", answer, NULL);
  append_request (text, "kept", &small);
  answer_bytes = 0;
  for (int i = 0; i < MANY_CONNECTIONS; i++)
    {
      fds[i] = raw_connect_and_send (route_vm.port, text->str, 0);
      ck_assert_int_eq (receive_status (fds[i]), 200);
    }
  if (PROCESS_MEMORY_IS_REALISTIC)
    ck_assert_int_le (resident_kb (), SMALL_VM_MB << 10);
  ck_assert (send_text (fds[0], text, false));
  ck_assert_int_eq (receive_status (fds[0]), 200);
  for (int i = 0; i < MANY_CONNECTIONS; i++)
    (void)close (fds[i]);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("caller heads");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_long_head_within_the_limit_is_served, 0,
                       G_N_ELEMENTS (served));
  tcase_add_test (cases, test_request_with_many_lines_is_answered_or_not_run);
  tcase_add_test (cases, test_request_with_many_cookies_is_answered_or_not_run);
  tcase_add_test (cases, test_requests_sent_ahead_leave_room_for_an_answer);
  tcase_add_test (cases, test_answer_whose_head_does_not_fit_is_a_failure);
  tcase_add_test (cases, test_limit_of_the_configuration_is_applied);
  tcase_add_test (cases, test_thousands_of_kept_connections_fit_a_small_vm);
  return run_started_suite ();
}
