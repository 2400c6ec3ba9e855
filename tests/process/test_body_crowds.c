/* Crowds of callers whose request bodies never end, or exceed the limit, on connections
   that stay open: the process lives, its memory and open files stay within bounds, and an
   ordinary request is answered afterwards. Each crowd is sent to the callers' port of
   route, to its port for other VMs, and to serve. */
#include <check.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness/body_crowd.h"
#include "tests/harness/cluster.h"
#include "tests/harness/process_memory.h"
#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define MEMORY_MB      40 /* of the VM of route; all bodies together are larger */
#define BODY_MAX       1000000
#define OPEN_FILES_MAX 200
#define SERVE_MAX_KB   (40 << 10)
/* More connections than a VM with this memory accepts at a time. */
#define CONNECTIONS           700u
#define CONNECTIONS_FILES_MAX 1000
#define MEET_MS               1500 /* in which VMs that start learn of each other */

static const struct body_crowd_spec crowds[] = {
  { "large chunks", BODY_CROWD_CHUNKED, 64000, 980000, 0 },
  { "tiny chunks", BODY_CROWD_CHUNKED, 16, 500000, 0 },
  { "a length", BODY_CROWD_LENGTH, 64000, 980000, BODY_MAX },
  { "a length over the limit", BODY_CROWD_LENGTH, 64000, 980000, 50000000 },
  { "chunks over the limit", BODY_CROWD_CHUNKED, 64000, 3000000, 0 },
};

static const char route_head[] = "POST /again/x HTTP/1.1\r\nHost: h\r\nRequest-Id: c1\r\n"
                                 "Authorization: Bearer key1\r\n"
                                 "Request-Deadline: 2500\r\n";
static const char serve_head[] = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                                 "Authorization: Bearer " CLUSTER_TEAM_KEY "\r\n"
                                 "Kingcuppoint-Profile: review\r\n";

static struct cluster *cluster;

static void
set_up_route (void)
{
  g_autofree char *config = g_strdup_printf (route_vm_config_format, 4, "key1");
  char *limit = strstr (config, "\"max-body-bytes\":100000,");
  g_autoptr (GString) changed = g_string_new_len (config, limit - config);

  g_string_append_printf (changed, "\"max-body-bytes\":%d,", BODY_MAX);
  g_string_append (changed, strchr (limit, ',') + 1);
  route_vm_set_up ();
  route_vm_kill (&route_vm);
  fake_platform_put_record (route_vm.platform, "config", changed->str);
  route_vm.memory_mb = MEMORY_MB;
  route_vm_start ();
  route_vm_wait_ready ();
  for (unsigned i = 0; i < 2; i++)
    route_vm_wait_server_added (fake_platform_server (route_vm.platform, i)->id, 0);
}

/* Expects that the process lives within the bounds. */
static void
expect_bounded (pid_t pid, int open_files_max, long memory_max_kb)
{
  ck_assert_int_eq (waitpid (pid, NULL, WNOHANG), 0);
  ck_assert_int_le (process_open_files (pid), open_files_max);
  if (PROCESS_MEMORY_IS_REALISTIC)
    ck_assert_int_lt (process_memory_kb (pid, PROCESS_MEMORY_PEAK), memory_max_kb);
}

static void
expect_answered (const char *body)
{
  struct raw_answer answer = route_vm_send ("POST", "/again/x", "", body);

  ck_assert_msg (route_vm_status (&answer) == 200, "%s", answer.text->str);
  raw_answer_clear (&answer);
}

/* A single body just within the limit is served as before. */
static void
expect_largest_body_answered (void)
{
  g_autofree char *body = g_strnfill (BODY_MAX - 1, 'b');

  expect_answered (body);
}

static void
send_to_route (int port, const struct body_crowd_spec *spec)
{
  struct body_crowd crowd;

  body_crowd_start (&crowd, port, route_head, spec);
  expect_answered ("in");
  expect_bounded (route_vm.pid, OPEN_FILES_MAX, MEMORY_MB << 10);
  body_crowd_close (&crowd);
  expect_largest_body_answered ();
  expect_bounded (route_vm.pid, OPEN_FILES_MAX, MEMORY_MB << 10);
}

