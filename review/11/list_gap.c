/* A VM that leads its data center and has just started passes on the servers' list with
   gaps: what it has seen on a later page of the listing it does not pass on when it reads
   the record. The other VMs go on past the record and never learn of it.

   Engines leave one after the other while callers send bookings through all VMs: one
   reports that it is draining, the next one only has its entry removed, and so on.
   Without the disruption nothing else happens. With it, the leading VM is killed before
   each and starts again as the engine leaves. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "review/standin-3/plat.h"

#define VMS       5u
#define ENGINES   60u
#define PAGE_SIZE 50u /* the users' small sites list 50 a page; at most 500 are allowed  \
                       */
#define ROUNDS    5u
#define DRAIN_MS  2000 /* bounds.drain-ms */
#define SERVES_MS 5000 /* for which an engine that leaves serves on */
#define WORK_MS   60   /* that a booking takes */
#define CALLERS   6u   /* of each VM */

static struct plat_engine *list[ENGINES];
static struct plat_vm *vm[VMS];
static int64_t acked_ms[ENGINES]; /* when the store accepted that it leaves */
static unsigned late[ENGINES];    /* requests after drain-ms */
static struct plat_vm *restarted; /* the VM whose listing the engine's report crosses */
static struct plat_engine *leaving;
static int64_t last_read_ms[VMS];
static unsigned sent;
static unsigned served;
static unsigned cut; /* bookings that an engine ran as it ended */
static volatile bool stopped;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static unsigned
index_of (const struct plat_engine *engine)
{
  unsigned i = 0;

  while (list[i] != engine)
    i++;
  return i;
}

static bool
work (struct plat_conn *conn, const struct plat_request *request, void *user)
{
  struct plat_engine *engine = user;
  unsigned i = index_of (engine);
  const char *id = plat_header (request, "request-id");
  int64_t after_ms = acked_ms[i] != 0 ? plat_now_ms () - acked_ms[i] : 0;

  if (engine->gone)
    return false;
  if (plat_engine_answer (engine, conn, request, NULL))
    return true;
  /* The VM that was killed is out of touch; its callers' requests do not count. */
  pthread_mutex_lock (&lock);
  if (after_ms > DRAIN_MS
      && (restarted == NULL || !g_str_has_prefix (id, restarted->name)))
    {
      late[i]++;
      plat_record ("booking %s reaches %s, %d ms after the store accepted that it leaves",
                   id, engine->id, (int)after_ms);
    }
  pthread_mutex_unlock (&lock);
  g_usleep (WORK_MS * 1000);
  if (engine->gone)
    {
      pthread_mutex_lock (&lock);
      cut++;
      plat_record ("booking %s is cut off as %s ends", id, engine->id);
      pthread_mutex_unlock (&lock);
      return false;
    }
  return plat_engine_answer (engine, conn, request, "done");
}

/* Has an engine begin to leave; each second one never reports that it is draining. */
static void
leave (struct plat_engine *engine)
{
  unsigned i = index_of (engine);
  bool reports = (ENGINES - 1 - i) % 2 == 0;

  if (reports)
    {
      engine->state = "draining";
      plat_engine_beat (engine);
    }
  else
    plat_engine_leave_list (engine);
  acked_ms[i] = plat_now_ms ();
  plat_record ("the store accepts that %s is %s", engine->id,
               reports ? "draining" : "gone");
}

/* The engine begins to leave between the pages of the listing of the VM that starts. */
static void
on_store_call (const char *name, const char *call, const char *topic, unsigned page,
               void *user)
{
  struct plat_engine *engine = NULL;

  (void)user;
  if (strcmp (topic, "keyed.servers") != 0)
    return;
  for (unsigned i = 0; i < VMS; i++)
    if (strcmp (call, "read") == 0 && strcmp (name, vm[i]->name) == 0)
      last_read_ms[i] = plat_now_ms ();
  pthread_mutex_lock (&lock);
  if (restarted != NULL && strcmp (name, restarted->name) == 0
      && strcmp (call, "newest") == 0 && page > 1)
    {
      engine = leaving;
      leaving = NULL;
    }
  pthread_mutex_unlock (&lock);
  if (engine != NULL)
    leave (engine);
}

