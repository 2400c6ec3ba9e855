/* Backend servers that ask for no requests for some time (Retry-After), or say that they
   are leaving: what they and the callers get. */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define REQUEST_GAP_MS 60
#define TRANSIT_US     500000  /* requests on their way when a server asks for a pause */
#define PAUSE_US       2000000 /* that the servers ask for */
#define LEAVING_US     2000000 /* default of servers.leaving_ms */
#define AT_ONCE_MS     400
#define MEET_US        1500000 /* in which VMs that start learn of each other */
#define TOLD_US        300000  /* in which they are told what a server has said */
#define OTHER_REQUESTS 20u

/* How a server answers, and what it has answered. */
struct behaviour
{
  const char *status;
  const char *header_lines;
  bool once; /* only the first request; then 200 without these lines */
};

static const struct behaviour ordinary = { "200 OK", "", false };
static const struct behaviour pausing
    = { "503 Busy", "Not-Executed: 1\r\nRetry-After: 2\r\n", true };
static const struct behaviour leaving = { "200 OK", "Server-Leaving: 1\r\n", false };

/* Values of Retry-After that ask for no time that can be kept. */
static const char *const unusable_times[]
    = { "0", "-5", "", "abc", "nan", "inf", "1e999", "Wed, 21 Oct 2015 07:28:00 GMT" };

static void
answer (struct scripted_request *request, void *user)
{
  const struct behaviour *behaviour = user;
  g_autofree char *header_lines = NULL;

  if (behaviour->once && request->number > 0)
    behaviour = &ordinary;
  header_lines = g_strconcat (behaviour->header_lines, "Content-Length: 2\r\n", NULL);
  request->keep_open
      = scripted_request_write_head (request, behaviour->status, header_lines)
        && scripted_request_write (request, "ok");
}

/* Says that it leaves in the head of a stream, whose event comes later. */
static void
leave_in_stream (struct scripted_request *request, void *user)
{
  (void)user;
  if (!scripted_request_write_head (request, "200 OK", "Server-Leaving: 1\r\n"))
    return;
  g_usleep (1000 * G_TIME_SPAN_MILLISECOND);
  (void)scripted_request_write (request, "id: 1\ndata: a\n\n");
}

static void
stream_at_once (struct scripted_request *request, void *user)
{
  (void)user;
  if (scripted_request_write_head (request, "200 OK", ""))
    (void)scripted_request_write (request, "id: 1\ndata: a\n\n");
}

/* Returns the number of requests that arrived at the server from from_us until to_us
   after its first one. */
static unsigned
arrivals (struct scripted_server *server, int64_t from_us, int64_t to_us)
{
  unsigned count = 0;

  for (unsigned i = 1; i < scripted_server_request_count (server); i++)
    {
      int64_t after_us = scripted_server_request_us (server, i)
                         - scripted_server_request_us (server, 0);

      count += after_us >= from_us && after_us < to_us;
    }
  return count;
}

/* Sends a request and returns its status. Fails the test if it took longer than
   max_ms. */
static int
send_within (const char *path, int64_t max_ms)
{
  struct raw_answer received = route_vm_send ("POST", path, "", "in");
  int status = route_vm_status (&received);

  ck_assert_int_lt (received.elapsed_ms, max_ms);
  raw_answer_clear (&received);
  return status;
}

