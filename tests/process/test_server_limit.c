/* Tests that a server which names a limit of requests a second gets no more than that
   from all VMs together, that it is used up to the limit, and that what it may not take
   is sent to other servers or refused at once. */
#include <check.h>
#include <pthread.h>

#include "tests/harness/limit_load.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define SERVERS        3
#define REQUESTS_PER_S 16 /* of the caller of one VM */
#define LOAD_MS        11000
#define ERROR_EVERY    4u
#define START_MS       4000 /* when a VM starts */
#define READY_MS       800  /* from then on until it gets requests */
#define FEW_ANSWERS    8    /* in which a server names a limit that it then lifts */
#define US(ms)         ((ms) * (int64_t)G_TIME_SPAN_MILLISECOND)

static void
set_up (void)
{
  vm_group_set_up (SERVERS);
}

/* Starts callers of the first vms VMs for LOAD_MS; that of the last one begins at
   last_from_ms. */
static void
start_load (struct limit_load *load, unsigned vms, int64_t last_from_ms)
{
  limit_load_start (load, &(struct limit_load_spec){
                              .vm_at = vm_group_at,
                              .vms = vms,
                              .requests_per_s = REQUESTS_PER_S,
                              .duration_ms = LOAD_MS,
                              .last_from_ms = last_from_ms,
                          });
}

/* Sends requests to the first vms VMs for LOAD_MS. */
static struct limit_load_result
send_load (struct limit_load *load, unsigned vms)
{
  start_load (load, vms, 0);
  return limit_load_finish (load);
}

static struct fake_server *
server_at (unsigned i)
{
  return fake_platform_server (route_vm.platform, i);
}

/* Has servers name a limit, and counts the VMs' own calls as requests to them. */
static void
set_limits (unsigned count, const char *limit)
{
  for (unsigned i = 0; i < count; i++)
    {
      server_at (i)->limit = limit;
      server_at (i)->counts_calls = true;
    }
}

START_TEST (test_server_gets_more_requests_than_its_limit)
{
  struct limit_load load;
  struct limit_load_result sum;

  set_limits (1, "3.3");
  sum = send_load (&load, VM_GROUP_SIZE);
  limit_load_expect_kept (&load, server_at (0), 3.3);
  limit_load_expect_answered (&sum);
  ck_assert_uint_eq (sum.refused, 0);
}
END_TEST

START_TEST (test_all_servers_get_more_requests_than_their_limits)
{
  struct limit_load load;
  struct limit_load_result sum;

  set_limits (SERVERS, "2.7");
  sum = send_load (&load, VM_GROUP_SIZE);
  for (unsigned i = 0; i < SERVERS; i++)
    limit_load_expect_kept (&load, server_at (i), 2.7);
  limit_load_expect_answered (&sum);
}
END_TEST

START_TEST (test_vm_that_starts_does_not_know_a_limit)
{
  struct route_vm *last = vm_group_at (VM_GROUP_SIZE - 1);
  struct limit_load load;
  struct limit_load_result sum;

  route_vm_kill (last);
  set_limits (2, "2.7");
  start_load (&load, VM_GROUP_SIZE, START_MS + READY_MS);
  g_usleep ((gulong)US (START_MS));
  route_vm_restart (last);
  sum = limit_load_finish (&load);
  limit_load_expect_kept (&load, server_at (0), 2.7);
  limit_load_expect_kept (&load, server_at (1), 2.7);
  limit_load_expect_answered (&sum);
}
END_TEST

/* The others have no callers, so a fair share is what the VM needs. */
START_TEST (test_vm_with_all_callers_gets_the_same_share_as_idle_ones)
{
  struct limit_load load;
  struct limit_load_result sum;

  set_limits (SERVERS, "3.0");
  sum = send_load (&load, 1);
  for (unsigned i = 0; i < SERVERS; i++)
    limit_load_expect_kept (&load, server_at (i), 3.0);
  limit_load_expect_answered (&sum);
}
END_TEST

static void *
lift_limit (void *user)
{
  struct fake_server *server = user;

  while (fake_server_count_arrivals (server, 0) < FEW_ANSWERS)
    g_usleep (G_TIME_SPAN_MILLISECOND);
  server->limit = NULL;
  return NULL;
}

