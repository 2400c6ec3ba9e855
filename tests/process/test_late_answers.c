/* Servers that answer a request twice, the second time late: no caller gets an answer, or
   a part of one, that is not its own. The body of each answer names its request. */
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define REQUESTS      10u
#define PAUSE_MS      40 /* between requests */
#define LATE_MS       20
#define RUN_MS        10
#define STREAM_HEADER "Content-Type: text/event-stream\r\n"
#define EVENT_1       "id: 1\ndata: piece 1 of %s\n\n"
#define EVENT_2       "id: 2\ndata: piece 2 of %s\n\n"

/* When the answer to the request before is written again. */
enum moment
{
  RIGHT_AFTER,  /* its first copy */
  WHILE_IDLE,   /* some time after that */
  BEFORE_NEXT,  /* before the answer of the next request */
  WITHIN_STREAM /* between two events of the next request's stream */
};

struct script
{
  enum moment moment;
  const char *framing; /* of a stream */
};

static const struct script scripts[] = {
  { RIGHT_AFTER, "" },
  { WHILE_IDLE, "" },
  { BEFORE_NEXT, "" },
};

static const struct script streams[] = {
  { WITHIN_STREAM, "" },
  { WITHIN_STREAM, "Transfer-Encoding: chunked\r\n" },
};

static char *
make_answer (const char *id)
{
  g_autofree char *body = g_strdup_printf ("for %s", id);

  return g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          id, strlen (body), body);
}

/* Answers the request; for each second one of the server, writes the answer again, or the
   one to "before", which is that of the request before. */
static void
answer (struct scripted_request *request, void *user)
{
  const struct script *script = user;
  g_autofree char *text = make_answer (request->id);
  g_autofree char *foreign = make_answer ("before");

  request->keep_open = true;
  if (script->moment == BEFORE_NEXT && request->number % 2 == 1)
    {
      (void)scripted_request_write (request, foreign);
      g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
    }
  if (!scripted_request_write (request, text) || script->moment == BEFORE_NEXT)
    return;
  if (script->moment == WHILE_IDLE)
    g_usleep (LATE_MS * G_TIME_SPAN_MILLISECOND);
  (void)scripted_request_write (request, text);
}

/* Guards against the second copy of an answer reaching the next caller on the connection:
   with its status, its head or its body. */
START_TEST (test_second_copy_of_an_answer_reaches_no_other_caller)
{
  static const char *const paths[] = { "/once/x", "/again/x" };

  (void)scripted_vm_start_server ("i-1", answer, &scripts[_i]);
  (void)scripted_vm_start_server ("i-2", answer, &scripts[_i]);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%u", i);
      g_autofree char *body = g_strdup_printf ("\r\n\r\nfor %s", id);
      struct raw_answer reply = route_vm_send_to (
          &route_vm, "POST", paths[i % G_N_ELEMENTS (paths)], id, "", "in");
      int status = route_vm_status (&reply);

      ck_assert_msg (status == 200 || status == 502, "%s: %s", id, reply.text->str);
      ck_assert (status != 200 || g_str_has_suffix (reply.text->str, body));
      ck_assert_ptr_null (strstr (reply.text->str, "before"));
      raw_answer_clear (&reply);
      g_usleep (PAUSE_MS * G_TIME_SPAN_MILLISECOND);
    }
}
END_TEST

/* Streams two events, with the answer to another request between them. */
static void
stream (struct scripted_request *request, void *user)
{
  const struct script *script = user;
  bool chunked = script->framing[0] != '\0';
  g_autofree char *lines = g_strconcat (STREAM_HEADER, script->framing, NULL);
  g_autofree char *first = g_strdup_printf (EVENT_1, request->id);
  g_autofree char *second = g_strdup_printf (EVENT_2, request->id);
  g_autofree char *foreign = make_answer ("before");
  const char *pieces[] = { first, second };

  if (!scripted_request_write_head (request, "200 OK", lines))
    return;
  for (guint i = 0; i < G_N_ELEMENTS (pieces); i++)
    {
      g_autofree char *text
          = chunked ? g_strdup_printf ("%zx\r\n%s\r\n", strlen (pieces[i]), pieces[i])
                    : g_strdup (pieces[i]);

      if (i > 0 && !scripted_request_write (request, foreign))
        return;
      if (!scripted_request_write (request, text))
        return;
      g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
    }
  if (chunked)
    (void)scripted_request_write (request, "0\r\n\r\n");
}

/* Guards against a late answer that arrives between two pieces of a stream becoming a
   part of it, and against such a stream being ended as complete. */
START_TEST (test_late_answer_does_not_become_a_part_of_a_stream)
{
  struct raw_answer reply;

  (void)scripted_vm_start_server ("i-1", stream, &streams[_i]);
  reply = route_vm_send ("POST", "/stream/x", "", "in");
  ck_assert_ptr_null (strstr (reply.text->str, "before"));
  ck_assert (!g_str_has_suffix (reply.text->str, "\r\n0\r\n\r\n"));
  raw_answer_clear (&reply);
}
END_TEST

/* Answers late, and once more, after the caller has left. */
static void
answer_when_caller_has_left (struct scripted_request *request, void *user)
{
  g_autofree char *text = make_answer (request->id);

  (void)user;
  request->keep_open = true;
  if (g_str_has_prefix (request->id, "left"))
    g_usleep (LATE_MS * G_TIME_SPAN_MILLISECOND);
  (void)scripted_request_write (request, text);
  (void)scripted_request_write (request, text);
}

/* Guards against the answer to a caller that has left reaching the next one. */
START_TEST (test_answer_to_a_caller_that_has_left_reaches_no_other)
{
  (void)scripted_vm_start_server ("i-1", answer_when_caller_has_left, NULL);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%u", i);
      g_autofree char *body = g_strdup_printf ("\r\n\r\nfor %s", id);
      g_autofree char *leaving
          = g_strdup_printf ("POST /again/x HTTP/1.1\r\nHost: h\r\nRequest-Id: left%u\r\n"
                             "Authorization: Bearer key1\r\nContent-Length: 2\r\n\r\nin",
                             i);
      int fd = raw_connect_and_send (route_vm.port, leaving, 0);
      struct raw_answer reply;

      g_usleep (RUN_MS / 2 * G_TIME_SPAN_MILLISECOND);
      (void)close (fd);
      reply = route_vm_send_to (&route_vm, "POST", "/again/x", id, "", "in");
      ck_assert_int_eq (route_vm_status (&reply), 200);
      ck_assert (g_str_has_suffix (reply.text->str, body));
      raw_answer_clear (&reply);
    }
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("late answers");

  tcase_add_checked_fixture (cases, scripted_vm_set_up, scripted_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_second_copy_of_an_answer_reaches_no_other_caller, 0,
                       G_N_ELEMENTS (scripts));
  tcase_add_loop_test (cases, test_late_answer_does_not_become_a_part_of_a_stream, 0,
                       G_N_ELEMENTS (streams));
  tcase_add_test (cases, test_answer_to_a_caller_that_has_left_reaches_no_other);
  return run_started_suite ();
}