static unsigned
find_leader (void)
{
  for (unsigned i = 0; i < VMS; i++)
    if (vm[i]->pid > 0 && plat_vm_leads (vm[i]))
      return i;
  return VMS;
}

/* Kills the leading VM and starts it again a moment after the VM that leads meanwhile has
   read the list. */
static void
restart_leader (struct plat_engine *engine)
{
  unsigned leader = find_leader ();
  unsigned other;
  int64_t read_ms;

  if (leader == VMS)
    plat_end (2);
  plat_record ("%s, which leads, is killed", vm[leader]->name);
  plat_vm_kill (vm[leader], SIGKILL);
  while ((other = find_leader ()) == VMS)
    g_usleep (50000);
  plat_record ("%s leads meanwhile", vm[other]->name);
  g_usleep (1500000);
  read_ms = last_read_ms[other];
  while (last_read_ms[other] == read_ms)
    g_usleep (1000);
  pthread_mutex_lock (&lock);
  restarted = vm[leader];
  leaving = engine;
  pthread_mutex_unlock (&lock);
  plat_vm_start (vm[leader]);
}

/* Sends bookings through one VM. */
static void *
send_bookings (void *user)
{
  const struct plat_vm *own = user;

  while (!stopped)
    {
      unsigned number = (unsigned)g_atomic_int_add ((gint *)&sent, 1);
      g_autofree char *text = g_strdup_printf (
          "POST /book/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s-%u\r\n"
          "Request-Deadline: 4000\r\nAuthorization: Bearer key1\r\nConnection: close\r\n"
          "Content-Length: 5\r\n\r\nhello",
          own->name, number);
      struct plat_answer answer = plat_call (own->front, text, 4000);

      if (answer.status == 200)
        g_atomic_int_inc ((gint *)&served);
      if (answer.status == 0)
        g_usleep (100000);
      plat_answer_clear (&answer);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  unsigned broken = 0;

  plat_record_open (argc > 1 ? argv[1] : "record.txt");
  plat_store_start (PAGE_SIZE);
  plat_store_put (
      "keyed.op", "config",
      "{\"version\":3,\"routes\":[{\"name\":\"book\",\"host\":\"h.example\","
      "\"path-prefix\":\"/book/\",\"route-type\":\"non_idempotent\",\"timeout-ms\":4000,"
      "\"target-latency-ms\":300,\"priority\":1,\"max-attempts\":1,\"service\":\"app\"}],"
      "\"services\":[{\"name\":\"app\",\"health-path\":\"/health\",\"max-conns\":100}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":"
      "\"t1\",\"api-keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}");
  for (unsigned i = 0; i < ENGINES; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%03u", i);

      list[i] = plat_engine_new (id, "app", "z1", work, NULL);
    }
  plat_beats_start ();
  for (unsigned i = 0; i < VMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm%u", i + 1);

      vm[i] = plat_vm_new (name, "z1");
    }
  plat_store_set_watch (on_store_call, NULL);
  for (unsigned i = 0; i < VMS; i++)
    plat_vm_start (vm[i]);
  for (unsigned i = 0; i < VMS; i++)
    if (!plat_vm_wait_ready (vm[i], 8000))
      plat_end (2);
  for (unsigned i = 0; i < VMS * CALLERS; i++)
    {
      pthread_t thread;

      pthread_create (&thread, NULL, send_bookings, vm[i % VMS]);
    }
  g_usleep (4000000);
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      struct plat_engine *engine = list[ENGINES - 1 - round];
      unsigned i = index_of (engine);

      if (plat_has_trouble ())
        restart_leader (engine);
      else
        leave (engine);
      for (unsigned waited = 0; acked_ms[i] == 0 && waited < 4000; waited++)
        g_usleep (1000);
      if (acked_ms[i] == 0)
        plat_end (2);
      plat_sleep_until (acked_ms[i] + SERVES_MS);
      if (!engine->silent)
        plat_engine_leave_list (engine);
      engine->gone = true;
      plat_stop_listening (engine->port);
      plat_record ("%s has left; %u bookings reached it later than drain-ms", engine->id,
                   late[i]);
      broken += late[i];
      g_usleep (3000000);
    }
  stopped = true;
  plat_record ("%u bookings sent, %u served; %u reached engines later than drain-ms, %u "
               "were cut off as these ended",
               sent, served, broken, cut);
  plat_end (broken > 0 ? 1 : 0);
}
