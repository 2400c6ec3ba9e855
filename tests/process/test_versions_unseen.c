/* Tests that a VM does not resume a stream at a software version of which it only
   believes that it is the only one: it is cut off from the store while another one joins.
 */
#include <check.h>
#include <string.h>

#include "tests/harness/cut_file.h"
#include "tests/harness/cut_vm.h"
#include "tests/harness/run_suite.h"
#include "tests/harness/vm_group.h"

#define LEARN_MS   1000 /* in which VMs learn of a changed list */
#define RESUMES    "Resumes: r1\r\nLast-Event-Id: 1\r\n"
#define LAST_EVENT "id: 5\n"
#define REFUSED_MS 1000
#define OLDER      0u
#define NEWER      1u

static struct cut_vm far_vm;

static void
list_server (unsigned index, const char *software)
{
  fake_platform_server (route_vm.platform, index)->software = software;
  fake_platform_put_server (route_vm.platform, index, "ready");
}

static void
unlist_server (unsigned index)
{
  fake_platform_put_server_entry (
      route_vm.platform, fake_platform_server (route_vm.platform, index)->id, "");
}

static void
learn (void)
{
  g_usleep (LEARN_MS * G_TIME_SPAN_MILLISECOND);
}

/* One server of the older version is listed, and two VMs know it. */
static void
set_up (void)
{
  route_vm_set_up_servers (2);
  unlist_server (NEWER);
  list_server (OLDER, "v1");
  cut_vm_start (&far_vm, "y");
  vm_group_meet ();
}

static void
tear_down (void)
{
  cut_vm_stop (&far_vm);
  route_vm_tear_down ();
}

static void
cut_off_from_store (void)
{
  int port = fake_platform_port (route_vm.platform);

  ck_assert (
      cut_file_write (far_vm.path, &(struct cut_file){ .ports = &port, .count = 1 }));
}

/* Begins a stream at the VM that reaches the store, where it breaks within its second
 * event. */
static void
begin_stream (unsigned index)
{
  struct fake_server *server = fake_platform_server (route_vm.platform, index);
  g_autofree char *first
      = g_strdup_printf ("id: 1\ndata: piece 1 of %s\n", server->software);
  struct raw_answer answer;

  server->mode = FAKE_INTERRUPT;
  answer = route_vm_send_to (&route_vm, "POST", "/stream/x", "r1", "", "in");
  ck_assert_ptr_nonnull (strstr (answer.text->str, first));
  raw_answer_clear (&answer);
  server->mode = FAKE_ANSWER;
}

/* Has the stream resumed at the other VM. */
static struct raw_answer
resume (const char *id)
{
  return route_vm_send_to (&far_vm.vm, "POST", "/stream/x", id, RESUMES, "in");
}

static void
expect_whole (const char *id)
{
  struct raw_answer answer = resume (id);

  ck_assert_msg (strstr (answer.text->str, "of v1") == NULL, "%s", answer.text->str);
  ck_assert_msg (strstr (answer.text->str, LAST_EVENT) != NULL, "%s", answer.text->str);
  raw_answer_clear (&answer);
}

static void
expect_refused (const char *id)
{
  struct raw_answer answer = resume (id);

  ck_assert_msg (strstr (answer.text->str, "of v1") == NULL, "%s", answer.text->str);
  ck_assert_int_eq (route_vm_status (&answer), 503);
  ck_assert_ptr_nonnull (strstr (answer.text->str, "Retry-After: "));
  ck_assert_int_lt (answer.elapsed_ms, REFUSED_MS);
  raw_answer_clear (&answer);
}

/* The VM that is cut off has another one go on while there is one. */
START_TEST (test_stream_is_resumed_at_the_version_that_a_cut_off_vm_knows)
{
  cut_off_from_store ();
  list_server (NEWER, "v2");
  unlist_server (OLDER);
  learn ();
  begin_stream (NEWER);
  expect_whole ("r2");
  learn ();
  route_vm_kill (&route_vm);
  learn ();
  learn ();
  expect_refused ("r3");
  cut_vm_heal (&far_vm);
  learn ();
  expect_whole ("r4");
}
END_TEST

/* The other VM has just ended, and the one that is cut off does not know that yet. */
START_TEST (test_cut_off_vm_sends_a_stream_that_no_other_one_takes)
{
  cut_off_from_store ();
  list_server (NEWER, "v2");
  unlist_server (OLDER);
  learn ();
  begin_stream (NEWER);
  route_vm_kill (&route_vm);
  expect_refused ("r2");
}
END_TEST

START_TEST (test_stream_is_refused_while_one_version_serves)
{
  struct raw_answer answer;

  begin_stream (OLDER);
  answer = resume ("r2");
  ck_assert_msg (strstr (answer.text->str, LAST_EVENT) != NULL, "%s", answer.text->str);
  ck_assert_ptr_null (strstr (answer.text->str, "of v2"));
  raw_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("versions unseen");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_stream_is_resumed_at_the_version_that_a_cut_off_vm_knows);
  tcase_add_test (cases, test_cut_off_vm_sends_a_stream_that_no_other_one_takes);
  tcase_add_test (cases, test_stream_is_refused_while_one_version_serves);
  return run_started_suite ();
}
