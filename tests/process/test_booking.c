/* Tests at-most-once calls through real processes with injected faults. Usage:
   test_booking [SEED]. */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "tests/harness/cluster.h"
#include "tests/harness/run_suite.h"
#include "tests/history/history.h"

#define VMS                 3
#define ROUNDS              36
#define CALLS_PER_ROUND     6
#define PLATFORM_TIMEOUT_MS 400
#define DEADLINE_MS         1500
#define WAIT_TIMEOUT_MS     5000
#define POLL_MS             20
#define SCHEDULING_SLACK_MS 250 /* allowance for scheduling delays on a busy machine */

static const char settings[]
    = "[platform]\ntimeout_ms=400\n[booking]\npartitions=1\ncheckpoint_ms=400\n";

static struct cluster *cluster;
static struct process *service;
static int vms_started;
static int calls_made;
static int seed;

/* A call that runs in its own thread. */
struct booking
{
  int call;
  int port;
  char key[HISTORY_TEXT_MAX];
  int64_t invoked_ms;
  int64_t returned_ms;
  struct client_answer answer;
  GThread *thread;
};

static void
add_vm (void)
{
  g_autofree char *name = g_strdup_printf ("vm-%d", ++vms_started);

  cluster_add_vm (cluster, name, "dc1", settings);
}

