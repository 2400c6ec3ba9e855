/* Servers that answer a long request before they have read it and reset the connection,
   and servers whose answers have statuses that do not exist: no part of an answer, and no
   such answer, reaches the caller as one. On route, over another VM, and on serve. */
#include <check.h>
#include <string.h>

#include "tests/harness/cluster.h"
#include "tests/harness/early_server.h"
#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define BODY_BYTES   90000 /* below the limit of the configuration */
#define LONG_BYTES   3000000
#define LIST_READ_MS 500 /* in which the VM of serve reads the list */
#define MEMBER                                                                           \
  "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"v1\","  \
  "\"slots\":4,\"state\":\"ready\",\"models\":[{\"name\":\"m\",\"version\":1}],"         \
  "\"seq-no\":1,\"born\":1000}"
#define SEAL  "sealed-by-the-test"
#define HEAD  "Request-Id: r1\r\nServer-Seal: " SEAL "\r\n"
#define PART  "the first part"
#define EVENT "id: 1\ndata: piece 1\n\n"

struct script
{
  const char *path;
  const char *answer;
  enum early_end end;
};

static const struct script scripts[] = {
  { "/once/x", "HTTP/1.1 200 OK\r\n" HEAD "\r\n" PART, EARLY_RESET },
  { "/again/x", "HTTP/1.1 200 OK\r\n" HEAD "\r\n" PART, EARLY_RESET },
  { "/stream/x", "HTTP/1.1 200 OK\r\n" HEAD "\r\n" EVENT, EARLY_RESET },
  { "/once/x", "HTTP/1.1 000 Odd\r\n" HEAD "Content-Length: 14\r\n\r\n" PART,
    EARLY_CLOSE },
  { "/once/x", "HTTP/1.1 099 Odd\r\n" HEAD "Content-Length: 14\r\n\r\n" PART,
    EARLY_CLOSE },
  { "/once/x", "HTTP/1.1 600 Odd\r\n" HEAD "Content-Length: 14\r\n\r\n" PART,
    EARLY_CLOSE },
  { "/again/x", "HTTP/1.1 999 Odd\r\n" HEAD "Content-Length: 14\r\n\r\n" PART,
    EARLY_CLOSE },
};

static struct early_server *early;
static struct cluster *cluster;

static void
set_up_route (void)
{
  route_vm_set_up_servers (1);
  fake_platform_put_server (route_vm.platform, 0, "draining");
  g_usleep (400 * G_TIME_SPAN_MILLISECOND);
}

static void
tear_down_route (void)
{
  early_server_stop (early);
  route_vm_tear_down ();
}

static void
add_early_server (const struct script *script)
{
  g_autofree char *member = NULL;
  size_t log_before = route_vm_log_size ();

  early = early_server_start (script->answer, script->end);
  member = g_strdup_printf (MEMBER, "s", early_server_port (early));
  fake_platform_put_server_entry (route_vm.platform, "i-early", member);
  route_vm_wait_server_added ("i-early", log_before);
}

/* Returns true if the answer is chunked and has its last chunk, or has a length. */
static bool
looks_complete (const struct raw_answer *answer)
{
  return strstr (answer->text->str, "Content-Length") != NULL
         || g_str_has_suffix (answer->text->str, "\r\n0\r\n\r\n");
}

/* Expects that the server's answer, or a part of it, is not passed on as an answer: what
   is passed on of a stream does not look complete. */
static void
expect_no_answer (const struct raw_answer *answer)
{
  int status = route_vm_status (answer);

  ck_assert_uint_ge (early_server_answer_count (early), 1);
  if (status == 200)
    ck_assert_msg (!looks_complete (answer), "%s", answer->text->str);
  else
    ck_assert_msg ((status == 502 || status == 504)
                       && strstr (answer->text->str, SEAL) == NULL,
                   "%s", answer->text->str);
}

START_TEST (test_part_of_an_early_answer_counts_as_complete)
{
  const struct script *script = &scripts[_i];
  g_autofree char *body = g_strnfill (BODY_BYTES, 'b');
  struct raw_answer answer;

  add_early_server (script);
  answer = route_vm_send ("POST", script->path, "", body);
  expect_no_answer (&answer);
  raw_answer_clear (&answer);
}
END_TEST

static void
set_up_serve (void)
{
  cluster = cluster_new ("early-answers");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-1", "dc1", "");
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down_serve (void)
{
  early_server_stop (early);
  cluster_free (cluster);
}

START_TEST (test_part_of_an_early_answer_of_a_plain_service_counts_as_complete)
{
  const struct script *script = &scripts[_i];
  g_autofree char *body = g_strnfill (LONG_BYTES, 'b');
  struct client_answer answer;

  early = early_server_start (script->answer, script->end);
  cluster_set_member (cluster, "service", "service-1", early_server_port (early), "dc1",
                      "live");
  cluster_publish_list (cluster, 0);
  g_usleep (LIST_READ_MS * G_TIME_SPAN_MILLISECOND);
  answer = client_run (&(struct client_call){
      .port = cluster_vm (cluster, 0)->port,
      .path = "/services/" CLUSTER_SERVICE "/x",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = body,
  });
  ck_assert_uint_ge (early_server_answer_count (early), 1);
  ck_assert_msg (answer.status >= 500, "%ld: %s", answer.status, answer.body->str);
  ck_assert_ptr_null (strstr (answer.body->str, PART));
  client_answer_clear (&answer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("early answers");
  TCase *route = tcase_create ("route");
  TCase *serve = tcase_create ("serve");

  suite_add_tcase (suite, route);
  tcase_add_checked_fixture (route, set_up_route, tear_down_route);
  tcase_set_timeout (route, 60);
  tcase_add_loop_test (route, test_part_of_an_early_answer_counts_as_complete, 0,
                       G_N_ELEMENTS (scripts));
  suite_add_tcase (suite, serve);
  tcase_add_checked_fixture (serve, set_up_serve, tear_down_serve);
  tcase_set_timeout (serve, 60);
  tcase_add_loop_test (serve,
                       test_part_of_an_early_answer_of_a_plain_service_counts_as_complete,
                       0, G_N_ELEMENTS (scripts));
  return run_suite (suite);
}
