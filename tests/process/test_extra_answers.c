/* Tests that a refusal which a faulty server writes once more on a kept connection is
   taken neither for the answer of another request nor, again and again, in place of later
   answers. */
#include <check.h>
#include <pthread.h>
#include <string.h>

#include "tests/harness/run_suite.h"
#include "tests/harness/scripted_vm.h"

#define BOOKINGS     14u
#define PAUSE_MS     60 /* between bookings */
#define IDLE_MS      30 /* until the extra answer, on an idle connection */
#define SERVERS      2u
#define RUN_MS       10 /* of a request that is answered after the extra answer */
#define OK_HEADERS   "Content-Length: 2\r\n"
#define SCRIPT_KINDS G_N_ELEMENTS (scripts)

/* When a server writes one answer too many, on its first connection. */
enum moment
{
  RIGHT_AFTER, /* the answer of its first request */
  WHILE_IDLE,  /* some time after that */
  BEFORE_NEXT  /* before the answer of its second request */
};

struct script
{
  enum moment moment;
  const char *id;    /* of the extra refusal; NULL: none */
  unsigned fail_max; /* bookings that may fail */
};

static const struct script scripts[] = {
  { RIGHT_AFTER, "b0", 0 },       { RIGHT_AFTER, NULL, 0 },
  { WHILE_IDLE, "b0", 0 },        { WHILE_IDLE, NULL, 0 },
  { BEFORE_NEXT, "b0", SERVERS }, { BEFORE_NEXT, NULL, SERVERS },
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *runs; /* id -> number of runs */

static void
set_up (void)
{
  scripted_vm_set_up ();
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
tear_down (void)
{
  scripted_vm_tear_down ();
  g_hash_table_unref (runs);
}

static unsigned
run_count (const char *id)
{
  unsigned count;

  pthread_mutex_lock (&lock);
  count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
  pthread_mutex_unlock (&lock);
  return count;
}

static void
run (const struct scripted_request *request)
{
  unsigned count = run_count (request->id) + 1;

  pthread_mutex_lock (&lock);
  g_hash_table_replace (runs, g_strdup (request->id), GUINT_TO_POINTER (count));
  pthread_mutex_unlock (&lock);
}

static void
write_refusal (struct scripted_request *request, const char *id)
{
  g_autofree char *line
      = id != NULL ? g_strdup_printf ("Request-Id: %s\r\n", id) : g_strdup ("");
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 503 Service Unavailable\r\n%s"
                                           "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                                           line);

  (void)scripted_request_write (request, text);
}

static void
answer (struct scripted_request *request, void *user)
{
  const struct script *script = user;

  run (request);
  request->keep_open = true;
  if (script->moment == BEFORE_NEXT && request->number == 1)
    {
      write_refusal (request, script->id);
      g_usleep (RUN_MS * G_TIME_SPAN_MILLISECOND);
    }
  if (!scripted_request_write_head (request, "200 OK", OK_HEADERS)
      || !scripted_request_write (request, "ok") || request->number > 0)
    return;
  if (script->moment == WHILE_IDLE)
    g_usleep (IDLE_MS * G_TIME_SPAN_MILLISECOND);
  if (script->moment != BEFORE_NEXT)
    write_refusal (request, script->id);
}

START_TEST (test_refusal_written_once_more_answers_other_requests)
{
  unsigned served = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);

      (void)scripted_vm_start_server (id, answer, &scripts[_i]);
    }
  for (unsigned i = 0; i < BOOKINGS; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%u", i);
      struct raw_answer reply
          = route_vm_send_to (&route_vm, "POST", "/once/x", id, "", "in");
      int status = route_vm_status (&reply);

      served += status == 200;
      ck_assert_msg (run_count (id) <= 1, "%s ran %u times", id, run_count (id));
      ck_assert_msg (status != 503 || run_count (id) == 0, "%s ran and was refused", id);
      raw_answer_clear (&reply);
      g_usleep (PAUSE_MS * G_TIME_SPAN_MILLISECOND);
    }
  g_print ("%u of %u bookings served\n", served, BOOKINGS);
  ck_assert_uint_ge (served, BOOKINGS - scripts[_i].fail_max);
}
END_TEST

int
main (void)
{
  TCase *cases = start_suite ("extra answers");

  tcase_add_checked_fixture (cases, set_up, tear_down);
  tcase_set_timeout (cases, 60);
  tcase_add_loop_test (cases, test_refusal_written_once_more_answers_other_requests, 0,
                       SCRIPT_KINDS);
  return run_started_suite ();
}