START_TEST (test_bodies_of_a_crowd_fill_the_memory_of_a_vm)
{
  send_to_route (route_vm.port, &crowds[_i]);
}
END_TEST

/* Whoever connects from the address of another VM may send there. */
START_TEST (test_bodies_of_a_crowd_fill_the_memory_by_the_port_for_vms)
{
  struct route_vm other;

  route_vm_add (&other, "z");
  g_usleep (MEET_MS * G_TIME_SPAN_MILLISECOND);
  send_to_route (route_vm.peers_port, &crowds[_i]);
  route_vm_remove (&other);
}
END_TEST

/* Callers that connect and never complete a head must not keep others out until their
   connections time out. */
START_TEST (test_callers_without_a_request_take_all_connections)
{
  int fds[CONNECTIONS];

  for (unsigned i = 0; i < CONNECTIONS; i++)
    fds[i] = raw_connect_and_send (route_vm.port, "POST /again/x HTTP/1.1\r\nHost:", 0);
  expect_answered ("in");
  expect_bounded (route_vm.pid, CONNECTIONS_FILES_MAX, MEMORY_MB << 10);
  for (unsigned i = 0; i < CONNECTIONS; i++)
    (void)close (fds[i]);
  expect_answered ("in");
}
END_TEST

static void
set_up_serve (void)
{
  cluster = cluster_new ("body-crowds");
  cluster_add_engine (cluster, "engine-1", "dc1", NULL);
  cluster_add_vm (cluster, "vm-1", "dc1",
                  "[callers]\nmax_body_bytes=1000000\nmax_connections=100\n");
  cluster_publish_list (cluster, 0);
  cluster_publish_default_config (cluster);
  cluster_wait_ready (cluster);
}

static void
tear_down_serve (void)
{
  cluster_free (cluster);
}

static void
expect_completion (int port)
{
  struct client_answer answer = client_run (&(struct client_call){
      .port = port,
      .path = "/v1/completions",
      .key = CLUSTER_TEAM_KEY,
      .profile = "review",
      .body = "{\"model\":\"" CLUSTER_MODEL "\",\"prompt\":\"p\",\"max_tokens\":2}",
  });

  ck_assert_int_eq (answer.status, 200);
  client_answer_clear (&answer);
}

START_TEST (test_bodies_of_a_crowd_fill_the_memory_of_serve)
{
  const struct process *vm = cluster_vm (cluster, 0);
  struct body_crowd crowd;

  expect_completion (vm->port);
  body_crowd_start (&crowd, vm->port, serve_head, &crowds[_i]);
  expect_completion (vm->port);
  expect_bounded (vm->pid, OPEN_FILES_MAX, SERVE_MAX_KB);
  body_crowd_close (&crowd);
  expect_completion (vm->port);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("body crowds");
  TCase *route = tcase_create ("route");
  TCase *serve = tcase_create ("serve");

  suite_add_tcase (suite, route);
  tcase_add_checked_fixture (route, set_up_route, route_vm_tear_down);
  tcase_set_timeout (route, 60);
  tcase_add_loop_test (route, test_bodies_of_a_crowd_fill_the_memory_of_a_vm, 0,
                       G_N_ELEMENTS (crowds));
  tcase_add_loop_test (route, test_bodies_of_a_crowd_fill_the_memory_by_the_port_for_vms,
                       0, G_N_ELEMENTS (crowds));
  tcase_add_test (route, test_callers_without_a_request_take_all_connections);
  suite_add_tcase (suite, serve);
  tcase_add_checked_fixture (serve, set_up_serve, tear_down_serve);
  tcase_set_timeout (serve, 60);
  tcase_add_loop_test (serve, test_bodies_of_a_crowd_fill_the_memory_of_serve, 0,
                       G_N_ELEMENTS (crowds));
  return run_suite (suite);
}