static void
set_up (void)
{
  cluster = cluster_new ("booking");
  service = cluster_add_service (cluster, "service-1", "dc1");
  vms_started = 0;
  for (int i = 0; i < VMS; i++)
    add_vm ();
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static void
kill_vm (int index)
{
  g_ptr_array_remove_index (cluster->vms, (guint)index);
}

/* The content type contains the number of the call, so that the service can report which
   calls it ran. */
static struct client_answer
book_at (int port, const char *key, int call)
{
  g_autofree char *header = g_strdup_printf (
      "Content-Type: call/%d\r\nKingcuppoint-Deadline-Ms: %d", call, DEADLINE_MS);

  return client_run (&(struct client_call){
      .method = "POST",
      .port = port,
      .path = "/services/" CLUSTER_SERVICE "/book",
      .key = CLUSTER_TEAM_KEY,
      .profile = "booking",
      .idempotency_key = key,
      .header = header,
  });
}

static struct client_answer
book (int vm, const char *key, int call)
{
  return book_at (cluster_vm (cluster, (guint)vm)->port, key, call);
}

static gpointer
run_booking (gpointer user)
{
  struct booking *booking = user;

  booking->invoked_ms = kcp_clock_realtime_ms (&kcp_clock_system);
  booking->answer = book_at (booking->port, booking->key, booking->call);
  booking->returned_ms = kcp_clock_realtime_ms (&kcp_clock_system);
  return NULL;
}

static struct booking *
booking_start (int vm, const char *key)
{
  struct booking *booking = g_new0 (struct booking, 1);

  booking->port = cluster_vm (cluster, (guint)vm)->port;
  booking->call = ++calls_made;
  g_strlcpy (booking->key, key, sizeof booking->key);
  booking->thread = g_thread_new ("booking", run_booking, booking);
  return booking;
}

static void
booking_free (struct booking *booking)
{
  client_answer_clear (&booking->answer);
  g_free (booking);
}

static int64_t
executions (const char *key)
{
  struct client_answer answer = client_run (
      &(struct client_call){ .port = service->port, .path = "/executions" });
  json_t *counts = client_json (&answer);
  int64_t count = json_integer_value (json_object_get (counts, key));

  json_decref (counts);
  client_answer_clear (&answer);
  return count;
}

static bool
states_execution (const struct client_answer *answer, const char *execution)
{
  g_autofree char *text = g_strdup_printf ("\"execution\":\"%s\"", execution);

  return strstr (answer->body->str, text) != NULL;
}

/* Makes one call and checks the status and, unless execution is NULL, the execution that
   the answer states. */
static void
expect (int vm, const char *key, long status, const char *execution)
{
  struct client_answer answer = book (vm, key, ++calls_made);

  ck_assert_msg (answer.status == status, "%ld %s", answer.status, answer.body->str);
  if (execution != NULL)
    ck_assert_msg (states_execution (&answer, execution), "%s", answer.body->str);
  client_answer_clear (&answer);
}

/* Repeats a call every POLL_MS until it returns the status, without waiting for
   Retry-After. */
static void
expect_eventually (int vm, const char *key, long status)
{
  long seen = 0;

  for (int waited = 0; waited < WAIT_TIMEOUT_MS && seen != status; waited += POLL_MS)
    {
      struct client_answer answer = book (vm, key, ++calls_made);

      seen = answer.status;
      client_answer_clear (&answer);
      if (seen != status)
        g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_int_eq (seen, status);
}

static json_t *
read_stream (void)
{
  struct client_answer answer = client_run (&(struct client_call){
      .port = cluster->log->port, .path = "/streams/booking-0/records" });
  json_t *batch = client_json (&answer);

  client_answer_clear (&answer);
  return batch;
}

/* Waits until the booking stream holds a record whose first entry has the given op, or a
   part of a checkpoint if op is NULL. Returns the offset of the last such record. */
static int64_t
wait_for_entry (const char *op)
{
  for (int waited = 0; waited < WAIT_TIMEOUT_MS; waited += POLL_MS)
    {
      json_t *batch = read_stream ();
      json_t *item;
      int64_t found = -1;
      size_t i;

      json_array_foreach (json_object_get (batch, "records"), i, item)
      {
        json_t *record = json_object_get (item, "record");
        json_t *entry = json_array_get (json_object_get (record, "entries"), 0);
        bool part = json_object_get (record, "checkpoint") != NULL;
        const char *has = json_string_value (json_object_get (entry, "op"));

        if (op == NULL ? part : !part && g_strcmp0 (has, op) == 0)
          found = json_integer_value (json_object_get (item, "offset"));
      }
      json_decref (batch);
      if (found >= 0)
        return found;
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_abort_msg ("the booking stream holds no such entry");
}

START_TEST (test_a_repeat_at_any_vm_gets_the_first_outcome)
{
  struct client_answer first = book (0, "k", ++calls_made);

  ck_assert_int_eq (first.status, 200);
  for (int vm = 0; vm < VMS; vm++)
    {
      struct client_answer repeat = book (vm, "k", ++calls_made);
      g_autofree char *header = client_header (&repeat, "Kingcuppoint-Repeat");

      ck_assert_str_eq (repeat.body->str, first.body->str);
      ck_assert_str_eq (header, "true");
      client_answer_clear (&repeat);
    }
  client_answer_clear (&first);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_repeat_of_a_running_call_is_in_progress)
{
  struct booking *booking;
  struct client_answer repeat;
  g_autofree char *retry = NULL;

  cluster_inject_faults (service, "{\"delay_ms\":400}");
  booking = booking_start (0, "k");
  (void)wait_for_entry ("claim");
  repeat = book (1, "k", ++calls_made);
  ck_assert_int_eq (repeat.status, 409);
  ck_assert_ptr_nonnull (strstr (repeat.body->str, "in-progress"));
  retry = client_header (&repeat, "Retry-After");
  ck_assert_ptr_nonnull (retry);
  client_answer_clear (&repeat);
  g_thread_join (booking->thread);
  ck_assert_int_eq (booking->answer.status, 200);
  booking_free (booking);
  expect (1, "k", 200, NULL);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

/* The VM is killed while its claim is being appended. No other VM may dispatch the call,
   and none can know that it was not dispatched. */
START_TEST (test_a_vm_killed_before_dispatch_leaves_the_outcome_unknown)
{
  struct booking *booking;

  expect (0, "other", 200, NULL);
  cluster_inject_faults (cluster->log, "{\"append_delay_ms\":300}");
  booking = booking_start (0, "k");
  g_usleep (100 * G_TIME_SPAN_MILLISECOND);
  kill_vm (0);
  g_thread_join (booking->thread);
  booking_free (booking);
  cluster_inject_faults (cluster->log, "{\"append_delay_ms\":0}");
  g_usleep (300 * G_TIME_SPAN_MILLISECOND);
  expect (0, "k", 409, "unknown");
  g_usleep (DEADLINE_MS * G_TIME_SPAN_MILLISECOND);
  expect (1, "k", 409, "unknown");
  ck_assert_int_eq (executions ("k"), 0);
}
END_TEST

START_TEST (test_a_vm_killed_before_its_outcome_is_never_repeated)
{
  struct booking *booking;

  cluster_inject_faults (service, "{\"delay_ms\":300}");
  booking = booking_start (0, "k");
  while (executions ("k") == 0)
    g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
  kill_vm (0);
  g_thread_join (booking->thread);
  booking_free (booking);
  for (int vm = 0; vm < VMS - 1; vm++)
    expect (vm, "k", 409, "unknown");
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

/* The VM is stopped while its claim is being appended and continues after the deadline of
   the call. By then, other VMs have answered that the outcome is unknown. */
START_TEST (test_a_winner_paused_past_its_deadline_does_not_dispatch)
{
  struct booking *booking;

  expect (0, "other", 200, NULL);
  cluster_inject_faults (cluster->log, "{\"append_delay_ms\":150}");
  booking = booking_start (0, "k");
  g_usleep (75 * G_TIME_SPAN_MILLISECOND);
  process_signal (cluster_vm (cluster, 0), SIGSTOP);
  g_usleep (150 * G_TIME_SPAN_MILLISECOND);
  cluster_inject_faults (cluster->log, "{\"append_delay_ms\":0}");
  expect (1, "k", 409, "unknown");
  g_usleep (DEADLINE_MS * G_TIME_SPAN_MILLISECOND);
  expect (2, "k", 409, "unknown");
  process_signal (cluster_vm (cluster, 0), SIGCONT);
  g_thread_join (booking->thread);
  ck_assert (states_execution (&booking->answer, "not_run"));
  booking_free (booking);
  expect_eventually (1, "k", 200);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_claim_whose_answer_was_lost_is_found_and_used)
{
  expect (0, "other", 200, NULL);
  cluster_inject_faults (cluster->log, "{\"lose_answers\":1}");
  expect (0, "k", 200, NULL);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

/* The log applies the claim only after its VM has refused the call. The next record of
   that VM must void the claim, because its call is never dispatched. */
START_TEST (test_a_late_claim_does_not_hold_its_key)
{
  expect (0, "other", 200, NULL);
  cluster_inject_faults (cluster->log, "{\"late_appends\":1,\"late_ms\":600}");
  expect (0, "k", 503, "not_run");
  g_usleep (700 * G_TIME_SPAN_MILLISECOND);
  expect (1, "k", 200, NULL);
  expect (0, "k", 200, NULL);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_calls_are_refused_at_once_during_a_log_outage)
{
  struct client_answer answer;
  g_autofree char *retry = NULL;

  expect (0, "other", 200, NULL);
  cluster_inject_faults (cluster->log, "{\"out\":true}");
  answer = book (0, "k", ++calls_made);
  retry = client_header (&answer, "Retry-After");
  ck_assert_int_eq (answer.status, 503);
  ck_assert (states_execution (&answer, "not_run"));
  ck_assert_ptr_nonnull (retry);
  client_answer_clear (&answer);
  cluster_inject_faults (cluster->log, "{\"out\":false}");
  expect_eventually (0, "k", 200);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_frozen_log_fails_a_call_within_the_platform_timeout)
{
  struct client_answer answer;

  expect (0, "other", 200, NULL);
  process_signal (cluster->log, SIGSTOP);
  answer = book (0, "k", ++calls_made);
  process_signal (cluster->log, SIGCONT);
  ck_assert_int_eq (answer.status, 503);
  ck_assert (states_execution (&answer, "not_run"));
  ck_assert_int_le (answer.total_us / 1000, PLATFORM_TIMEOUT_MS + SCHEDULING_SLACK_MS);
  client_answer_clear (&answer);
  expect_eventually (1, "k", 200);
  expect_eventually (0, "k", 200);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_an_outcome_is_appended_after_an_outage)
{
  struct booking *booking;

  cluster_inject_faults (service, "{\"delay_ms\":300}");
  booking = booking_start (0, "k");
  while (executions ("k") == 0)
    g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
  cluster_inject_faults (cluster->log, "{\"out\":true}");
  g_thread_join (booking->thread);
  ck_assert_int_eq (booking->answer.status, 200);
  booking_free (booking);
  expect (1, "k", 503, "not_run");
  cluster_inject_faults (cluster->log, "{\"out\":false}");
  expect_eventually (1, "k", 200);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_trimmed_log_with_a_checkpoint_keeps_its_keys)
{
  g_autofree char *trim = NULL;

  expect (0, "k", 200, NULL);
  trim = g_strdup_printf (
      "{\"trim\":{\"stream\":\"booking-0\",\"first\":%" G_GINT64_FORMAT "}}",
      wait_for_entry (NULL));
  cluster_inject_faults (cluster->log, trim);
  add_vm ();
  cluster_publish_list (cluster, 0);
  cluster_wait_ready (cluster);
  expect (VMS, "k", 200, NULL);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_trimmed_log_without_a_checkpoint_refuses_calls)
{
  expect (0, "k", 200, NULL);
  while (cluster->vms->len > 0)
    kill_vm (0);
  cluster_inject_faults (cluster->log,
                         "{\"trim\":{\"stream\":\"booking-0\",\"first\":1000000}}");
  add_vm ();
  cluster_publish_list (cluster, 0);
  cluster_wait_ready (cluster);
  expect (0, "k", 503, "not_run");
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_keys_are_restored_after_a_log_rollback)
{
  expect (0, "a", 200, NULL);
  expect (0, "k", 200, NULL);
  expect (0, "k", 200, NULL);
  cluster_inject_faults (cluster->log,
                         "{\"truncate\":{\"stream\":\"booking-0\",\"next\":1}}");
  (void)wait_for_entry ("restore");
  expect (1, "k", 200, NULL);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_vm_with_another_partition_count_refuses_calls)
{
  expect (0, "k", 200, NULL);
  cluster_add_vm (cluster, "vm-odd", "dc1", "[booking]\npartitions=2\n");
  cluster_publish_list (cluster, 0);
  cluster_wait_ready (cluster);
  expect (VMS, "k", 500, "not_run");
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

/* The service runs the call but closes the connection without an answer. An HTTP client
   that sends such a request again on a new connection would run the call twice. */
START_TEST (test_a_closed_keep_alive_connection_repeats_no_call)
{
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *key = g_strdup_printf ("warm-%d", i);

      expect (0, key, 200, NULL);
    }
  cluster_inject_faults (service, "{\"lose_answers\":1}");
  expect (0, "k", 502, "unknown");
  ck_assert_int_eq (executions ("k"), 1);
  expect (1, "k", 409, "unknown");
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_refused_connection_releases_the_key)
{
  process_kill (service);
  expect (0, "k", 502, "not_run");
  cluster_set_member (cluster, "service", "service-1", 0, "dc1", NULL);
  service = cluster_add_service (cluster, "service-2", "dc1");
  cluster_publish_list (cluster, 0);
  expect_eventually (1, "k", 200);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_a_disconnected_caller_gets_the_outcome_later)
{
  struct client_answer answer;

  cluster_inject_faults (service, "{\"delay_ms\":300}");
  answer = client_run (&(struct client_call){
      .method = "POST",
      .port = cluster_vm (cluster, 0)->port,
      .path = "/services/" CLUSTER_SERVICE "/book",
      .key = CLUSTER_TEAM_KEY,
      .profile = "booking",
      .idempotency_key = "k",
      .timeout_ms = 150,
  });
  ck_assert_int_ne (answer.curl, 0);
  client_answer_clear (&answer);
  expect_eventually (1, "k", 200);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

START_TEST (test_another_body_of_the_same_key_is_refused)
{
  struct client_answer answer;

  expect (0, "k", 200, NULL);
  answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 1)->port,
      .path = "/services/" CLUSTER_SERVICE "/book",
      .key = CLUSTER_TEAM_KEY,
      .profile = "booking",
      .idempotency_key = "k",
      .body = "{}",
  });
  ck_assert_int_eq (answer.status, 422);
  client_answer_clear (&answer);
  ck_assert_int_eq (executions ("k"), 1);
}
END_TEST

static void
record_return (struct history *history, const struct booking *booking)
{
  const struct client_answer *answer = &booking->answer;
  enum history_result result = HISTORY_UNKNOWN;

  if (answer->status == 200)
    result = HISTORY_RAN;
  else if (states_execution (answer, "not_run"))
    result = HISTORY_NOT_RUN;
  history_return (history, booking->returned_ms, booking->call, booking->key, result,
                  result == HISTORY_RAN ? booking->key : "");
}

static void
record_executions (struct history *history)
{
  struct client_answer answer
      = client_run (&(struct client_call){ .port = service->port, .path = "/calls" });
  json_t *calls = client_json (&answer);
  json_t *item;
  size_t i;

  json_array_foreach (calls, i, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));
    const char *call = json_string_value (json_object_get (item, "content_type"));

    history_execute (history, 0, atoi (call + strlen ("call/")), key, key);
  }
  json_decref (calls);
  client_answer_clear (&answer);
}

enum fault
{
  FAULT_NONE,
  FAULT_KILL,
  FAULT_FREEZE_VM,
  FAULT_FREEZE_LOG,
  FAULT_LOG_OUT,
  FAULT_LOST_ANSWERS,
  FAULT_LATE_APPENDS,
  FAULT_SLOW_LOG,
  FAULT_LOST_RESULTS,
  FAULTS
};

static void
inject (enum fault fault, int vm)
{
  switch (fault)
    {
    case FAULT_KILL:
      process_kill (cluster_vm (cluster, (guint)vm));
      break;
    case FAULT_FREEZE_VM:
      process_signal (cluster_vm (cluster, (guint)vm), SIGSTOP);
      break;
    case FAULT_FREEZE_LOG:
      process_signal (cluster->log, SIGSTOP);
      break;
    case FAULT_LOG_OUT:
      cluster_inject_faults (cluster->log, "{\"out\":true}");
      break;
    case FAULT_LOST_ANSWERS:
      cluster_inject_faults (cluster->log, "{\"lose_answers\":2}");
      break;
    case FAULT_LATE_APPENDS:
      cluster_inject_faults (cluster->log, "{\"late_appends\":2,\"late_ms\":150}");
      break;
    case FAULT_SLOW_LOG:
      cluster_inject_faults (cluster->log, "{\"append_delay_ms\":60}");
      break;
    case FAULT_LOST_RESULTS:
      cluster_inject_faults (service, "{\"lose_answers\":1,\"delay_ms\":20}");
      break;
    case FAULT_NONE:
    case FAULTS:
      break;
    }
}

static void
clear_faults (enum fault fault, int vm)
{
  if (fault == FAULT_FREEZE_VM)
    process_signal (cluster_vm (cluster, (guint)vm), SIGCONT);
  process_signal (cluster->log, SIGCONT);
  cluster_inject_faults (cluster->log,
                         "{\"out\":false,\"lose_answers\":0,\"late_appends\":0,"
                         "\"append_delay_ms\":0}");
  cluster_inject_faults (service, "{\"delay_ms\":20}");
}

/* Makes calls with one key at random VMs and injects two faults between them. Freezing
   the log comes last, because a frozen log does not accept requests for other faults. */
static void
run_round (GRand *rand, int round, struct history *history)
{
  struct booking *bookings[CALLS_PER_ROUND];
  enum fault faults[2];
  g_autofree char *key = g_strdup_printf ("round-%d", round);
  int vm = g_rand_int_range (rand, 0, VMS);

  for (int i = 0; i < 2; i++)
    faults[i] = g_rand_int_range (rand, 0, FAULTS);
  if (faults[0] == FAULT_FREEZE_LOG)
    {
      faults[0] = faults[1];
      faults[1] = FAULT_FREEZE_LOG;
    }
  for (int i = 0; i < CALLS_PER_ROUND; i++)
    {
      bookings[i] = booking_start (g_rand_int_range (rand, 0, VMS), key);
      g_usleep ((gulong)g_rand_int_range (rand, 0, 12000));
      if (i < 2)
        inject (faults[i], vm);
    }
  g_usleep (40 * G_TIME_SPAN_MILLISECOND);
  clear_faults (faults[0], vm);
  clear_faults (faults[1], vm);
  for (int i = 0; i < CALLS_PER_ROUND; i++)
    {
      g_thread_join (bookings[i]->thread);
      record_return (history, bookings[i]);
      booking_free (bookings[i]);
    }
  if (faults[0] != FAULT_KILL && faults[1] != FAULT_KILL)
    return;
  kill_vm (vm);
  add_vm ();
  cluster_publish_list (cluster, 0);
  cluster_wait_ready (cluster);
}

/* Calls once with every key, after all faults have been cleared. */
static void
repeat_all (GRand *rand, struct history *history)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      g_autofree char *key = g_strdup_printf ("round-%d", i);
      struct booking *booking = booking_start (g_rand_int_range (rand, 0, VMS), key);

      g_thread_join (booking->thread);
      record_return (history, booking);
      booking_free (booking);
    }
}

