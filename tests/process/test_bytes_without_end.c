/* Backend servers that send bytes without end, and callers that do not read: the VM's
   memory stays within limits, and other requests are answered. */
#include <check.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/process_memory.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define HEADS_MAX_KB    4096   /* growth for one answer's head */
#define STREAM_MAX_KB   8192   /* growth for one stream */
#define ONE_MAX_KB      32768  /* growth for one answer whose body is kept */
#define ALL_MAX_KB      131072 /* growth for all answers, half of the VM's 256 MB */
#define STREAM_EVENTS   20000
#define SMALL_VM_MB     88
#define SLOW_READ_BYTES 65536
#define PROBES          20 /* requests sent one after the other */
#define REQUEST                                                                          \
  "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u\r\nConnection: close\r\n"              \
  "Authorization: Bearer key1\r\nRequest-Deadline: 2500\r\nContent-Length: 2\r\n\r\nin"

static const char filler[]
    = "0123456789012345678901234567890123456789012345678901234567890123456789";

/* What the server repeats without end, after its head. */
struct endless
{
  const char *path;
  const char *start; /* of the answer; NULL: a head with the signature */
  const char *header_lines;
  const char *repeated;
  long growth_max_kb;
  int status; /* that the caller gets */
};

/* libcurl reports nothing of a chunk's extension, so one without end is read until the
   deadline. */
static const struct endless answers[] = {
  { "/once/x", "HTTP/1.1 200 OK\r\n", "", "X-A: 01234567890123456789\r\n", HEADS_MAX_KB,
    502 },
  { "/once/x", "", "", "HTTP/1.1 103 Early Hints\r\nX-A: 0123456789\r\n\r\n",
    HEADS_MAX_KB, 502 },
  { "/once/x", "HTTP/1.1 200 OK\r\nX-A: ", "", filler, HEADS_MAX_KB, 502 },
  { "/once/x", "", "", filler, HEADS_MAX_KB, 502 },
  { "/once/x", NULL, "Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nX-A: 0123456789",
    HEADS_MAX_KB, 502 },
  { "/once/x", NULL, "", filler, ONE_MAX_KB, 502 },
  { "/once/x", "HTTP/1.1 200 OK\r\n\r\n", "", filler, ONE_MAX_KB, 502 },
  { "/stream/x", "HTTP/1.1 200 OK\r\n\r\n", "", filler, ONE_MAX_KB, 502 },
  { "/stream/x", NULL, "", filler, STREAM_MAX_KB, 502 },
  { "/once/x", NULL, "Transfer-Encoding: chunked\r\n", "1;x=0123456789", HEADS_MAX_KB,
    504 },
  { "/stream/x", NULL, "Transfer-Encoding: chunked\r\n", "1;x=0123456789", HEADS_MAX_KB,
    504 },
  { "/stream/x", "HTTP/1.1 100 Continue\r\n\r\n", "", "HTTP/1.1 100 Continue\r\n\r\n",
    HEADS_MAX_KB, 502 },
};

static void
write_without_end (struct scripted_request *request, const char *repeated)
{
  g_autoptr (GString) block = g_string_new (NULL);

  while (block->len < SLOW_READ_BYTES)
    g_string_append (block, repeated);
  while (!scripted_server_is_stopping (request->server)
         && scripted_request_write_bytes (request, block->str, block->len))
    continue;
}

static void
answer_without_end (struct scripted_request *request, void *user)
{
  const struct endless *answer = user;
  bool started
      = answer->start != NULL
            ? scripted_request_write (request, answer->start)
            : scripted_request_write_head (request, "200 OK", answer->header_lines);

  if (started)
    write_without_end (request, answer->repeated);
}

static void
stream_without_end (struct scripted_request *request, void *user)
{
  (void)user;
  if (scripted_request_write_head (request, "200 OK", ""))
    write_without_end (request, "data: 0123456789012345678901234567890123456789\n\n");
}

