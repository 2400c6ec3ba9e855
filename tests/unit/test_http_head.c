/* Header lines of an answer, as libcurl delivers them. */
#include <check.h>
#include <glib.h>

#include "base/http_head.h"
#include "tests/harness/run_suite.h"

#define READ(head, text) kcp_http_head_read (head, KCP_STR (text))

START_TEST (test_framing_is_that_of_the_answer_itself)
{
  struct kcp_http_head head = { 0 };

  ck_assert_int_eq (READ (&head, "HTTP/1.1 103 Early Hints\r\n").kind,
                    KCP_HTTP_LINE_BEGIN);
  ck_assert_int_eq (READ (&head, "Content-Length: 5\r\n").kind, KCP_HTTP_LINE_HEADER);
  ck_assert_int_eq (READ (&head, "\r\n").kind, KCP_HTTP_LINE_IGNORED);
  ck_assert_int_eq (READ (&head, "HTTP/1.1 200 OK\r\n").kind, KCP_HTTP_LINE_BEGIN);
  ck_assert_int_eq (head.framing, KCP_HTTP_FRAMING_CLOSE);
  ck_assert_int_eq (READ (&head, "transfer-encoding: Chunked\r\n").kind,
                    KCP_HTTP_LINE_HEADER);
  ck_assert_int_eq (READ (&head, "Content-Length: 5\r\n").kind, KCP_HTTP_LINE_HEADER);
  ck_assert_int_eq (READ (&head, "\r\n").kind, KCP_HTTP_LINE_END);
  ck_assert_int_eq (head.framing, KCP_HTTP_FRAMING_CHUNKED);
  ck_assert_int_eq (READ (&head, "X-Trailer: 1\r\n").kind, KCP_HTTP_LINE_IGNORED);
}
END_TEST

START_TEST (test_header_line_is_split_at_its_first_colon)
{
  struct kcp_http_head head = { 0 };
  struct kcp_http_line line;

  (void)READ (&head, "HTTP/1.1 200 OK\r\n");
  line = READ (&head, "X-A:  b:c \r\n");
  ck_assert_int_eq (line.kind, KCP_HTTP_LINE_HEADER);
  ck_assert (kcp_str_equal (line.name, KCP_STR ("X-A")));
  ck_assert (kcp_str_equal (line.value, KCP_STR ("b:c")));
  line = READ (&head, ":\r\n");
  ck_assert_uint_eq (line.name.len + line.value.len, 0);
  ck_assert_int_eq (READ (&head, "no header\r\n").kind, KCP_HTTP_LINE_IGNORED);
  ck_assert_int_eq (READ (&head, "HTTP/1.1").kind, KCP_HTTP_LINE_BEGIN);
  ck_assert_int_eq (READ (&head, "HTTP/1.1 ").kind, KCP_HTTP_LINE_BEGIN);
}
END_TEST

/* Heads, interim heads and trailers without end all reach the limit. */
START_TEST (test_lines_without_end_are_too_long)
{
  static const char *const starts[]
      = { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", "\r\n" };
  struct kcp_http_head head = { 0 };
  unsigned lines = 0;

  (void)kcp_http_head_read (&head, kcp_str_from_c (starts[_i]));
  while (READ (&head, "X-A: 0123456789\r\n").kind != KCP_HTTP_LINE_TOO_LONG)
    ck_assert_uint_lt (++lines, 2000);
  ck_assert_uint_gt (lines, 500);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("http_head");

  tcase_add_test (cases, test_framing_is_that_of_the_answer_itself);
  tcase_add_test (cases, test_header_line_is_split_at_its_first_colon);
  tcase_add_loop_test (cases, test_lines_without_end_are_too_long, 0, 3);
  return run_started_suite ();
}