START_TEST (test_random_faults_keep_every_invariant)
{
  GRand *rand = g_rand_new_with_seed ((guint32)seed);
  struct history *returns = history_new ();
  struct history *history = history_new ();
  int results[HISTORY_RAN + 1] = { 0 };
  char *violations[3];

  cluster_inject_faults (service, "{\"delay_ms\":20}");
  for (int i = 0; i < ROUNDS; i++)
    run_round (rand, i, returns);
  expect_eventually (0, "settled", 200);
  repeat_all (rand, returns);
  record_executions (history);
  for (guint i = 0; i < returns->events->len; i++)
    {
      const struct history_event *event
          = &g_array_index (returns->events, struct history_event, i);

      results[event->result]++;
      g_array_append_val (history->events, *event);
    }
  violations[0] = history_check_once (history, DEADLINE_MS);
  violations[1] = history_check_not_run (history);
  violations[2] = history_check_answers (history);
  (void)printf ("seed %d, %d rounds: %d ran, %d not run, %d unknown\n", seed, ROUNDS,
                results[HISTORY_RAN], results[HISTORY_NOT_RUN], results[HISTORY_UNKNOWN]);
  (void)fflush (stdout);
  for (int i = 0; i < 3; i++)
    ck_assert_msg (violations[i] == NULL, "%s", violations[i]);
  ck_assert_int_gt (results[HISTORY_RAN], ROUNDS / 2);
  history_free (returns);
  history_free (history);
  g_rand_free (rand);
}
END_TEST