/* Expects that a server whose limit is lifted soon gets a third of the requests. */
static void
expect_used_again (const char *limit)
{
  struct fake_server *server = server_at (0);
  pthread_t thread;
  struct limit_load load;
  struct limit_load_result sum;
  unsigned late;

  set_limits (1, limit);
  ck_assert_int_eq (pthread_create (&thread, NULL, lift_limit, server), 0);
  sum = send_load (&load, VM_GROUP_SIZE);
  late = fake_server_count_arrivals (server,
                                     load.start_us + US (LOAD_MS - LIMIT_LOAD_WINDOW_MS));
  (void)pthread_join (thread, NULL);
  g_print ("%u requests in the last 4 s\n", late);
  ck_assert_uint_gt (late, VM_GROUP_SIZE * REQUESTS_PER_S);
  limit_load_expect_answered (&sum);
}

START_TEST (test_server_that_lifts_its_limit_is_not_used_again)
{
  expect_used_again ("3.0");
}
END_TEST

/* An error need not come from where the limit does. */
START_TEST (test_error_that_names_no_limit_lifts_it)
{
  struct limit_load load;

  set_limits (SERVERS, "2.7");
  for (unsigned i = 0; i < SERVERS; i++)
    server_at (i)->fails_every = ERROR_EVERY;
  (void)send_load (&load, VM_GROUP_SIZE);
  for (unsigned i = 0; i < SERVERS; i++)
    limit_load_expect_kept (&load, server_at (i), 2.7);
}
END_TEST

START_TEST (test_calls_of_the_vms_come_on_top_of_a_limit)
{
  struct limit_load load;

  set_limits (1, "1");
  (void)send_load (&load, VM_GROUP_SIZE);
  limit_load_expect_kept (&load, server_at (0), 1);
}
END_TEST

START_TEST (test_limit_that_cannot_be_read_is_one)
{
  struct fake_server *server = server_at (0);
  struct limit_load load;

  set_limits (1, "few");
  (void)send_load (&load, VM_GROUP_SIZE);
  ck_assert_uint_gt (fake_server_count_arrivals (
                         server, load.start_us + US (LOAD_MS - LIMIT_LOAD_WINDOW_MS)),
                     VM_GROUP_SIZE * REQUESTS_PER_S);
}
END_TEST

static void *
lift_limit_later (void *user)
{
  struct fake_server *server = user;

  g_usleep ((gulong)US (LIMIT_LOAD_STABLE_WINDOW_MS));
  server->limit = NULL;
  return NULL;
}

START_TEST (test_server_that_takes_no_requests_is_never_asked_again)
{
  struct fake_server *server = server_at (0);
  pthread_t thread;
  struct limit_load load;

  set_limits (1, "0");
  ck_assert_int_eq (pthread_create (&thread, NULL, lift_limit_later, server), 0);
  (void)send_load (&load, VM_GROUP_SIZE);
  (void)pthread_join (thread, NULL);
  ck_assert_uint_gt (fake_server_count_arrivals (
                         server, load.start_us + US (LOAD_MS - LIMIT_LOAD_WINDOW_MS)),
                     VM_GROUP_SIZE * REQUESTS_PER_S);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("server limit");

  tcase_add_checked_fixture (cases, set_up, vm_group_tear_down);
  tcase_set_timeout (cases, 120);
  tcase_add_test (cases, test_server_gets_more_requests_than_its_limit);
  tcase_add_test (cases, test_all_servers_get_more_requests_than_their_limits);
  tcase_add_test (cases, test_vm_that_starts_does_not_know_a_limit);
  tcase_add_test (cases, test_vm_with_all_callers_gets_the_same_share_as_idle_ones);
  tcase_add_test (cases, test_server_that_lifts_its_limit_is_not_used_again);
  tcase_add_test (cases, test_error_that_names_no_limit_lifts_it);
  tcase_add_test (cases, test_calls_of_the_vms_come_on_top_of_a_limit);
  tcase_add_test (cases, test_limit_that_cannot_be_read_is_one);
  tcase_add_test (cases, test_server_that_takes_no_requests_is_never_asked_again);
  return run_started_suite ();
}