static void
stream_events (struct scripted_request *request, void *user)
{
  g_autoptr (GString) text = g_string_new (NULL);

  (void)user;
  for (int i = 1; i <= STREAM_EVENTS; i++)
    g_string_append_printf (text, "id: %d\ndata: %s\n\n", i, filler);
  if (scripted_request_write_head (request, "200 OK", ""))
    (void)scripted_request_write_bytes (request, text->str, text->len);
}

static void
answer_router_without_end (struct scripted_request *request, void *user)
{
  (void)user;
  if (scripted_request_write (request, "HTTP/1.1 200 OK\r\n\r\n"))
    write_without_end (request, filler);
}

static void
answer_ordinarily (struct scripted_request *request, void *user)
{
  (void)user;
  request->keep_open
      = scripted_request_write_head (request, "200 OK", "Content-Length: 2\r\n")
        && scripted_request_write (request, "ok");
}

static void
set_up (void)
{
  /* Freed memory must not count as used in a build with the address sanitizer. */
  g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=1", TRUE);
  scripted_vm_set_up ();
}

/* Returns the greatest memory that the VM has used so far. */
static long
peak_kb (void)
{
  long kb = process_memory_kb (route_vm.pid, PROCESS_MEMORY_PEAK);

  ck_assert_int_ge (kb, 0);
  return kb;
}

START_TEST (test_answer_without_end_stays_within_memory_limit)
{
  const struct endless *answer = &answers[_i];
  struct raw_answer received;
  long before_kb;

  (void)scripted_vm_start_server ("i-1", answer_without_end, answer);
  before_kb = peak_kb ();
  received = route_vm_send ("POST", answer->path, "", "in");
  ck_assert_int_eq (route_vm_status (&received), answer->status);
  ck_assert_int_lt (peak_kb () - before_kb, answer->growth_max_kb);
  raw_answer_clear (&received);
}
END_TEST

/* The server is read no faster than the caller reads, which is not at all. */
START_TEST (test_stream_without_end_to_a_caller_that_does_not_read)
{
  struct scripted_server *server;
  g_autofree char *request = g_strdup_printf (REQUEST, "/stream/x", 1u);
  long before_kb;
  int fd;

  server = scripted_vm_start_server ("i-1", stream_without_end, NULL);
  before_kb = peak_kb ();
  fd = raw_connect_and_send (route_vm.port, request, 0);
  g_usleep (2000 * G_TIME_SPAN_MILLISECOND);
  ck_assert_uint_eq (scripted_server_request_count (server), 1);
  ck_assert_int_lt (peak_kb () - before_kb, STREAM_MAX_KB);
  (void)close (fd);
}
END_TEST

/* A caller that reads slowly gets each event of a long stream once. */
START_TEST (test_slow_caller_gets_each_event_once)
{
  g_autofree char *request = g_strdup_printf (REQUEST, "/stream/x", 1u);
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *block = g_malloc (SLOW_READ_BYTES);
  const char *at;
  ssize_t count;
  int fd;

  (void)scripted_vm_start_server ("i-1", stream_events, NULL);
  fd = raw_connect_and_send (route_vm.port, request, 0);
  g_usleep (300 * G_TIME_SPAN_MILLISECOND);
  while ((count = read (fd, block, SLOW_READ_BYTES)) > 0)
    {
      g_string_append_len (text, block, count);
      g_usleep (G_TIME_SPAN_MILLISECOND);
    }
  (void)close (fd);
  ck_assert (g_str_has_suffix (text->str, "\r\n0\r\n\r\n"));
  at = text->str;
  for (int i = 1; i <= STREAM_EVENTS; i += 97)
    {
      g_autofree char *id = g_strdup_printf ("id: %d\n", i);

      at = strstr (at, id);
      ck_assert_ptr_nonnull (at);
      ck_assert_ptr_null (strstr (at + 1, id));
    }
}
END_TEST

/* Sends requests that may be repeated. Returns how many of them are answered, and prints
   the answers to the others. */
