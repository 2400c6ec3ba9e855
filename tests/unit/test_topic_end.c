/* Tests since when a record that a VM reads may have been in the platform's store. */
#include <check.h>

#include "policy/topic_end.h"
#include "tests/harness/run_suite.h"

#define MS(x)   ((x)*INT64_C (1000000))
#define WAIT_MS 1500

/* Reads that follow each other; each is held open for WAIT_MS and finds no record. */
static struct kcp_topic_end
follow_until (int64_t until_ms)
{
  struct kcp_topic_end end = { 0 };

  for (int64_t sent_ms = until_ms % WAIT_MS; sent_ms < until_ms; sent_ms += WAIT_MS)
    kcp_topic_end_on_read (&end, &(struct kcp_topic_read){
                                     .sent_ns = MS (sent_ms),
                                     .answered_ns = MS (sent_ms + WAIT_MS),
                                     .wait_ns = MS (WAIT_MS),
                                     .empty = true,
                                     .to_end = true,
                                 });
  return end;
}

/* A read that brings a record. */
static struct kcp_topic_read
read_record (int64_t sent_ms, int64_t answered_ms)
{
  return (struct kcp_topic_read){
    .sent_ns = MS (sent_ms),
    .answered_ns = MS (answered_ms),
    .wait_ns = MS (WAIT_MS),
    .to_end = true,
  };
}

START_TEST (test_record_of_a_prompt_answer_is_new)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read read = read_record (6000, 6700);

  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &read), MS (6700));
}
END_TEST

/* Load pattern: a VM is frozen from 6.1 s on, a record is written at 6.3 s, and the VM
   reads the answer when it runs again at 10.7 s. */
START_TEST (test_record_read_after_a_freeze_may_be_as_old_as_the_freeze)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read read = read_record (6000, 10700);

  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &read), MS (6000));
}
END_TEST

/* The VM is frozen for less than a read may be held open. */
START_TEST (test_record_read_after_a_short_stall_may_be_as_old_as_the_last_read)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read read = read_record (6000, 7300);

  read.stalled = true;
  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &read), MS (6000));
}
END_TEST

/* The VM is frozen between two reads; the second one is answered at once. */
START_TEST (test_record_of_a_read_sent_after_a_freeze_may_be_as_old_as_the_freeze)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read read = read_record (10700, 10704);

  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &read), MS (6000));
}
END_TEST

/* Load pattern: the store turns the VM away from 6 s on, and answers again at 6.9 s. */
START_TEST (test_record_read_after_a_failed_read_may_be_as_old_as_the_outage)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read read = read_record (6900, 6904);

  kcp_topic_end_on_failed (&end);
  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &read), MS (6000));
}
END_TEST

/* An answer without records that reaches the VM late shows only what held when the store
   made it. */
START_TEST (test_late_empty_answer_does_not_show_the_present_end)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read read = read_record (6000, 10700);
  struct kcp_topic_read next = read_record (10700, 10704);

  read.empty = true;
  kcp_topic_end_on_read (&end, &read);
  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &next), MS (6000 + WAIT_MS));
}
END_TEST

/* An answer that does not reach the end of the topic leaves records to be read. */
START_TEST (test_record_of_an_incomplete_read_is_not_taken_as_new)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read part = read_record (6000, 6100);
  struct kcp_topic_read next = read_record (6100, 6110);

  part.to_end = false;
  kcp_topic_end_on_read (&end, &part);
  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &next), MS (6000));
}
END_TEST

/* Load pattern: the store comes back at 6 s from an older copy, and the operators write
   the lost records again at 8 s. They have been in force since before. */
START_TEST (test_record_written_again_after_an_older_copy_is_as_old_as_the_first_one)
{
  struct kcp_topic_end end = follow_until (6000);
  struct kcp_topic_read read = read_record (7600, 8000);

  kcp_topic_end_on_new_era (&end, MS (8300));
  kcp_topic_end_on_read (&end, &(struct kcp_topic_read){ .sent_ns = MS (6100),
                                                         .answered_ns = MS (7600),
                                                         .wait_ns = MS (WAIT_MS),
                                                         .empty = true,
                                                         .to_end = true });
  ck_assert_int_eq (kcp_topic_end_not_before_ns (&end, &read), MS (6000));
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("topic_end");

  tcase_add_test (cases, test_record_of_a_prompt_answer_is_new);
  tcase_add_test (cases, test_record_read_after_a_freeze_may_be_as_old_as_the_freeze);
  tcase_add_test (cases,
                  test_record_read_after_a_short_stall_may_be_as_old_as_the_last_read);
  tcase_add_test (cases,
                  test_record_of_a_read_sent_after_a_freeze_may_be_as_old_as_the_freeze);
  tcase_add_test (cases,
                  test_record_read_after_a_failed_read_may_be_as_old_as_the_outage);
  tcase_add_test (cases, test_late_empty_answer_does_not_show_the_present_end);
  tcase_add_test (cases, test_record_of_an_incomplete_read_is_not_taken_as_new);
  tcase_add_test (
      cases, test_record_written_again_after_an_older_copy_is_as_old_as_the_first_one);
  return run_started_suite ();
}