int
main (int argc, char **argv)
{
  TCase *tests = start_suite ("booking");

  seed = argc > 1 ? atoi (argv[1]) : 1;
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_repeat_at_any_vm_gets_the_first_outcome);
  tcase_add_test (tests, test_a_repeat_of_a_running_call_is_in_progress);
  tcase_add_test (tests, test_a_vm_killed_before_dispatch_leaves_the_outcome_unknown);
  tcase_add_test (tests, test_a_vm_killed_before_its_outcome_is_never_repeated);
  tcase_add_test (tests, test_a_winner_paused_past_its_deadline_does_not_dispatch);
  tcase_add_test (tests, test_a_claim_whose_answer_was_lost_is_found_and_used);
  tcase_add_test (tests, test_a_late_claim_does_not_hold_its_key);
  tcase_add_test (tests, test_calls_are_refused_at_once_during_a_log_outage);
  tcase_add_test (tests, test_a_frozen_log_fails_a_call_within_the_platform_timeout);
  tcase_add_test (tests, test_an_outcome_is_appended_after_an_outage);
  tcase_add_test (tests, test_a_trimmed_log_with_a_checkpoint_keeps_its_keys);
  tcase_add_test (tests, test_a_trimmed_log_without_a_checkpoint_refuses_calls);
  tcase_add_test (tests, test_keys_are_restored_after_a_log_rollback);
  tcase_add_test (tests, test_a_vm_with_another_partition_count_refuses_calls);
  tcase_add_test (tests, test_a_closed_keep_alive_connection_repeats_no_call);
  tcase_add_test (tests, test_a_refused_connection_releases_the_key);
  tcase_add_test (tests, test_a_disconnected_caller_gets_the_outcome_later);
  tcase_add_test (tests, test_another_body_of_the_same_key_is_refused);
  tcase_add_test (tests, test_random_faults_keep_every_invariant);
  return run_started_suite ();
}