static unsigned
send_probes (void)
{
  unsigned answered = 0;

  for (unsigned i = 0; i < PROBES; i++)
    {
      struct raw_answer answer = route_vm_send ("POST", "/again/x", "", "in");

      if (route_vm_status (&answer) == 200)
        answered++;
      else
        (void)fprintf (stderr, "probe %u: after %" G_GINT64_FORMAT " ms: %s\n", i,
                       answer.elapsed_ms, answer.text->str);
      raw_answer_clear (&answer);
    }
  return answered;
}

/* Many answers without end at once stay within the limit for all together, and requests
   to another server are answered meanwhile. */
START_TEST (test_many_answers_without_end_leave_room_for_other_requests)
{
  enum
  {
    CALLERS = 40
  };
  int fds[CALLERS];
  unsigned answered;
  long before_kb;

  (void)scripted_vm_start_server ("i-1", answer_without_end, &answers[5]);
  (void)scripted_vm_start_server ("i-2", answer_ordinarily, NULL);
  before_kb = peak_kb ();
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_autofree char *request = g_strdup_printf (REQUEST, "/once/x", i);

      fds[i] = raw_connect_and_send (route_vm.port, request, 0);
    }
  answered = send_probes ();
  for (unsigned i = 0; i < CALLERS; i++)
    (void)close (fds[i]);
  ck_assert_uint_eq (answered, PROBES);
  ck_assert_int_lt (peak_kb () - before_kb, ALL_MAX_KB);
}
END_TEST

/* Answers each request with the next form of bytes without end. */
static void
answer_in_all_forms (struct scripted_request *request, void *user)
{
  (void)user;
  answer_without_end (request,
                      (void *)&answers[request->number % G_N_ELEMENTS (answers)]);
}

/* Guards against a small VM running out of memory when bytes without end come in all
   forms at once, for callers that do not read; other requests are answered. */
START_TEST (test_all_forms_at_once_leave_a_small_vm_its_memory)
{
  enum
  {
    CALLERS = 60
  };
  static const char *const paths[] = { "/once/x", "/again/x", "/stream/x" };
  int fds[CALLERS];
  unsigned answered;

  route_vm_kill (&route_vm);
  route_vm.memory_mb = SMALL_VM_MB;
  route_vm_start ();
  route_vm_wait_ready ();
  (void)scripted_vm_start_server ("i-1", answer_in_all_forms, NULL);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_autofree char *request
          = g_strdup_printf (REQUEST, paths[i % G_N_ELEMENTS (paths)], i);

      fds[i] = raw_connect_and_send (route_vm.port, request, 1);
    }
  (void)scripted_vm_start_server ("i-sound", answer_ordinarily, NULL);
  answered = send_probes ();
  for (unsigned i = 0; i < CALLERS; i++)
    (void)close (fds[i]);
  ck_assert_uint_eq (answered, PROBES);
  if (PROCESS_MEMORY_IS_REALISTIC)
    ck_assert_int_lt (peak_kb (), SMALL_VM_MB << 10);
}
END_TEST

/* The router's own calls to the server are bounded as well. */
START_TEST (test_report_without_end_stays_within_memory_limit)
{
  struct scripted_server *server;
  long before_kb = peak_kb ();

  server = scripted_server_start (route_vm.platform, "i-1", answer_ordinarily, NULL);
  scripted_server_answer_router_calls (server, answer_router_without_end);
  fake_platform_put_record (route_vm.platform, "version/m",
                            "{\"model\":\"m\",\"version\":2}");
  g_usleep (3000 * G_TIME_SPAN_MILLISECOND);
  ck_assert_int_lt (peak_kb () - before_kb, ONE_MAX_KB);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("bytes_without_end");

  tcase_add_checked_fixture (cases, set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_answer_without_end_stays_within_memory_limit, 0,
                       G_N_ELEMENTS (answers));
  tcase_add_test (cases, test_stream_without_end_to_a_caller_that_does_not_read);
  tcase_add_test (cases, test_slow_caller_gets_each_event_once);
  tcase_add_test (cases, test_many_answers_without_end_leave_room_for_other_requests);
  tcase_add_test (cases, test_all_forms_at_once_leave_a_small_vm_its_memory);
  tcase_add_test (cases, test_report_without_end_stays_within_memory_limit);
  return run_started_suite ();
}
