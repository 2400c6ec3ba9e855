/* Callers of serve that speak HTTP/1.0: an answer to them ends with their connection. */
#include <check.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/cluster.h"
#include "tests/harness/raw.h"
#include "tests/harness/run_suite.h"

#define TIMEOUT_MS 8000
#define BEGIN_MS   300 /* in which the first tokens arrive */
#define REQUEST                                                                          \
  "POST /v1/completions HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer " CLUSTER_TEAM_KEY  \
  "\r\nKingcuppoint-Profile: urgent\r\nContent-Type: application/json\r\n"               \
  "Content-Length: %zu\r\n\r\n%s"
#define BODY                                                                             \
  "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\",\"max_tokens\":%d,\"stream\":true}"

static struct cluster *cluster;

static void
set_up (void)
{
  static char *const options[] = { "--token-ms", "50", NULL };

  cluster = cluster_new ("http-1-0");
  cluster_add_engine (cluster, "engine-1", "dc1", options);
  cluster_add_vm (cluster, "vm-1", "dc1", NULL);
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down (void)
{
  cluster_free (cluster);
}

static char *
make_request (int tokens)
{
  g_autofree char *body = g_strdup_printf (BODY, tokens);

  return g_strdup_printf (REQUEST, strlen (body), body);
}

START_TEST (test_answer_of_a_killed_vm_does_not_look_complete)
{
  g_autofree char *request = make_request (200);
  struct timeval timeout = { .tv_sec = TIMEOUT_MS / 1000 };
  int fd = raw_connect_and_send (cluster_vm (cluster, 0)->port, request, 0);
  g_autoptr (GString) received = g_string_new (NULL);
  char block[4096];
  ssize_t count;

  g_usleep (BEGIN_MS * G_TIME_SPAN_MILLISECOND);
  process_kill (cluster_vm (cluster, 0));
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  while ((count = read (fd, block, sizeof block)) > 0)
    g_string_append_len (received, block, count);
  ck_assert (g_str_has_prefix (received->str, "HTTP/1.0 200")
             || g_str_has_prefix (received->str, "HTTP/1.1 200"));
  ck_assert_int_eq (count, -1);
  ck_assert_int_eq (errno, ECONNRESET);
  (void)close (fd);
}
END_TEST

START_TEST (test_complete_answer_ends_in_order)
{
  g_autofree char *request = make_request (4);
  struct raw_answer answer
      = raw_exchange (cluster_vm (cluster, 0)->port, request, TIMEOUT_MS);

  ck_assert (answer.closed && !answer.reset);
  ck_assert (g_str_has_suffix (answer.text->str, "data: [DONE]\n\n"));
  raw_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("http 1.0 serve");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_test (cases, test_answer_of_a_killed_vm_does_not_look_complete);
  tcase_add_test (cases, test_complete_answer_ends_in_order);
  return run_started_suite ();
}