static void
send_for (int64_t duration_us, int expected_status)
{
  int64_t end_us = g_get_monotonic_time () + duration_us;

  while (g_get_monotonic_time () < end_us)
    {
      ck_assert_int_eq (send_within ("/once/x", AT_ONCE_MS), expected_status);
      g_usleep (REQUEST_GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
}

START_TEST (test_server_gets_no_requests_until_its_retry_after_ends)
{
  struct scripted_server *first;

  first = scripted_vm_start_server ("i-1", answer, &pausing);
  (void)scripted_vm_start_server ("i-2", answer, &ordinary);
  while (scripted_server_request_count (first) == 0)
    ck_assert_int_eq (send_within ("/once/x", AT_ONCE_MS), 200);
  send_for (PAUSE_US + TRANSIT_US, 200);
  ck_assert_uint_eq (arrivals (first, TRANSIT_US, PAUSE_US), 0);
  /* It is used again after the time. */
  ck_assert_uint_gt (arrivals (first, PAUSE_US, 2 * PAUSE_US), 0);
}
END_TEST

/* All servers of the service turn away at once: callers are refused at once and told when
   to come back, and the servers are left alone. */
START_TEST (test_requests_are_refused_at_once_while_all_servers_pause)
{
  struct scripted_server *first;
  struct scripted_server *second;
  struct behaviour always = pausing;
  int64_t start_us;

  always.once = false;
  first = scripted_vm_start_server ("i-1", answer, &always);
  second = scripted_vm_start_server ("i-2", answer, &always);
  start_us = g_get_monotonic_time ();
  while (g_get_monotonic_time () < start_us + PAUSE_US - TRANSIT_US)
    {
      struct raw_answer received = route_vm_send ("POST", "/again/x", "", "in");
      const char *retry_after = strstr (received.text->str, "Retry-After: ");
      double pause_left_s
          = (double)(start_us + PAUSE_US - g_get_monotonic_time ()) / G_USEC_PER_SEC;

      ck_assert_int_eq (route_vm_status (&received), 503);
      ck_assert_int_lt (received.elapsed_ms, AT_ONCE_MS);
      ck_assert_ptr_nonnull (retry_after);
      /* After the pause, or after a third of the caller's 2.5 s. */
      ck_assert_double_ge (atof (retry_after + strlen ("Retry-After: ")),
                           MIN (pause_left_s, 0.8));
      raw_answer_clear (&received);
      g_usleep (REQUEST_GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_uint_eq (arrivals (first, TRANSIT_US, PAUSE_US), 0);
  ck_assert_uint_eq (arrivals (second, TRANSIT_US, PAUSE_US), 0);
}
END_TEST

/* The only server is not given up for a time that makes no sense. */
START_TEST (test_unusable_retry_after_does_not_exclude_a_server)
{
  g_autofree char *lines
      = g_strdup_printf ("Not-Executed: 1\r\nRetry-After: %s\r\n", unusable_times[_i]);
  struct behaviour behaviour
      = { .status = "503 Busy", .header_lines = lines, .once = true };

  (void)scripted_vm_start_server ("i-1", answer, &behaviour);
  ck_assert_int_eq (send_within ("/once/x", AT_ONCE_MS), 503);
  ck_assert_int_eq (send_within ("/once/x", AT_ONCE_MS), 200);
}
END_TEST

START_TEST (test_leaving_server_gets_no_requests_while_another_will_do)
{
  struct scripted_server *first;

  first = scripted_vm_start_server ("i-1", answer, &leaving);
  (void)scripted_vm_start_server ("i-2", answer, &ordinary);
  while (scripted_server_request_count (first) == 0)
    ck_assert_int_eq (send_within ("/once/x", AT_ONCE_MS), 200);
  /* Its entry is written again as before. */
  scripted_server_put_entry (first, "ready");
  send_for (LEAVING_US, 200);
  ck_assert_uint_eq (scripted_server_request_count (first), 1);
}
END_TEST

START_TEST (test_server_that_leaves_during_a_stream_gets_no_requests)
{
  struct scripted_server *first;
  int fd;

  first = scripted_vm_start_server ("i-1", leave_in_stream, NULL);
  fd = raw_connect_and_send (route_vm.port,
                             "POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r0\r\n"
                             "Authorization: Bearer key1\r\nContent-Length: 2\r\n\r\nin",
                             0);
  (void)scripted_vm_start_server ("i-2", stream_at_once, NULL);
  for (unsigned i = 0; i < 8; i++)
    ck_assert_int_eq (send_within ("/stream/x", AT_ONCE_MS), 200);
  ck_assert_uint_eq (scripted_server_request_count (first), 1);
  (void)close (fd);
}
END_TEST

/* The only server is used while it certainly runs; then callers are refused at once. */
START_TEST (test_only_server_is_used_for_a_while_after_it_says_that_it_leaves)
{
  struct scripted_server *first;
  int status = 0;
  unsigned served = 0;

  first = scripted_vm_start_server ("i-1", answer, &leaving);
  for (int64_t end_us = g_get_monotonic_time () + LEAVING_US + TRANSIT_US;
       g_get_monotonic_time () < end_us;)
    {
      status = send_within ("/once/x", AT_ONCE_MS);
      ck_assert (status == 200 || status == 503);
      served += status == 200;
      g_usleep (REQUEST_GAP_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_int_eq (status, 503);
  ck_assert_uint_gt (served, 5);
  ck_assert_uint_eq (arrivals (first, LEAVING_US, INT64_MAX), 0);
}
END_TEST

/* An answer of 421 may come from another server, which has got the address. */
START_TEST (test_leaving_of_a_server_that_is_another_one_does_not_count)
{
  struct behaviour other = { .status = "421 Misdirected Request",
                             .header_lines = "Server-Leaving: 1\r\nRetry-After: 2\r\n",
                             .once = true };

  (void)scripted_vm_start_server ("i-1", answer, &other);
  ck_assert_int_eq (send_within ("/once/x", AT_ONCE_MS), 503);
  send_for (LEAVING_US, 200);
}
END_TEST

/* Sends requests to a VM until the server has got one. */
static void
send_until_asked (const struct route_vm *vm, struct scripted_server *server)
{
  for (unsigned i = 0; scripted_server_request_count (server) == 0; i++)
    {
      g_autofree char *id = g_strdup_printf ("first%u", i);
      struct raw_answer received = route_vm_send_to (vm, "POST", "/once/x", id, "", "in");

      raw_answer_clear (&received);
    }
}

/* Sends requests to a VM that has asked no server yet, and returns how many of them the
   server got. */
static unsigned
count_sent_by (const struct route_vm *vm, struct scripted_server *server)
{
  unsigned before = scripted_server_request_count (server);

  g_usleep (TOLD_US);
  for (unsigned i = 0; i < OTHER_REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("other%u", i);
      struct raw_answer received = route_vm_send_to (vm, "POST", "/once/x", id, "", "in");

      ck_assert_int_eq (route_vm_status (&received), 200);
      raw_answer_clear (&received);
    }
  return scripted_server_request_count (server) - before;
}

static void
expect_others_told (const struct behaviour *behaviour)
{
  struct scripted_server *server;
  struct route_vm other;
  unsigned sent;

  route_vm_add (&other, "z");
  g_usleep (MEET_US);
  server = scripted_vm_start_server ("i-1", answer, behaviour);
  (void)scripted_vm_start_server ("i-2", answer, &ordinary);
  send_until_asked (&route_vm, server);
  sent = count_sent_by (&other, server);
  route_vm_remove (&other);
  ck_assert_uint_eq (sent, 0);
}

START_TEST (test_other_vms_are_not_told_that_a_server_pauses)
{
  expect_others_told (&pausing);
}
END_TEST

START_TEST (test_other_vms_are_not_told_that_a_server_leaves)
{
  expect_others_told (&leaving);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("server_backoff");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_server_gets_no_requests_until_its_retry_after_ends);
  tcase_add_test (cases, test_requests_are_refused_at_once_while_all_servers_pause);
  tcase_add_loop_test (cases, test_unusable_retry_after_does_not_exclude_a_server, 0,
                       G_N_ELEMENTS (unusable_times));
  tcase_add_test (cases, test_leaving_server_gets_no_requests_while_another_will_do);
  tcase_add_test (cases, test_server_that_leaves_during_a_stream_gets_no_requests);
  tcase_add_test (cases,
                  test_only_server_is_used_for_a_while_after_it_says_that_it_leaves);
  tcase_add_test (cases, test_leaving_of_a_server_that_is_another_one_does_not_count);
  tcase_add_test (cases, test_other_vms_are_not_told_that_a_server_pauses);
  tcase_add_test (cases, test_other_vms_are_not_told_that_a_server_leaves);
  return run_started_suite ();
}
