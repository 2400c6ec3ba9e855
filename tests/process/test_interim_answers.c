/* Backend servers that send interim (1xx) answers before the answer itself. */
#include <check.h>
#include <string.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

static void
answer_after_interim (struct scripted_request *request, void *user)
{
  (void)user;
  (void)scripted_request_write (request, "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n"
                                         "Not-Executed: 1\r\nRequest-Id: r9\r\n\r\n");
  (void)scripted_request_write_head (request, "200 OK", "Content-Length: 2\r\n");
  request->keep_open = scripted_request_write (request, "ok");
}

/* Such lines could state that a request did not run that has run, or belong to another
   request. */
START_TEST (test_header_lines_of_an_interim_answer_do_not_count)
{
  struct raw_answer answer;

  (void)scripted_vm_start_server ("i-1", answer_after_interim, NULL);
  answer = route_vm_send ("POST", "/once/x", "", "in");
  ck_assert_int_eq (route_vm_status (&answer), 200);
  ck_assert_ptr_null (strstr (answer.text->str, "X-Early"));
  ck_assert_ptr_null (strstr (answer.text->str, "Not-Executed"));
  ck_assert_ptr_nonnull (strstr (answer.text->str, "\r\n\r\nok"));
  raw_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("interim_answers");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_header_lines_of_an_interim_answer_do_not_count);
  return run_started_suite ();
}
