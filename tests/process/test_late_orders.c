/* Tests what becomes of servers that an order takes back to older weights, which they
   left unanswered and carried out late, after they had started again. */
#include <check.h>

#include "tests/harness/route_vm.h"
#include "tests/harness/run_suite.h"

#define SERVERS       4
#define LOAD_MS       8000 /* until all servers have new weights */
#define REPAIR_MS     8000 /* until all servers have them again: version-ms is 10 s */
#define SEND_EVERY_MS 40
#define REQUESTS      20
#define OLD           2
#define NEW           3
#define STREAM_HEAD   "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: a:10\r\n"

/* How the servers that are hit show it, beside the requests that they turn away. */
struct form
{
  const char *what;
  unsigned hit;
  bool listed;   /* their entries name the older version */
  bool beating;  /* all servers write their entries again and again */
  bool requests; /* callers send requests meanwhile */
};

static const struct form forms[] = {
  { .what = "requests are turned away", .hit = 2, .requests = true },
  { .what = "entries name the older version", .hit = 2, .listed = true },
  { .what = "entries are written again and again",
    .hit = 2,
    .listed = true,
    .beating = true },
  { .what = "all servers are hit", .hit = SERVERS, .listed = true, .requests = true },
};

static void
set_up (void)
{
  route_vm_set_up_servers (SERVERS);
}

static void
name_weights (int version)
{
  g_autofree char *record = g_strdup_printf ("{\"model\":\"m\",\"version\":%d}", version);

  fake_platform_put_record (route_vm.platform, "version/m", record);
}

static unsigned
count_outdated (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    count += fake_platform_server (route_vm.platform, i)->version < NEW;
  return count;
}

static int
send_one (void)
{
  struct raw_answer answer
      = route_vm_send_to (&route_vm, "POST", "/stream/x", "r1", STREAM_HEAD, "b");
  int status = route_vm_status (&answer);

  raw_answer_clear (&answer);
  return status;
}

static void
list_all (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    fake_platform_put_server (route_vm.platform, i, "ready");
}

/* Returns the number of servers that still have older weights after at most that time. */
static unsigned
wait_current (int64_t ms, bool requests, bool beating)
{
  gint64 end_us = g_get_monotonic_time () + ms * G_TIME_SPAN_MILLISECOND;

  while (count_outdated () > 0 && g_get_monotonic_time () < end_us)
    {
      if (requests)
        (void)send_one ();
      if (beating)
        list_all ();
      g_usleep (SEND_EVERY_MS * G_TIME_SPAN_MILLISECOND);
    }
  return count_outdated ();
}

/* The servers have started again, so that they expect the first order. */
static void
restart (void)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct fake_server *server = fake_platform_server (route_vm.platform, i);

      server->starts++;
      server->entries = 0;
      server->orders_taken = 0;
    }
  list_all ();
}

static void
carry_out_late_order (unsigned index)
{
  struct fake_server *server = fake_platform_server (route_vm.platform, index);

  server->orders_taken++;
  server->version = OLD;
}

/* Guards against servers that are turned back to older weights by a late order, get only
   requests that they refuse, and are never ordered to load the newer ones again. */
START_TEST (test_servers_keep_older_weights_after_a_late_order)
{
  const struct form *form = &forms[_i];
  int status = 0;

  name_weights (OLD);
  name_weights (NEW);
  ck_assert_uint_eq (wait_current (LOAD_MS, true, false), 0);
  restart ();
  for (int i = 0; i < REQUESTS; i++)
    (void)send_one ();
  for (unsigned i = 0; i < form->hit; i++)
    carry_out_late_order (i);
  if (form->listed)
    list_all ();
  ck_assert_msg (wait_current (REPAIR_MS, form->requests, form->beating) == 0,
                 "%s: %u are outdated", form->what, count_outdated ());
  for (int i = 0; i < REQUESTS && status != 200; i++)
    {
      status = send_one ();
      g_usleep (SEND_EVERY_MS * G_TIME_SPAN_MILLISECOND);
    }
  ck_assert_msg (status == 200, "%s: the last request got %d", form->what, status);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("late_orders");

  tcase_add_checked_fixture (cases, set_up, route_vm_tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_servers_keep_older_weights_after_a_late_order, 0,
                       G_N_ELEMENTS (forms));
  return run_started_suite ();
}
